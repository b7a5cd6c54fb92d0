/// Error records, which hold the step and the peer of the failure.
#pragma once

#include "tarragontrack/board/error_defs.h"
#include <stddef.h>

/// Fills an error record.
///
/// ARGUMENTS  error: may be NULL; peer: name of the remote side, may be NULL; format: as in printf
/// RETURN     @code, which allows `return tt_error_set (...)`
int tt_error_set (TtError *error, int code, TtStep step, const char *peer, const char *format, ...)
    __attribute__ ((format (printf, 5, 6)));

/// Short name of an error code, such as "timeout".
const char *tt_error_name (int code);

/// Short name of a step, such as "connect".
const char *tt_step_name (TtStep step);

/// Formats the error as "step: peer: name: detail" into @buffer.
void tt_error_format (const TtError *error, char *buffer, size_t size);
