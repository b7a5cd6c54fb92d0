#include "support/unit.h"
#include "support/world.h"
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
} Town;

/// Runs ticks; the platform answers each with the present list.
static void
run_town (Town *town, int64_t seconds)
{
  TtEvent tick = { .type = TT_EVENT_TICK };
  int64_t until_us = town->now_us + seconds * TT_SECOND_US;

  while (town->now_us < until_us)
    {
      town->now_us += 10 * TT_TICK_US;
      tt_board_step (town->board, &tick, town->now_us);
      world_platform (town->board, town->document, &town->list, town->now_us);
    }
}

static void
start_town (Town *town)
{
  town->board = world_board ("router-1", "alpha");
  town->document = calloc (1, sizeof *town->document);
  town->now_us = START_US;
  if (town->document == NULL)
    abort ();
  world_document (town->document);
  world_hosts (town->hosts, HOSTS, "chat", "alpha");
  town->list = (TtHostsObject){ .hosts = town->hosts, .count = HOSTS };
  run_town (town, 5);
}

static void
end_town (Town *town)
{
  free (town->document);
  tt_board_free (town->board);
}

static TtBackendServer *
backend_of (Town *town, unsigned host)
{
  return tt_backend_find (town->board, tt_hash_string (town->hosts[host].name));
}

static TtBackendState
state_of (Town *town, unsigned host)
{
  return backend_of (town, host)->roster.state;
}

/// Guards against new work for a leaving backend server because a stale list says it stays.
static void
leaving_is_sticky (void)
{
  Town town;

  start_town (&town);
  town.hosts[0].leaving = true;
  run_town (&town, 3);
  CU_ASSERT_EQUAL (state_of (&town, 0), TT_BACKEND_LEAVING);
  town.hosts[0].leaving = false;
  run_town (&town, 50);
  CU_ASSERT_EQUAL (state_of (&town, 0), TT_BACKEND_LEAVING);
  run_town (&town, 30);
  CU_ASSERT_EQUAL (state_of (&town, 0), TT_BACKEND_LIVE);
  end_town (&town);
}

/// Guards against a leaving server that is gone from one list and brought back by a stale one.
static void
gone_stays_leaving (void)
{
  Town town;

  start_town (&town);
  town.hosts[2].leaving = true;
  run_town (&town, 3);
  town.list.count = 2;
  run_town (&town, 15);
  CU_ASSERT_EQUAL (state_of (&town, 2), TT_BACKEND_GONE);
  town.list.count = 3;
  town.hosts[2].leaving = false;
  run_town (&town, 20);
  CU_ASSERT_EQUAL (state_of (&town, 2), TT_BACKEND_GONE);
  end_town (&town);
}

/// Guards against gossip about a leaving server that two daemons keep alive forever, and against
/// one that is not believed.
static void
leaving_by_gossip (void)
{
  Town town;

  start_town (&town);
  for (unsigned i = 0; i < 55; i++)
    {
      tt_roster_leaving (town.board, backend_of (&town, 1), false, town.now_us);
      CU_ASSERT_EQUAL (state_of (&town, 1), TT_BACKEND_LEAVING);
      run_town (&town, 1);
    }
  run_town (&town, 10);
  CU_ASSERT_NOT_EQUAL (state_of (&town, 1), TT_BACKEND_LEAVING);
  end_town (&town);
}

/// Guards against hosts that are dropped because one list lacks them.
static void
one_list_lacks (void)
{
  Town town;

  start_town (&town);
  town.list.count = 2;
  run_town (&town, 4);
  CU_ASSERT_EQUAL (state_of (&town, 2), TT_BACKEND_LIVE);
  town.list.count = 3;
  run_town (&town, 20);
  CU_ASSERT_EQUAL (state_of (&town, 2), TT_BACKEND_LIVE);
  CU_ASSERT_EQUAL (backend_of (&town, 2)->roster.flaps, 0);
  end_town (&town);
}

/// Guards against a list that lacks a backend server which still answers.
static void
connection_outranks (void)
{
  Town town;
  TtEvent report = { .type = TT_EVENT_LOAD_REPORT };

  start_town (&town);
  town.list.count = 2;
  report.load.backend_id = backend_of (&town, 2)->id;
  for (unsigned i = 0; i < 20; i++)
    {
      tt_board_step (town.board, &report, town.now_us);
      run_town (&town, 2);
      CU_ASSERT_EQUAL (state_of (&town, 2), TT_BACKEND_LIVE);
    }
  run_town (&town, 15);
  CU_ASSERT_EQUAL (state_of (&town, 2), TT_BACKEND_GONE);
  end_town (&town);
}

/// Guards against chats that move with every flap: the damping doubles.
static void
flapping (void)
{
  Town town;
  int64_t last_us = 0;

  start_town (&town);
  for (unsigned flap = 0; flap < 4; flap++)
    {
      int64_t start_us;

      town.list.count = 2;
      run_town (&town, 15);
      CU_ASSERT_EQUAL (state_of (&town, 2), TT_BACKEND_GONE);
      town.list.count = 3;
      while (state_of (&town, 2) == TT_BACKEND_GONE)
        run_town (&town, 1);
      start_us = town.now_us;
      CU_ASSERT_EQUAL (state_of (&town, 2), TT_BACKEND_DAMPED);
      while (state_of (&town, 2) == TT_BACKEND_DAMPED
             && town.now_us < start_us + 200 * TT_SECOND_US)
        run_town (&town, 1);
      CU_ASSERT_EQUAL (state_of (&town, 2), TT_BACKEND_LIVE);
      if (last_us != 0)
        CU_ASSERT (town.now_us - start_us > last_us * 3 / 2);
      last_us = town.now_us - start_us;
    }
  end_town (&town);
}

static const UnitTest tests[] = {
  { "a stale list does not undo leaving", leaving_is_sticky },
  { "a leaving server that is gone does not come back by a stale list", gone_stays_leaving },
  { "gossip of leaving counts once", leaving_by_gossip },
  { "one incomplete list removes nothing", one_list_lacks },
  { "a backend server that answers exists", connection_outranks },
  { "damping doubles with each flap", flapping },
};

UNIT_MAIN ("roster", tests)
