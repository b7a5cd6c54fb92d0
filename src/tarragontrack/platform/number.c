#include "tarragontrack/platform/number.h"
#include <stddef.h>

#define MS_PER_SECOND 1000

/// Appends a decimal digit to a number of at most UINT32_MAX.
static uint32_t
append_digit (uint32_t number, char digit)
{
  uint64_t value = (uint64_t) number * 10 + (uint64_t) (digit - '0');

  return value < UINT32_MAX ? (uint32_t) value : UINT32_MAX;
}

static bool
is_digit (char character)
{
  return character >= '0' && character <= '9';
}

uint32_t
tt_number_parse_u32 (const char *text, const char **end)
{
  uint32_t number = 0;

  for (; is_digit (*text); text++)
    number = append_digit (number, *text);
  if (end != NULL)
    *end = text;
  return number;
}

uint32_t
tt_number_parse_seconds (const char *text)
{
  const char *at;
  uint64_t ms;
  uint32_t unit_ms = MS_PER_SECOND / 10; ///< value of the next digit of the fraction
  bool has_rest = false;                 ///< the fraction has digits below 1 ms

  while (*text == ' ' || *text == '\t')
    text++;
  if (!is_digit (*text))
    return 0;
  ms = (uint64_t) tt_number_parse_u32 (text, &at) * MS_PER_SECOND;
  if (*at == '.')
    for (at++; is_digit (*at); at++, unit_ms /= 10)
      {
        ms += (uint64_t) unit_ms * (uint64_t) (*at - '0');
        has_rest = has_rest || (unit_ms == 0 && *at != '0');
      }
  while (*at == ' ' || *at == '\t')
    at++;
  if (*at != '\0')
    return 0;
  ms += has_rest ? 1 : 0;
  return ms < UINT32_MAX ? (uint32_t) ms : UINT32_MAX;
}
