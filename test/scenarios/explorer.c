/// Injects random faults into a simulated fleet and checks properties P2 to P5 and P7 while it
/// runs. P6 is not exercised, because no daemon is drained. A run is reproducible from its seed.
#include "support/fleet.h"
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define ROUNDS_PER_SEED 60
#define ROUND_DURATION_US (TT_SECOND_US / 2)
#define SETTLE_US (40 * TT_SECOND_US)
#define FAULT_INTERVAL_ROUNDS 3 ///< mean number of rounds between two faults
#define CHAT_COUNT 400U

typedef struct
{
  Fleet *fleet;
  TtRng rng;
  uint32_t next_key;
  uint32_t deadline_ms;
  bool verbose;
} Explorer;

static uint32_t
random_below (Explorer *explorer, uint32_t bound)
{
  return (uint32_t) tt_rng_below (&explorer->rng, bound);
}

static void
print_fault (const Explorer *explorer, const char *fault_name, uint32_t index)
{
  if (explorer->verbose)
    (void) printf ("%9.3f s  %s %u\n", (double) explorer->fleet->sim->now_us / TT_SECOND_US,
                   fault_name, index);
}

/// Sends a few requests to random daemons. Some reuse an earlier idempotency key.
static void
send_requests (Explorer *explorer)
{
  for (uint32_t i = 0; i < 3 + random_below (explorer, 4); i++)
    {
      uint32_t daemon = random_below (explorer, explorer->fleet->config.daemons);
      const char *account = random_below (explorer, 3) == 0 ? "small" : "large";

      if (random_below (explorer, 3) > 0)
        (void) fleet_send_request (
            explorer->fleet, daemon, account, "chat", random_below (explorer, 2) == 0 ? "note" : "",
            random_below (explorer, 50), 0, 16 + random_below (explorer, 200),
            random_below (explorer, 300) == 0);
      else
        {
          uint32_t key = explorer->next_key > 1 && random_below (explorer, 2) == 0
                             ? 1 + random_below (explorer, explorer->next_key - 1)
                             : explorer->next_key++;

          // Idempotency keys are scoped by client account, so a retry must use the same account.
          (void) fleet_send_request (explorer->fleet, daemon, "small", "ledger", "grant", key,
                                     key % CHAT_COUNT, 0, false);
        }
    }
}

/// Injects a random fault, or removes one: heals a failure domain, makes the platform reachable
/// again, or restores a backend server.
static void
inject_fault (Explorer *explorer)
{
  Fleet *fleet = explorer->fleet;
  uint32_t daemon = random_below (explorer, fleet->config.daemons);
  uint32_t backend = random_below (explorer, fleet->backend_count);
  uint32_t domain = random_below (explorer, fleet->config.domains);
  uint32_t other_side = random_below (explorer, fleet->config.domains + 1);
  uint32_t fault = random_below (explorer, 12);

  static const char *const names[] = { "kill daemon",
                                       "restart daemon",
                                       "pause daemon",
                                       "partition domain",
                                       "heal domain",
                                       "platform down",
                                       "platform up",
                                       "lose responses",
                                       "crash backend",
                                       "restart backend",
                                       "toggle unresponsive backend",
                                       "toggle slow backend" };

  print_fault (explorer, names[fault], fault <= 2 ? daemon : (fault <= 4 ? domain : backend));
  other_side = other_side == fleet->config.domains ? SIM_PLATFORM : other_side;
  switch (fault)
    {
    case 0:
      fleet_kill_daemon (fleet, daemon);
      break;
    case 1:
      fleet_kill_daemon (fleet, daemon);
      fleet_start_daemon (fleet, daemon);
      break;
    case 2:
      if (fleet->sim->nodes[daemon].alive)
        fleet->sim->nodes[daemon].paused_until_us
            = fleet->sim->now_us + (int64_t) random_below (explorer, 15) * TT_SECOND_US;
      break;
    case 3:
      if (other_side != domain)
        sim_set_partition (fleet->sim, domain, other_side, true);
      break;
    case 4:
      for (uint32_t side = 0; side <= SIM_PLATFORM; side++)
        sim_set_partition (fleet->sim, domain, side, false);
      break;
    case 5:
    case 6:
      sim_set_platform_down (fleet->sim, fault == 5);
      break;
    case 7:
      fleet->sim->lose_next_responses = 1 + random_below (explorer, 3);
      break;
    case 8:
      fleet_crash_backend (fleet, backend);
      break;
    case 9:
      fleet_restart_backend (fleet, backend);
      break;
    case 10:
      fleet->backends[backend].unresponsive = !fleet->backends[backend].unresponsive;
      break;
    default:
      fleet->backends[backend].slowdown = fleet->backends[backend].slowdown > 1.0 ? 1.0 : 10.0;
      break;
    }
}

/// Removes all faults: heals partitions, restarts daemons and backend servers.
static void
remove_faults (Explorer *explorer)
{
  Fleet *fleet = explorer->fleet;

  sim_set_platform_down (fleet->sim, false);
  fleet->sim->lose_next_responses = 0;
  memset (fleet->sim->partitioned, 0, sizeof fleet->sim->partitioned);
  for (uint32_t i = 0; i < fleet->config.daemons; i++)
    if (!fleet->sim->nodes[i].alive)
      fleet_start_daemon (fleet, i);
  for (uint32_t i = 0; i < fleet->backend_count; i++)
    {
      fleet->backends[i].alive = true;
      fleet->backends[i].unresponsive = false;
      fleet->backends[i].slowdown = 1.0;
    }
}

/// Checks that, after all faults are removed, every request that was not lost has a reply and the
/// last staged change is accepted.
static void
check_final_state (Explorer *explorer, uint64_t staged_epoch)
{
  Fleet *fleet = explorer->fleet;
  uint32_t without_reply = 0;

  for (uint32_t i = 0; i < fleet->call_count; i++)
    if (!fleet->calls[i].replied && !fleet->calls[i].lost)
      without_reply++;
  if (without_reply > 0)
    fleet_report_violation (fleet, "P2: %u requests have no reply after all faults were removed",
                            without_reply);
  if (sim_accepted_epoch (fleet->sim) < staged_epoch)
    fleet_report_violation (
        fleet, "P7: epoch %llu is staged but only %llu is accepted after all faults were removed",
        (unsigned long long) staged_epoch, (unsigned long long) sim_accepted_epoch (fleet->sim));
}

/// Runs one seed and prints the violation, if any.
///
/// RETURN     true if no property was violated
static bool
run_seed (uint64_t seed, bool verbose)
{
  FleetConfig config = { .seed = seed,
                         .domains = 3,
                         .daemons = 5,
                         .engines = 9,
                         .service_workers = 3,
                         .batch_limit = 8,
                         .token_us = 5000 };
  Explorer explorer = { .next_key = 1, .deadline_ms = 10000, .verbose = verbose };
  uint64_t staged_epoch = 1;
  bool ok;

  explorer.fleet = fleet_new (&config);
  tt_rng_init (&explorer.rng, seed, 1);
  fleet_run (explorer.fleet, 10 * TT_SECOND_US);
  for (uint32_t round = 0; round < ROUNDS_PER_SEED && explorer.fleet->violation[0] == '\0'; round++)
    {
      send_requests (&explorer);
      if (random_below (&explorer, FAULT_INTERVAL_ROUNDS) == 0)
        inject_fault (&explorer);
      if (random_below (&explorer, 12) == 0)
        {
          uint64_t epoch = fleet_stage_document (explorer.fleet, ++explorer.deadline_ms);

          staged_epoch = epoch > staged_epoch ? epoch : staged_epoch;
        }
      fleet_run (explorer.fleet, ROUND_DURATION_US);
    }
  remove_faults (&explorer);
  fleet_run (explorer.fleet, SETTLE_US);
  check_final_state (&explorer, staged_epoch);
  ok = explorer.fleet->violation[0] == '\0';
  if (!ok)
    (void) printf ("seed %llu: %s\n", (unsigned long long) seed, explorer.fleet->violation);
  fleet_free (explorer.fleet);
  return ok;
}

int
main (int argc, char **argv)
{
  uint64_t first_seed = 1;
  uint64_t seeds = 20;
  uint64_t failed = 0;
  bool verbose = false;

  for (int i = 1; i < argc; i++)
    {
      if (strcmp (argv[i], "--first") == 0 && i + 1 < argc)
        first_seed = strtoull (argv[++i], NULL, 10);
      else if (strcmp (argv[i], "--seeds") == 0 && i + 1 < argc)
        seeds = strtoull (argv[++i], NULL, 10);
      else if (strcmp (argv[i], "--verbose") == 0)
        verbose = true;
      else
        {
          (void) fprintf (stderr, "usage: explorer [--first SEED] [--seeds COUNT] [--verbose]\n");
          return 2;
        }
    }
  for (uint64_t seed = first_seed; seed < first_seed + seeds; seed++)
    failed += run_seed (seed, verbose) ? 0 : 1;
  (void) printf ("explorer: %llu passed, %llu failed\n", (unsigned long long) (seeds - failed),
                 (unsigned long long) failed);
  return failed == 0 ? 0 : 1;
}
