/// Log lines through log4c: one line an event with its number, level, name and text.
#pragma once

#include "tarragontrack/board/logevent_defs.h"

/// Opens the log on standard error. RETURN 0 or TT_E_INTERNAL.
int tt_log_open (TtLogLevel level);

/// Closes the log.
void tt_log_close (void);

/// Writes one line. Lines less important than the level of tt_log_open() are dropped.
void tt_log_write (TtLogEvent event, const char *text);

/// Level of a numbered event.
TtLogLevel tt_log_level (TtLogEvent event);

/// Name of a numbered event, such as "started".
const char *tt_log_name (TtLogEvent event);
