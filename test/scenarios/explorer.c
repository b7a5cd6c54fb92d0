/// Composes faults at random over a simulated fleet and checks P2 to P7 after each tick. A seed
/// replays its case.
#include "support/fleet.h"
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define ROUNDS 60
#define ROUND_US (TT_SECOND_US / 2)
#define SETTLE_US (40 * TT_SECOND_US)
#define FAULT_LIMIT 3 ///< faults that are active at once
#define KEYS 400U

typedef struct
{
  Fleet *fleet;
  TtRng rng;
  uint32_t next_key;
  uint32_t deadline_ms;
  bool verbose;
} Explorer;

static uint32_t
pick (Explorer *it, uint32_t bound)
{
  return (uint32_t) tt_rng_below (&it->rng, bound);
}

static void
note (const Explorer *it, const char *what, uint32_t which)
{
  if (it->verbose)
    (void) printf ("%9.3f s  %s %u\n", (double) it->fleet->sim->now_us / TT_SECOND_US, what, which);
}

/// Sends a few requests; some repeat an earlier idempotency key at any daemon.
static void
send_requests (Explorer *it)
{
  for (uint32_t i = 0; i < 3 + pick (it, 4); i++)
    {
      uint32_t daemon = pick (it, it->fleet->config.daemons);
      const char *account = pick (it, 3) == 0 ? "small" : "large";

      if (pick (it, 3) > 0)
        (void) fleet_send (it->fleet, daemon, account, "chat", pick (it, 2) == 0 ? "note" : "",
                           pick (it, 50), 0, 16 + pick (it, 200), pick (it, 300) == 0);
      else
        {
          uint32_t key = it->next_key > 1 && pick (it, 2) == 0 ? 1 + pick (it, it->next_key - 1)
                                                               : it->next_key++;

          // The account belongs to the key's scope, so a repetition comes from the same account.
          (void) fleet_send (it->fleet, daemon, "small", "ledger", "grant", key, key % KEYS, 0,
                             false);
        }
    }
}

/// Injects one fault or heals all faults of one sort.
static void
inject_fault (Explorer *it)
{
  Fleet *fleet = it->fleet;
  uint32_t daemon = pick (it, fleet->config.daemons);
  uint32_t backend = pick (it, fleet->backend_count);
  uint32_t domain = pick (it, fleet->config.domains);
  uint32_t other = pick (it, fleet->config.domains + 1);
  uint32_t sort = pick (it, 12);

  static const char *const names[]
      = { "kill daemon",   "replace daemon",  "pause daemon",    "cut domain",
          "heal domain",   "platform down",   "platform up",     "lose answers",
          "crash backend", "restart backend", "silence backend", "slow backend" };

  note (it, names[sort], sort <= 2 ? daemon : (sort <= 4 ? domain : backend));
  other = other == fleet->config.domains ? SIM_PLATFORM : other;
  switch (sort)
    {
    case 0:
      fleet_kill (fleet, daemon);
      break;
    case 1:
      fleet_kill (fleet, daemon);
      fleet_start (fleet, daemon);
      break;
    case 2:
      if (fleet->sim->nodes[daemon].alive)
        fleet->sim->nodes[daemon].paused_until_us
            = fleet->sim->now_us + (int64_t) pick (it, 15) * TT_SECOND_US;
      break;
    case 3:
      if (other != domain)
        sim_cut (fleet->sim, domain, other, true);
      break;
    case 4:
      for (uint32_t side = 0; side <= SIM_PLATFORM; side++)
        sim_cut (fleet->sim, domain, side, false);
      break;
    case 5:
    case 6:
      sim_set_platform_down (fleet->sim, sort == 5);
      break;
    case 7:
      fleet->sim->lose_next = 1 + pick (it, 3);
      break;
    case 8:
      fleet_crash_backend (fleet, backend);
      break;
    case 9:
      fleet_restart_backend (fleet, backend);
      break;
    case 10:
      fleet->backends[backend].silent = !fleet->backends[backend].silent;
      break;
    default:
      fleet->backends[backend].slow = fleet->backends[backend].slow > 1.0 ? 1.0 : 10.0;
      break;
    }
}

/// Removes all faults.
static void
heal_all (Explorer *it)
{
  Fleet *fleet = it->fleet;

  sim_set_platform_down (fleet->sim, false);
  fleet->sim->lose_next = 0;
  memset (fleet->sim->cut, 0, sizeof fleet->sim->cut);
  for (uint32_t i = 0; i < fleet->config.daemons; i++)
    if (!fleet->sim->nodes[i].alive)
      fleet_start (fleet, i);
  for (uint32_t i = 0; i < fleet->backend_count; i++)
    {
      fleet->backends[i].alive = true;
      fleet->backends[i].silent = false;
      fleet->backends[i].slow = 1.0;
    }
}

/// After all faults are gone every request has an answer and the last change is accepted.
static void
check_end (Explorer *it, uint64_t staged)
{
  Fleet *fleet = it->fleet;
  uint32_t open = 0;

  for (uint32_t i = 0; i < fleet->call_count; i++)
    if (!fleet->calls[i].answered && !fleet->calls[i].lost)
      open++;
  if (open > 0)
    fleet_violate (fleet, "P2: %u requests have no answer after all faults are gone", open);
  if (sim_accepted (fleet->sim) < staged)
    fleet_violate (fleet, "P7: epoch %llu is staged, %llu accepted after all faults are gone",
                   (unsigned long long) staged, (unsigned long long) sim_accepted (fleet->sim));
}

/// Runs one seed.
///
/// RETURN     true if no property was broken
static bool
explore (uint64_t seed, bool verbose)
{
  FleetConfig config = { .seed = seed,
                         .domains = 3,
                         .daemons = 5,
                         .engines = 9,
                         .services = 3,
                         .batch_limit = 8,
                         .token_us = 5000 };
  Explorer it = { .next_key = 1, .deadline_ms = 10000, .verbose = verbose };
  uint64_t staged = 1;
  bool ok;

  it.fleet = fleet_new (&config);
  tt_rng_init (&it.rng, seed, 1);
  fleet_run (it.fleet, 10 * TT_SECOND_US);
  for (uint32_t round = 0; round < ROUNDS && it.fleet->violation[0] == '\0'; round++)
    {
      send_requests (&it);
      if (pick (&it, FAULT_LIMIT) == 0)
        inject_fault (&it);
      if (pick (&it, 12) == 0)
        {
          uint64_t epoch = fleet_apply (it.fleet, ++it.deadline_ms);

          staged = epoch > staged ? epoch : staged;
        }
      fleet_run (it.fleet, ROUND_US);
    }
  heal_all (&it);
  fleet_run (it.fleet, SETTLE_US);
  check_end (&it, staged);
  ok = it.fleet->violation[0] == '\0';
  if (!ok)
    (void) printf ("seed %llu: %s\n", (unsigned long long) seed, it.fleet->violation);
  fleet_free (it.fleet);
  return ok;
}

int
main (int argc, char **argv)
{
  uint64_t first = 1;
  uint64_t seeds = 20;
  uint64_t broken = 0;
  bool verbose = false;

  for (int i = 1; i < argc; i++)
    {
      if (strcmp (argv[i], "--first") == 0 && i + 1 < argc)
        first = strtoull (argv[++i], NULL, 10);
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
  for (uint64_t seed = first; seed < first + seeds; seed++)
    broken += explore (seed, verbose) ? 0 : 1;
  (void) printf ("explorer: %llu passed, %llu failed\n", (unsigned long long) (seeds - broken),
                 (unsigned long long) broken);
  return broken == 0 ? 0 : 1;
}
