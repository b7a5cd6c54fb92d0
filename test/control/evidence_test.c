#include "support/routed_fleet.h"
#include "support/unit.h"
#include "tarragontrack/board/backend.h"
#include "tarragontrack/board/board.h"
#include "tarragontrack/board/error_defs.h"
#include "tarragontrack/control/evidence.h"
#include <string.h>

/// Time within which a change must reach all daemons: the fixture's leaving_ms, 2 s.
#define CHANGE_LIMIT_MS INT64_C (2000)
#define START_MS                                                                                   \
  INT64_C (3000) ///< after it, every daemon knows the others and each domain has its reader
#define SETTLE_MS INT64_C (3000) ///< the fixture's settle_ms
#define REPORT_MS INT64_C (1000) ///< the fixture's report_ms
#define DAEMONS 9
#define DOMAINS 3

static RoutedFleet fleet;

static void
open_fleet (void)
{
  routed_fleet_open (&fleet, DAEMONS, DOMAINS);
  routed_fleet_advance (&fleet, START_MS);
  for (unsigned domain = 0; domain < DOMAINS; domain++)
    UNIT_REQUIRE (routed_fleet_reader (&fleet, domain) >= 0);
}

static bool
is_reader (unsigned index)
{
  return routed_fleet_reader (&fleet, index % DOMAINS) == (int) index;
}

static void
set_store (StoreMode mode)
{
  for (unsigned i = 0; i < fleet.count; i++)
    fleet.daemons[i].store = mode;
}

static TtBackendState
state_at (unsigned index, const char *name)
{
  const TtBackendServer *backend
      = tt_backend_find (fleet.daemons[index].routed.board, tt_hash_string (name));

  return backend != NULL ? backend->roster.state : TT_BACKEND_GONE;
}

/// Number of daemons at which a backend server is in a state.
static unsigned
count_in_state (const char *name, TtBackendState state)
{
  unsigned count = 0;

  for (unsigned i = 0; i < fleet.count; i++)
    count += state_at (i, name) == state;
  return count;
}

/// Expects a state of a backend server, and the newest configuration, everywhere within the time
/// for a change.
static void
expect_in_time (const char *name, TtBackendState state)
{
  CU_ASSERT (routed_fleet_settle (&fleet, name, state, CHANGE_LIMIT_MS) < CHANGE_LIMIT_MS);
}

/// Lets the store return from a copy after it was away for a moment.
static void
return_from_copy (const RoutedFleetCopy *copy, int64_t away_ms)
{
  set_store (STORE_CUTS);
  routed_fleet_advance (&fleet, away_ms);
  set_store (STORE_SERVES);
  routed_fleet_restore_store (&fleet, copy);
}

/// The store turns one daemon away for a moment, and a backend server removes its entry @removal_ms
/// after the beginning of that. Expects that all daemons drop it in time.
static void
remove_beside_local_outage (StoreMode mode, int64_t outage_ms, int64_t removal_ms)
{
  int reader;
  int64_t left_ms = outage_ms - removal_ms;

  open_fleet ();
  reader = routed_fleet_reader (&fleet, 0);
  if (removal_ms < 0)
    {
      routed_fleet_write_server (&fleet, "p1", false, true);
      routed_fleet_advance (&fleet, -removal_ms);
      left_ms = outage_ms;
    }
  fleet.daemons[reader].store = mode;
  if (removal_ms >= 0 && removal_ms < outage_ms)
    {
      routed_fleet_advance (&fleet, removal_ms);
      routed_fleet_write_server (&fleet, "p1", false, true);
      // The daemons that are served learn of it in time also if the outage goes on.
      for (int64_t ms = 0; ms < CHANGE_LIMIT_MS; ms += 10)
        {
          if (ms >= left_ms)
            fleet.daemons[reader].store = STORE_SERVES;
          routed_fleet_advance (&fleet, 10);
        }
    }
  else
    {
      routed_fleet_advance (&fleet, outage_ms);
      fleet.daemons[reader].store = STORE_SERVES;
      if (removal_ms >= 0)
        {
          routed_fleet_advance (&fleet, removal_ms - outage_ms);
          routed_fleet_write_server (&fleet, "p1", false, true);
        }
      routed_fleet_advance (&fleet, CHANGE_LIMIT_MS);
    }
  CU_ASSERT_EQUAL (count_in_state ("p1", TT_BACKEND_GONE), DAEMONS);
  routed_fleet_close (&fleet);
}

/// Guards against a reader that lost the store for a moment and makes the other daemons, which the
/// store served all the while, keep a backend server whose entry was removed (review case 10:
/// DRAIN).
static void
removal_beside_outage_of_reader (void)
{
  static const StoreMode modes[] = { STORE_REJECTS, STORE_CUTS, STORE_LOSES };

  for (unsigned i = 0; i < sizeof modes / sizeof modes[0]; i++)
    {
      remove_beside_local_outage (modes[i], 150, 400); // after
      remove_beside_local_outage (modes[i], 150, 160); // just after
      remove_beside_local_outage (modes[i], 150, 50);  // during
      remove_beside_local_outage (modes[i], 150, -20); // just before
      remove_beside_local_outage (modes[i], 1200, 2000);
      remove_beside_local_outage (modes[i], 1200, 600);
      remove_beside_local_outage (modes[i], 3000, 3500);
      remove_beside_local_outage (modes[i], 3000, 2000);
    }
}

/// Guards against taking the removal of an entry for a lapse after an outage of the store that was
/// too short for one, and against dropping what lapsed in a long one.
static void
lapse_takes_two_report_intervals (void)
{
  open_fleet ();
  set_store (STORE_REJECTS);
  routed_fleet_advance (&fleet, REPORT_MS / 2);
  set_store (STORE_SERVES);
  routed_fleet_advance (&fleet, 300);
  routed_fleet_write_server (&fleet, "p1", false, true);
  expect_in_time ("p1", TT_BACKEND_GONE);
  set_store (STORE_REJECTS);
  routed_fleet_advance (&fleet, 3 * REPORT_MS);
  routed_fleet_write_server (&fleet, "p2", false, true);
  set_store (STORE_SERVES);
  routed_fleet_advance (&fleet, 1500);
  CU_ASSERT_EQUAL (count_in_state ("p2", TT_BACKEND_LIVE), DAEMONS);
  // Registered again: it stays.
  routed_fleet_write_server (&fleet, "p2", false, false);
  routed_fleet_advance (&fleet, SETTLE_MS);
  CU_ASSERT_EQUAL (count_in_state ("p2", TT_BACKEND_LIVE), DAEMONS);
  routed_fleet_close (&fleet);
}

/// Guards against dropping all backend servers after a series of outages, each too short for a
/// lapse, between which their reports did not reach the store either.
static void
lapse_in_series_of_outages (void)
{
  open_fleet ();
  for (unsigned i = 0; i < 4; i++)
    {
      set_store (STORE_REJECTS);
      routed_fleet_advance (&fleet, REPORT_MS - 200);
      set_store (STORE_SERVES);
      routed_fleet_advance (&fleet, 300);
    }
  routed_fleet_write_server (&fleet, "p1", false, true);
  routed_fleet_advance (&fleet, 1500);
  CU_ASSERT_EQUAL (count_in_state ("p1", TT_BACKEND_LIVE), DAEMONS);
  routed_fleet_advance (&fleet, SETTLE_MS);
  CU_ASSERT_EQUAL (count_in_state ("p1", TT_BACKEND_GONE), DAEMONS);
  routed_fleet_close (&fleet);
}

/// Guards against a version that no daemon reads, because the store has returned from a copy and
/// gave its revision out again (review case 6: CONFIG).
static void
revision_is_given_out_again (void)
{
  RoutedFleetCopy copy;
  uint64_t revision;

  open_fleet ();
  copy = routed_fleet_copy_store (&fleet);
  routed_fleet_configure (&fleet);
  expect_in_time ("p1", TT_BACKEND_LIVE);
  revision = fleet.revision;
  return_from_copy (&copy, 120);
  fleet.config_version += 3; // the version that was lost
  routed_fleet_configure (&fleet);
  CU_ASSERT_EQUAL (fleet.revision, revision);
  expect_in_time ("p1", TT_BACKEND_LIVE);
  routed_fleet_close (&fleet);
}

/// Guards against ignoring the entry of a backend server because it had a higher revision before
/// the store returned from a copy (review case 9: DRAIN).
static void
entry_has_lower_revision_after_copy (void)
{
  RoutedFleetCopy copy;

  open_fleet ();
  copy = routed_fleet_copy_store (&fleet);
  for (unsigned i = 0; i < 3; i++)
    routed_fleet_write_server (&fleet, "p1", false, false);
  routed_fleet_advance (&fleet, CHANGE_LIMIT_MS);
  return_from_copy (&copy, 500);
  routed_fleet_write_server (&fleet, "p1", false, false);
  routed_fleet_advance (&fleet, 5000);
  routed_fleet_write_server (&fleet, "p1", true, false);
  expect_in_time ("p1", TT_BACKEND_LEAVING);
  routed_fleet_write_server (&fleet, "p1", false, true);
  expect_in_time ("p1", TT_BACKEND_GONE);
  routed_fleet_close (&fleet);
}

/// Guards against followers that learn of no change because the store is silent to their readers,
/// all of whose watches wait (review case 8, grown/raagmala-sync-grown trouble-1: CONFIG).
static void
store_is_silent_to_readers (void)
{
  bool silent[DAEMONS];

  open_fleet ();
  for (unsigned i = 0; i < DAEMONS; i++)
    silent[i] = is_reader (i);
  for (unsigned i = 0; i < DAEMONS; i++)
    if (silent[i])
      fleet.daemons[i].store = STORE_LOSES;
  routed_fleet_advance (&fleet, 500);
  routed_fleet_configure (&fleet);
  routed_fleet_write_server (&fleet, "p1", true, false);
  expect_in_time ("p1", TT_BACKEND_LEAVING);
  set_store (STORE_SERVES);
  routed_fleet_advance (&fleet, 5000);
  for (unsigned domain = 0; domain < DOMAINS; domain++)
    CU_ASSERT (routed_fleet_reader (&fleet, domain) >= 0);
  routed_fleet_close (&fleet);
}

/// Guards against watches that wait on after a silent outage in which their answers were lost: a
/// change in calm then reaches nobody (review case 7, soak seeds 2, 4 and 6: CONFIG).
static void
watches_are_lost_in_calm (void)
{
  open_fleet ();
  set_store (STORE_LOSES);
  routed_fleet_advance (&fleet, 1000);
  routed_fleet_configure (&fleet);
  routed_fleet_advance (&fleet, 2000);
  set_store (STORE_SERVES);
  routed_fleet_advance (&fleet, 4500);
  routed_fleet_configure (&fleet);
  expect_in_time ("p1", TT_BACKEND_LIVE);
  routed_fleet_close (&fleet);
}

/// Guards against a short silent outage that ends right before a write, so that no call has failed.
static void
silence_ends_before_write (void)
{
  for (int64_t silent_ms = 100; silent_ms <= 1300; silent_ms += 300)
    for (int64_t pause_ms = 0; pause_ms <= 400; pause_ms += 100)
      {
        open_fleet ();
        set_store (STORE_LOSES);
        routed_fleet_advance (&fleet, silent_ms / 2);
        routed_fleet_write_server (&fleet, "p2", false, false); // its answer to the watches is lost
        routed_fleet_configure (&fleet);
        routed_fleet_advance (&fleet, silent_ms / 2);
        set_store (STORE_SERVES);
        // The bounds hold again after the settling time.
        routed_fleet_advance (&fleet, SETTLE_MS + pause_ms);
        routed_fleet_configure (&fleet);
        routed_fleet_write_server (&fleet, "p1", true, false);
        expect_in_time ("p1", TT_BACKEND_LEAVING);
        routed_fleet_close (&fleet);
      }
}

/// Guards against a store that is silent to one group of daemons after the other: to followers, to
/// one failure domain, to each reader in turn. Those that it serves get each change in time.
static void
store_is_silent_by_turns (void)
{
  open_fleet ();
  for (unsigned turn = 0; turn < 6; turn++)
    {
      bool leaving = turn % 2 == 0;
      int64_t ms = 0;

      for (unsigned i = 0; i < DAEMONS; i++)
        {
          bool silent = turn < 2   ? !is_reader (i)
                        : turn < 4 ? i % DOMAINS == turn - 2
                                   : is_reader (i);

          fleet.daemons[i].store = silent ? STORE_LOSES : STORE_SERVES;
        }
      routed_fleet_advance (&fleet, 300);
      routed_fleet_configure (&fleet);
      routed_fleet_write_server (&fleet, "p1", leaving, false);
      ms = routed_fleet_settle (&fleet, "p1", leaving ? TT_BACKEND_LEAVING : TT_BACKEND_LIVE,
                                CHANGE_LIMIT_MS);
      CU_ASSERT (ms < CHANGE_LIMIT_MS);
      routed_fleet_advance (&fleet, 1500);
      set_store (STORE_SERVES);
      routed_fleet_advance (&fleet, SETTLE_MS);
    }
  routed_fleet_close (&fleet);
}

/// Guards against daemons that mistake the second copy's history for the first one's.
static void
two_copies_within_seconds (void)
{
  RoutedFleetCopy copy;

  for (int64_t pause_ms = 0; pause_ms <= 2000; pause_ms += 250)
    {
      open_fleet ();
      copy = routed_fleet_copy_store (&fleet);
      routed_fleet_configure (&fleet);
      routed_fleet_write_server (&fleet, "p1", true, false);
      expect_in_time ("p1", TT_BACKEND_LEAVING);
      return_from_copy (&copy, 200);
      routed_fleet_advance (&fleet, pause_ms);
      return_from_copy (&copy, 200);
      routed_fleet_advance (&fleet, 1000);
      fleet.config_version += 3;
      routed_fleet_configure (&fleet);
      routed_fleet_write_server (&fleet, "p2", true, false);
      expect_in_time ("p2", TT_BACKEND_LEAVING);
      CU_ASSERT_EQUAL (count_in_state ("p1", TT_BACKEND_LIVE), 0);
      routed_fleet_close (&fleet);
    }
}

/// Guards against a version in force that is replaced by the older one of a copy, also at a daemon
/// that starts before the operator writes again.
static void
version_never_goes_back (void)
{
  RoutedFleetCopy copy;
  uint64_t version;

  open_fleet ();
  copy = routed_fleet_copy_store (&fleet);
  routed_fleet_configure (&fleet);
  expect_in_time ("p1", TT_BACKEND_LIVE);
  version = fleet.config_version;
  return_from_copy (&copy, 120);
  routed_fleet_kill (&fleet, 4);
  routed_board_close (&fleet.daemons[4].routed);
  routed_fleet_start (&fleet, 4);
  for (unsigned step = 0; step < 300; step++)
    {
      routed_fleet_advance (&fleet, 10);
      for (unsigned i = 0; i < DAEMONS; i++)
        {
          const TtRouteTable *table = fleet.daemons[i].routed.board->routes.table;

          if (i != 4 || (int64_t) step * 10 >= CHANGE_LIMIT_MS)
            CU_ASSERT (table != NULL && table->version == version);
        }
    }
  routed_fleet_close (&fleet);
}

/// Guards against requests to a backend server that left in the seconds which the store lost: a
/// copy from before that lists it as live again.
static void
server_left_in_lost_seconds (void)
{
  RoutedFleetCopy copy;

  open_fleet ();
  copy = routed_fleet_copy_store (&fleet);
  routed_fleet_write_server (&fleet, "p1", true, false);
  routed_fleet_write_server (&fleet, "p2", false, true);
  expect_in_time ("p1", TT_BACKEND_LEAVING);
  expect_in_time ("p2", TT_BACKEND_GONE);
  return_from_copy (&copy, 120);
  for (unsigned i = 0; i < 20; i++)
    {
      routed_fleet_advance (&fleet, 100);
      CU_ASSERT_EQUAL (count_in_state ("p1", TT_BACKEND_LIVE), 0);
      CU_ASSERT_EQUAL (count_in_state ("p2", TT_BACKEND_LIVE), 0);
    }
  // Both write again what they wrote before.
  routed_fleet_write_server (&fleet, "p1", true, false);
  routed_fleet_write_server (&fleet, "p2", false, true);
  expect_in_time ("p1", TT_BACKEND_LEAVING);
  expect_in_time ("p2", TT_BACKEND_GONE);
  routed_fleet_close (&fleet);
}

/// Guards against a backend server that never gets requests again, because its entry had lapsed in
/// the seconds which the store lost, and writing it again changes nothing.
static void
live_server_is_used_again (void)
{
  RoutedFleetCopy copy;

  open_fleet ();
  copy = routed_fleet_copy_store (&fleet);
  routed_fleet_write_server (&fleet, "p1", false, true);
  expect_in_time ("p1", TT_BACKEND_GONE);
  return_from_copy (&copy, 120);
  routed_fleet_advance (&fleet, SETTLE_MS + 3 * REPORT_MS + CHANGE_LIMIT_MS);
  CU_ASSERT_EQUAL (count_in_state ("p1", TT_BACKEND_LIVE), DAEMONS);
  routed_fleet_close (&fleet);

  // A write in the new era shows at once that it is alive.
  open_fleet ();
  copy = routed_fleet_copy_store (&fleet);
  routed_fleet_write_server (&fleet, "p1", false, true);
  expect_in_time ("p1", TT_BACKEND_GONE);
  return_from_copy (&copy, 120);
  routed_fleet_advance (&fleet, 500);
  routed_fleet_write_server (&fleet, "p1", false, false);
  expect_in_time ("p1", TT_BACKEND_LIVE);
  routed_fleet_close (&fleet);
}

/// Guards against dropping a backend server that came in the lost seconds and registers again, and
/// against keeping one that does not.
static void
server_came_in_lost_seconds (void)
{
  RoutedFleetCopy copy;

  open_fleet ();
  copy = routed_fleet_copy_store (&fleet);
  routed_fleet_write_server (&fleet, "p5", false, false);
  routed_fleet_write_server (&fleet, "p6", false, false);
  expect_in_time ("p6", TT_BACKEND_LIVE);
  return_from_copy (&copy, 120);
  routed_fleet_advance (&fleet, 1500);
  CU_ASSERT_EQUAL (count_in_state ("p5", TT_BACKEND_LIVE), DAEMONS);
  CU_ASSERT_EQUAL (count_in_state ("p6", TT_BACKEND_LIVE), DAEMONS);
  routed_fleet_write_server (&fleet, "p5", false, false);
  routed_fleet_advance (&fleet, SETTLE_MS);
  CU_ASSERT_EQUAL (count_in_state ("p5", TT_BACKEND_LIVE), DAEMONS);
  CU_ASSERT_EQUAL (count_in_state ("p6", TT_BACKEND_GONE), DAEMONS);
  routed_fleet_close (&fleet);
}

/// Guards against a fleet that stays divided while some readers still have the history before the
/// copy: their connections are open, and the store is silent to them.
static void
readers_in_different_eras (void)
{
  RoutedFleetCopy copy;
  int reader;

  open_fleet ();
  copy = routed_fleet_copy_store (&fleet);
  routed_fleet_write_server (&fleet, "p3", false, false);
  routed_fleet_configure (&fleet);
  expect_in_time ("p3", TT_BACKEND_LIVE);
  reader = routed_fleet_reader (&fleet, 1);
  fleet.daemons[reader].store = STORE_LOSES;
  routed_fleet_advance (&fleet, 10);
  for (unsigned i = 0; i < ROUTED_FLEET_CALLS; i++)
    fleet.daemons[reader].calls[i].lost = true;
  return_from_copy (&copy, 200);
  fleet.daemons[reader].store = STORE_LOSES;
  fleet.config_version += 3;
  routed_fleet_configure (&fleet);
  routed_fleet_write_server (&fleet, "p1", true, false);
  expect_in_time ("p1", TT_BACKEND_LEAVING);
  set_store (STORE_SERVES);
  routed_fleet_advance (&fleet, 2000);
  routed_fleet_write_server (&fleet, "p2", true, false);
  expect_in_time ("p2", TT_BACKEND_LEAVING);
  routed_fleet_close (&fleet);
}

/// Guards against a reader without others in its failure domain that learns of the new era from
/// another daemon's copy, and goes on from its position in the old one.
static void
only_reader_adopts_copy_of_new_era (void)
{
  RoutedFleetCopy copy;

  routed_fleet_open (&fleet, DOMAINS, DOMAINS);
  routed_fleet_advance (&fleet, START_MS);
  copy = routed_fleet_copy_store (&fleet);
  for (unsigned i = 0; i < 6; i++)
    routed_fleet_write_server (&fleet, "p3", false, false);
  routed_fleet_configure (&fleet);
  expect_in_time ("p3", TT_BACKEND_LIVE);
  fleet.daemons[1].store = STORE_SILENT; // its watches wait on
  routed_fleet_advance (&fleet, 50);
  for (unsigned i = 0; i < ROUTED_FLEET_CALLS; i++)
    fleet.daemons[1].calls[i].lost = true;
  routed_fleet_restore_store (&fleet, &copy);
  fleet.config_version += 3;
  routed_fleet_configure (&fleet);
  routed_fleet_write_server (&fleet, "p3", false, false);
  routed_fleet_advance (&fleet, CHANGE_LIMIT_MS);
  CU_ASSERT_EQUAL (fleet.daemons[1].routed.board->registry.point.era, fleet.era);
  // A change that no other daemon can tell it of, at a revision below its old position.
  fleet.daemons[0].store = fleet.daemons[2].store = STORE_LOSES;
  routed_fleet_write_server (&fleet, "p1", true, false);
  CU_ASSERT (fleet.revision < copy.revision + 7);
  for (unsigned i = 0; i < 8; i++)
    routed_fleet_write_server (&fleet, "p2", false, false);
  fleet.daemons[1].store = STORE_SERVES;
  routed_fleet_advance (&fleet, CHANGE_LIMIT_MS);
  CU_ASSERT_EQUAL (state_at (1, "p1"), TT_BACKEND_LEAVING);
  routed_fleet_close (&fleet);
}

/// Guards against a daemon that starts while the store is away, returns from a copy and is away
/// again, and serves with what is old or not at all.
static void
start_during_return (void)
{
  RoutedFleetCopy copy;

  for (int64_t start_ms = 0; start_ms <= 900; start_ms += 300)
    {
      open_fleet ();
      copy = routed_fleet_copy_store (&fleet);
      routed_fleet_configure (&fleet);
      routed_fleet_write_server (&fleet, "p1", true, false);
      expect_in_time ("p1", TT_BACKEND_LEAVING);
      routed_fleet_kill (&fleet, 2);
      routed_board_close (&fleet.daemons[2].routed);
      set_store (STORE_CUTS);
      routed_fleet_advance (&fleet, start_ms);
      routed_fleet_start (&fleet, 2);
      fleet.daemons[2].store = STORE_CUTS;
      routed_fleet_advance (&fleet, 300);
      return_from_copy (&copy, 100);
      routed_fleet_advance (&fleet, 500);
      fleet.config_version += 3;
      routed_fleet_configure (&fleet);
      routed_fleet_write_server (&fleet, "p1", true, false);
      expect_in_time ("p1", TT_BACKEND_LEAVING);
      routed_fleet_close (&fleet);
    }
}

/// Load pattern: a whole fleet learns of a new era at one moment. Guards against lists and writes
/// of all daemons at once, and against entries of daemons that stay missing.
static void
new_era_costs_few_calls (void)
{
  RoutedFleetCopy copy;
  unsigned listed = 0;

  routed_fleet_open (&fleet, 48, DOMAINS);
  copy = routed_fleet_copy_store (&fleet); // without the daemons' entries
  routed_fleet_advance (&fleet, 10000);
  (void) routed_fleet_count_calls (&fleet);
  (void) routed_fleet_count_lists (&fleet);
  return_from_copy (&copy, 50);
  routed_fleet_advance (&fleet, 1000);
  CU_ASSERT (routed_fleet_count_lists (&fleet) <= DOMAINS * 2);
  // The readers' lists and watches, and the first of the writes, 10 of which begin in a second.
  CU_ASSERT (routed_fleet_count_calls (&fleet) <= DOMAINS * (2 + 4 + 4) + 2 * 2 * 10);
  routed_fleet_advance (&fleet, 8000);
  for (unsigned i = 0; i < 48; i++)
    listed += fleet.daemons[i].listed;
  CU_ASSERT_EQUAL (listed, 48);
  CU_ASSERT_EQUAL (routed_fleet_count_lists (&fleet), 0);
  routed_fleet_close (&fleet);
}

/// Store calls of a fleet of the given size in 20 s without changes.
static unsigned
count_calm_calls (unsigned count)
{
  unsigned calls;

  routed_fleet_open (&fleet, count, DOMAINS);
  routed_fleet_advance (&fleet, 10000);
  (void) routed_fleet_count_calls (&fleet);
  routed_fleet_advance (&fleet, 20000);
  calls = routed_fleet_count_calls (&fleet);
  routed_fleet_close (&fleet);
  return calls;
}

/// Load pattern: a calm fleet. Guards against confirmations by every daemon, or by every reader.
static void
calm_cost_is_flat (void)
{
  // One reader confirms the copies of all, every third of the time for a change. Two watches of
  // each reader end.
  unsigned limit = (unsigned) (20000 / (CHANGE_LIMIT_MS / 3)) + DOMAINS * 2 * 2 + 1;

  CU_ASSERT (count_calm_calls (6) <= limit);
  CU_ASSERT (count_calm_calls (48) <= limit);
}

/// Guards against an order of points that depends on revisions of different eras.
static void
eras_count_first (void)
{
  CU_ASSERT (tt_evidence_compare ((TtStorePoint){ 1, 90 }, (TtStorePoint){ 2, 10 }) < 0);
  CU_ASSERT (tt_evidence_compare ((TtStorePoint){ 2, 10 }, (TtStorePoint){ 1, 90 }) > 0);
  CU_ASSERT (tt_evidence_compare ((TtStorePoint){ 2, 10 }, (TtStorePoint){ 2, 11 }) < 0);
  CU_ASSERT (tt_evidence_compare ((TtStorePoint){ 2, 10 }, (TtStorePoint){ 2, 10 }) == 0);
}

static const UnitTest tests[] = {
  { "eras_count_first", eras_count_first },
  { "removal_beside_outage_of_reader", removal_beside_outage_of_reader },
  { "lapse_takes_two_report_intervals", lapse_takes_two_report_intervals },
  { "lapse_in_series_of_outages", lapse_in_series_of_outages },
  { "revision_is_given_out_again", revision_is_given_out_again },
  { "entry_has_lower_revision_after_copy", entry_has_lower_revision_after_copy },
  { "store_is_silent_to_readers", store_is_silent_to_readers },
  { "watches_are_lost_in_calm", watches_are_lost_in_calm },
  { "silence_ends_before_write", silence_ends_before_write },
  { "store_is_silent_by_turns", store_is_silent_by_turns },
  { "two_copies_within_seconds", two_copies_within_seconds },
  { "version_never_goes_back", version_never_goes_back },
  { "server_left_in_lost_seconds", server_left_in_lost_seconds },
  { "live_server_is_used_again", live_server_is_used_again },
  { "server_came_in_lost_seconds", server_came_in_lost_seconds },
  { "readers_in_different_eras", readers_in_different_eras },
  { "only_reader_adopts_copy_of_new_era", only_reader_adopts_copy_of_new_era },
  { "start_during_return", start_during_return },
  { "new_era_costs_few_calls", new_era_costs_few_calls },
  { "calm_cost_is_flat", calm_cost_is_flat },
};

UNIT_MAIN ("evidence", tests)
