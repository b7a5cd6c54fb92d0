/// Table of the keys of a JSON object: types, ranges, and the struct members that store the values.
#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

typedef enum
{
  TT_JSON_STRING, ///< char array of `size` bytes, including the final NUL
  TT_JSON_UINT32,
  TT_JSON_UINT16,
  TT_JSON_DOUBLE,
  TT_JSON_DURATION, ///< uint32_t in ms, fractions of a ms cut off; instead of the key `NAME_ms`,
                    ///< the object may have `NAME_s`, in seconds
  TT_JSON_BOOL,
  TT_JSON_CHOICE, ///< int, index of the string in `choices`
  TT_JSON_NESTED  ///< object or array, read separately by the caller
} TtJsonType;

typedef struct
{
  const char *key;
  TtJsonType type;
  size_t offset;
  size_t size;
  bool required;
  double minimum;
  double maximum;
  double default_value;       ///< default of an absent number, boolean or choice
  const char *const *choices; ///< NULL-terminated
  const char *unit;           ///< for error messages and the reference pages; may be NULL
} TtJsonField;
