/// Scanner for the server-sent events of a backend server's stream, which have increasing ids.
#pragma once

#include "tarragontrack/codec/sse.h"

/// tt_event_stream_scan - scans the complete events at the front of @data
///
/// ARGUMENTS  data: begins with the event that the previous scan left incomplete, if any; scan:
///            updated, TtSseScan.last_event_id must be the id of the last event that the caller
///            received
/// RETURN     size in bytes of the complete events that may be relayed
/// NOTES      an event is an optional first line "weight-versions: NUMBER", exactly one "id:
/// NUMBER",
///            at least one "data: TEXT" and a blank line; anything else, comments and blank lines
///            between events included, is no event. The scan stops before it and sets scan->fault
///            as soon as a line can't belong to an event, or before an event whose id is not the
///            previous id plus one.
size_t tt_event_stream_scan (const char *data, size_t size, TtSseScan *scan);
