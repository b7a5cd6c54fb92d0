/// Text form of bytes that came from outside, for logs.
#pragma once

#include <stddef.h>

/// tt_escape_bytes - writes bytes as printable ASCII
///
/// ARGUMENTS  target: @target_size bytes, of which at least one
/// NOTES      line ends are written as \n and \r, quotes and backslashes with a backslash before
///            them, other bytes outside of printable ASCII as \xHH; stops before a byte that does
///            not fit, and ends the text with "..." if bytes are left out
void tt_escape_bytes (char *target, size_t target_size, const char *data, size_t size);
