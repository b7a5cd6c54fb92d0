/// Admission control. M2: goodput and fairness when the offered load rises to twice the capacity
/// within two seconds. M3: head-of-line blocking of short requests by long ones. Argument: seed.
#include "support/report.h"
#include "support/sim.h"
#include "tarragontrack/board/hash.h"
#include <stdlib.h>
#include <string.h>

#define WARMUP_US (60 * TT_SECOND_US)
#define RAMP_US (2 * TT_SECOND_US)
#define WINDOW_US (60 * TT_SECOND_US)
#define DRAIN_US (30 * TT_SECOND_US) // after the window, so that the requests of the window can end
#define MIXED_WINDOW_S 300           // measured time of M3
// Offered load of short work in M3, as a fraction of the capacity. With this load, the share of the
// long jobs and three standard deviations of the short requests fit into the smallest failure
// domain (3 of 10 engines).
#define SHORT_LOAD_FRACTION 0.3
#define ENGINES 10
#define SLOTS_PER_ENGINE 32
#define ACCOUNTS 10
#define SHORT_TOKENS 100
// Mean service time of a short request: 100 tokens at 30 ms and a short prefill.
#define SERVICE_TIME_S 3.05
#define CAPACITY_REQUESTS_S (ENGINES * SLOTS_PER_ENGINE / SERVICE_TIME_S)

enum
{
  URGENT,
  NORMAL,
  BATCH,
  LONG,
  CLASSES
};

static const char *const class_names[CLASSES] = { "urgent", "normal", "batch", "long" };

// Queue deadline of each class. A response counts as goodput if its first token arrives at most one
// second after this time.
static const uint32_t deadlines_ms[CLASSES] = { 2000, 10000, 20000, 600000 };

/// Configuration and results of one run. The window is its measured time; a response is good if it
/// counts as goodput.
typedef struct
{
  uint32_t domains;
  bool use_priorities;   ///< the classes have different priorities
  double surge_fraction; ///< fraction of the load above the capacity that comes from account 0;
                         ///< the rest comes from all accounts
  double short_rate;     ///< M3: short requests per second; 0 = run of M2
  double long_rate;      ///< M3: long requests per second
  int64_t from_us;       ///< start of the window, relative to the start of the run
  int64_t until_us;      ///< end of the window
  double offered[CLASSES][ACCOUNTS]; ///< requests that arrived in the window
  double good[CLASSES][ACCOUNTS];    ///< those with a good response
  double finished[CLASSES];          ///< good responses that ended in the window
  double busy_us;                    ///< slot time used by good responses in the window
  Series first_token_s[CLASSES];     ///< seconds to the first token
  Series total_s[CLASSES];           ///< seconds to the end of the response
} Run;

static double
rate_at (void *context, int64_t since_us)
{
  const Run *run = context;
  double ramp_progress = (double) (since_us - WARMUP_US) / (double) RAMP_US;

  if (run->short_rate > 0.0)
    return run->short_rate + run->long_rate;
  ramp_progress = ramp_progress < 0.0 ? 0.0 : ramp_progress;
  return CAPACITY_REQUESTS_S * (1.0 + (ramp_progress > 1.0 ? 1.0 : ramp_progress));
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

/// Assigns a class and a response length to a request and, in M2, account 0 to some of the requests
/// above the capacity.
static void
assign_class (void *context, Sim *sim, SimRequest *request)
{
  Run *run = context;
  double draw = tt_rng_unit (&sim->rng);
  int64_t since_us = sim->now_us - SIM_START_US;
  int kind = draw < 0.2 ? URGENT : draw < 0.8 ? NORMAL : BATCH;

  if (run->short_rate > 0.0)
    kind = draw < run->long_rate / (run->long_rate + run->short_rate) ? LONG : NORMAL;
  request->kind = class_names[kind];
  request->response_tokens
      = kind == LONG ? 2500 + (uint32_t) tt_rng_below (&sim->rng, 1000)
                     : SHORT_TOKENS / 2 + (uint32_t) tt_rng_below (&sim->rng, SHORT_TOKENS + 1);
  // At the peak, half of the requests are load above the capacity; Run.surge_fraction of these are
  // sent by account 0.
  if (since_us > WARMUP_US && run->short_rate <= 0.0
      && tt_rng_unit (&sim->rng) < 0.5 * run->surge_fraction)
    request->chat->account = 0;
  if (in_window (run, request))
    run->offered[kind][request->chat->account] += 1.0;
}

static void
record_request (void *context, Sim *sim, const SimRequest *request)
{
  Run *run = context;
  int kind = class_of (request);
  int64_t from_us = SIM_START_US + run->from_us;
  int64_t until_us = SIM_START_US + run->until_us;
  int64_t begin_us = request->started_us > from_us ? request->started_us : from_us;
  int64_t end_us = request->ended_us < until_us ? request->ended_us : until_us;
  int64_t wait_us = request->first_token_us - request->arrived_us;

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
  series_add (&run->first_token_s[kind], (double) wait_us / 1e6);
  series_add (&run->total_s[kind], (double) (request->ended_us - request->arrived_us) / 1e6);
}

/// Adds the kinds of work to the settings document.
static void
add_kinds (void *context, TtDocument *document)
{
  const Run *run = context;
  static const uint32_t priorities[CLASSES] = { 0, 1, 2, 3 };

  document->kind_count = CLASSES;
  for (int i = 0; i < CLASSES; i++)
    {
      TtKindSpec *kind = &document->kinds[i];

      (void) snprintf (kind->name, sizeof kind->name, "%s", class_names[i]);
      kind->id = tt_hash_string (kind->name);
      kind->priority = run->use_priorities ? priorities[i] : 1;
      kind->queue_deadline_ms = deadlines_ms[i];
      kind->idempotent = true;
    }
}

/// Simulates one configuration and stores the results in @run.
static void
simulate (Run *run, SimPolicy policy, uint64_t seed, int64_t warmup_us, int64_t window_us,
          int64_t drain_us)
{
  SimConfig config;
  SimResult result;

  sim_defaults (&config);
  config.policy = policy;
  config.seed = seed;
  config.domains = run->domains;
  config.engines = ENGINES;
  config.batch_limit = SLOTS_PER_ENGINE;
  config.accounts = ACCOUNTS;
  config.skew = 0.5;
  config.prefix_tokens = 200;
  config.turn_tokens = 50;
  config.returning_fraction = 0.0;
  config.response_tokens = SHORT_TOKENS;
  config.progress_tokens = 100;
  config.warmup_us = warmup_us;
  config.duration_us = window_us + drain_us;
  config.context = run;
  config.rate_at = rate_at;
  config.prepare_request = assign_class;
  config.on_request_end = record_request;
  config.document = add_kinds;
  run->from_us = warmup_us;
  run->until_us = warmup_us + window_us;
  if (sim_run (&config, &result) < 0)
    abort ();
}

static double
sum_accounts (const double *values)
{
  double total = 0.0;

  for (int i = 0; i < ACCOUNTS; i++)
    total += values[i];
  return total;
}

/// Lowest ratio of an account's goodput to its max-min fair share of the goodput of a class, over
/// all accounts but @surging; -1 excludes none.
static double
min_fair_share_ratio (const Run *run, int kind, int surging)
{
  double total = sum_accounts (run->good[kind]);
  double water_level = 0.0;
  double worst = 1e9;

  // Water-filling: raises the level until the demands, each capped at the level, add up to the
  // total.
  for (double used = 0.0; used < total && water_level < total; water_level += total / 10000.0)
    {
      used = 0.0;
      for (int i = 0; i < ACCOUNTS; i++)
        used += run->offered[kind][i] < water_level ? run->offered[kind][i] : water_level;
    }
  for (int i = 0; i < ACCOUNTS; i++)
    {
      double fair = run->offered[kind][i] < water_level ? run->offered[kind][i] : water_level;

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
      series_clear (&run->first_token_s[i]);
      series_clear (&run->total_s[i]);
    }
}

/// Runs M2 in one configuration and reports the results; compares them with the bounds if @check.
static bool
measure_overload (FILE *page, const char *name, uint32_t domains, SimPolicy policy,
                  bool use_priorities, double surge_fraction, bool check, uint64_t seed)
{
  Run run
      = { .domains = domains, .use_priorities = use_priorities, .surge_fraction = surge_fraction };
  double urgent_goodput;
  double total;
  double fair_share_ratio;
  bool pass = true;

  simulate (&run, policy, seed, WARMUP_US, WINDOW_US, DRAIN_US);
  urgent_goodput = sum_accounts (run.good[URGENT]) / sum_accounts (run.offered[URGENT]);
  total = run.busy_us / ((double) WINDOW_US * ENGINES * SLOTS_PER_ENGINE);
  fair_share_ratio = min_fair_share_ratio (&run, NORMAL, surge_fraction > 0.0 ? 0 : -1);
  (void) fprintf (page,
                  "\n## M2, failure domains: %u, %s\n\n| measure | value | bound | verdict "
                  "|\n|---|---|---|---|\n",
                  domains, name);
  printf ("M2, failure domains: %u, %s\n", domains, name);
  if (check)
    {
      pass &= report_check (page, "goodput of the highest priority, part of its demand",
                            urgent_goodput, false, 0.99);
      pass &= report_check (page, "goodput in all, part of the capacity", total, false, 0.95);
      pass &= report_check (page, "lowest part of the fair share, accounts with normal demand",
                            fair_share_ratio, false, 0.99);
    }
  else
    {
      report_value (page, "goodput of the highest priority, part of its demand", urgent_goodput);
      report_value (page, "goodput in all, part of the capacity", total);
      report_value (page, "lowest part of the fair share, accounts with normal demand",
                    fair_share_ratio);
    }
  for (int i = URGENT; i <= BATCH; i++)
    {
      char text[64];

      (void) snprintf (text, sizeof text, "%s: goodput, part of its demand", class_names[i]);
      report_value (page, text, sum_accounts (run.good[i]) / sum_accounts (run.offered[i]));
      (void) snprintf (text, sizeof text, "%s: p99 of the first token, s", class_names[i]);
      report_value (page, text, series_quantile (&run.first_token_s[i], 0.99));
    }
  clear_run (&run);
  return pass;
}

/// Runs M3: short requests alone, or together with long ones if @long_rate is above 0.
static void
simulate_mixed_work (Run *run, uint32_t domains, SimPolicy policy, double long_rate, uint64_t seed)
{
  *run = (Run){ .domains = domains,
                .use_priorities = policy == SIM_ROUTER,
                .short_rate = SHORT_LOAD_FRACTION * CAPACITY_REQUESTS_S,
                .long_rate = long_rate };
  simulate (run, policy, seed, 600 * TT_SECOND_US, MIXED_WINDOW_S * TT_SECOND_US,
            300 * TT_SECOND_US);
}

static bool
measure_head_of_line_blocking (FILE *page, uint32_t domains, uint64_t seed)
{
  // Long requests may use half of the slots. Their offered load is 90 % of this share in the first
  // run, in which all of them must finish, and four times the share in the second run.
  static const double long_loads[] = { 0.9, 4.0 };
  double long_duration_s = 3000 * 0.03;
  Run alone;
  bool pass = true;
  double base_first_token_s;
  double base_total_s;

  simulate_mixed_work (&alone, domains, SIM_ROUTER, 0.0, seed);
  base_first_token_s = series_quantile (&alone.first_token_s[NORMAL], 0.99);
  base_total_s = series_quantile (&alone.total_s[NORMAL], 0.99);
  for (int i = 0; i < 2; i++)
    {
      double rate = long_loads[i] * 0.5 * ENGINES * SLOTS_PER_ENGINE / long_duration_s;
      char title[96];
      Run mixed;
      Run baseline;

      simulate_mixed_work (&mixed, domains, SIM_ROUTER, rate, seed);
      simulate_mixed_work (&baseline, domains, SIM_LEAST_IN_FLIGHT, rate, seed);
      (void) snprintf (title, sizeof title,
                       "M3, failure domains: %u, long work asks for %.1f of its share", domains,
                       long_loads[i]);
      (void) fprintf (page, "\n## %s\n\n| measure | value | bound | verdict |\n|---|---|---|---|\n",
                      title);
      printf ("%s\n", title);
      report_value (page, "p99 of the first token of short work alone, s", base_first_token_s);
      pass &= report_check (
          page, "p99 of the first token beside long work, ratio to alone",
          series_quantile (&mixed.first_token_s[NORMAL], 0.99) / base_first_token_s, true, 1.5);
      pass &= report_check (page, "p99 of the whole answer beside long work, ratio to alone",
                            series_quantile (&mixed.total_s[NORMAL], 0.99) / base_total_s, true,
                            1.5);
      report_value (page, "goodput of short work, part of its demand",
                    sum_accounts (mixed.good[NORMAL]) / sum_accounts (mixed.offered[NORMAL]));
      if (i == 0)
        pass &= report_check (page, "long work finished, part of its demand",
                              sum_accounts (mixed.good[LONG]) / sum_accounts (mixed.offered[LONG]),
                              false, 0.99);
      report_value (page, "long work finished in the window, part of what its share allows",
                    mixed.finished[LONG]
                        / (0.5 * ENGINES * SLOTS_PER_ENGINE / long_duration_s * MIXED_WINDOW_S));
      report_value (page, "baseline, first come first served: p99 of the first token, ratio",
                    series_quantile (&baseline.first_token_s[NORMAL], 0.99) / base_first_token_s);
      report_value (page, "baseline: goodput of short work, part of its demand",
                    sum_accounts (baseline.good[NORMAL]) / sum_accounts (baseline.offered[NORMAL]));
      clear_run (&mixed);
      clear_run (&baseline);
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

      pass &= measure_overload (page, "all accounts rise alike", domains[i], SIM_ROUTER, true, 0.0,
                                true, seed);
      pass &= measure_overload (page, "one account rises", domains[i], SIM_ROUTER, true, 1.0, true,
                                seed);
      (void) measure_overload (page, "one account rises; baseline without priorities", domains[i],
                               SIM_ROUTER, false, 1.0, false, seed);
      (void) measure_overload (page, "one account rises; baseline first come first served",
                               domains[i], SIM_LEAST_IN_FLIGHT, false, 1.0, false, seed);
      pass &= measure_head_of_line_blocking (page, domains[i], seed);
    }
  (void) fclose (page);
  return pass ? 0 : 1;
}
