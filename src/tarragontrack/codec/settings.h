/// Daemon settings from JSON with comments.
#pragma once

#include "tarragontrack/board/error_defs.h"
#include "tarragontrack/codec/json_defs.h"
#include "tarragontrack/codec/settings_defs.h"
#include <stddef.h>

/// tt_settings_parse - parses and checks settings
///
/// ARGUMENTS  name: file name for errors; settings: filled in on success
/// RETURN     0, TT_E_MALFORMED (names the line), TT_E_INVALID (names the key and what was
///            expected) or TT_E_LIMIT
int tt_settings_parse (const char *text, size_t size, const char *name, TtSettings *settings,
                       TtError *error);

/// tt_settings_load - reads and parses a settings file
///
/// RETURN     as tt_settings_parse(), or TT_E_NOT_FOUND if the file cannot be read
int tt_settings_load (const char *path, TtSettings *settings, TtError *error);

/// tt_settings_changes - lists the keys whose values differ, separated by commas
///
/// ARGUMENTS  reloadable: the keys that a running daemon takes over, or those that need a restart;
///            text: filled in, "none" without a difference, shortened if it does not fit
void tt_settings_changes (const TtSettings *before, const TtSettings *after, bool reloadable,
                          char *text, size_t size);

/// Tables of the keys, for the reference page's check. @index counts from 0.
///
/// RETURN     the table, with the key of its object and its length, or NULL after the last one
const TtJsonField *tt_settings_fields (unsigned index, const char **name, size_t *count);
