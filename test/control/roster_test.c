#include "support/test_board.h"
#include "support/unit.h"
#include "tarragontrack/board/backend.h"
#include "tarragontrack/board/hash.h"
#include "tarragontrack/control/roster.h"
#include <stdlib.h>

#define START_US (100 * TT_SECOND_US)
#define HOSTS 3

typedef struct
{
  TtBoard *board;
  TtHostEntry hosts[HOSTS];
  TtHostsObject list;
  TtDocument *document;
  int64_t now_us;
} Fixture;

/// Runs ticks; the simulated platform responds to each with the current list.
static void
run_fixture (Fixture *fixture, int64_t seconds)
{
  TtEvent tick = { .type = TT_EVENT_TICK };
  int64_t until_us = fixture->now_us + seconds * TT_SECOND_US;

  while (fixture->now_us < until_us)
    {
      fixture->now_us += 10 * TT_TICK_INTERVAL_US;
      tt_board_step (fixture->board, &tick, fixture->now_us);
      test_board_respond_to_platform_calls (fixture->board, fixture->document, &fixture->list,
                                            fixture->now_us);
    }
}

static void
open_fixture (Fixture *fixture)
{
  fixture->board = test_board_new ("router-1", "alpha");
  fixture->document = calloc (1, sizeof *fixture->document);
  fixture->now_us = START_US;
  if (fixture->document == NULL)
    abort ();
  test_board_fill_document (fixture->document);
  test_board_fill_hosts (fixture->hosts, HOSTS, "chat", "alpha");
  fixture->list = (TtHostsObject){ .hosts = fixture->hosts, .count = HOSTS };
  run_fixture (fixture, 5);
}

static void
close_fixture (Fixture *fixture)
{
  free (fixture->document);
  tt_board_free (fixture->board);
}

static TtBackendServer *
backend_of (Fixture *fixture, unsigned host)
{
  return tt_backend_find (fixture->board, tt_hash_string (fixture->hosts[host].name));
}

static TtBackendState
state_of (Fixture *fixture, unsigned host)
{
  return backend_of (fixture, host)->roster.state;
}

/// Guards against a stale list that undoes the leaving state of a backend server.
static void
hold_leaving_state (void)
{
  Fixture fixture;

  open_fixture (&fixture);
  fixture.hosts[0].leaving = true;
  run_fixture (&fixture, 3);
  CU_ASSERT_EQUAL (state_of (&fixture, 0), TT_BACKEND_LEAVING);
  fixture.hosts[0].leaving = false;
  run_fixture (&fixture, 50);
  CU_ASSERT_EQUAL (state_of (&fixture, 0), TT_BACKEND_LEAVING);
  run_fixture (&fixture, 30);
  CU_ASSERT_EQUAL (state_of (&fixture, 0), TT_BACKEND_LIVE);
  close_fixture (&fixture);
}

/// Guards against a stale list that restores a leaving backend server after a newer one removed it.
static void
ignore_stale_list_after_removal (void)
{
  Fixture fixture;

  open_fixture (&fixture);
  fixture.hosts[2].leaving = true;
  run_fixture (&fixture, 3);
  fixture.list.count = 2;
  run_fixture (&fixture, 15);
  CU_ASSERT_EQUAL (state_of (&fixture, 2), TT_BACKEND_GONE);
  fixture.list.count = 3;
  fixture.hosts[2].leaving = false;
  run_fixture (&fixture, 20);
  CU_ASSERT_EQUAL (state_of (&fixture, 2), TT_BACKEND_GONE);
  close_fixture (&fixture);
}

/// Guards against a leaving state that daemons renew by gossip forever, and against ignoring gossip
/// about a leaving backend server.
static void
limit_leaving_by_gossip (void)
{
  Fixture fixture;

  open_fixture (&fixture);
  for (unsigned i = 0; i < 55; i++)
    {
      tt_roster_mark_leaving (fixture.board, backend_of (&fixture, 1), false, fixture.now_us);
      CU_ASSERT_EQUAL (state_of (&fixture, 1), TT_BACKEND_LEAVING);
      run_fixture (&fixture, 1);
    }
  run_fixture (&fixture, 10);
  CU_ASSERT_NOT_EQUAL (state_of (&fixture, 1), TT_BACKEND_LEAVING);
  close_fixture (&fixture);
}

/// Guards against dropping hosts that are missing from a single list.
static void
tolerate_incomplete_list (void)
{
  Fixture fixture;

  open_fixture (&fixture);
  fixture.list.count = 2;
  run_fixture (&fixture, 4);
  CU_ASSERT_EQUAL (state_of (&fixture, 2), TT_BACKEND_LIVE);
  fixture.list.count = 3;
  run_fixture (&fixture, 20);
  CU_ASSERT_EQUAL (state_of (&fixture, 2), TT_BACKEND_LIVE);
  CU_ASSERT_EQUAL (backend_of (&fixture, 2)->roster.flaps, 0);
  close_fixture (&fixture);
}

/// Guards against dropping a backend server that is missing from the list but still reports its
/// load.
static void
keep_reporting_backend (void)
{
  Fixture fixture;
  TtEvent report = { .type = TT_EVENT_LOAD_REPORT };

  open_fixture (&fixture);
  fixture.list.count = 2;
  report.load.backend_id = backend_of (&fixture, 2)->id;
  for (unsigned i = 0; i < 20; i++)
    {
      tt_board_step (fixture.board, &report, fixture.now_us);
      run_fixture (&fixture, 2);
      CU_ASSERT_EQUAL (state_of (&fixture, 2), TT_BACKEND_LIVE);
    }
  run_fixture (&fixture, 15);
  CU_ASSERT_EQUAL (state_of (&fixture, 2), TT_BACKEND_GONE);
  close_fixture (&fixture);
}

/// Guards against moving chats with every flap: the damping time doubles.
static void
double_damping_on_flaps (void)
{
  Fixture fixture;
  int64_t last_us = 0;

  open_fixture (&fixture);
  for (unsigned flap = 0; flap < 4; flap++)
    {
      int64_t start_us;

      fixture.list.count = 2;
      run_fixture (&fixture, 15);
      CU_ASSERT_EQUAL (state_of (&fixture, 2), TT_BACKEND_GONE);
      fixture.list.count = 3;
      while (state_of (&fixture, 2) == TT_BACKEND_GONE)
        run_fixture (&fixture, 1);
      start_us = fixture.now_us;
      CU_ASSERT_EQUAL (state_of (&fixture, 2), TT_BACKEND_DAMPED);
      while (state_of (&fixture, 2) == TT_BACKEND_DAMPED
             && fixture.now_us < start_us + 200 * TT_SECOND_US)
        run_fixture (&fixture, 1);
      CU_ASSERT_EQUAL (state_of (&fixture, 2), TT_BACKEND_LIVE);
      if (last_us != 0)
        CU_ASSERT (fixture.now_us - start_us > last_us * 3 / 2);
      last_us = fixture.now_us - start_us;
    }
  close_fixture (&fixture);
}

static const UnitTest tests[] = {
  { "a stale list does not undo the leaving state", hold_leaving_state },
  { "a stale list does not restore a gone backend server", ignore_stale_list_after_removal },
  { "gossip does not extend the leaving state", limit_leaving_by_gossip },
  { "a single incomplete list removes no backend server", tolerate_incomplete_list },
  { "a backend server that reports its load is kept", keep_reporting_backend },
  { "the damping time doubles with each flap", double_damping_on_flaps },
};

UNIT_MAIN ("roster", tests)
