/// Table-driven reading and writing of the records in platform objects.
///
/// Unlike settings and documents, unknown keys are ignored: a newer version may have added them.
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
  TT_FIELD_DOUBLE, ///< finite, not negative
  TT_FIELD_STRING, ///< char array of `size` bytes with the final NUL
  TT_FIELD_ID64,   ///< uint64_t as 16 hexadecimal digits: JSON numbers are exact to 53 bits only
  TT_FIELD_ID128,  ///< TtId128 as 32 hexadecimal digits
  TT_FIELD_DIGEST, ///< TtDigest as 64 hexadecimal digits
  TT_FIELD_CHOICE  ///< int, index in `choices`
} TtFieldType;

typedef struct
{
  const char *key;
  TtFieldType type;
  size_t offset;
  size_t size;
  bool optional;              ///< zero when absent
  const char *const *choices; ///< NULL-terminated
} TtObjectField;

/// tt_object_fields_read - reads the known keys of an object into a zeroed struct
///
/// ARGUMENTS  path: of the object, for errors; error: holds the peer (key), which is kept
/// RETURN     0, or TT_E_MALFORMED for a missing key, a wrong type or range
int tt_object_fields_read (json_object *object, const char *path, const TtObjectField *fields,
                           size_t count, void *target, TtError *error);

/// tt_object_fields_write - makes an object from a struct
///
/// RETURN     the object, or NULL if memory could not be allocated
json_object *tt_object_fields_write (const TtObjectField *fields, size_t count, const void *source);

/// tt_object_refuse - sets TT_E_MALFORMED and keeps the error's peer
///
/// RETURN     TT_E_MALFORMED
int tt_object_refuse (TtError *error, const char *path, const char *key, const char *expected);
