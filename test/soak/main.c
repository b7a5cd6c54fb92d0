/// Randomized fault soak: soak --program PATH [--seed N] [--seconds N] [--daemons N] [--planned]
/// [--verbose]. The exit code is 1 if a guarantee was violated.
#include "backend.h"
#include "caller.h"
#include "crowd.h"
#include "faults.h"
#include "history.h"
#include "notice.h"
#include "store.h"
#include "usage.h"
#include <glib.h>
#include <stdio.h>

#define US_PER_S INT64_C (1000000)
#define WARMUP_US (2 * US_PER_S) ///< time before the first fault
/// Length of the last phase of the run, in which no fault is injected; also the longest wait for
/// open calls after the run.
#define FAULT_FREE_US (7 * US_PER_S)
#define REQUEST_INTERVAL_MS 10      ///< interval between requests of the callers
#define TICK_MS 5                   ///< tick interval of the store and the backend servers
#define PROBE_TICKS 100             ///< ticks between probes of the configuration
#define USAGE_TICKS 200             ///< ticks between samples of memory and descriptors
#define MIN_FINAL_SERVED_RATIO 0.95 ///< minimum fraction of final-phase requests to be served

static Soak soak;

static void
on_request_timer (uv_timer_t *timer)
{
  (void) timer;
  if (soak_now_us () < soak.end_us)
    soak_caller_send (&soak);
}

static void
on_tick (uv_timer_t *timer)
{
  static unsigned ticks;

  soak_backend_tick (&soak);
  soak_store_tick (&soak.store);
  if (!soak.maintenance_only)
    soak_history_tick (&soak);
  if (++ticks % PROBE_TICKS == 0 && soak_now_us () < soak.end_us)
    soak_caller_probe_route (&soak);
  if (ticks % USAGE_TICKS == 0)
    soak_crowd_check_memory (&soak);
  if (soak.maintenance_only && ticks % USAGE_TICKS == 0)
    soak_usage_sample (&soak);
  if (soak_now_us () > soak.end_us
      && (soak.calls_in_flight == 0 || soak_now_us () > soak.end_us + FAULT_FREE_US))
    uv_stop (timer->loop);
}

static void
on_fault_timer (uv_timer_t *timer)
{
  if (soak_now_us () >= soak.faults_end_us)
    return;
  if (soak.maintenance_only)
    soak_run_maintenance (&soak);
  else
    soak_inject_fault (&soak);
  (void) uv_timer_start (timer, on_fault_timer, 100 + tt_rng_below (&soak.rng, 1000), 0);
}

static bool
start_all (long seconds)
{
  bool started;

  soak.sends_deadly_requests = !soak.maintenance_only && tt_rng_below (&soak.rng, 2) == 0;
  soak.end_us = soak.start_us + seconds * US_PER_S;
  soak.faults_end_us = soak.end_us - FAULT_FREE_US;
  started = soak_start_systems (&soak);
  for (unsigned i = 0; started && i < soak.daemon_count; i++)
    started = soak_start_daemon (&soak, i);
  return started;
}

/// In the final phase, each backend server that was ready before it must be used, whatever it or
/// others sent.
static void
check_backends_used (void)
{
  for (unsigned i = 0; i < SOAK_BACKENDS; i++)
    {
      const SoakBackend *backend = &soak.backends[i];

      soak_log (&soak, "backend server %u: %u requests in the final phase", i,
                backend->final_phase_requests);
      if (backend->server != NULL && !backend->says_leaving && backend->final_phase_requests == 0
          && backend->started_us < soak.end_us - FINAL_PHASE_US)
        soak_violation (&soak, "RECOVER", "backend server %u is not used after the last fault", i);
    }
}

int
main (int argc, char **argv)
{
  gint64 seed = 1;
  gint seconds = 20;
  gint daemons = SOAK_DAEMONS;
  gchar *program = NULL;
  gboolean verbose_option = FALSE;
  gboolean planned = FALSE;
  const GOptionEntry entries[]
      = { { "program", 'p', 0, G_OPTION_ARG_FILENAME, &program, "Path of tarragontrackd", "PATH" },
          { "seed", 's', 0, G_OPTION_ARG_INT64, &seed, "Seed of the random faults", "N" },
          { "seconds", 't', 0, G_OPTION_ARG_INT, &seconds, "Length of the run", "N" },
          { "daemons", 'd', 0, G_OPTION_ARG_INT, &daemons, "Number of daemons", "N" },
          { "planned", 0, 0, G_OPTION_ARG_NONE, &planned,
            "Planned maintenance instead of faults; also checks memory and descriptors", NULL },
          { "verbose", 'v', 0, G_OPTION_ARG_NONE, &verbose_option, "Print each injected fault",
            NULL },
          { NULL, 0, 0, 0, NULL, NULL, NULL } };
  GOptionContext *context = g_option_context_new ("- fault soak");

  g_option_context_add_main_entries (context, entries, NULL);
  if (!g_option_context_parse (context, &argc, &argv, NULL) || program == NULL || seconds < 10
      || daemons < 2 || daemons > SOAK_MAX_DAEMONS)
    {
      (void) fprintf (stderr,
                      "soak: expected --program PATH, at least 10 seconds, 2 to %d daemons\n",
                      SOAK_MAX_DAEMONS);
      return 2;
    }
  g_option_context_free (context);
  soak.verbose = verbose_option;
  soak.maintenance_only = planned;
  soak.program = program;
  soak.daemon_count = (unsigned) daemons;
  soak.seed = (uint64_t) seed;
  if (!soak_open (&soak) || !start_all (seconds))
    {
      (void) fprintf (
          stderr,
          "soak: cannot create its directory, or start the store, backend servers or daemons\n");
      return 2;
    }
  (void) uv_timer_init (soak.loop, &soak.request_timer);
  (void) uv_timer_init (soak.loop, &soak.tick_timer);
  (void) uv_timer_init (soak.loop, &soak.fault_timer);
  (void) uv_timer_start (&soak.request_timer, on_request_timer, 1500, REQUEST_INTERVAL_MS);
  (void) uv_timer_start (&soak.tick_timer, on_tick, TICK_MS, TICK_MS);
  (void) uv_timer_start (&soak.fault_timer, on_fault_timer, WARMUP_US / 1000, 0);
  (void) uv_run (soak.loop, UV_RUN_DEFAULT);
  if (soak.final_phase_served < soak.final_phase_sent * MIN_FINAL_SERVED_RATIO)
    soak_violation (&soak, "RECOVER", "%u of %u served after the last fault",
                    soak.final_phase_served, soak.final_phase_sent);
  check_backends_used ();
  if (soak.maintenance_only)
    soak_usage_check (&soak);
  (void) printf ("seed %llu: sent %u, served %u, refused %u, failed %u, crashes on a part %u, "
                 "spoilt answers %u, crowds %u, violations %u\n",
                 (unsigned long long) soak.seed, soak.sent, soak.served, soak.refused, soak.failed,
                 soak.deadly_crashes, soak.spoilt, soak.crowds, soak.violations);
  soak_clean_up (&soak);
  g_free (program);
  return soak.violations > 0 ? 1 : 0;
}
