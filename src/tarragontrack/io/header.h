/// Lookup of a header by name.
#pragma once

#include "tarragontrack/io/dialect_defs.h"
#include <stdbool.h>

/// Value of the first header with @name (in lower case); NULL if there is none.
const char *tt_header_find (const TtHeaders *headers, const char *name);

/// True if a Content-Type names an event stream, with or without parameters; @value may be NULL.
bool tt_header_is_event_stream (const char *value);

/// True if headers with @name (in lower case) have different values. Servers differ in which of
/// them they take.
bool tt_header_is_ambiguous (const TtHeaders *headers, const char *name);
