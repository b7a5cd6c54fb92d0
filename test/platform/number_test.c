#include "support/unit.h"
#include "tarragontrack/platform/number.h"

/// Guards against a number whose conversion is undefined, and differs between kinds of machines:
/// out of range, negative, or no number at all.
static void
seconds_have_defined_results (void)
{
  static const struct
  {
    const char *text;
    uint32_t ms;
  } cases[] = { { "2", 2000 },
                { " 0.25 ", 250 },
                { "0.0001", 1 },
                { "1.9999", 2000 },
                { "0", 0 },
                { "0.000", 0 },
                { "4294967", UINT32_C (4294967000) },
                { "4294968", UINT32_MAX },
                { "99999999999999999999999999999999999999999", UINT32_MAX },
                { "1e9", 0 },
                { "-1", 0 },
                { "nan", 0 },
                { "inf", 0 },
                { "0x10", 0 },
                { ".5", 0 },
                { "", 0 },
                { "Fri, 04 Dec 2026 10:00:00 GMT", 0 } };

  for (size_t i = 0; i < sizeof cases / sizeof cases[0]; i++)
    CU_ASSERT_EQUAL (tt_number_parse_seconds (cases[i].text), cases[i].ms);
}

/// Guards against a count that wraps around to a small one.
static void
counts_saturate (void)
{
  const char *end;

  CU_ASSERT_EQUAL (tt_number_parse_u32 ("4294967296", NULL), UINT32_MAX);
  CU_ASSERT_EQUAL (tt_number_parse_u32 ("18446744073709551617", NULL), UINT32_MAX);
  CU_ASSERT_EQUAL (tt_number_parse_u32 ("580,80", &end), 580);
  CU_ASSERT_EQUAL (*end, ',');
  CU_ASSERT_EQUAL (tt_number_parse_u32 ("-5", &end), 0);
  CU_ASSERT_EQUAL (*end, '-');
}

static const UnitTest tests[] = {
  { "seconds_have_defined_results", seconds_have_defined_results },
  { "counts_saturate", counts_saturate },
};

UNIT_MAIN ("platform/number", tests)
