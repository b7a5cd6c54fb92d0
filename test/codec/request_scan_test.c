#include "support/unit.h"
#include "tarragontrack/codec/request_scan.h"
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

static const TtRequestScanLimits limits = { .max_head_bytes = 200, .max_body_bytes = 16 };

/// Scans a text in pieces of @piece bytes up to its first result.
static TtRequestScanResult
scan_in_pieces (const char *text, size_t piece, size_t *scanned)
{
  TtRequestScan scan = { .lines = 0 };
  TtRequestScanResult result = TT_REQUEST_SCAN_PARTIAL;
  size_t size = strlen (text);

  *scanned = 0;
  while (*scanned < size && result == TT_REQUEST_SCAN_PARTIAL)
    {
      size_t rest = size - *scanned;

      *scanned += tt_request_scan (&scan, &limits, text + *scanned, rest < piece ? rest : piece,
                                   &result);
    }
  CU_ASSERT_EQUAL (tt_request_scan_is_between (&scan),
                   result == TT_REQUEST_SCAN_COMPLETE || size == 0);
  return result;
}

/// Checks a text in pieces of each size. @rest: bytes that belong to the next request; checked for
/// complete ones.
static void
check (const char *text, TtRequestScanResult expected, size_t rest)
{
  for (size_t piece = 1; piece <= strlen (text); piece++)
    {
      size_t scanned;
      TtRequestScanResult result = scan_in_pieces (text, piece, &scanned);

      if (result != expected
          || (expected == TT_REQUEST_SCAN_COMPLETE && scanned != strlen (text) - rest))
        printf ("pieces of %zu, result %d after %zu bytes: %s\n", piece, (int) result, scanned,
                text);
      CU_ASSERT_EQUAL (result, expected);
      if (expected == TT_REQUEST_SCAN_COMPLETE)
        CU_ASSERT_EQUAL (scanned, strlen (text) - rest);
    }
}

/// Guards against a wrong end of a request: what follows would be taken for a part of it.
static void
ends_of_requests (void)
{
  check ("GET / HTTP/1.1\r\nHost: h\r\n\r\n", TT_REQUEST_SCAN_COMPLETE, 0);
  check ("\r\nGET / HTTP/1.1\nHost: h\n\nGET", TT_REQUEST_SCAN_COMPLETE, 3);
  check ("POST / HTTP/1.1\r\ncontent-LENGTH: 3 \r\n\r\nabcGET", TT_REQUEST_SCAN_COMPLETE, 3);
  check ("POST / HTTP/1.1\r\nContent-Length: 0\r\n\r\nGET", TT_REQUEST_SCAN_COMPLETE, 3);
  check ("POST / HTTP/1.1\r\nTransfer-Encoding:chunked\r\n\r\n3;a=b\r\nabc\r\n0\r\nT: v\r\n\r\nGET",
         TT_REQUEST_SCAN_COMPLETE, 3);
  check ("POST / HTTP/1.1\r\nContent-Length: 3\r\n\r\nab", TT_REQUEST_SCAN_PARTIAL, 0);
  check ("POST / HTTP/1.1\r\nX-Content-Length: 3\r\n\r\nabc", TT_REQUEST_SCAN_COMPLETE, 3);
  check ("POST / HTTP/1.1\r\nX: Content-Length: 3\r\n\r\nabc", TT_REQUEST_SCAN_COMPLETE, 3);
}

/// Guards against bodies and heads over the limit that are read before they are refused.
static void
limits_exceeded (void)
{
  char text[512];

  check ("POST / HTTP/1.1\r\nContent-Length: 17\r\n\r\n", TT_REQUEST_SCAN_LONG_BODY, 0);
  check ("POST / HTTP/1.1\r\nContent-Length: 16\r\n\r\n", TT_REQUEST_SCAN_PARTIAL, 0);
  check ("POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n11\r\n", TT_REQUEST_SCAN_LONG_BODY,
         0);
  check ("POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n8\r\n12345678\r\n9\r\n",
         TT_REQUEST_SCAN_LONG_BODY, 0);
  check ("POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n8\r\n12345678\r\n8\r\n",
         TT_REQUEST_SCAN_PARTIAL, 0);
  (void) snprintf (text, sizeof text, "GET / HTTP/1.1\r\nX: %0200d", 0);
  check (text, TT_REQUEST_SCAN_LONG_HEAD, 0);
}

/// Guards against framing without end around few bytes of a body.
static void
endless_framing (void)
{
  static const char head[] = "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n";
  static const char extension[]
      = "1;aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa"
        "aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa"
        "aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa\r\nx\r\n";
  const TtRequestScanLimits wide = { .max_head_bytes = 200, .max_body_bytes = 100000 };
  TtRequestScan scan = { .lines = 0 };
  TtRequestScanResult result = TT_REQUEST_SCAN_PARTIAL;
  size_t sent = 0;

  (void) tt_request_scan (&scan, &wide, head, sizeof head - 1, &result);
  while (result == TT_REQUEST_SCAN_PARTIAL && sent < 100 * wide.max_body_bytes)
    {
      (void) tt_request_scan (&scan, &wide, extension, sizeof extension - 1, &result);
      sent += sizeof extension - 1;
    }
  CU_ASSERT_EQUAL (result, TT_REQUEST_SCAN_LONG_BODY);
  CU_ASSERT (scan.body_bytes < wide.max_body_bytes);
}

/// Guards against a refusal of a body within the limit that is sent in chunks of one byte.
static void
chunks_of_one_byte (void)
{
  static const char head[] = "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n";
  const TtRequestScanLimits wide = { .max_head_bytes = 200, .max_body_bytes = 100000 };
  TtRequestScan scan = { .lines = 0 };
  TtRequestScanResult result;

  (void) tt_request_scan (&scan, &wide, head, sizeof head - 1, &result);
  for (unsigned i = 0; i < 100000 && result == TT_REQUEST_SCAN_PARTIAL; i++)
    (void) tt_request_scan (&scan, &wide, "1\r\nx\r\n", 6, &result);
  CU_ASSERT_EQUAL (result, TT_REQUEST_SCAN_PARTIAL);
  (void) tt_request_scan (&scan, &wide, "0\r\n\r\n", 5, &result);
  CU_ASSERT_EQUAL (result, TT_REQUEST_SCAN_COMPLETE);
}

/// Guards against forms of a body's length that a lenient reader takes for another one.
static void
unknown_forms (void)
{
  static const char *const malformed[] = { "2zz\r\nab", "0x2\r\nab", "-2\r\nab", "\r\n" };
  static const char *const unknown[] = {
    "Content-Length: 2\r\nContent-Length: 2",
    "Content-Length: 2\r\nTransfer-Encoding: chunked",
    "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked",
    "Transfer-Encoding: gzip, chunked",
    "Content-Length: 2x",
    "Content-Length: -2",
    "Content-Length:",
    "Content-Length: 18446744073709551618",
    "Content-Length: 1\r\n 2",
    "Content-Length:                                                                       2",
  };
  char text[512];

  for (size_t i = 0; i < sizeof malformed / sizeof malformed[0]; i++)
    {
      (void) snprintf (text, sizeof text,
                       "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n%s\r\n0\r\n\r\n",
                       malformed[i]);
      check (text, TT_REQUEST_SCAN_MALFORMED, 0);
    }
  for (size_t i = 0; i < sizeof unknown / sizeof unknown[0]; i++)
    {
      (void) snprintf (text, sizeof text, "POST / HTTP/1.1\r\n%s\r\n\r\n", unknown[i]);
      check (text, TT_REQUEST_SCAN_UNKNOWN, 0);
    }
  check ("PRI * HTTP/2.0\r\n", TT_REQUEST_SCAN_HTTP2, 0);
}

static const UnitTest tests[] = {
  { "ends_of_requests", ends_of_requests }, { "limits_exceeded", limits_exceeded },
  { "endless_framing", endless_framing },   { "chunks_of_one_byte", chunks_of_one_byte },
  { "unknown_forms", unknown_forms },
};

UNIT_MAIN ("request_scan", tests)
