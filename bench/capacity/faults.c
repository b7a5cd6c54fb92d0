/// Capacity measurements with faults: a partitioned region and the failure of a failure domain.
#include "fleet.h"
#include "parts.h"
#include <stdio.h>
#include <string.h>

enum
{
  DOMAINS = 11,
  PARTITIONED_DOMAINS = 4, ///< failure domains in the partitioned region
  CHANGES_PER_HOUR = 71    ///< 1,700 per day
};

#define HOUR_US (3600 * TT_SECOND_US)
#define WAIT_TIMEOUT_US (300 * TT_SECOND_US)

static bool
is_accepted (Sim *sim, uint64_t epoch)
{
  const StoreItem *object = sim_find_object (sim, "config/accepted");

  return object != NULL && object->object.accepted.epoch >= epoch;
}

/// Runs the simulation until the change is in force on all reachable daemons or, if @accepted,
/// until it is accepted.
///
/// RETURN     simulated seconds until then; -1 on timeout (WAIT_TIMEOUT_US)
static double
wait_for_change (Sim *sim, uint64_t epoch, bool accepted)
{
  int64_t start_us = sim->now_us;

  while (sim->now_us - start_us < WAIT_TIMEOUT_US)
    {
      if (accepted ? is_accepted (sim, epoch) : sim_epoch_in_force (sim, epoch))
        return (double) (sim->now_us - start_us) / 1e6;
      sim_run (sim, sim->now_us + 100 * TT_MILLISECOND_US);
    }
  return -1.0;
}

/// Number of entries in the audit trail.
static uint32_t
count_audit_entries (const Sim *sim)
{
  uint32_t count = 0;

  for (uint32_t i = 0; i < sim->store->count; i++)
    count += strncmp (sim->store->items[i].key, "audit/", 6) == 0;
  return count;
}

static Sim *
start_fleet (uint64_t seed)
{
  FleetSize size
      = { .seed = seed, .domains = DOMAINS, .daemons = 22, .engines = 44, .max_records = 1200 };
  Sim *sim = fleet_prepare (&size);

  fleet_add_daemons (sim, &size, size.daemons);
  sim_run (sim, sim->now_us + 60 * TT_SECOND_US);
  return sim;
}

/// Prints the mean rates of the daemons on one side of the partition since the snapshot @before.
static void
print_side_rates (const Sim *sim, const SimNode *before, bool partitioned, double seconds)
{
  double sent = 0.0;
  double calls = 0.0;
  uint32_t count = 0;

  for (uint32_t i = 0; i < sim->node_count; i++)
    {
      if (sim->partitioned[sim->nodes[i].domain][SIM_PLATFORM] != partitioned)
        continue;
      count++;
      sent += (double) (sim->nodes[i].sent_bytes - before[i].sent_bytes) / seconds;
      calls += (double) (sim->nodes[i].reads + sim->nodes[i].writes - before[i].reads
                         - before[i].writes)
               / seconds;
    }
  printf ("| %s: bytes sent a second, calls of the platform a second, one daemon | %.0f, %.2f |\n",
          partitioned ? "parted" : "others", sent / count, calls / count);
}

static void
print_partition (uint64_t seed)
{
  static SimNode before[SIM_MAX_NODES];
  Sim *sim = start_fleet (seed);
  uint64_t epoch;
  uint32_t audit_entries_before = count_audit_entries (sim);

  printf ("\n### A region parted for an hour\n\n11 failure domains of 2 daemons, 44 engines; 4 "
          "domains reach neither each other, nor the rest, nor the platform. \"detached\": "
          "\"wait\".\n\n| measure | value |\n|---|---|\n");
  for (uint32_t d = 0; d < PARTITIONED_DOMAINS; d++)
    sim_isolate_domain (sim, d, true);
  epoch = sim_stage_test_document (sim, "model-1", TT_DETACHED_WAIT, true);
  printf ("| change in force on all others (s) | %.1f |\n", wait_for_change (sim, epoch, false));
  memcpy (before, sim->nodes, sizeof before);
  for (uint32_t change = 1; change < CHANGES_PER_HOUR; change++)
    {
      char team[TT_NAME_MAX];

      (void) snprintf (team, sizeof team, "model-%u", change % FLEET_MODELS);
      sim_run (sim, sim->now_us + HOUR_US / CHANGES_PER_HOUR);
      epoch = sim_stage_test_document (sim, team, TT_DETACHED_WAIT, true);
    }
  sim_run (sim, sim->now_us + HOUR_US / CHANGES_PER_HOUR);
  print_side_rates (sim, before, true, 3600.0);
  print_side_rates (sim, before, false, 3600.0);
  printf ("| last change accepted after the hour | %s |\n",
          is_accepted (sim, epoch) ? "yes" : "no");
  for (uint32_t d = 0; d < PARTITIONED_DOMAINS; d++)
    sim_isolate_domain (sim, d, false);
  printf ("| after the end: in force on all daemons (s) | %.1f |\n",
          wait_for_change (sim, epoch, false));
  printf ("| then accepted (s) | %.1f |\n", wait_for_change (sim, epoch, true));
  printf ("| changes of the hour; entries of the audit trail for them | %d; %u |\n",
          CHANGES_PER_HOUR, count_audit_entries (sim) - audit_entries_before);
  sim_free (sim);
}

static void
print_domain_failure (uint64_t seed)
{
  Sim *sim = start_fleet (seed);
  int64_t stopped_us = sim->now_us;
  int64_t printed = 0;
  uint64_t epoch;

  printf ("\n### A failure domain fails\n\nThe same fleet; all daemons of one domain stop at once, "
          "and the host list names them for 60 s more.\n\n| measure | value |\n|---|---|\n");
  for (uint32_t i = 0; i < sim->node_count; i++)
    if (sim->nodes[i].domain == 0)
      sim_kill_daemon (&sim->nodes[i]);
  epoch = sim_stage_test_document (sim, "model-1", TT_DETACHED_WAIT, true);
  printf ("| change in force on all others (s) | %.1f |\n", wait_for_change (sim, epoch, false));
  sim_run (sim, stopped_us + 60 * TT_SECOND_US);
  printf ("| accepted while the list names them | %s |\n", is_accepted (sim, epoch) ? "yes" : "no");
  for (uint32_t i = 0; i < sim->store->host_count; i++)
    if (strcmp (sim->store->hosts[i].domain, "zone-0") == 0)
      sim->store->hosts[i].leaving = true;
  sim->store->hosts_version++;
  printf ("| after the list drops them: accepted (s) | %.1f |\n",
          wait_for_change (sim, epoch, true));
  for (uint32_t i = 0; i < sim->node_count && printed == 0; i++)
    if (sim->nodes[i].board != NULL)
      {
        uint32_t live = 0;

        TT_LIST_FOREACH (&sim->nodes[i].board->backends.all, it)
          live += TT_CONTAINER_OF (it, TtBackendServer, link)->roster.state == TT_BACKEND_LIVE;
        printf ("| engines that a daemon elsewhere still uses, of 44 | %u |\n", live);
        printed = 1;
      }
  sim_free (sim);
}

void
parts_print_faults (uint64_t seed)
{
  print_partition (seed);
  print_domain_failure (seed);
}
