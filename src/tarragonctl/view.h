/// Reading values from a daemon's JSON answers.
#pragma once

#include "ctl.h"
#include <json-c/json.h>

/// ctl_view_get - reads a path and parses the answer
///
/// RETURN     the value (free with json_object_put), or NULL with a message and @code set
json_object *ctl_view_get (CtlSession *session, const CtlOptions *options, const char *path,
                           CtlExit *code);

/// Text under a key, or "-".
const char *ctl_view_text (json_object *object, const char *key);

/// Number under a key, or 0.
double ctl_view_number (json_object *object, const char *key);

/// Array under a key; an empty one has length 0. NULL if there is none.
json_object *ctl_view_array (json_object *object, const char *key, size_t *length);
