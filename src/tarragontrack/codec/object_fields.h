/// Table-driven JSON codec for the records in platform objects.
///
/// Unknown keys are ignored, because a newer version may have added them. Settings and documents
/// reject unknown keys.
#pragma once

#include "tarragontrack/board/error_defs.h"
#include <json-c/json.h>
#include <stdbool.h>
#include <stddef.h>

typedef enum
{
  TT_FIELD_U64,
  TT_FIELD_U32,
  TT_FIELD_U16,
  TT_FIELD_I64,
  TT_FIELD_BOOL,
  TT_FIELD_DOUBLE, ///< finite and not negative
  TT_FIELD_STRING, ///< char array of `size` bytes, including the final NUL
  TT_FIELD_ID64,   ///< uint64_t as 16 hexadecimal digits; JSON numbers are exact only up to 53 bits
  TT_FIELD_ID128,  ///< TtId128 as 32 hexadecimal digits
  TT_FIELD_DIGEST, ///< TtDigest as 64 hexadecimal digits
  TT_FIELD_CHOICE  ///< int, index of the string in `choices`
} TtFieldType;

typedef struct
{
  const char *key;
  TtFieldType type;
  size_t offset;
  size_t size;
  bool optional;              ///< zero if absent
  const char *const *choices; ///< NULL-terminated
} TtObjectField;

/// tt_object_fields_decode - decodes the known keys of an object into a zeroed struct
///
/// ARGUMENTS  path: path of the object, for errors; error: its peer (key) is preserved
/// RETURN     0, or TT_E_MALFORMED (missing key, wrong type or value out of range)
int tt_object_fields_decode (json_object *object, const char *path, const TtObjectField *fields,
                             size_t count, void *target, TtError *error);

/// tt_object_fields_encode - encodes a struct as a JSON object
///
/// RETURN     the object, or NULL if memory could not be allocated
json_object *tt_object_fields_encode (const TtObjectField *fields, size_t count,
                                      const void *source);

/// tt_object_fields_fail - sets TT_E_MALFORMED with the path and the expected value; preserves the
/// error's peer
///
/// RETURN     TT_E_MALFORMED
int tt_object_fields_fail (TtError *error, const char *path, const char *key, const char *expected);
