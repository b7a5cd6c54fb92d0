#include "tarragontrack/codec/http2_scan.h"
#include "tarragontrack/codec/request_scan.h"
#include <stdlib.h>

#define PIECE_BYTES 7

int LLVMFuzzerTestOneInput (const uint8_t *data, size_t size);

/// Scans the input in pieces. RETURN the number of whole requests.
static unsigned
scan_in_pieces (const char *data, size_t size, size_t piece, TtRequestScanResult *result)
{
  const TtRequestScanLimits limits = { .max_head_bytes = 512, .max_body_bytes = 1024 };
  TtRequestScan scan = { .lines = 0 };
  unsigned requests = 0;
  size_t at = 0;

  *result = TT_REQUEST_SCAN_PARTIAL;
  while (at < size && (*result == TT_REQUEST_SCAN_PARTIAL || *result == TT_REQUEST_SCAN_COMPLETE))
    {
      size_t rest = size - at;

      at += tt_request_scan (&scan, &limits, data + at, rest < piece ? rest : piece, result);
      requests += *result == TT_REQUEST_SCAN_COMPLETE ? 1 : 0;
    }
  return requests;
}

/// The result must not depend on how the bytes arrive, and no stream may be counted below 0.
int
LLVMFuzzerTestOneInput (const uint8_t *data, size_t size)
{
  TtRequestScanResult whole_result;
  TtRequestScanResult pieces_result;
  TtHttp2Scan frames;

  if (scan_in_pieces ((const char *) data, size, size, &whole_result)
          != scan_in_pieces ((const char *) data, size, PIECE_BYTES, &pieces_result)
      || whole_result != pieces_result)
    abort ();
  tt_http2_scan_open (&frames);
  tt_http2_scan (&frames, (const char *) data, size);
  if (frames.held_bytes > SIZE_MAX / 2)
    abort ();
  tt_http2_scan_close (&frames);
  return 0;
}
