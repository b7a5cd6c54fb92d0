#include "support/unit.h"
#include "tarragontrack/platform/event_stream.h"
#include <string.h>

static size_t
scan (const char *text, TtSseScan *state)
{
  return tt_event_stream_scan (text, strlen (text), state);
}

/// Guards against relaying part of an event: another engine could not resume the stream after it.
static void
test_complete_events (void)
{
  TtSseScan state = { 0 };

  CU_ASSERT_EQUAL (scan ("id: 1\ndata: a\n\nid: 2\nda", &state), 15);
  CU_ASSERT (state.last_event_id == 1 && state.tokens == 1);
  CU_ASSERT_EQUAL (scan ("id: 2\r\ndata: b\r\n\r\n", &state), 18);
  CU_ASSERT_EQUAL (state.last_event_id, 2);
  CU_ASSERT_EQUAL (scan (": comment\n\n", &state), 11);
  CU_ASSERT_EQUAL (state.last_event_id, 2);
  CU_ASSERT_FALSE (state.error);
}

/// Guards against relaying a stream in which events are missing, repeated or of another execution.
static void
test_id_gaps (void)
{
  TtSseScan state = { .last_event_id = 4 };

  CU_ASSERT_EQUAL (scan ("id: 5\ndata: a\n\nid: 7\ndata: b\n\n", &state), 15);
  CU_ASSERT (state.error && state.last_event_id == 5);
  state = (TtSseScan){ .last_event_id = 4 };
  CU_ASSERT_EQUAL (scan ("id: 4\ndata: a\n\n", &state), 0);
  CU_ASSERT (state.error);
}

/// Guards against a stream that has neither a length nor chunks and ends inside an event, because
/// its backend server crashed, and that looks complete to the caller (ORDER, MIXED).
static void
test_end_inside_event (void)
{
  TtSseScan state = { 0 };

  CU_ASSERT_EQUAL (scan ("id: 1\ndata: a\n\nid: 2\nda", &state), 15);
  CU_ASSERT_FALSE (state.done);
  CU_ASSERT_EQUAL (scan ("id: 2\ndata: b\n", &state), 0);
  CU_ASSERT_FALSE (state.done);
  CU_ASSERT_EQUAL (scan ("id: 2\ndata: b\n\n", &state), 15);
  CU_ASSERT (state.done);
}

static const UnitTest tests[] = {
  { "complete_events", test_complete_events },
  { "id_gaps", test_id_gaps },
  { "end_inside_event", test_end_inside_event },
};

UNIT_MAIN ("event_stream", tests)
