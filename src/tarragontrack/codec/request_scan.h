/// Incremental scanner of the framing of HTTP/1.1 requests on one connection. It runs before a
/// server that buffers a request until its whole body has arrived: it finds the end of each
/// request, and refuses one as soon as a limit or a malformed chunk shows.
#pragma once

#include "tarragontrack/codec/chunk.h"
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

enum
{
  TT_REQUEST_SCAN_LINE_BYTES = 64 ///< longest header line that states the length of a body
};

typedef struct
{
  size_t max_head_bytes;
  uint64_t max_body_bytes; ///< decoded
} TtRequestScanLimits;

typedef enum
{
  TT_REQUEST_SCAN_PARTIAL,   ///< the request goes on
  TT_REQUEST_SCAN_COMPLETE,  ///< the request ends here
  TT_REQUEST_SCAN_LONG_HEAD, ///< the head is longer than the limit
  TT_REQUEST_SCAN_LONG_BODY, ///< the body, or its framing, is longer than the limit
  TT_REQUEST_SCAN_MALFORMED, ///< a chunk of no known form
  TT_REQUEST_SCAN_HTTP2,     ///< the preface of an HTTP/2 connection
  TT_REQUEST_SCAN_UNKNOWN    ///< a head whose body has no known end; the server refuses it
} TtRequestScanResult;

typedef struct
{
  bool in_body;
  bool has_length;
  bool chunked;
  bool unknown;
  size_t head_bytes;
  size_t lines;
  size_t line_bytes; ///< of the current line of the head; line[] holds the first ones
  char line[TT_REQUEST_SCAN_LINE_BYTES];
  uint64_t length;        ///< bytes of a body with a length that are still to come
  uint64_t body_bytes;    ///< decoded so far
  uint64_t framing_bytes; ///< sizes, extensions, line ends and trailers of chunks
  TtChunkDecoder chunks;
} TtRequestScan;

/// tt_request_scan - scans bytes up to the end of a request
///
/// ARGUMENTS  scan: zeroed at the start of a connection; tt_request_scan() zeroes it again when it
///            returns TT_REQUEST_SCAN_COMPLETE
/// RETURN     number of bytes that were scanned: all of them if @result is
///            TT_REQUEST_SCAN_PARTIAL
/// BOUNDS     does not copy bodies
size_t tt_request_scan (TtRequestScan *scan, const TtRequestScanLimits *limits, const char *data,
                        size_t size, TtRequestScanResult *result);

/// True if no byte of a request was scanned since the last one ended.
bool tt_request_scan_is_between (const TtRequestScan *scan);
