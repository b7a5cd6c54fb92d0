#include "support/unit.h"
#include "tarragontrack/codec/http2_scan.h"
#include <stdlib.h>
#include <string.h>

enum
{
  DATA = 0,
  HEADERS = 1,
  RST_STREAM = 3,
  SETTINGS = 4,
  CONTINUATION = 9,
  END_STREAM = 1,
  END_HEADERS = 4
};

static TtHttp2Scan scan;

/// Scans a frame with a payload of zeros, in pieces of @piece bytes.
static void
send_frame (size_t piece, unsigned type, unsigned flags, unsigned stream, size_t size)
{
  const unsigned char head[] = { (unsigned char) (size >> 16),
                                 (unsigned char) (size >> 8),
                                 (unsigned char) size,
                                 (unsigned char) type,
                                 (unsigned char) flags,
                                 0,
                                 0,
                                 (unsigned char) (stream >> 8),
                                 (unsigned char) stream };
  char *bytes = calloc (1, sizeof head + size);

  memcpy (bytes, head, sizeof head);
  for (size_t at = 0; at < sizeof head + size; at += piece)
    tt_http2_scan (&scan, bytes + at,
                   sizeof head + size - at < piece ? sizeof head + size - at : piece);
  free (bytes);
}

static void
open_scan (void)
{
  tt_http2_scan_open (&scan);
  tt_http2_scan (&scan, "\r\nSM\r\n\r\n", TT_HTTP2_PREFACE_REST);
  send_frame (9, SETTINGS, 0, 0, 12);
}

/// Guards against bodies of streams that are not counted, or stay counted after the request has
/// ended or was reset.
static void
bodies (void)
{
  for (size_t piece = 1; piece < 40; piece++)
    {
      open_scan ();
      send_frame (piece, HEADERS, END_HEADERS, 1, 20);
      send_frame (piece, HEADERS, END_HEADERS, 3, 20);
      send_frame (piece, HEADERS, END_HEADERS | END_STREAM, 5, 20);
      send_frame (piece, DATA, 0, 1, 1000);
      send_frame (piece, DATA, 0, 3, 200);
      send_frame (piece, DATA, 0, 1, 30);
      CU_ASSERT_EQUAL (scan.held_bytes, 1230);
      CU_ASSERT_EQUAL (scan.streams.count, 2);
      send_frame (piece, DATA, END_STREAM, 1, 10);
      CU_ASSERT_EQUAL (scan.held_bytes, 200);
      send_frame (piece, RST_STREAM, 0, 3, 4);
      send_frame (piece, RST_STREAM, 0, 3, 4);
      CU_ASSERT_EQUAL (scan.held_bytes, 0);
      CU_ASSERT_EQUAL (scan.streams.count, 0);
      CU_ASSERT_FALSE (scan.failed);
      tt_http2_scan_close (&scan);
    }
}

/// Guards against a head in many frames that does not end.
static void
endless_head (void)
{
  open_scan ();
  send_frame (9, HEADERS, 0, 1, 100);
  for (unsigned i = 0; i < 10; i++)
    send_frame (9, CONTINUATION, 0, 1, 1000);
  CU_ASSERT_EQUAL (scan.head_bytes, 10100);
  CU_ASSERT_EQUAL (scan.held_bytes, 10100);
  send_frame (9, CONTINUATION, END_HEADERS, 1, 1000);
  CU_ASSERT_EQUAL (scan.head_bytes, 0);
  CU_ASSERT_EQUAL (scan.held_bytes, 0);
  tt_http2_scan_close (&scan);
}

/// Guards against records without end.
static void
too_many_streams (void)
{
  open_scan ();
  for (unsigned i = 0; i < TT_HTTP2_MAX_STREAMS; i++)
    send_frame (9, HEADERS, END_HEADERS, 2 * i + 1, 20);
  CU_ASSERT_FALSE (scan.failed);
  send_frame (9, HEADERS, END_HEADERS, 2 * TT_HTTP2_MAX_STREAMS + 1, 20);
  CU_ASSERT (scan.failed);
  tt_http2_scan_close (&scan);
}

static const UnitTest tests[] = {
  { "bodies", bodies },
  { "endless_head", endless_head },
  { "too_many_streams", too_many_streams },
};

UNIT_MAIN ("http2_scan", tests)
