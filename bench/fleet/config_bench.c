/// Time until a configuration change is in force, and control traffic, as functions of the fleet
/// size.
///
/// Usage: config_bench [PAGE [SEED [MAX_DAEMONS]]]
#include "support/sim.h"
#include "tarragontrack/board/backend.h"
#include "tarragontrack/board/hash.h"
#include <gsl/gsl_sort.h>
#include <gsl/gsl_statistics.h>
#include <stdio.h>
#include <stdlib.h>

#define CHANGES 20
#define STEADY_STATE_S 102
#define PARTITION_S 120
#define STEP_US (10 * TT_MILLISECOND_US)

typedef struct
{
  uint32_t daemons;
  uint32_t domains;
  double loss;
} FleetCase;

typedef struct
{
  double median_s;
  double p99_s;
  double max_s;
  double accepted_s; ///< time until a change is accepted, median
  double sent_bytes; ///< sent by one daemon per second, mean
  double max_bytes;  ///< sent and received per second by the busiest daemon
  double messages;   ///< sent by one daemon per second, mean
  double reads;      ///< platform reads of the fleet per second, watches included
  double writes;
  double watches;
  double rejoin_in_force_s; ///< from the end of the partition until the change is in force on all
                            ///< daemons
  double rejoin_accepted_s; ///< from the end of the partition until the change is accepted
} Result;

/// Makes one daemon of its failure domain the slot owner of each engine, as the `share` controller
/// would.
static void
assign_slot_owners (Sim *sim)
{
  for (uint32_t h = 0; h < sim->store->host_count; h++)
    {
      const TtHostEntry *host = &sim->store->hosts[h];
      uint64_t id = tt_hash_string (host->name);
      const SimNode *owner = NULL;
      double best = -1.0;

      for (uint32_t i = 0; i < sim->node_count && !host->entry_host; i++)
        {
          double score = tt_hash_rendezvous_score (id, tt_hash_string (sim->nodes[i].name), 1.0);

          if (tt_hash_string (sim->domains[sim->nodes[i].domain]) != tt_hash_string (host->domain)
              || score < best)
            continue;
          best = score;
          owner = &sim->nodes[i];
        }
      for (uint32_t i = 0; owner != NULL && i < sim->node_count; i++)
        {
          TtBackendServer *backend = tt_backend_find (sim->nodes[i].board, id);

          if (backend == NULL)
            continue;
          backend->share.owner_id = tt_hash_string (owner->name);
          backend->share.owner_since_us = &sim->nodes[i] == owner ? sim->now_us : 0;
        }
    }
}

static Sim *
start_fleet (const FleetCase *size, uint64_t seed)
{
  Sim *sim = sim_new (seed);
  char name[TT_NAME_MAX];
  char domain[TT_NAME_MAX];

  (void) sim_stage_test_document (sim, "demo", TT_DETACHED_REFUSE, true);
  for (uint32_t d = 0; d < size->domains; d++)
    {
      uint32_t engines = size->daemons * 880 / 360 / size->domains;

      (void) snprintf (domain, sizeof domain, "domain-%u", d);
      sim_add_engines (sim, engines > 0 ? engines : 1, "demo", domain);
    }
  for (uint32_t i = 0; i < size->daemons; i++)
    {
      (void) snprintf (name, sizeof name, "router-%u", i);
      (void) snprintf (domain, sizeof domain, "domain-%u", i % size->domains);
      (void) sim_add_daemon (sim, name, domain);
    }
  sim->message_loss = size->loss;
  sim_run (sim, sim->now_us + 60 * TT_SECOND_US);
  assign_slot_owners (sim);
  sim_run (sim, sim->now_us + 30 * TT_SECOND_US);
  return sim;
}

static double
seconds_since (const Sim *sim, int64_t start_us)
{
  return (double) (sim->now_us - start_us) / (double) TT_SECOND_US;
}

/// Stages changes and measures the time until each is in force on each daemon, and until it is
/// accepted.
static void
measure_changes (Sim *sim, Result *result)
{
  size_t count = (size_t) CHANGES * sim->node_count;
  double *samples = calloc (count, sizeof *samples);
  double acceptances[CHANGES];
  size_t sample_count = 0;

  if (samples == NULL)
    abort ();
  for (uint32_t c = 0; c < CHANGES; c++)
    {
      uint64_t epoch;
      int64_t start_us;
      bool accepted = false;
      bool in_force = false;

      sim_run (sim, sim->now_us + (int64_t) tt_rng_below (&sim->rng, 5 * TT_SECOND_US));
      start_us = sim->now_us;
      epoch
          = sim_stage_test_document (sim, c % 2 == 0 ? "demo" : "other", TT_DETACHED_REFUSE, true);
      for (uint32_t i = 0; i < sim->node_count; i++)
        samples[sample_count + i] = -1.0;
      while (!(accepted && in_force) && seconds_since (sim, start_us) < 120.0)
        {
          sim_run (sim, sim->now_us + STEP_US);
          in_force = true;
          for (uint32_t i = 0; i < sim->node_count; i++)
            if (samples[sample_count + i] < 0.0)
              {
                if (sim->nodes[i].board->team_config.epoch >= epoch)
                  samples[sample_count + i] = seconds_since (sim, start_us);
                else
                  in_force = false;
              }
          if (!accepted && sim_accepted_epoch (sim) >= epoch)
            {
              accepted = true;
              acceptances[c] = seconds_since (sim, start_us);
            }
        }
      if (!accepted || !in_force)
        {
          (void) fprintf (stderr, "change %u not in force everywhere and accepted within 120 s\n",
                          c);
          acceptances[c] = 120.0;
          for (uint32_t i = 0; i < sim->node_count; i++)
            if (samples[sample_count + i] < 0.0)
              samples[sample_count + i] = 120.0;
        }
      sample_count += sim->node_count;
    }
  gsl_sort (samples, 1, sample_count);
  gsl_sort (acceptances, 1, CHANGES);
  result->median_s = gsl_stats_median_from_sorted_data (samples, 1, sample_count);
  result->p99_s = gsl_stats_quantile_from_sorted_data (samples, 1, sample_count, 0.99);
  result->max_s = samples[sample_count - 1];
  result->accepted_s = gsl_stats_median_from_sorted_data (acceptances, 1, CHANGES);
  free (samples);
}

/// Measures messages, bytes and platform calls at the target rate of changes.
static void
measure_control_traffic (Sim *sim, Result *result)
{
  double seconds = STEADY_STATE_S;

  for (uint32_t i = 0; i < sim->node_count; i++)
    {
      SimNode *node = &sim->nodes[i];

      node->sent_messages = node->sent_bytes = node->received_bytes = 0;
      node->reads = node->writes = node->watches = 0;
    }
  for (int64_t second = 0; second < STEADY_STATE_S; second++)
    {
      // 1,700 changes per day are one every 51 s.
      if (second % 51 == 10)
        (void) sim_stage_test_document (sim, "demo", TT_DETACHED_REFUSE, true);
      sim_run (sim, sim->now_us + TT_SECOND_US);
    }
  for (uint32_t i = 0; i < sim->node_count; i++)
    {
      const SimNode *node = &sim->nodes[i];
      double bytes = (double) (node->sent_bytes + node->received_bytes) / seconds;

      result->sent_bytes += (double) node->sent_bytes / seconds / sim->node_count;
      result->messages += (double) node->sent_messages / seconds / sim->node_count;
      result->reads += (double) node->reads / seconds;
      result->writes += (double) node->writes / seconds;
      result->watches += (double) node->watches / seconds;
      if (bytes > result->max_bytes)
        result->max_bytes = bytes;
    }
}

/// Partitions a failure domain, stages a change, and measures the time from the end of the
/// partition until the change is in force and until it is accepted.
static void
measure_rejoin (Sim *sim, Result *result)
{
  uint64_t epoch = 0;
  int64_t start_us;

  sim_isolate_domain (sim, 1, true);
  sim_run (sim, sim->now_us + PARTITION_S / 2 * TT_SECOND_US);
  // With TT_DETACHED_WAIT, the change is not accepted before the failure domain is reachable again.
  epoch = sim_stage_test_document (sim, "waits", TT_DETACHED_WAIT, true);
  sim_run (sim, sim->now_us + PARTITION_S / 2 * TT_SECOND_US);
  if (sim_accepted_epoch (sim) >= epoch)
    (void) fprintf (stderr, "change accepted without the partitioned failure domain\n");
  sim_isolate_domain (sim, 1, false);
  start_us = sim->now_us;
  while (!sim_epoch_in_force (sim, epoch) && seconds_since (sim, start_us) < 300.0)
    sim_run (sim, sim->now_us + STEP_US);
  result->rejoin_in_force_s = seconds_since (sim, start_us);
  while (sim_accepted_epoch (sim) < epoch && seconds_since (sim, start_us) < 300.0)
    sim_run (sim, sim->now_us + STEP_US);
  result->rejoin_accepted_s = seconds_since (sim, start_us);
}

static void
print_tables (FILE *file, const FleetCase *sizes, const Result *results, size_t count)
{
  (void) fprintf (
      file, "## Time of a change\n\nSeconds from the operator's write. Bound: 15 s in force at "
            "360 daemons.\n\n| daemons | failure domains | loss | in force, median | p99 | max "
            "| accepted, median | in force after return | accepted after return |\n"
            "|---|---|---|---|---|---|---|---|---|\n");
  for (size_t i = 0; i < count; i++)
    (void) fprintf (file, "| %u | %u | %.0f %% | %.2f | %.2f | %.2f | %.2f | %.2f | %.2f |\n",
                    sizes[i].daemons, sizes[i].domains, sizes[i].loss * 100.0, results[i].median_s,
                    results[i].p99_s, results[i].max_s, results[i].accepted_s,
                    results[i].rejoin_in_force_s, results[i].rejoin_accepted_s);
  (void) fprintf (
      file, "\n## Cost\n\nBytes are estimated: 24 for a message's frame and its fields. Bounds: "
            "11,000 bytes a second per daemon; for the fleet 2,000 reads (watches included) "
            "and several hundred writes a second.\n\n| daemons | failure domains | loss | "
            "messages/s per daemon | bytes/s sent per daemon | bytes/s sent and received, "
            "busiest daemon | reads/s, fleet | of these watches | writes/s, fleet | reads/s per "
            "daemon |\n|---|---|---|---|---|---|---|---|---|---|\n");
  for (size_t i = 0; i < count; i++)
    (void) fprintf (file,
                    "| %u | %u | %.0f %% | %.2f | %.0f | %.0f | %.1f | %.2f | %.1f | %.2f |\n",
                    sizes[i].daemons, sizes[i].domains, sizes[i].loss * 100.0, results[i].messages,
                    results[i].sent_bytes, results[i].max_bytes, results[i].reads,
                    results[i].watches, results[i].writes, results[i].reads / sizes[i].daemons);
}

int
main (int argc, char **argv)
{
  static const FleetCase sizes[]
      = { { 5, 3, 0.01 },    { 12, 4, 0.01 },   { 36, 11, 0.01 }, { 90, 11, 0.01 },
          { 180, 11, 0.01 }, { 360, 11, 0.01 }, { 360, 11, 0.20 } };
  const char *path = argc > 1 ? argv[1] : "docs/measurements/configuration.md";
  uint64_t seed = argc > 2 ? strtoull (argv[2], NULL, 10) : 1;
  uint32_t max_daemons = argc > 3 ? (uint32_t) strtoul (argv[3], NULL, 10) : 360;
  Result results[sizeof sizes / sizeof sizes[0]] = { 0 };
  size_t count = 0;
  FILE *file;

  while (count < sizeof sizes / sizeof sizes[0] && sizes[count].daemons <= max_daemons)
    {
      Sim *sim = start_fleet (&sizes[count], seed);

      measure_changes (sim, &results[count]);
      measure_control_traffic (sim, &results[count]);
      measure_rejoin (sim, &results[count]);
      sim_free (sim);
      (void) fprintf (stderr, "%u daemons done\n", sizes[count].daemons);
      count++;
    }
  file = fopen (path, "w");
  if (file == NULL)
    {
      perror (path);
      return 1;
    }
  (void) fprintf (
      file,
      "# Configuration changes and control traffic\n\nCommand: `config_bench %s %llu`, "
      "seed %llu, written by the program. Simulated time: messages take 0.2 to 2 ms, "
      "platform calls 1 to 5 ms; %d changes, %d s at one change every 51 s, then one "
      "failure domain cut off for %d s. Engines: 880 for 360 daemons, in proportion.\n\n",
      path, (unsigned long long) seed, (unsigned long long) seed, CHANGES, STEADY_STATE_S,
      PARTITION_S);
  print_tables (file, sizes, results, count);
  return fclose (file) == 0 ? 0 : 1;
}
