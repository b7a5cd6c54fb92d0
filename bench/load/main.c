/// Load generator: sends requests at a given mean rate to daemons, or directly to stand-ins, and
/// checks each response.
#include "balancer.h"
#include "call.h"
#include "idle.h"
#include "plan.h"
#include "report.h"
#include <stdio.h>
#include <string.h>
#include <sys/timerfd.h>
#include <unistd.h>

#define PROBE_PERIOD_MS 100
#define US_PER_S 1000000
#define EXIT_FAILED 1
#define EXIT_USAGE 2

static const char *const type_names[] = { "stream", "chat", "call", "grant" };

/// Parses NAME:WEIGHT:TYPE:TOKENS.
static bool
parse_kind (Load *load, const char *text)
{
  char **parts = g_strsplit (text, ":", 4);
  LoadKind *kind = &load->kinds[load->kind_count];
  bool type_known = false;

  if (g_strv_length (parts) == 4 && load->kind_count < LOAD_MAX_KINDS)
    for (int type = 0; type < LOAD_TYPE_COUNT; type++)
      if (strcmp (parts[2], type_names[type]) == 0)
        {
          kind->type = (LoadType) type;
          type_known = true;
        }
  if (type_known)
    {
      g_strlcpy (kind->name, parts[0], sizeof kind->name);
      kind->weight = g_ascii_strtod (parts[1], NULL);
      kind->mean_response_tokens = (uint32_t) strtoul (parts[3], NULL, 10);
      kind->work_statistics.latencies_ms = g_array_new (FALSE, FALSE, sizeof (double));
      kind->work_statistics.first_token_ms = g_array_new (FALSE, FALSE, sizeof (double));
      kind->work_statistics.token_gaps_ms = g_array_new (FALSE, FALSE, sizeof (double));
      load->kind_count++;
    }
  g_strfreev (parts);
  return type_known && kind->weight > 0.0 && kind->mean_response_tokens > 0;
}

/// Parses NAME:WEIGHT.
static bool
parse_account (Load *load, const char *text)
{
  char **parts = g_strsplit (text, ":", 2);
  LoadAccount *account = &load->accounts[load->account_count];
  bool valid = g_strv_length (parts) == 2 && load->account_count < LOAD_MAX_ACCOUNTS;

  if (valid)
    {
      g_strlcpy (account->name, parts[0], sizeof account->name);
      account->weight = g_ascii_strtod (parts[1], NULL);
      load->account_count++;
    }
  g_strfreev (parts);
  return valid && account->weight > 0.0;
}

/// Applies a parser to each value of an option. If a value is invalid or the option is missing,
/// prints a message to stderr and returns false.
static bool
parse_all (Load *load, char **texts, const char *name, bool (*parse) (Load *load, const char *text))
{
  for (char **text = texts; text != NULL && *text != NULL; text++)
    if (!parse (load, *text))
      {
        (void) fprintf (stderr, "tt_load: --%s: invalid value \"%s\", see --help\n", name, *text);
        return false;
      }
  if (texts == NULL)
    (void) fprintf (stderr, "tt_load: --%s is required\n", name);
  return texts != NULL;
}

static bool
parse_options (Load *load, int argc, char **argv)
{
  LoadOptions *options = &load->options;
  const GOptionEntry entries[] = {
    { "target", 't', 0, G_OPTION_ARG_STRING_ARRAY, &options->targets,
      "http://IP:PORT of callers, with ,http://IP:PORT of operators for /readyz", "URL[,URL]" },
    { "kind", 'k', 0, G_OPTION_ARG_STRING_ARRAY, &options->kinds,
      "kind of work; TYPE is stream, chat, call or grant", "NAME:WEIGHT:TYPE:TOKENS" },
    { "account", 'a', 0, G_OPTION_ARG_STRING_ARRAY, &options->accounts, "client account",
      "NAME:WEIGHT" },
    { "service", 0, 0, G_OPTION_ARG_STRING_ARRAY, &options->services,
      "service stand-in whose execution counts are read at the end", "URL" },
    { "rate", 'r', 0, G_OPTION_ARG_DOUBLE, &options->rate, "requests per second, mean", "N" },
    { "duration", 'd', 0, G_OPTION_ARG_DOUBLE, &options->duration_s,
      "period in which requests arrive", "SECONDS" },
    { "seed", 's', 0, G_OPTION_ARG_INT, &options->seed, "seed of the random numbers", "N" },
    { "turns", 0, 0, G_OPTION_ARG_DOUBLE, &options->turns, "mean number of turns of a chat", "N" },
    { "pause-ms", 0, 0, G_OPTION_ARG_DOUBLE, &options->pause_ms,
      "mean pause between the turns of a chat", "MS" },
    { "system-bytes", 0, 0, G_OPTION_ARG_INT, &options->system_bytes,
      "size of an account's system prompt", "BYTES" },
    { "message-bytes", 0, 0, G_OPTION_ARG_INT, &options->message_bytes,
      "mean size of a user's message", "BYTES" },
    { "timeout-ms", 0, 0, G_OPTION_ARG_INT, &options->timeout_ms, "limit for one request", "MS" },
    { "repeat", 0, 0, G_OPTION_ARG_DOUBLE, &options->repeat_fraction,
      "fraction of the grants that are sent again, to another target", "0..1" },
    { "idle", 0, 0, G_OPTION_ARG_INT, &options->idle_connections,
      "idle connections to the first target during the run", "N" },
    { "model", 'm', 0, G_OPTION_ARG_STRING, &options->model, "model of the chats", "NAME" },
    { "path", 'p', 0, G_OPTION_ARG_STRING, &options->service_path, "path of the plain service",
      "PATH" },
    { "json", 'j', 0, G_OPTION_ARG_FILENAME, &options->report_path, "writes the report as JSON",
      "FILE" },
    { "all-whole", 0, 0, G_OPTION_ARG_NONE, &options->require_complete,
      "fails unless all responses are complete and each grant ran", NULL },
    { NULL, 0, 0, 0, NULL, NULL, NULL },
  };
  GOptionContext *context = g_option_context_new ("- load generator");
  GError *error = NULL;
  bool parsed;

  g_option_context_add_main_entries (context, entries, NULL);
  parsed = g_option_context_parse (context, &argc, &argv, &error) && argc == 1;
  if (!parsed)
    (void) fprintf (stderr, "tt_load: %s\n", error != NULL ? error->message : "no arguments");
  g_clear_error (&error);
  g_option_context_free (context);
  if (options->model == NULL)
    options->model = g_strdup ("chat");
  if (options->service_path == NULL)
    options->service_path = g_strdup ("/");
  return parsed && options->rate > 0.0 && options->duration_s > 0.0 && options->turns >= 1.0
         && parse_all (load, options->targets, "target", load_balancer_add)
         && parse_all (load, options->kinds, "kind", parse_kind)
         && parse_all (load, options->accounts, "account", parse_account);
}

/// Arms the timer for Load.next_arrival_us.
static void
arm_arrival_timer (const Load *load)
{
  struct itimerspec expiry = { .it_value = { .tv_sec = load->next_arrival_us / US_PER_S,
                                             .tv_nsec = load->next_arrival_us % US_PER_S * 1000 } };

  (void) timerfd_settime (load->arrival_timer, TFD_TIMER_ABSTIME, &expiry, NULL);
}

/// Sends all requests whose scheduled time has passed.
static void
on_arrival_timer (uv_poll_t *poll, int status, int events)
{
  Load *load = poll->data;
  int64_t now = (int64_t) (uv_hrtime () / 1000);
  uint64_t expirations;

  (void) status;
  (void) events;
  if (read (load->arrival_timer, &expirations, sizeof expirations) < 0)
    return;
  while (load->next_arrival_us <= now && load->next_arrival_us < load->arrivals_end_us)
    {
      load_call_start (load_plan_next_request (load, now));
      load->next_arrival_us += load_plan_interarrival_us (load);
    }
  load->arrivals_done = load->next_arrival_us >= load->arrivals_end_us;
  if (!load->arrivals_done)
    arm_arrival_timer (load);
}

static void
on_probe (uv_timer_t *timer)
{
  load_balancer_probe (timer->data);
}

static void
on_handle_closed (uv_handle_t *handle)
{
  (void) handle;
}

static bool
open_load (Load *load)
{
  (void) uv_loop_init (&load->loop);
  load->http = tt_http_client_new (&load->loop);
  load->random = gsl_rng_alloc (gsl_rng_mt19937);
  load->arrival_timer = timerfd_create (CLOCK_MONOTONIC, TFD_NONBLOCK | TFD_CLOEXEC);
  if (load->http == NULL || load->random == NULL || load->arrival_timer < 0)
    return false;
  gsl_rng_set (load->random, (unsigned long) load->options.seed);
  load->send_lags_ms = g_array_new (FALSE, FALSE, sizeof (double));
  load->grant_outcomes = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  tt_list_init (&load->chats);
  (void) uv_poll_init (&load->loop, &load->arrival_timer_poll, load->arrival_timer);
  (void) uv_timer_init (&load->loop, &load->probe_timer);
  load->arrival_timer_poll.data = load;
  load->probe_timer.data = load;
  return true;
}

/// Sends all requests and waits until each has an outcome.
static void
run_load (Load *load)
{
  load_balancer_probe (load);
  while (!load_balancer_probes_finished (load))
    (void) uv_run (&load->loop, UV_RUN_ONCE);
  (void) uv_timer_start (&load->probe_timer, on_probe, PROBE_PERIOD_MS, PROBE_PERIOD_MS);
  load->start_us = (int64_t) (uv_hrtime () / 1000);
  load->next_arrival_us = load->start_us + load_plan_interarrival_us (load);
  load->arrivals_end_us = load->start_us + (int64_t) (load->options.duration_s * US_PER_S);
  (void) uv_poll_start (&load->arrival_timer_poll, UV_READABLE, on_arrival_timer);
  arm_arrival_timer (load);
  while (!load->arrivals_done || load->open_requests > 0)
    (void) uv_run (&load->loop, UV_RUN_ONCE);
  (void) uv_timer_stop (&load->probe_timer);
  (void) uv_poll_stop (&load->arrival_timer_poll);
  load_call_fetch_executions (load);
  while (load->open_service_calls > 0)
    (void) uv_run (&load->loop, UV_RUN_ONCE);
}

static void
close_load (Load *load)
{
  TtLink *link;

  load_idle_close (load);
  uv_close ((uv_handle_t *) &load->arrival_timer_poll, on_handle_closed);
  uv_close ((uv_handle_t *) &load->probe_timer, on_handle_closed);
  tt_http_client_free (load->http);
  (void) uv_run (&load->loop, UV_RUN_DEFAULT);
  (void) uv_loop_close (&load->loop);
  g_free (load->idle_sockets);
  (void) close (load->arrival_timer);
  gsl_rng_free (load->random);
  (void) g_array_free (load->send_lags_ms, TRUE);
  g_hash_table_destroy (load->grant_outcomes);
  while ((link = tt_list_pop (&load->chats)) != NULL)
    load_plan_free_chat (TT_CONTAINER_OF (link, LoadChat, link));
}

int
main (int argc, char **argv)
{
  static Load load = { .options = { .rate = 20,
                                    .duration_s = 10,
                                    .seed = 1,
                                    .turns = 4,
                                    .pause_ms = 1000,
                                    .system_bytes = 1200,
                                    .message_bytes = 200,
                                    .timeout_ms = 60000 } };
  bool passed;

  if (!parse_options (&load, argc, argv))
    return EXIT_USAGE;
  if (!open_load (&load) || !load_idle_open (&load))
    return EXIT_FAILED;
  run_load (&load);
  load_report_count_executions (&load);
  passed = load_report_write (&load);
  close_load (&load);
  return passed ? 0 : EXIT_FAILED;
}
