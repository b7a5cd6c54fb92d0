// M2: demand that rises to twice the capacity within two seconds. M3: short work beside long work.
#include "support/report.h"
#include "support/sim.h"
#include "tarragontrack/board/hash.h"
#include <stdlib.h>
#include <string.h>

#define WARM_US (60 * TT_SECOND_US)
#define RAMP_US (2 * TT_SECOND_US)
#define WINDOW_US (60 * TT_SECOND_US)
#define TAIL_US (30 * TT_SECOND_US) // after the window, so that its requests end
#define WINDOW_S 300                // of M3
// Part of the capacity that short work asks for in M3: with it, the long jobs' share and three
// standard deviations of the short requests fit into the smallest failure domain (3 of 10 engines).
#define SHORT_LOAD 0.3
#define ENGINES 10
#define SLOTS 32
#define ACCOUNTS 10
#define SHORT_TOKENS 100
#define SERVICE_S 3.05 // of a short request: 100 tokens of 30 ms, and a short prefill
#define CAPACITY (ENGINES * SLOTS / SERVICE_S)

enum
{
  URGENT,
  NORMAL,
  BATCH,
  LONG,
  CLASSES
};

static const char *const class_names[CLASSES] = { "urgent", "normal", "batch", "long" };

// Longest wait for the start; an answer counts as good if its first token comes within a second
// more.
static const uint32_t deadlines_ms[CLASSES] = { 2000, 10000, 20000, 600000 };

/// Counts of one run, by class of work.
typedef struct
{
  uint32_t domains;
  bool ordered;      ///< classes have priorities
  double surge;      ///< part of the rise that comes from account 0; else from all alike
  double short_rate; ///< M3: requests a second; 0 = M2
  double long_rate;  ///< M3
  int64_t from_us;   ///< of the window, since the start
  int64_t until_us;
  double offered[CLASSES][ACCOUNTS];
  double good[CLASSES][ACCOUNTS];
  double finished[CLASSES]; ///< ended inside the window
  double busy_us;           ///< slot time of good answers inside the window
  Series waits[CLASSES];
  Series totals[CLASSES];
} Run;

static double
rate_at (void *context, int64_t since_us)
{
  const Run *run = context;
  double rise = (double) (since_us - WARM_US) / (double) RAMP_US;

  if (run->short_rate > 0.0)
    return run->short_rate + run->long_rate;
  rise = rise < 0.0 ? 0.0 : rise;
  return CAPACITY * (1.0 + (rise > 1.0 ? 1.0 : rise));
}

static int
class_of (const SimRequest *request)
{
  for (int i = 0; i < CLASSES; i++)
    if (strcmp (request->kind, class_names[i]) == 0)
      return i;
  return NORMAL;
}

static bool
in_window (const Run *run, const SimRequest *request)
{
  int64_t since_us = request->arrived_us - SIM_START_US;

  return since_us >= run->from_us && since_us < run->until_us;
}

/// Gives a request its class and account.
static void
shape (void *context, Sim *sim, SimRequest *request)
{
  Run *run = context;
  double draw = tt_rng_unit (&sim->rng);
  int64_t since_us = sim->now_us - SIM_START_US;
  int kind = draw < 0.2 ? URGENT : draw < 0.8 ? NORMAL : BATCH;

  if (run->short_rate > 0.0)
    kind = draw < run->long_rate / (run->long_rate + run->short_rate) ? LONG : NORMAL;
  request->kind = class_names[kind];
  request->answer_tokens
      = kind == LONG ? 2500 + (uint32_t) tt_rng_below (&sim->rng, 1000)
                     : SHORT_TOKENS / 2 + (uint32_t) tt_rng_below (&sim->rng, SHORT_TOKENS + 1);
  // The rise above the capacity, half of all requests at the crest.
  if (since_us > WARM_US && run->short_rate <= 0.0 && tt_rng_unit (&sim->rng) < 0.5 * run->surge)
    request->chat->account = 0;
  if (in_window (run, request))
    run->offered[kind][request->chat->account] += 1.0;
}

static void
ended (void *context, Sim *sim, const SimRequest *request)
{
  Run *run = context;
  int kind = class_of (request);
  int64_t from_us = SIM_START_US + run->from_us;
  int64_t until_us = SIM_START_US + run->until_us;
  int64_t begin_us = request->started_us > from_us ? request->started_us : from_us;
  int64_t end_us = request->ended_us < until_us ? request->ended_us : until_us;
  int64_t wait_us = request->first_us - request->arrived_us;

  (void) sim;
  if (request->outcome != TT_OUTCOME_COMPLETE
      || wait_us > (deadlines_ms[kind] + 1000) * TT_MILLISECOND_US)
    return;
  if (end_us > begin_us)
    run->busy_us += (double) (end_us - begin_us);
  if (request->ended_us >= from_us && request->ended_us < until_us)
    run->finished[kind] += 1.0;
  if (!in_window (run, request))
    return;
  run->good[kind][request->chat->account] += 1.0;
  series_add (&run->waits[kind], (double) wait_us / 1e6);
  series_add (&run->totals[kind], (double) (request->ended_us - request->arrived_us) / 1e6);
}

/// Adds the kinds of work to the document.
static void
document (void *context, TtDocument *text)
{
  const Run *run = context;
  static const uint32_t priorities[CLASSES] = { 0, 1, 2, 3 };

  text->kind_count = CLASSES;
  for (int i = 0; i < CLASSES; i++)
    {
      TtKindSpec *kind = &text->kinds[i];

      (void) snprintf (kind->name, sizeof kind->name, "%s", class_names[i]);
      kind->id = tt_hash_string (kind->name);
      kind->priority = run->ordered ? priorities[i] : 1;
      kind->queue_deadline_ms = deadlines_ms[i];
      kind->idempotent = true;
    }
}

/// Runs one configuration; the counts are left in @run.
static void
simulate (Run *run, SimPolicy policy, uint64_t seed, int64_t warm_us, int64_t window_us,
          int64_t tail_us)
{
  SimConfig config;
  SimResult result;

  sim_defaults (&config);
  config.policy = policy;
  config.seed = seed;
  config.domains = run->domains;
  config.engines = ENGINES;
  config.batch = SLOTS;
  config.accounts = ACCOUNTS;
  config.skew = 0.5;
  config.prefix_tokens = 200;
  config.turn_tokens = 50;
  config.returning = 0.0;
  config.answer_tokens = SHORT_TOKENS;
  config.progress_tokens = 100;
  config.warm_us = warm_us;
  config.duration_us = window_us + tail_us;
  config.context = run;
  config.rate_at = rate_at;
  config.shape = shape;
  config.ended = ended;
  config.document = document;
  run->from_us = warm_us;
  run->until_us = warm_us + window_us;
  if (sim_run (&config, &result) < 0)
    abort ();
}

static double
sum (const double *values)
{
  double total = 0.0;

  for (int i = 0; i < ACCOUNTS; i++)
    total += values[i];
  return total;
}

/// Lowest ratio of what an account got to its max-min fair share of what its class got, over the
/// accounts with normal demand: all but @surging (-1: all).
static double
worst_share (const Run *run, int kind, int surging)
{
  double total = sum (run->good[kind]);
  double level = 0.0;
  double worst = 1e9;

  // Raises the water level until the shares below it add up to the total.
  for (double used = 0.0; used < total && level < total; level += total / 10000.0)
    {
      used = 0.0;
      for (int i = 0; i < ACCOUNTS; i++)
        used += run->offered[kind][i] < level ? run->offered[kind][i] : level;
    }
  for (int i = 0; i < ACCOUNTS; i++)
    {
      double fair = run->offered[kind][i] < level ? run->offered[kind][i] : level;

      if (i != surging && fair > 0.0 && run->good[kind][i] / fair < worst)
        worst = run->good[kind][i] / fair;
    }
  return worst;
}

static void
clear_run (Run *run)
{
  for (int i = 0; i < CLASSES; i++)
    {
      series_clear (&run->waits[i]);
      series_clear (&run->totals[i]);
    }
}

/// Runs and reports one crest.
static bool
measure_crest (FILE *page, const char *name, uint32_t domains, SimPolicy policy, bool ordered,
               double surge, bool check, uint64_t seed)
{
  Run run = { .domains = domains, .ordered = ordered, .surge = surge };
  double urgent;
  double total;
  double share;
  bool pass = true;

  simulate (&run, policy, seed, WARM_US, WINDOW_US, TAIL_US);
  urgent = sum (run.good[URGENT]) / sum (run.offered[URGENT]);
  total = run.busy_us / ((double) WINDOW_US * ENGINES * SLOTS);
  share = worst_share (&run, NORMAL, surge > 0.0 ? 0 : -1);
  (void) fprintf (page,
                  "\n## M2, failure domains: %u, %s\n\n| measure | value | bound | verdict "
                  "|\n|---|---|---|---|\n",
                  domains, name);
  printf ("M2, failure domains: %u, %s\n", domains, name);
  if (check)
    {
      pass &= report_check (page, "goodput of the highest priority, part of its demand", urgent,
                            false, 0.99);
      pass &= report_check (page, "goodput in all, part of the capacity", total, false, 0.95);
      pass &= report_check (page, "lowest part of the fair share, accounts with normal demand",
                            share, false, 0.99);
    }
  else
    {
      report_value (page, "goodput of the highest priority, part of its demand", urgent);
      report_value (page, "goodput in all, part of the capacity", total);
      report_value (page, "lowest part of the fair share, accounts with normal demand", share);
    }
  for (int i = URGENT; i <= BATCH; i++)
    {
      char text[64];

      (void) snprintf (text, sizeof text, "%s: goodput, part of its demand", class_names[i]);
      report_value (page, text, sum (run.good[i]) / sum (run.offered[i]));
      (void) snprintf (text, sizeof text, "%s: p99 of the first token, s", class_names[i]);
      report_value (page, text, series_quantile (&run.waits[i], 0.99));
    }
  clear_run (&run);
  return pass;
}

/// Runs short work, with or without long work beside it.
static void
simulate_mix (Run *run, uint32_t domains, SimPolicy policy, double long_rate, uint64_t seed)
{
  *run = (Run){ .domains = domains,
                .ordered = policy == SIM_ROUTER,
                .short_rate = SHORT_LOAD * CAPACITY,
                .long_rate = long_rate };
  simulate (run, policy, seed, 600 * TT_SECOND_US, WINDOW_S * TT_SECOND_US, 300 * TT_SECOND_US);
}

static bool
measure_blocking (FILE *page, uint32_t domains, uint64_t seed)
{
  // The long jobs' share is half of the slots; they ask for 90 % of it in the first run, which
  // must all finish, and for four times as much in the second.
  static const double loads[] = { 0.9, 4.0 };
  double job_s = 3000 * 0.03;
  Run alone;
  bool pass = true;
  double base;
  double base_total;

  simulate_mix (&alone, domains, SIM_ROUTER, 0.0, seed);
  base = series_quantile (&alone.waits[NORMAL], 0.99);
  base_total = series_quantile (&alone.totals[NORMAL], 0.99);
  for (int i = 0; i < 2; i++)
    {
      double rate = loads[i] * 0.5 * ENGINES * SLOTS / job_s;
      char title[96];
      Run mixed;
      Run plain;

      simulate_mix (&mixed, domains, SIM_ROUTER, rate, seed);
      simulate_mix (&plain, domains, SIM_LEAST_IN_FLIGHT, rate, seed);
      (void) snprintf (title, sizeof title,
                       "M3, failure domains: %u, long work asks for %.1f of its share", domains,
                       loads[i]);
      (void) fprintf (page, "\n## %s\n\n| measure | value | bound | verdict |\n|---|---|---|---|\n",
                      title);
      printf ("%s\n", title);
      report_value (page, "p99 of the first token of short work alone, s", base);
      pass &= report_check (page, "p99 of the first token beside long work, ratio to alone",
                            series_quantile (&mixed.waits[NORMAL], 0.99) / base, true, 1.5);
      pass &= report_check (page, "p99 of the whole answer beside long work, ratio to alone",
                            series_quantile (&mixed.totals[NORMAL], 0.99) / base_total, true, 1.5);
      report_value (page, "goodput of short work, part of its demand",
                    sum (mixed.good[NORMAL]) / sum (mixed.offered[NORMAL]));
      if (i == 0)
        pass &= report_check (page, "long work finished, part of its demand",
                              sum (mixed.good[LONG]) / sum (mixed.offered[LONG]), false, 0.99);
      report_value (page, "long work finished in the window, part of what its share allows",
                    mixed.finished[LONG] / (0.5 * ENGINES * SLOTS / job_s * WINDOW_S));
      report_value (page, "baseline, first come first served: p99 of the first token, ratio",
                    series_quantile (&plain.waits[NORMAL], 0.99) / base);
      report_value (page, "baseline: goodput of short work, part of its demand",
                    sum (plain.good[NORMAL]) / sum (plain.offered[NORMAL]));
      clear_run (&mixed);
      clear_run (&plain);
    }
  clear_run (&alone);
  return pass;
}

int
main (int argc, char **argv)
{
  uint64_t seed = argc > 1 ? strtoull (argv[1], NULL, 10) : 1;
  FILE *page = report_open ("docs/measurements/admission.md", "Admission: M2 and M3",
                            "admission_bench", seed);
  bool pass = true;

  for (int i = 0; i < 2; i++)
    {
      static const uint32_t domains[] = { 1, 3 };

      pass &= measure_crest (page, "all accounts rise alike", domains[i], SIM_ROUTER, true, 0.0,
                             true, seed);
      pass &= measure_crest (page, "one account rises", domains[i], SIM_ROUTER, true, 1.0, true,
                             seed);
      (void) measure_crest (page, "one account rises; baseline without priorities", domains[i],
                            SIM_ROUTER, false, 1.0, false, seed);
      (void) measure_crest (page, "one account rises; baseline first come first served", domains[i],
                            SIM_LEAST_IN_FLIGHT, false, 1.0, false, seed);
      pass &= measure_blocking (page, domains[i], seed);
    }
  (void) fclose (page);
  return pass ? 0 : 1;
}
