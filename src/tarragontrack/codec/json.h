/// Validated parsing of JSON with comments (json-c). Errors contain the key and the expected value.
#pragma once

#include "tarragontrack/board/error_defs.h"
#include "tarragontrack/codec/json_defs.h"
#include <json-c/json.h>

/// tt_json_parse - parses a JSON text that may contain comments
///
/// ARGUMENTS  name: file or object name, for the error
/// RETURN     the value (free with json_object_put), or NULL with the line and reason in @error
json_object *tt_json_parse (const char *text, size_t size, const char *name, TtStep step,
                            TtError *error);

/// tt_json_read_fields - reads the keys of an object into a struct, as described by a table
///
/// ARGUMENTS  path: path of the object, for errors, such as "services[2]"; error: its step and peer
///            (file name) are preserved
/// RETURN     0, or TT_E_INVALID (unknown key, missing key, wrong type or value out of range)
int tt_json_read_fields (json_object *object, const char *path, const TtJsonField *fields,
                         size_t count, void *target, TtError *error);

/// tt_json_get_number - gets the number that a field of a struct holds
///
/// RETURN     false if the field is not a number
bool tt_json_get_number (const TtJsonField *field, const void *source, double *number);

/// tt_json_get_array - gets the array under a key
///
/// RETURN     its length (0 if absent), or TT_E_INVALID (not an array, or longer than @limit)
int tt_json_get_array (json_object *object, const char *key, size_t limit, json_object **array,
                       TtError *error);
