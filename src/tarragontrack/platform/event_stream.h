/// Scanner for the server-sent events of a backend server's stream, which have increasing ids.
#pragma once

#include "tarragontrack/codec/sse.h"

/// tt_event_stream_scan - scans the complete events at the front of @data
///
/// ARGUMENTS  scan: updated; TtSseScan.last_event_id must be the id of the last event that the
///            caller received
/// RETURN     size in bytes of the complete events that may be relayed; stops before an event whose
///            id is not the previous id plus one, and sets scan->error
size_t tt_event_stream_scan (const char *data, size_t size, TtSseScan *scan);
