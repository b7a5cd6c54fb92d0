#include "support/routed_fleet.h"
#include "support/unit.h"
#include "tarragontrack/board/backend.h"
#include <string.h>

/// Time within which a change must reach all daemons: the fixture's leaving_ms, 2 s.
#define CHANGE_LIMIT_MS 2000
#define START_MS 3000 ///< after it, every daemon knows the others and each domain has its reader
/// Shortest interval between two calls by which a reader confirms its copies: a third of the time
/// for a change. The next reader does so only if it does not hear of it.
#define CONFIRM_MS (CHANGE_LIMIT_MS / 3)

static RoutedFleet fleet;

static void
open_fleet (unsigned count, unsigned domains)
{
  routed_fleet_open (&fleet, count, domains);
  routed_fleet_advance (&fleet, START_MS);
  for (unsigned domain = 0; domain < domains; domain++)
    CU_ASSERT (routed_fleet_reader (&fleet, domain) >= 0);
  (void) routed_fleet_count_calls (&fleet);
}

/// Writes a new configuration and a new state of "p1", and expects both to reach all daemons in
/// time.
static void
change_and_settle (bool leaving)
{
  routed_fleet_configure (&fleet);
  routed_fleet_write_server (&fleet, "p1", leaving, false);
  CU_ASSERT (routed_fleet_settle (&fleet, "p1", leaving ? TT_BACKEND_LEAVING : TT_BACKEND_LIVE,
                                  CHANGE_LIMIT_MS)
             < CHANGE_LIMIT_MS);
}

/// Load pattern: many changes before many daemons. Guards against calls of every daemon for every
/// change, and against followers that learn of a change too late.
static void
changes_are_read_once_per_domain (void)
{
  int64_t start_us;

  open_fleet (24, 3);
  start_us = fleet.now_us;
  for (unsigned i = 0; i < 10; i++)
    {
      change_and_settle (i % 2 == 0);
      routed_fleet_advance (&fleet, 1000);
    }
  // Each of the 3 readers repeats its watch for each of the 20 changes. After the 10 changes of
  // backend servers, which it gathers, a call that returns at once precedes the watch.
  // A change makes each of them confirm the copy of the other kind, at most every CONFIRM_MS.
  CU_ASSERT (routed_fleet_count_calls (&fleet)
             <= 3 * (20 + 10) + 3 * (unsigned) ((fleet.now_us - start_us) / 1000 / CONFIRM_MS));
  routed_fleet_close (&fleet);
}

/// Guards against a start of the fleet after which a daemon does not know another one: each writes
/// its entry after it has listed the others.
static void
daemons_that_start_together_meet (void)
{
  open_fleet (12, 3);
  for (unsigned i = 0; i < 12; i++)
    CU_ASSERT_EQUAL (fleet.daemons[i].routed.board->fleet.alive_count, 11);
  routed_fleet_close (&fleet);
}

/// Load pattern: a whole fleet starts at one moment. Guards against daemons that all read the store
/// until they hear from each other.
static void
start_costs_few_calls (void)
{
  routed_fleet_open (&fleet, 24, 3);
  routed_fleet_advance (&fleet, START_MS);
  // Each daemon lists three kinds, writes its entry and lists the daemons again; a reader lists two
  // kinds again and watches them, backend servers after a call that returns at once. Until they
  // have heard from each other, each reader confirms both copies.
  CU_ASSERT (routed_fleet_count_calls (&fleet) <= 24 * 5 + 3 * 5 + 3 * 2 * START_MS / CONFIRM_MS);
  routed_fleet_close (&fleet);
}

/// Brings about a fault of the reader directly before a change, and expects the change in time.
static void
change_after_fault (void (*inject) (RoutedFleetDaemon *reader), bool replaced)
{
  int reader;

  open_fleet (12, 2);
  reader = routed_fleet_reader (&fleet, 0);
  UNIT_REQUIRE (reader >= 0);
  inject (&fleet.daemons[reader]);
  change_and_settle (true);
  routed_fleet_advance (&fleet, 3000);
  CU_ASSERT (routed_fleet_reader (&fleet, 0) >= 0);
  CU_ASSERT_EQUAL (routed_fleet_reader (&fleet, 0) != reader, replaced);
  routed_fleet_close (&fleet);
}

static void
kill_reader (RoutedFleetDaemon *reader)
{
  reader->running = false;
}

static void
freeze_reader (RoutedFleetDaemon *reader)
{
  reader->frozen = true;
}

static void
reject_reader (RoutedFleetDaemon *reader)
{
  reader->store = STORE_REJECTS; // watches that wait are cut off, too
}

/// The store does not answer the reader any more, but its connections stay open.
static void
silence_reader (RoutedFleetDaemon *reader)
{
  reader->store = STORE_SILENT;
}

static void
shut_down_reader (RoutedFleetDaemon *reader)
{
  const TtEvent event = { .type = TT_EVENT_DRAIN };

  routed_board_step (&reader->routed, 0, &event);
}

/// Guards against followers that miss a change because their reader was killed, suspended, rejected
/// by the store, or shut down, or because its watches deliver nothing any more
/// (raagmala-sync-large, trouble-1: DRAIN).
static void
reader_fails (void)
{
  change_after_fault (kill_reader, true);
  change_after_fault (freeze_reader, true);
  change_after_fault (reject_reader, true);
  change_after_fault (silence_reader, true);
  change_after_fault (shut_down_reader, true);
}

/// Guards against a reader that goes on, after its host was suspended, with a copy that has become
/// old, and makes the reader that replaced it stop.
static void
suspended_reader_returns (void)
{
  int reader;

  open_fleet (12, 2);
  reader = routed_fleet_reader (&fleet, 0);
  UNIT_REQUIRE (reader >= 0);
  fleet.daemons[reader].frozen = true;
  routed_fleet_advance (&fleet, 3000);
  // The connection on which its watches wait is lost meanwhile.
  routed_fleet_lose_calls (&fleet, (unsigned) reader);
  fleet.daemons[reader].frozen = false;
  for (unsigned i = 0; i < 8; i++)
    {
      change_and_settle (i % 2 == 0);
    }
  routed_fleet_advance (&fleet, 3000);
  CU_ASSERT (routed_fleet_reader (&fleet, 0) >= 0);
  routed_fleet_close (&fleet);
}

/// Guards against a fleet that does not return to one reader a failure domain after an outage of
/// the store in which every daemon tried to read, and against changes that are late after it.
static void
store_is_away (void)
{
  open_fleet (12, 2);
  for (unsigned i = 0; i < 12; i++)
    reject_reader (&fleet.daemons[i]);
  routed_fleet_advance (&fleet, 5000);
  routed_fleet_configure (&fleet);
  routed_fleet_write_server (&fleet, "p1", true, false);
  for (unsigned i = 0; i < 12; i++)
    fleet.daemons[i].store = STORE_SERVES;
  CU_ASSERT (routed_fleet_settle (&fleet, "p1", TT_BACKEND_LEAVING, CHANGE_LIMIT_MS)
             < CHANGE_LIMIT_MS);
  routed_fleet_advance (&fleet, 5000);
  CU_ASSERT (routed_fleet_reader (&fleet, 0) >= 0 && routed_fleet_reader (&fleet, 1) >= 0);
  routed_fleet_close (&fleet);
}

/// Guards against daemons that drop backend servers whose entries lapsed while the store was away.
static void
lapsed_entries_are_kept (void)
{
  const TtBackendServer *backend;

  open_fleet (6, 1);
  for (unsigned i = 0; i < 6; i++)
    reject_reader (&fleet.daemons[i]);
  routed_fleet_advance (&fleet, 2500); // longer than two report intervals
  routed_fleet_write_server (&fleet, "p1", false, true);
  for (unsigned i = 0; i < 6; i++)
    fleet.daemons[i].store = STORE_SERVES;
  routed_fleet_advance (&fleet, 1500);
  for (unsigned i = 0; i < 6; i++)
    {
      backend = tt_backend_find (fleet.daemons[i].routed.board, tt_hash_string ("p1"));
      CU_ASSERT (backend != NULL && backend->roster.state == TT_BACKEND_LIVE);
    }
  // Still missing after the settling time of 3 s: the backend server is gone, for all daemons.
  CU_ASSERT (routed_fleet_settle (&fleet, "p1", TT_BACKEND_GONE, 3000) < 3000);
  routed_fleet_close (&fleet);
}

/// Guards against followers that never get a change because its copies do not reach them, for
/// example because they are too large for a message (CONFIG).
static void
copies_do_not_arrive (void)
{
  open_fleet (12, 2);
  fleet.loses_copies = true;
  change_and_settle (true);
  (void) routed_fleet_count_calls (&fleet);
  (void) routed_fleet_count_lists (&fleet);
  routed_fleet_advance (&fleet, 5000);
  // Nobody lists what it knows; one reader confirms its copies.
  CU_ASSERT (routed_fleet_count_calls (&fleet) <= 2 + 5000 / CONFIRM_MS);
  CU_ASSERT (routed_fleet_count_lists (&fleet) <= 2);
  routed_fleet_close (&fleet);
}

/// Removes an entry @removal_ms after a change of another one, with @cuts cuts of the readers'
/// watches from @cut_ms on. RETURN ms until all daemons stop to use the backend server.
static int64_t
remove_beside_cuts (int64_t cut_ms, unsigned cuts, int64_t removal_ms)
{
  open_fleet (6, 2);
  routed_fleet_write_server (&fleet, "p2", true, false);
  for (int64_t ms = 0; ms <= removal_ms || cuts > 0; ms += 10)
    {
      if (ms == removal_ms)
        routed_fleet_write_server (&fleet, "p1", false, true);
      if (ms >= cut_ms && (ms - cut_ms) % 100 == 0 && cuts > 0)
        {
          for (unsigned i = 0; i < 6; i++)
            routed_fleet_cut_watches (&fleet, i);
          cuts--;
        }
      routed_fleet_advance (&fleet, 10);
    }
  return routed_fleet_settle (&fleet, "p1", TT_BACKEND_GONE, CHANGE_LIMIT_MS);
}

/// Guards against taking the cut of a waiting watch for an outage of the store, after which a
/// missing entry may have lapsed: requests then go on to a backend server that has left (DRAIN).
static void
cut_watch_is_no_outage (void)
{
  CU_ASSERT (remove_beside_cuts (900, 1, 920) < 1000);
  routed_fleet_close (&fleet);
  CU_ASSERT (remove_beside_cuts (750, 1, 770) < 1000);
  routed_fleet_close (&fleet);
  CU_ASSERT (remove_beside_cuts (900, 2, 1050) < 1000);
  routed_fleet_close (&fleet);
  CU_ASSERT (remove_beside_cuts (920, 1, 900) < 1000);
  routed_fleet_close (&fleet);
}

/// Guards against an outage that begins with the cut of a watch and is taken for a cut alone: the
/// entries of all backend servers lapse, and no request is served until they register again.
static void
cut_watch_begins_outage (void)
{
  const TtBackendServer *backend;

  open_fleet (6, 1);
  for (unsigned i = 0; i < 6; i++)
    fleet.daemons[i].store = STORE_CUTS;
  routed_fleet_advance (&fleet, 2500);
  routed_fleet_write_server (&fleet, "p1", false, true);
  routed_fleet_advance (&fleet, 1000);
  for (unsigned i = 0; i < 6; i++)
    fleet.daemons[i].store = STORE_SERVES;
  routed_fleet_advance (&fleet, 1000);
  for (unsigned i = 0; i < 6; i++)
    {
      backend = tt_backend_find (fleet.daemons[i].routed.board, tt_hash_string ("p1"));
      CU_ASSERT (backend != NULL && backend->roster.state == TT_BACKEND_LIVE);
    }
  routed_fleet_close (&fleet);
}

/// Guards against readers whose watches were lost without a sign, because they began in the last
/// moments of a silent outage of the store (raagmala-sync-grown, darkened-twice: DRAIN).
static void
watch_is_lost_in_outage (void)
{
  open_fleet (12, 2);
  routed_fleet_write_server (&fleet, "p2", true, false);
  routed_fleet_advance (&fleet, 100); // the readers gather changes before they watch again
  for (unsigned i = 0; i < 12; i++)
    fleet.daemons[i].store = STORE_FORGETS;
  routed_fleet_advance (&fleet, 1500);
  for (unsigned i = 0; i < 12; i++)
    fleet.daemons[i].store = STORE_SERVES;
  routed_fleet_advance (&fleet, 3000);
  change_and_settle (true);
  routed_fleet_close (&fleet);
}

/// Guards against a daemon that starts into a running fleet and serves with an old copy, or makes
/// the reader stop.
static void
daemon_is_restarted (void)
{
  int reader;

  open_fleet (12, 2);
  reader = routed_fleet_reader (&fleet, 0);
  UNIT_REQUIRE (reader >= 0);
  for (unsigned i = 0; i < 12; i += 2)
    {
      if ((int) i == reader)
        continue;
      routed_fleet_kill (&fleet, i);
      routed_fleet_advance (&fleet, 200);
      routed_fleet_configure (&fleet);
      routed_board_close (&fleet.daemons[i].routed);
      routed_fleet_start (&fleet, i);
      CU_ASSERT (routed_fleet_settle (&fleet, "p1", TT_BACKEND_LIVE, CHANGE_LIMIT_MS)
                 < CHANGE_LIMIT_MS);
    }
  routed_fleet_advance (&fleet, 2000);
  CU_ASSERT_EQUAL (routed_fleet_reader (&fleet, 0), reader);
  routed_fleet_close (&fleet);
}

/// Guards against a fleet without readers after most of its daemons were killed at the same moment.
static void
most_daemons_are_killed (void)
{
  open_fleet (24, 3);
  for (unsigned i = 0; i < 18; i++)
    routed_fleet_kill (&fleet, i);
  change_and_settle (true);
  routed_fleet_advance (&fleet, 5000);
  for (unsigned domain = 0; domain < 3; domain++)
    CU_ASSERT (routed_fleet_reader (&fleet, domain) >= 0);
  routed_fleet_close (&fleet);
}

static const UnitTest tests[] = {
  { "changes_are_read_once_per_domain", changes_are_read_once_per_domain },
  { "daemons_that_start_together_meet", daemons_that_start_together_meet },
  { "start_costs_few_calls", start_costs_few_calls },
  { "reader_fails", reader_fails },
  { "suspended_reader_returns", suspended_reader_returns },
  { "store_is_away", store_is_away },
  { "lapsed_entries_are_kept", lapsed_entries_are_kept },
  { "copies_do_not_arrive", copies_do_not_arrive },
  { "cut_watch_is_no_outage", cut_watch_is_no_outage },
  { "watch_is_lost_in_outage", watch_is_lost_in_outage },
  { "cut_watch_begins_outage", cut_watch_begins_outage },
  { "daemon_is_restarted", daemon_is_restarted },
  { "most_daemons_are_killed", most_daemons_are_killed },
};

UNIT_MAIN ("reader", tests)
