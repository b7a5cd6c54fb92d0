/// Log on standard output, written through log4c: one line per event with time, number, level, name
/// and text.
#pragma once

#include "tarragontrack/board/logevent_defs.h"

/// Opens the log. Writing a line never blocks. RETURN 0, TT_E_INTERNAL or TT_E_NO_MEMORY.
int tt_log_open (TtLogLevel level);

/// Writes buffered lines, as many as standard output accepts without blocking. The daemon calls it
/// on each tick.
void tt_log_flush (void);

/// Flushes and closes the log.
void tt_log_close (void);

/// Writes one line. Lines less severe than the level of tt_log_open() are not written. Lines above
/// the rate limit of their event, or that don't fit into the buffer because the reader of the log
/// is too slow, are dropped; a later LINES_LEFT_OUT line has their number.
void tt_log_write (TtLogEvent event, const char *text);

/// Returns the level of an event.
TtLogLevel tt_log_event_level (TtLogEvent event);

/// Returns the name of an event, such as "STARTED".
const char *tt_log_event_name (TtLogEvent event);
