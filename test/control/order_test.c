#include "support/sim.h"
#include "support/unit.h"
#include "tarragontrack/board/backend.h"
#include "tarragontrack/board/hash.h"
#include "tarragontrack/control/lease.h"
#include <stdio.h>
#include <string.h>

/// Creates two daemons in two failure domains, and three engines of one model in one of them.
static Sim *
start_fleet (uint64_t seed, bool fencing_supported)
{
  Sim *sim = sim_new (seed);

  (void) sim_stage_test_document (sim, "demo", TT_DETACHED_WAIT, true);
  sim_add_engines (sim, 3, "demo", "alpha");
  for (unsigned i = 0; i < sim->store->host_count; i++)
    sim->store->hosts[i].supports_fencing = fencing_supported;
  (void) sim_add_daemon (sim, "router-a", "alpha");
  (void) sim_add_daemon (sim, "router-b", "beta");
  sim_run (sim, sim->now_us + 10 * TT_SECOND_US);
  return sim;
}

/// Reports the load of the engines to both daemons. The first @serving engines report the role
/// "serve" and the others "standby", independently of the orders they got.
static void
report_load (Sim *sim, uint32_t running, unsigned serving)
{
  for (unsigned node = 0; node < sim->node_count; node++)
    for (unsigned i = 0; i < 3; i++)
      {
        char name[TT_NAME_MAX];
        TtEvent event = { .type = TT_EVENT_LOAD_REPORT };
        TtBackendServer *backend;

        (void) snprintf (name, sizeof name, "demo-alpha-%u", i);
        event.load.backend_id = tt_hash_string (name);
        backend = tt_backend_find (sim->nodes[node].board, event.load.backend_id);
        if (backend == NULL || sim->now_us < sim->nodes[node].paused_until_us)
          continue;
        event.load.running = running;
        backend->reported_running = running;
        (void) snprintf (event.load.role.model, TT_NAME_MAX, "demo");
        (void) snprintf (event.load.role.role, TT_NAME_MAX, "%s",
                         i < serving ? "serve" : "standby");
        tt_board_step (sim->nodes[node].board, &event, sim->now_us);
      }
}

/// Runs with one report of each engine per second.
static void
run_engines (Sim *sim, int64_t seconds, uint32_t running, unsigned serving)
{
  for (int64_t i = 0; i < seconds; i++)
    {
      report_load (sim, running, serving);
      sim_run (sim, sim->now_us + TT_SECOND_US);
    }
}

static unsigned
lease_holder (Sim *sim)
{
  return tt_lease_held (tt_lease_find (sim->nodes[0].board, "order-demo"), sim->now_us) ? 0 : 1;
}

/// Guards against a lost order: it is resent until the engine reports the wanted role, and not
/// after that.
static void
order_is_resent_until_reported (void)
{
  Sim *sim = start_fleet (1, true);
  uint64_t sent;

  run_engines (sim, 40, 32, 2);
  CU_ASSERT (sim->orders_sent >= 3);
  CU_ASSERT_STRING_EQUAL (sim->order_role, "serve");
  CU_ASSERT_PTR_NOT_NULL (sim_find_object (sim, "orders/demo"));
  run_engines (sim, 2, 20, 3);
  sent = sim->orders_sent;
  run_engines (sim, 30, 20, 3);
  CU_ASSERT_EQUAL (sim->orders_sent, sent);
  sim_free (sim);
}

/// Guards against orders of a holder that was paused past the expiry of its lease, and against a
/// successor that reuses its fencing token.
static void
no_order_with_stale_fencing_token (void)
{
  Sim *sim = start_fleet (2, true);
  unsigned holder;

  run_engines (sim, 15, 32, 2);
  CU_ASSERT_EQUAL (sim->order_fencing_token, 1);
  holder = lease_holder (sim);
  sim->nodes[holder].paused_until_us = sim->now_us + 60 * TT_SECOND_US;
  run_engines (sim, 59, 32, 2);
  CU_ASSERT_EQUAL (sim->order_fencing_token, 2);
  for (unsigned i = 0; i < 20; i++)
    {
      run_engines (sim, 1, 32, 2);
      CU_ASSERT_EQUAL (sim->order_fencing_token, 2);
    }
  sim_free (sim);
}

/// Guards against a late order of the former holder that an engine without fencing support executes
/// after the new holder's order: the new holder waits until no such order can arrive.
static void
order_without_fencing_is_delayed (void)
{
  Sim *sim = start_fleet (3, false);
  const TtLease *lease;

  run_engines (sim, 12, 32, 2);
  lease = tt_lease_find (sim->nodes[lease_holder (sim)].board, "order-demo");
  CU_ASSERT_PTR_NOT_NULL_FATAL (lease);
  if (lease == NULL)
    return;
  CU_ASSERT_EQUAL (sim->orders_sent, 0);
  run_engines (sim, 30, 32, 2);
  CU_ASSERT (sim->orders_sent > 0);
  CU_ASSERT (sim->order_us - lease->acquired_us >= 20 * TT_SECOND_US);
  sim_free (sim);
}

/// Guards against unloading the last copies of a model, and against unloading during a short drop
/// of demand.
static void
last_copy_stays_loaded (void)
{
  Sim *sim = start_fleet (4, true);

  run_engines (sim, 200, 0, 1);
  CU_ASSERT_EQUAL (sim->orders_sent, 0);
  run_engines (sim, 800, 0, 1);
  CU_ASSERT_EQUAL (sim->orders_sent, 0);
  sim_free (sim);
  sim = start_fleet (5, true);
  run_engines (sim, 250, 0, 3);
  CU_ASSERT_EQUAL (sim->orders_sent, 0);
  run_engines (sim, 120, 0, 3);
  CU_ASSERT_STRING_EQUAL (sim->order_role, "standby");
  sim_free (sim);
}

static const UnitTest tests[] = {
  { "an order is resent until its effect is reported", order_is_resent_until_reported },
  { "no order is sent after one with a higher fencing token", no_order_with_stale_fencing_token },
  { "engines without fencing support get orders only after a delay",
    order_without_fencing_is_delayed },
  { "the last copy stays loaded", last_copy_stays_loaded },
};

UNIT_MAIN ("order", tests)
