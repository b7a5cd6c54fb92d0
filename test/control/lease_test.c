#include "support/sim.h"
#include "support/unit.h"
#include "support/world.h"
#include "tarragontrack/board/hash.h"
#include "tarragontrack/control/lease.h"
#include <stdio.h>
#include <string.h>

#define KEY "leases/acceptor"

/// Two daemons of two failure domains, which both want the role "acceptor".
static Sim *
start_pair (uint64_t seed)
{
  Sim *sim = sim_new (seed);

  (void) sim_apply (sim, "demo", TT_DETACHED_WAIT, true);
  (void) sim_add (sim, "router-a", "alpha");
  (void) sim_add (sim, "router-b", "beta");
  sim_run (sim, sim->now_us + 10 * TT_SECOND_US);
  return sim;
}

static bool
holds (const Sim *sim, unsigned node)
{
  const SimNode *at = &sim->nodes[node];

  return at->board != NULL && sim->now_us >= at->paused_until_us
         && tt_lease_held (tt_lease_find (at->board, "acceptor"), sim->now_us);
}

static uint64_t
fencing (Sim *sim)
{
  return sim_object (sim, KEY)->object.lease.fencing;
}

/// Runs in small steps; counts the samples in which both daemons may act. RETURN the count.
static unsigned
run_and_count (Sim *sim, int64_t seconds)
{
  int64_t until_us = sim->now_us + seconds * TT_SECOND_US;
  unsigned both = 0;

  while (sim->now_us < until_us)
    {
      sim_run (sim, sim->now_us + 20 * TT_MILLISECOND_US);
      both += holds (sim, 0) && holds (sim, 1);
    }
  return both;
}

/// Guards against two daemons that acquire a free lease at the same time.
static void
one_holder (void)
{
  Sim *sim = start_pair (1);

  CU_ASSERT_EQUAL (holds (sim, 0) + holds (sim, 1), 1);
  CU_ASSERT_EQUAL (run_and_count (sim, 60), 0);
  CU_ASSERT_EQUAL (fencing (sim), 1);
  sim_free (sim);
}

/// Guards against a holder that acts after a pause longer than its lease, and against a successor
/// with the same fencing number.
static void
pause_beyond (void)
{
  Sim *sim = start_pair (2);
  unsigned holder = holds (sim, 0) ? 0 : 1;
  const TtLease *lease = tt_lease_find (sim->nodes[holder].board, "acceptor");

  sim->nodes[holder].paused_until_us = sim->now_us + 40 * TT_SECOND_US;
  sim_run (sim, sim->now_us + 39 * TT_SECOND_US);
  CU_ASSERT (holds (sim, 1 - holder));
  CU_ASSERT_EQUAL (fencing (sim), 2);
  // Its own record still says that it holds the lease; the present time says otherwise.
  CU_ASSERT (lease->held);
  CU_ASSERT_FALSE (tt_lease_held (lease, sim->now_us));
  CU_ASSERT_EQUAL (run_and_count (sim, 30), 0);
  sim_free (sim);
}

/// Guards against a renewal or an acquisition whose answer is lost: the holder must neither lose
/// its lease nor act without one, and no number is used twice.
static void
lost_answers (void)
{
  Sim *sim = start_pair (3);
  unsigned held = 0;

  sim->lost_answers = 0.5;
  CU_ASSERT_EQUAL (run_and_count (sim, 100), 0);
  for (unsigned i = 0; i < 100; i++)
    {
      sim_run (sim, sim->now_us + TT_SECOND_US / 2);
      held += holds (sim, 0) || holds (sim, 1);
    }
  CU_ASSERT (held > 90);
  sim_free (sim);
}

/// Guards against a daemon that restarts and takes its former holding for its own.
static void
restarted_holder (void)
{
  Sim *sim = start_pair (4);
  unsigned holder = holds (sim, 0) ? 0 : 1;
  int64_t stopped_us = sim->now_us;

  sim_stop (&sim->nodes[holder]);
  sim_stop (&sim->nodes[1 - holder]);
  sim_start (sim, &sim->nodes[holder]);
  while (!holds (sim, holder) && sim->now_us < stopped_us + 60 * TT_SECOND_US)
    sim_run (sim, sim->now_us + 50 * TT_MILLISECOND_US);
  CU_ASSERT (sim->now_us - stopped_us >= TT_LEASE_DURATION_US - TT_LEASE_MARGIN_US);
  CU_ASSERT_EQUAL (fencing (sim), 2);
  sim_free (sim);
}

/// Guards against a takeover while the holder renews, when the contender cannot read fresh values.
static void
partitioned_holder (void)
{
  Sim *sim = start_pair (5);
  unsigned holder = holds (sim, 0) ? 0 : 1;

  sim_isolate (sim, holder, true);
  CU_ASSERT_EQUAL (run_and_count (sim, 60), 0);
  CU_ASSERT (holds (sim, 1 - holder));
  CU_ASSERT_FALSE (holds (sim, holder));
  sim_isolate (sim, holder, false);
  CU_ASSERT_EQUAL (run_and_count (sim, 60), 0);
  CU_ASSERT_EQUAL (fencing (sim), 2);
  sim_free (sim);
}

/// Guards against a fencing number that falls when the store is restored to an older version.
static void
restored_store (void)
{
  Sim *sim = start_pair (6);
  unsigned holder = holds (sim, 0) ? 0 : 1;
  StoreItem *object;

  // Three changes of holder.
  for (unsigned i = 0; i < 3; i++)
    {
      sim->nodes[(holder + i) % 2].paused_until_us = sim->now_us + 35 * TT_SECOND_US;
      sim_run (sim, sim->now_us + 40 * TT_SECOND_US);
    }
  CU_ASSERT_EQUAL (fencing (sim), 4);
  object = sim_object (sim, KEY);
  object->object.lease.fencing = 1;
  object->object.lease.holder_id = 99;
  object->version = ++sim->store->last_version;
  sim_run (sim, sim->now_us + 60 * TT_SECOND_US);
  CU_ASSERT (fencing (sim) > 4);
  sim_free (sim);
}

/// Guards against a lease that blocks its role for the whole duration after an orderly shutdown.
static void
release_on_drain (void)
{
  Sim *sim = start_pair (7);
  unsigned holder = holds (sim, 0) ? 0 : 1;
  TtEvent drain = { .type = TT_EVENT_DRAIN };

  tt_board_step (sim->nodes[holder].board, &drain, sim->now_us);
  sim_run (sim, sim->now_us + 7 * TT_SECOND_US);
  CU_ASSERT (holds (sim, 1 - holder));
  CU_ASSERT_FALSE (holds (sim, holder));
  sim_free (sim);
}

static const UnitTest tests[] = {
  { "one daemon of two holds the lease", one_holder },
  { "a holder paused beyond its lease does not act", pause_beyond },
  { "lost answers cost neither the lease nor its safety", lost_answers },
  { "a restarted holder waits as any other daemon", restarted_holder },
  { "a partitioned holder stops before the next one begins", partitioned_holder },
  { "fencing numbers rise over a restored store", restored_store },
  { "a drained holder releases its lease", release_on_drain },
};

UNIT_MAIN ("lease", tests)
