/// Incremental parser of the server-sent events in an engine's response stream.
#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

enum
{
  TT_SSE_EVENT_MAX_BYTES = 65536 ///< bytes of one event; a response with a longer one is rejected
};

/// Reason why a scan stops for good: the bytes that follow must not be relayed.
typedef enum
{
  TT_SSE_NO_FAULT,
  TT_SSE_ENGINE_ERROR, ///< an event contains an error of the engine
  TT_SSE_UNKNOWN_FORM, ///< bytes that are no event
  TT_SSE_WRONG_ID      ///< an event whose id does not follow the previous one
} TtSseFault;

/// Lines of an event that is not complete yet, for streams with ids.
typedef struct
{
  size_t size;    ///< bytes of the lines that were read
  size_t checked; ///< bytes of the incomplete line's value that were found to be text
  uint32_t lines;
  uint32_t id;
  bool has_id;
  bool has_data;
} TtSseEvent;

/// Result of the scan, accumulated over the events parsed so far.
typedef struct
{
  uint32_t tokens; ///< data events, without those whose `choices` is empty
  uint32_t cached_tokens;
  uint32_t prompt_tokens;
  uint32_t last_event_id; ///< id of the last event, for streams with ids; not set by tt_sse_scan()
  bool done;              ///< `data: [DONE]` was found; of streams with ids: no event is incomplete
  TtSseFault fault;
  TtSseEvent event; ///< not used by tt_sse_scan()
} TtSseScan;

/// tt_sse_scan - parses the complete events at the start of @data
///
/// ARGUMENTS  scan: updated
/// RETURN     total length of the complete events that can be relayed; stops before `[DONE]`,
/// before
///            an error and before bytes that are no event
/// BOUNDS     does not copy; the caller buffers at most one partial event
size_t tt_sse_scan (const char *data, size_t size, TtSseScan *scan);

/// Value of "cached_tokens" in the usage of a complete response or of an event; 0 if absent.
uint32_t tt_sse_parse_cached_tokens (const char *data, size_t size);

/// Value of "prompt_tokens" in the usage of a complete response or of an event; 0 if absent.
uint32_t tt_sse_parse_prompt_tokens (const char *data, size_t size);
