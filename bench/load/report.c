#include "report.h"
#include <gsl/gsl_sort.h>
#include <gsl/gsl_statistics_double.h>
#include <json-c/json.h>
#include <stdio.h>

static const char *const outcome_names[]
    = { "whole", "wrong", "cut", "not_run", "unknown", "error", "timeout", "unreachable" };

/// Quantile of a sorted array; 0 if the array is empty.
static double
quantile (const GArray *array, double fraction)
{
  const double *data = (const double *) (const void *) array->data;

  return array->len == 0 ? 0.0
                         : gsl_stats_quantile_from_sorted_data (data, 1, array->len, fraction);
}

static void
sort_array (GArray *array)
{
  gsl_sort ((double *) (void *) array->data, 1, array->len);
}

/// Adds the samples and counts of one kind of work to those of all kinds.
static void
merge_statistics (LoadStatistics *all, const LoadStatistics *part)
{
  for (int i = 0; i < LOAD_OUTCOME_COUNT; i++)
    all->outcomes[i] += part->outcomes[i];
  g_array_append_vals (all->latencies_ms, part->latencies_ms->data, part->latencies_ms->len);
  g_array_append_vals (all->first_token_ms, part->first_token_ms->data, part->first_token_ms->len);
  g_array_append_vals (all->token_gaps_ms, part->token_gaps_ms->data, part->token_gaps_ms->len);
  all->tokens += part->tokens;
  all->prompt_tokens += part->prompt_tokens;
  all->cached_tokens += part->cached_tokens;
  all->later_turn_prompt_tokens += part->later_turn_prompt_tokens;
  all->later_turn_cached_tokens += part->later_turn_cached_tokens;
}

/// Sorts an array of samples and returns its count and quantiles.
static json_object *
quantiles_to_json (GArray *array)
{
  json_object *object = json_object_new_object ();

  sort_array (array);
  json_object_object_add (object, "count", json_object_new_int64 (array->len));
  json_object_object_add (object, "p50", json_object_new_double (quantile (array, 0.50)));
  json_object_object_add (object, "p95", json_object_new_double (quantile (array, 0.95)));
  json_object_object_add (object, "p99", json_object_new_double (quantile (array, 0.99)));
  return object;
}

static double
ratio (uint64_t part, uint64_t all)
{
  return all == 0 ? 0.0 : (double) part / (double) all;
}

static json_object *
statistics_to_json (LoadStatistics *statistics, double elapsed_s)
{
  json_object *object = json_object_new_object ();
  json_object *outcomes = json_object_new_object ();
  uint64_t requests = 0;

  for (int i = 0; i < LOAD_OUTCOME_COUNT; i++)
    {
      requests += statistics->outcomes[i];
      json_object_object_add (outcomes, outcome_names[i],
                              json_object_new_uint64 (statistics->outcomes[i]));
    }
  json_object_object_add (object, "requests", json_object_new_uint64 (requests));
  json_object_object_add (object, "outcomes", outcomes);
  json_object_object_add (object, "latency_ms", quantiles_to_json (statistics->latencies_ms));
  json_object_object_add (object, "first_token_ms", quantiles_to_json (statistics->first_token_ms));
  json_object_object_add (object, "token_gap_ms", quantiles_to_json (statistics->token_gaps_ms));
  json_object_object_add (object, "tokens", json_object_new_uint64 (statistics->tokens));
  json_object_object_add (
      object, "requests_per_s",
      json_object_new_double ((double) statistics->outcomes[LOAD_COMPLETE] / elapsed_s));
  json_object_object_add (object, "tokens_per_s",
                          json_object_new_double ((double) statistics->tokens / elapsed_s));
  json_object_object_add (
      object, "cached_share",
      json_object_new_double (ratio (statistics->cached_tokens, statistics->prompt_tokens)));
  json_object_object_add (object, "cached_share_of_returns",
                          json_object_new_double (ratio (statistics->later_turn_cached_tokens,
                                                         statistics->later_turn_prompt_tokens)));
  return object;
}

/// Prints the table row of a kind of work. The samples must be sorted.
static void
print_row (const char *name, LoadStatistics *statistics)
{
  uint64_t requests = 0;

  for (int i = 0; i < LOAD_OUTCOME_COUNT; i++)
    requests += statistics->outcomes[i];
  (void) printf ("%-18.18s %8llu %8llu | %8.1f %8.1f %8.1f", name, (unsigned long long) requests,
                 (unsigned long long) statistics->outcomes[LOAD_COMPLETE],
                 quantile (statistics->latencies_ms, 0.50),
                 quantile (statistics->latencies_ms, 0.95),
                 quantile (statistics->latencies_ms, 0.99));
  if (statistics->first_token_ms->len > 0)
    (void) printf (
        " | %7.1f %7.1f %7.1f | %5.1f %5.1f %5.1f", quantile (statistics->first_token_ms, 0.50),
        quantile (statistics->first_token_ms, 0.95), quantile (statistics->first_token_ms, 0.99),
        quantile (statistics->token_gaps_ms, 0.50), quantile (statistics->token_gaps_ms, 0.95),
        quantile (statistics->token_gaps_ms, 0.99));
  (void) printf ("\n");
}

static void
print_report (Load *load, LoadStatistics *all, double elapsed_s)
{
  (void) printf ("times in ms from the scheduled send time, so that a stalled target counts\n"
                 "%-18s %8s %8s | %8s %8s %8s | %7s %7s %7s | %5s %5s %5s\n",
                 "kind of work", "requests", "whole", "all p50", "p95", "p99", "1st p50", "p95",
                 "p99", "token", "p95", "p99");
  for (int i = 0; i < load->kind_count; i++)
    print_row (load->kinds[i].name, &load->kinds[i].work_statistics);
  print_row ("all", all);
  for (int i = 0; i < LOAD_OUTCOME_COUNT; i++)
    if (all->outcomes[i] > 0)
      (void) printf ("%s %llu  ", outcome_names[i], (unsigned long long) all->outcomes[i]);
  (void) printf ("\n%.1f requests/s, %.0f tokens/s; %.1f %% of prompt tokens cached, %.1f %% of "
                 "those of returning turns\n",
                 (double) all->outcomes[LOAD_COMPLETE] / elapsed_s,
                 (double) all->tokens / elapsed_s,
                 100 * ratio (all->cached_tokens, all->prompt_tokens),
                 100 * ratio (all->later_turn_cached_tokens, all->later_turn_prompt_tokens));
  (void) printf ("send delay at p99 %.2f ms; %llu refused connections retried at another target\n",
                 quantile (load->send_lags_ms, 0.99), (unsigned long long) load->connect_retries);
  for (int i = 0; load->target_count > 1 && i < load->target_count; i++)
    (void) printf ("%s: %llu requests\n", load->targets[i].url,
                   (unsigned long long) load->targets[i].requests_sent);
  if (load->options.services != NULL)
    (void) printf ("grants %llu: ran once %llu, never %llu, more than once %llu, after \"not run\" "
                   "%llu; retried after \"unknown\" %llu%s\n",
                   (unsigned long long) load->executions.distinct_grants,
                   (unsigned long long) load->executions.grants_by_runs[1],
                   (unsigned long long) load->executions.grants_by_runs[0],
                   (unsigned long long) load->executions.grants_by_runs[2],
                   (unsigned long long) load->executions.ran_after_not_run,
                   (unsigned long long) load->unknown_retries,
                   load->executions.counts_received ? ""
                                                    : " (THE COUNTS OF A SERVICE ARE MISSING)");
}

/// Number of executions of an idempotency key, added up over all service stand-ins.
static int64_t
count_executions (json_object **roots, int count, const char *key)
{
  int64_t sum = 0;

  for (int i = 0; i < count; i++)
    {
      json_object *keys = NULL;
      json_object *value = NULL;

      if (json_object_object_get_ex (roots[i], "keys", &keys)
          && json_object_object_get_ex (keys, key, &value))
        sum += json_object_get_int64 (value);
    }
  return sum;
}

void
load_report_count_executions (Load *load)
{
  LoadExecutions *executions = &load->executions;
  json_object *roots[LOAD_MAX_TARGETS] = { NULL };
  int count = 0;
  GHashTableIter iterator;
  gpointer key;
  gpointer value;

  executions->counts_received = true;
  for (; count < LOAD_MAX_TARGETS && load->service_responses[count] != NULL; count++)
    {
      roots[count] = json_tokener_parse (load->service_responses[count]->str);
      executions->counts_received = executions->counts_received
                                    && load->service_codes[count] == TT_OK
                                    && json_object_is_type (roots[count], json_type_object);
    }
  g_hash_table_iter_init (&iterator, load->grant_outcomes);
  while (count > 0 && executions->counts_received
         && g_hash_table_iter_next (&iterator, &key, &value))
    {
      int64_t ran = count_executions (roots, count, key);
      int outcome = GPOINTER_TO_INT (value) - 1;

      executions->distinct_grants++;
      executions->grants_by_runs[ran < 2 ? ran : 2]++;
      executions->ran_after_not_run += outcome == LOAD_NOT_RUN && ran > 0;
      executions->complete_but_not_run += outcome == LOAD_COMPLETE && ran == 0;
    }
  for (int i = 0; i < count; i++)
    json_object_put (roots[i]);
}

static bool
has_passed (const Load *load, const LoadStatistics *all)
{
  const LoadExecutions *executions = &load->executions;
  uint64_t not_complete = 0;

  for (int i = LOAD_COMPLETE + 1; i < LOAD_OUTCOME_COUNT; i++)
    not_complete += all->outcomes[i];
  if (load->options.require_complete && (not_complete > 0 || executions->grants_by_runs[0] > 0))
    return false;
  return all->outcomes[LOAD_WRONG] == 0 && all->outcomes[LOAD_CUT] == 0
         && executions->counts_received && executions->grants_by_runs[2] == 0
         && executions->ran_after_not_run == 0 && executions->complete_but_not_run == 0;
}

static json_object *
executions_to_json (const LoadExecutions *executions)
{
  json_object *object = json_object_new_object ();

  json_object_object_add (object, "sent", json_object_new_uint64 (executions->distinct_grants));
  json_object_object_add (object, "never", json_object_new_uint64 (executions->grants_by_runs[0]));
  json_object_object_add (object, "once", json_object_new_uint64 (executions->grants_by_runs[1]));
  json_object_object_add (object, "more", json_object_new_uint64 (executions->grants_by_runs[2]));
  json_object_object_add (object, "after_not_run",
                          json_object_new_uint64 (executions->ran_after_not_run));
  return object;
}

bool
load_report_write (Load *load)
{
  LoadStatistics all = { .latencies_ms = g_array_new (FALSE, FALSE, sizeof (double)),
                         .first_token_ms = g_array_new (FALSE, FALSE, sizeof (double)),
                         .token_gaps_ms = g_array_new (FALSE, FALSE, sizeof (double)) };
  double elapsed_s = (double) (load->last_end_us - load->start_us) / 1e6;
  json_object *root = json_object_new_object ();
  json_object *kinds = json_object_new_object ();
  bool passed;

  for (int i = 0; i < load->kind_count; i++)
    {
      merge_statistics (&all, &load->kinds[i].work_statistics);
      json_object_object_add (kinds, load->kinds[i].name,
                              statistics_to_json (&load->kinds[i].work_statistics, elapsed_s));
    }
  passed = has_passed (load, &all);
  sort_array (load->send_lags_ms);
  json_object_object_add (root, "seed", json_object_new_int (load->options.seed));
  json_object_object_add (root, "rate", json_object_new_double (load->options.rate));
  json_object_object_add (root, "elapsed_s", json_object_new_double (elapsed_s));
  json_object_object_add (root, "passed", json_object_new_boolean (passed));
  json_object_object_add (root, "send_lag_ms", quantiles_to_json (load->send_lags_ms));
  json_object_object_add (root, "all", statistics_to_json (&all, elapsed_s));
  json_object_object_add (root, "kinds", kinds);
  json_object_object_add (root, "grants", executions_to_json (&load->executions));
  print_report (load, &all, elapsed_s);
  if (load->options.report_path != NULL
      && json_object_to_file_ext (load->options.report_path, root, JSON_C_TO_STRING_PRETTY) != 0)
    {
      (void) fprintf (stderr, "tt_load: %s cannot be written\n", load->options.report_path);
      passed = false;
    }
  json_object_put (root);
  (void) g_array_free (all.latencies_ms, TRUE);
  (void) g_array_free (all.first_token_ms, TRUE);
  (void) g_array_free (all.token_gaps_ms, TRUE);
  return passed;
}
