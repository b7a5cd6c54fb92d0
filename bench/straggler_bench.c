/// M4, stragglers: a tenth of the engines run ten times slower, another set of engines every 40 s.
/// Argument: seed.
#include "support/report.h"
#include "support/sim.h"
#include "tarragontrack/board/hash.h"
#include <stdlib.h>

#define WARMUP_US (60 * TT_SECOND_US)
#define WINDOW_US (240 * TT_SECOND_US)
// Time for which the same engines are slow: the duration of a noisy neighbour's job.
#define STRAGGLER_PERIOD_US (40 * TT_SECOND_US)
#define SLOWDOWN 10.0
#define FIRST_TOKEN_LIMIT_S 2.0 // a response with a later first token does not count as goodput

typedef struct
{
  const char *name;
  SimPolicy policy;
  bool inject_slowdown; ///< slow down a tenth of the engines
  bool mitigate;        ///< enable ejection, hedges and retries
  Series first_token_s;
  Series total_s;
  uint64_t offered;
  uint64_t good;
  uint64_t attempts;
  uint64_t hedges;
  uint64_t retries;
  uint64_t ejections;
} Run;

static void
record_request (void *context, Sim *sim, const SimRequest *request)
{
  Run *run = context;
  double first_s = (double) (request->first_token_us - request->arrived_us) / 1e6;

  (void) sim;
  if (request->arrived_us < SIM_START_US + WARMUP_US)
    return;
  run->offered++;
  if (request->outcome != TT_OUTCOME_COMPLETE)
    return;
  run->good += first_s <= FIRST_TOKEN_LIMIT_S;
  series_add (&run->first_token_s, first_s);
  series_add (&run->total_s, (double) (request->ended_us - request->arrived_us) / 1e6);
}

/// Disables ejection, hedges and retries for the baseline: empties the retry budget and resets the
/// health state of all backend servers.
static void
disable_mitigation (TtBoard *board)
{
  board->retry.budget_tokens = 0.0;
  TT_LIST_FOREACH (&board->backends.all, it)
    {
      TtHealthBackend *health = &TT_CONTAINER_OF (it, TtBackendServer, link)->health;

      *health = (TtHealthBackend){ .weight_factor = 1.0 };
    }
}

/// Slows down the engines of the current period and adds up the counters of all boards.
static void
on_sample (void *context, Sim *sim, int64_t now_us)
{
  Run *run = context;
  int64_t since_us = now_us - SIM_START_US - WARMUP_US;

  for (uint32_t i = 0; i < sim->config.engines; i++)
    sim->engines[i].slowdown = 1.0;
  for (uint32_t i = 0; run->inject_slowdown && since_us >= 0 && i < sim->config.engines / 10; i++)
    {
      uint64_t draw = tt_hash_pair (sim->config.seed, (uint64_t) (since_us / STRAGGLER_PERIOD_US));

      sim->engines[(draw + i) % sim->config.engines].slowdown = SLOWDOWN;
    }
  run->attempts = 0;
  run->hedges = 0;
  run->retries = 0;
  run->ejections = 0;
  for (uint32_t i = 0; sim->boards != NULL && i < sim->config.routers; i++)
    {
      const uint64_t *counters = sim->boards[i]->counters;

      if (!run->mitigate)
        disable_mitigation (sim->boards[i]);
      run->attempts += counters[TT_COUNT_ATTEMPTS];
      run->hedges += counters[TT_COUNT_HEDGES];
      run->retries += counters[TT_COUNT_RETRIES];
      run->ejections += counters[TT_COUNT_EJECTIONS];
    }
}

static void
simulate (Run *run, uint32_t engines, uint32_t domains, uint64_t seed)
{
  SimConfig config;
  SimResult result;

  sim_defaults (&config);
  config.policy = run->policy;
  config.seed = seed;
  config.domains = domains;
  config.engines = engines;
  config.routers = 5;
  config.rate = 5.0 * engines; // half of the capacity: 32 slots, 3.1 s per response
  config.response_tokens = 100;
  config.progress_tokens = 5;
  config.warmup_us = WARMUP_US;
  config.duration_us = WINDOW_US;
  config.context = run;
  config.on_request_end = record_request;
  config.on_sample = on_sample;
  if (sim_run (&config, &result) < 0)
    abort ();
}

static bool
measure_stragglers (FILE *page, const char *title, uint32_t engines, uint32_t domains,
                    uint64_t seed)
{
  Run runs[] = {
    { .name = "healthy fleet", .policy = SIM_ROUTER, .mitigate = true },
    { .name = "a tenth slowed", .policy = SIM_ROUTER, .mitigate = true, .inject_slowdown = true },
    { .name = "a tenth slowed, no ejection and no second attempts",
      .policy = SIM_ROUTER,
      .inject_slowdown = true },
    { .name = "a tenth slowed, least in flight",
      .policy = SIM_LEAST_IN_FLIGHT,
      .inject_slowdown = true }
  };
  double first_p99_s[4];
  double total_p99_s[4];
  double goodput[4];
  bool pass = true;

  (void) fprintf (page,
                  "\n## M4, %s\n\n| run | p99 of the first token, s | p99 of the answer, s | "
                  "goodput | ejections | hedges | retries | attempts |\n"
                  "|---|---|---|---|---|---|---|---|\n",
                  title);
  printf ("M4, %s\n", title);
  for (int i = 0; i < 4; i++)
    {
      simulate (&runs[i], engines, domains, seed);
      first_p99_s[i] = series_quantile (&runs[i].first_token_s, 0.99);
      total_p99_s[i] = series_quantile (&runs[i].total_s, 0.99);
      goodput[i] = (double) runs[i].good / (double) runs[i].offered;
      (void) fprintf (page, "| %s | %.3f | %.3f | %.4f | %llu | %llu | %llu | %llu |\n",
                      runs[i].name, first_p99_s[i], total_p99_s[i], goodput[i],
                      (unsigned long long) runs[i].ejections, (unsigned long long) runs[i].hedges,
                      (unsigned long long) runs[i].retries, (unsigned long long) runs[i].attempts);
      printf ("%-52s first %7.3f total %7.3f good %.4f ejections %llu hedges %llu retries %llu\n",
              runs[i].name, first_p99_s[i], total_p99_s[i], goodput[i],
              (unsigned long long) runs[i].ejections, (unsigned long long) runs[i].hedges,
              (unsigned long long) runs[i].retries);
      series_clear (&runs[i].first_token_s);
      series_clear (&runs[i].total_s);
    }
  (void) fprintf (page, "\n| measure | value | bound | verdict |\n|---|---|---|---|\n");
  pass &= report_check (page, "p99 of the first token, ratio to the healthy fleet",
                        first_p99_s[1] / first_p99_s[0], true, 2.0);
  pass &= report_check (page, "p99 of the whole answer, ratio to the healthy fleet",
                        total_p99_s[1] / total_p99_s[0], true, 2.0);
  pass &= report_check (page, "goodput, ratio to the healthy fleet", goodput[1] / goodput[0], false,
                        0.95);
  pass &= report_check (page, "second attempts, part of the attempts",
                        (double) (runs[1].hedges + runs[1].retries) / (double) runs[1].attempts,
                        true, 0.1);
  report_value (page, "baseline without ejection and second attempts: p99 first token, ratio",
                first_p99_s[2] / first_p99_s[0]);
  report_value (page, "baseline without ejection and second attempts: p99 answer, ratio",
                total_p99_s[2] / total_p99_s[0]);
  report_value (page, "baseline least in flight: p99 of the first token, ratio",
                first_p99_s[3] / first_p99_s[0]);
  report_value (page, "baseline least in flight: p99 of the whole answer, ratio",
                total_p99_s[3] / total_p99_s[0]);
  return pass;
}

int
main (int argc, char **argv)
{
  uint64_t seed = argc > 1 ? strtoull (argv[1], NULL, 10) : 1;
  FILE *page
      = report_open ("docs/measurements/stragglers.md", "Stragglers: M4", "straggler_bench", seed);
  bool pass = true;

  pass &= measure_stragglers (page, "10 engines in one failure domain", 10, 1, seed);
  pass &= measure_stragglers (page, "10 engines in 3 failure domains", 10, 3, seed);
  pass &= measure_stragglers (page, "20 engines in 3 failure domains", 20, 3, seed);
  (void) fclose (page);
  return pass ? 0 : 1;
}
