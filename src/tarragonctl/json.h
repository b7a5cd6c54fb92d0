/// Reads values from a daemon's JSON responses.
#pragma once

#include "session.h"
#include <json-c/json.h>

/// ctl_json_get - sends a GET request to the daemon and parses the JSON response
///
/// ARGUMENTS  code: set to the exit code, CTL_EXIT_OK on success
/// RETURN     the value, which the caller frees with json_object_put(), or NULL after an error
///            message on standard error
json_object *ctl_json_get (CtlSession *session, const CtlOptions *options, const char *path,
                           CtlExit *code);

/// String value of a key, or "-" if it is absent or empty.
const char *ctl_json_string (json_object *object, const char *key);

/// Numeric value of a key, or 0 if it is absent.
double ctl_json_number (json_object *object, const char *key);

/// Array value of a key and its length; NULL and length 0 if the key holds no array.
json_object *ctl_json_array (json_object *object, const char *key, size_t *length);
