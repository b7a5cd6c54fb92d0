/// Names of services, client accounts and backend servers, which may have any length, in records of
/// fixed size.
#pragma once

#include "tarragontrack/board/limits_defs.h"
#include <stdbool.h>

/// tt_name_abbreviate - copies a name for logs and metrics
///
/// ARGUMENTS  target: TT_NAME_MAX bytes
/// NOTES      a longer name is cut at a character of UTF-8 and ends with "~" and a part of its
/// hash,
///            so that names with the same beginning stay distinct; control characters, quotes and
///            backslashes become question marks
void tt_name_abbreviate (char *target, const char *name);

/// True if a name reaches a server unchanged as the value of a header.
bool tt_name_is_header_value (const char *name);
