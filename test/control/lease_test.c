#include "support/sim.h"
#include "support/test_board.h"
#include "support/unit.h"
#include "tarragontrack/board/hash.h"
#include "tarragontrack/control/lease.h"
#include <stdio.h>
#include <string.h>

#define KEY "leases/acceptor"

/// Creates two daemons in two failure domains, both candidates for the role "acceptor".
static Sim *
start_pair (uint64_t seed)
{
  Sim *sim = sim_new (seed);

  (void) sim_stage_test_document (sim, "demo", TT_DETACHED_WAIT, true);
  (void) sim_add_daemon (sim, "router-a", "alpha");
  (void) sim_add_daemon (sim, "router-b", "beta");
  sim_run (sim, sim->now_us + 10 * TT_SECOND_US);
  return sim;
}

/// Creates such daemons before a store that states its era and gives versions out again. @before:
/// set to a copy of the store without the lease
static Sim *
start_pair_with_eras (uint64_t seed, Store **before)
{
  Sim *sim = sim_new (seed);

  sim->store->era = 1;
  sim->store->reuse_versions = true;
  (void) sim_stage_test_document (sim, "demo", TT_DETACHED_WAIT, true);
  *before = store_snapshot (sim->store);
  (void) sim_add_daemon (sim, "router-a", "alpha");
  (void) sim_add_daemon (sim, "router-b", "beta");
  return sim;
}

static bool
may_act (const Sim *sim, unsigned node)
{
  const SimNode *sim_node = &sim->nodes[node];

  return sim_node->board != NULL && sim->now_us >= sim_node->paused_until_us
         && tt_lease_held (tt_lease_find (sim_node->board, "acceptor"), sim->now_us);
}

static uint64_t
stored_token (Sim *sim)
{
  return sim_find_object (sim, KEY)->object.lease.fencing_token;
}

/// Runs in steps of 20 ms. RETURN the number of steps after which both daemons may act.
static unsigned
count_overlaps (Sim *sim, int64_t seconds)
{
  int64_t until_us = sim->now_us + seconds * TT_SECOND_US;
  unsigned overlaps = 0;

  while (sim->now_us < until_us)
    {
      sim_run (sim, sim->now_us + 20 * TT_MILLISECOND_US);
      overlaps += may_act (sim, 0) && may_act (sim, 1);
    }
  return overlaps;
}

/// Guards against two daemons that acquire a free lease at the same time.
static void
concurrent_acquire_has_one_holder (void)
{
  Sim *sim = start_pair (1);

  CU_ASSERT_EQUAL (may_act (sim, 0) + may_act (sim, 1), 1);
  CU_ASSERT_EQUAL (count_overlaps (sim, 60), 0);
  CU_ASSERT_EQUAL (stored_token (sim), 1);
  sim_free (sim);
}

/// Guards against a holder that acts after a pause longer than its lease, and against a successor
/// with the same fencing token.
static void
holder_paused_past_expiry_does_not_act (void)
{
  Sim *sim = start_pair (2);
  unsigned holder = may_act (sim, 0) ? 0 : 1;
  const TtLease *lease = tt_lease_find (sim->nodes[holder].board, "acceptor");

  sim->nodes[holder].paused_until_us = sim->now_us + 40 * TT_SECOND_US;
  sim_run (sim, sim->now_us + 39 * TT_SECOND_US);
  CU_ASSERT (may_act (sim, 1 - holder));
  CU_ASSERT_EQUAL (stored_token (sim), 2);
  // The holder's record still says that it holds the lease, but tt_lease_held() compares it with
  // the current time.
  CU_ASSERT (lease->held);
  CU_ASSERT_FALSE (tt_lease_held (lease, sim->now_us));
  CU_ASSERT_EQUAL (count_overlaps (sim, 30), 0);
  sim_free (sim);
}

/// Guards against a renewal or an acquisition whose response is lost: the holder must neither lose
/// its lease nor act without one, and no fencing token may be used twice.
static void
lost_responses_keep_one_holder (void)
{
  Sim *sim = start_pair (3);
  unsigned held_samples = 0;

  sim->response_loss = 0.5;
  CU_ASSERT_EQUAL (count_overlaps (sim, 100), 0);
  for (unsigned i = 0; i < 100; i++)
    {
      sim_run (sim, sim->now_us + TT_SECOND_US / 2);
      held_samples += may_act (sim, 0) || may_act (sim, 1);
    }
  CU_ASSERT (held_samples > 90);
  sim_free (sim);
}

/// Guards against a restarted daemon that treats the lease of its previous run as its own.
static void
restarted_holder_waits_for_expiry (void)
{
  Sim *sim = start_pair (4);
  unsigned holder = may_act (sim, 0) ? 0 : 1;
  int64_t stopped_us = sim->now_us;

  sim_kill_daemon (&sim->nodes[holder]);
  sim_kill_daemon (&sim->nodes[1 - holder]);
  sim_start_daemon (sim, &sim->nodes[holder]);
  while (!may_act (sim, holder) && sim->now_us < stopped_us + 60 * TT_SECOND_US)
    sim_run (sim, sim->now_us + 50 * TT_MILLISECOND_US);
  CU_ASSERT (sim->now_us - stopped_us >= TT_LEASE_DURATION_US - TT_LEASE_MARGIN_US);
  CU_ASSERT_EQUAL (stored_token (sim), 2);
  sim_free (sim);
}

/// Guards against two holders when the holder's failure domain is partitioned and another daemon
/// acquires the lease.
static void
partitioned_holder_stops_before_successor (void)
{
  Sim *sim = start_pair (5);
  unsigned holder = may_act (sim, 0) ? 0 : 1;

  sim_isolate_domain (sim, holder, true);
  CU_ASSERT_EQUAL (count_overlaps (sim, 60), 0);
  CU_ASSERT (may_act (sim, 1 - holder));
  CU_ASSERT_FALSE (may_act (sim, holder));
  sim_isolate_domain (sim, holder, false);
  CU_ASSERT_EQUAL (count_overlaps (sim, 60), 0);
  CU_ASSERT_EQUAL (stored_token (sim), 2);
  sim_free (sim);
}

/// Guards against a fencing token that decreases when the store is restored to an older version.
static void
tokens_increase_after_restore (void)
{
  Sim *sim = start_pair (6);
  unsigned holder = may_act (sim, 0) ? 0 : 1;
  StoreItem *object;

  // Three changes of holder.
  for (unsigned i = 0; i < 3; i++)
    {
      sim->nodes[(holder + i) % 2].paused_until_us = sim->now_us + 35 * TT_SECOND_US;
      sim_run (sim, sim->now_us + 40 * TT_SECOND_US);
    }
  CU_ASSERT_EQUAL (stored_token (sim), 4);
  object = sim_find_object (sim, KEY);
  object->object.lease.fencing_token = 1;
  object->object.lease.holder_id = 99;
  object->version = ++sim->store->last_version;
  sim_run (sim, sim->now_us + 60 * TT_SECOND_US);
  CU_ASSERT (stored_token (sim) > 4);
  sim_free (sim);
}

/// Guards against a second holder after the store has returned from a copy without the lease, or
/// with it in the hands of an earlier holder, while the present one has yet to learn of that, and
/// against a fencing token that is used again.
static void
store_returns_from_copy (void)
{
  for (uint64_t seed = 10; seed < 30; seed++)
    {
      Store *before;
      Sim *sim = start_pair_with_eras (seed, &before);
      uint64_t token;

      CU_ASSERT_EQUAL (count_overlaps (sim, 30), 0);
      UNIT_REQUIRE (may_act (sim, 0) + may_act (sim, 1) == 1);
      token = stored_token (sim);
      sim_restore_store (sim, before);
      CU_ASSERT_EQUAL (count_overlaps (sim, 30), 0);
      UNIT_REQUIRE (may_act (sim, 0) + may_act (sim, 1) == 1);
      CU_ASSERT (stored_token (sim) > token);

      // The holder is cut off while the store returns from the copy without its lease.
      token = stored_token (sim);
      sim_isolate_domain (sim, may_act (sim, 0) ? 0 : 1, true);
      sim_run (sim, sim->now_us + (int64_t) (seed % 4) * TT_SECOND_US);
      sim_restore_store (sim, before);
      CU_ASSERT_EQUAL (count_overlaps (sim, 20), 0);
      sim_isolate_domain (sim, 0, false);
      sim_isolate_domain (sim, 1, false);
      CU_ASSERT_EQUAL (count_overlaps (sim, 40), 0);
      CU_ASSERT (stored_token (sim) > token);
      store_free (before);
      sim_free (sim);
    }
}

/// Guards against a lease that blocks its role for the whole duration after an orderly shutdown.
static void
drained_holder_releases_lease (void)
{
  Sim *sim = start_pair (7);
  unsigned holder = may_act (sim, 0) ? 0 : 1;
  TtEvent drain = { .type = TT_EVENT_DRAIN };

  tt_board_step (sim->nodes[holder].board, &drain, sim->now_us);
  sim_run (sim, sim->now_us + 7 * TT_SECOND_US);
  CU_ASSERT (may_act (sim, 1 - holder));
  CU_ASSERT_FALSE (may_act (sim, holder));
  sim_free (sim);
}

static const UnitTest tests[] = {
  { "only one of two daemons acquires the lease", concurrent_acquire_has_one_holder },
  { "a holder paused past the expiry of its lease does not act",
    holder_paused_past_expiry_does_not_act },
  { "lost responses neither lose the lease nor allow two holders", lost_responses_keep_one_holder },
  { "a restarted holder waits until its former lease expires", restarted_holder_waits_for_expiry },
  { "a partitioned holder stops before its successor starts",
    partitioned_holder_stops_before_successor },
  { "fencing tokens increase after a store was restored", tokens_increase_after_restore },
  { "one holder when the store returns from a copy", store_returns_from_copy },
  { "a drained holder releases its lease", drained_holder_releases_lease },
};

UNIT_MAIN ("lease", tests)
