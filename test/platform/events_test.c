#include "support/unit.h"
#include "tarragontrack/platform/events.h"
#include <string.h>

static size_t
scan (const char *text, TtSseScan *state)
{
  return tt_events_scan (text, strlen (text), state);
}

/// Guards against part of an event that is relayed: another engine could not go on after it.
static void
whole_events (void)
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

/// Guards against pieces that are missing, come twice or belong to another run.
static void
gaps (void)
{
  TtSseScan state = { .last_event_id = 4 };

  CU_ASSERT_EQUAL (scan ("id: 5\ndata: a\n\nid: 7\ndata: b\n\n", &state), 15);
  CU_ASSERT (state.error && state.last_event_id == 5);
  state = (TtSseScan){ .last_event_id = 4 };
  CU_ASSERT_EQUAL (scan ("id: 4\ndata: a\n\n", &state), 0);
  CU_ASSERT (state.error);
}

static const UnitTest tests[] = {
  { "whole_events", whole_events },
  { "gaps", gaps },
};

UNIT_MAIN ("events", tests)
