#include "support/unit.h"
#include "tarragontrack/codec/sse.h"
#include <string.h>

static const char stream[] = "data: {\"choices\":[{\"delta\":{\"content\":\"a\"}}]}\n\n"
                             ": comment\n\n"
                             "data: {\"choices\":[{\"delta\":{\"content\":\"b\"}}]}\r\n\r\n"
                             "data: "
                             "{\"choices\":[],\"usage\":{\"prompt_tokens\":50,\"prompt_tokens_"
                             "details\":{\"cached_tokens\":42}}}\n\n"
                             "data: [DONE]\n\n";

static void
test_pieces (void)
{
  size_t relayable = (size_t) (strstr (stream, "data: [DONE]") - stream);

  // Each way to cut the stream in two must give the same counts.
  for (size_t cut = 0; cut < sizeof stream; cut++)
    {
      TtSseScan scan = { 0 };
      size_t used = tt_sse_scan (stream, cut, &scan);

      CU_ASSERT (used <= cut);
      if (!scan.done)
        used += tt_sse_scan (stream + used, sizeof stream - 1 - used, &scan);
      CU_ASSERT_EQUAL (used, relayable);
      CU_ASSERT_EQUAL (scan.tokens, 2);
      CU_ASSERT_EQUAL (scan.cached_tokens, 42);
      CU_ASSERT_EQUAL (scan.prompt_tokens, 50);
      CU_ASSERT (scan.done);
      CU_ASSERT (!scan.error);
    }
}

static void
test_truncated (void)
{
  TtSseScan scan = { 0 };
  size_t size = strlen ("data: {\"choices\":[{\"delta\":{\"content\":\"a\"}}]}\n");

  CU_ASSERT_EQUAL (tt_sse_scan (stream, size, &scan), 0);
  CU_ASSERT_EQUAL (scan.tokens, 0);
  CU_ASSERT (!scan.done);
}

static void
test_engine_error (void)
{
  const char *text = "data: {\"error\":{\"message\":\"out of memory\"}}\n\n";
  TtSseScan scan = { 0 };

  CU_ASSERT_EQUAL (tt_sse_scan (text, strlen (text), &scan), 0);
  CU_ASSERT (scan.error);
  CU_ASSERT (!scan.done);
}

static void
test_cached_tokens (void)
{
  const char *plain = "{\"usage\":{\"prompt_tokens_details\":{\"cached_tokens\": 17}}}";

  CU_ASSERT_EQUAL (tt_sse_cached_tokens (plain, strlen (plain)), 17);
  CU_ASSERT_EQUAL (tt_sse_cached_tokens (plain, 20), 0);
  CU_ASSERT_EQUAL (tt_sse_cached_tokens ("", 0), 0);
}

static const UnitTest tests[] = {
  { "the place where a stream is cut changes the count", test_pieces },
  { "a partial event is relayed", test_truncated },
  { "an engine's error is relayed as an answer", test_engine_error },
  { "cached tokens are misread", test_cached_tokens },
};

UNIT_MAIN ("codec/sse", tests)
