/// Checked reading of JSON with comments (json-c). Errors name the key and what was expected.
#pragma once

#include "tarragontrack/board/error_defs.h"
#include "tarragontrack/codec/json_defs.h"
#include <json-c/json.h>

/// tt_json_parse - parses a JSON text that may hold comments
///
/// ARGUMENTS  name: file or object name for the error
/// RETURN     the value (free with json_object_put), or NULL with @error set (line, reason)
json_object *tt_json_parse (const char *text, size_t size, const char *name, TtStep step,
                            TtError *error);

/// tt_json_read_fields - reads an object's keys into a struct as its table says
///
/// ARGUMENTS  path: of the object, for errors, such as "services[2]"; error: holds the step and
///            the peer (file name), which are kept
/// RETURN     0, or TT_E_INVALID for an unknown key, a missing key, a wrong type or range
int tt_json_read_fields (json_object *object, const char *path, const TtJsonField *fields,
                         size_t count, void *target, TtError *error);

/// tt_json_array - the array under a key
///
/// RETURN     its length (0 if absent), or TT_E_INVALID if it is no array or longer than @limit
int tt_json_array (json_object *object, const char *key, size_t limit, json_object **array,
                   TtError *error);
