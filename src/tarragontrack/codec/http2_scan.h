/// Incremental scanner of the frames that a caller sends on an HTTP/2 connection. It counts what a
/// server has to keep of requests whose end has not arrived.
#pragma once

#include "tarragontrack/board/list.h"
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

enum
{
  TT_HTTP2_PREFACE_REST = 8, ///< bytes of the preface after its first line
  TT_HTTP2_MAX_STREAMS = 256 ///< with an incomplete request; above what servers allow by default
};

typedef struct
{
  TtList streams;    ///< with an incomplete request
  size_t held_bytes; ///< of their bodies, and of a head that has not ended
  size_t head_bytes; ///< of that head
  size_t skip;       ///< bytes of the preface, or of a frame's payload, that are still to come
  unsigned char frame[9];
  size_t frame_bytes; ///< of the frame's header that have arrived
  bool failed;        ///< more streams than TT_HTTP2_MAX_STREAMS, or no memory
} TtHttp2Scan;

/// Starts after the first line of the preface.
void tt_http2_scan_open (TtHttp2Scan *scan);

/// Scans bytes from the caller.
void tt_http2_scan (TtHttp2Scan *scan, const char *data, size_t size);

/// Frees the records of streams.
void tt_http2_scan_close (TtHttp2Scan *scan);
