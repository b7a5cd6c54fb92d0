#include "support/unit.h"
#include "tarragontrack/board/name.h"
#include <string.h>

/// Guards against long names with the same beginning that look alike in logs and metrics, a name
/// that is cut within a character, and one that forges a line.
static void
test_abbreviate (void)
{
  char name[101];
  char first[TT_NAME_MAX];
  char second[TT_NAME_MAX];

  tt_name_abbreviate (first, "");
  CU_ASSERT_STRING_EQUAL (first, "");
  tt_name_abbreviate (first, "a\n\"b\\");
  CU_ASSERT_STRING_EQUAL (first, "a??b?");
  memset (name, 'n', sizeof name);
  name[TT_NAME_MAX - 1] = '\0';
  tt_name_abbreviate (first, name);
  CU_ASSERT_STRING_EQUAL (first, name);
  name[TT_NAME_MAX - 1] = 'n';
  name[sizeof name - 1] = '\0';
  tt_name_abbreviate (first, name);
  name[sizeof name - 2] = 'm';
  tt_name_abbreviate (second, name);
  CU_ASSERT_EQUAL (strlen (first), TT_NAME_MAX - 1);
  CU_ASSERT_STRING_NOT_EQUAL (first, second);
  for (size_t i = 1; i + 2 < sizeof name; i += 2)
    memcpy (name + i, "\xc3\xb0", 2);
  tt_name_abbreviate (first, name);
  CU_ASSERT_EQUAL ((unsigned char) strchr (first, '~')[-1], 0xb0);
}

static const UnitTest tests[] = { { "abbreviate", test_abbreviate } };

UNIT_MAIN ("name", tests)
