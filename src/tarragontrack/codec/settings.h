/// Parser of daemon settings: JSON with comments.
#pragma once

#include "tarragontrack/board/error_defs.h"
#include "tarragontrack/codec/json_defs.h"
#include "tarragontrack/codec/settings_defs.h"
#include <stddef.h>

/// tt_settings_parse - parses and validates settings
///
/// ARGUMENTS  name: file name, for errors; settings: filled in on success
/// RETURN     0, TT_E_MALFORMED (with the line), TT_E_INVALID (with the key and the expected value)
///            or TT_E_LIMIT
int tt_settings_parse (const char *text, size_t size, const char *name, TtSettings *settings,
                       TtError *error);

/// tt_settings_load - loads and parses a settings file
///
/// RETURN     as tt_settings_parse(), or TT_E_NOT_FOUND if the file cannot be read
int tt_settings_load (const char *path, TtSettings *settings, TtError *error);

/// tt_settings_diff - lists the keys with different values, separated by commas
///
/// ARGUMENTS  reloadable: true lists keys that a running daemon applies, false lists keys that
///            require a restart; text: the list, truncated to @size, or "none"
void tt_settings_diff (const TtSettings *before, const TtSettings *after, bool reloadable,
                       char *text, size_t size);

/// Tables of the settings' keys; a check compares them with the reference page. @index starts at 0.
///
/// RETURN     the table, the key of its object in @name and its length in @count; NULL after the
///            last table
const TtJsonField *tt_settings_fields (unsigned index, const char **name, size_t *count);
