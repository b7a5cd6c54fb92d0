/// Numbers in headers of the users' platform. Other programs send them, so any text must have a
/// defined result, the same on each kind of machine.
#pragma once

#include <stdbool.h>
#include <stdint.h>

/// tt_number_parse_u32 - parses the decimal digits at the start of a text
///
/// ARGUMENTS  end: set to the first character after the digits, unless NULL
/// RETURN     the number, UINT32_MAX if it is larger; 0 if the text starts with no digit
uint32_t tt_number_parse_u32 (const char *text, const char **end);

/// tt_number_parse_seconds - parses a duration in seconds, which may have a decimal fraction
///
/// RETURN     the duration in ms, rounded up, UINT32_MAX if it is longer; 0 if the text is anything
///            else, such as a negative number, an exponent or a date
uint32_t tt_number_parse_seconds (const char *text);
