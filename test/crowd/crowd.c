/// Test of one crowd of callers that keeps to no limit: crowd --program PATH [--verbose] NAME.
/// Starts two daemons with lowered limits, their store and backend servers, and lets the crowd
/// loose on the first daemon. Checked: the daemon lives, its memory and descriptors stay under the
/// limits of its settings, and beside the crowd and after it an ordinary request is answered,
/// metrics are served, a new configuration is applied and messages of the other daemon arrive. The
/// exit code is 1 if a check failed.
#include "crowd.h"
#include "backend.h"
#include "caller.h"
#include "faults.h"
#include "store.h"
#include "usage.h"
#include <glib.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/resource.h>

#define TICK_MS 5
#define SEND_US 200000           ///< interval between ordinary requests
#define QUIET_US 1500000         ///< a crowd that sends nothing for this time has settled
#define PHASE_LIMIT_US 60000000  ///< limit of each wait; no check depends on a shorter time
#define PLATFORM_DESCRIPTORS 200 ///< of the process's descriptors, kept for files
#define DAEMONS 2
#define KB_PER_MB 1024
#define METRICS_MAX 65536

typedef enum
{
  PORT_CALLERS,
  PORT_OPERATORS
} Port;

/// A crowd, and the settings of the daemons.
typedef struct
{
  const char *name; ///< NULL: that of the kind
  SoakCrowdKind kind;
  Port port;
  unsigned connections;
  unsigned memory_mb;
  unsigned descriptors;
  unsigned body_bytes;
} Case;

static const Case cases[] = {
  { NULL, SOAK_CROWD_LARGE_CHUNKS, PORT_CALLERS, 64, 64, 1024, 4 << 20 },
  { NULL, SOAK_CROWD_SMALL_CHUNKS, PORT_CALLERS, 64, 64, 1024, 4 << 20 },
  { NULL, SOAK_CROWD_TINY_CHUNKS, PORT_CALLERS, 128, 64, 1024, 4 << 20 },
  { NULL, SOAK_CROWD_LENGTH, PORT_CALLERS, 64, 64, 1024, 4 << 20 },
  { NULL, SOAK_CROWD_SMALL_BODIES, PORT_CALLERS, 1500, 64, 4096, 4 << 20 },
  { NULL, SOAK_CROWD_COMPLETE, PORT_CALLERS, 64, 64, 1024, 4 << 20 },
  { NULL, SOAK_CROWD_CHUNKS_OVER, PORT_CALLERS, 64, 64, 1024, 4 << 20 },
  { NULL, SOAK_CROWD_LENGTH_OVER, PORT_CALLERS, 64, 64, 1024, 4 << 20 },
  { NULL, SOAK_CROWD_HEADS, PORT_CALLERS, 400, 64, 1024, 4 << 20 },
  { NULL, SOAK_CROWD_SILENT, PORT_CALLERS, 700, 64, 512, 4 << 20 },
  { NULL, SOAK_CROWD_EXTENSIONS, PORT_CALLERS, 64, 64, 1024, 4 << 20 },
  { NULL, SOAK_CROWD_TRAILERS, PORT_CALLERS, 64, 64, 1024, 4 << 20 },
  { NULL, SOAK_CROWD_UNREAD, PORT_CALLERS, 64, 64, 1024, 4 << 20 },
  { NULL, SOAK_CROWD_HTTP2_STREAMS, PORT_CALLERS, 8, 64, 1024, 4 << 20 },
  { NULL, SOAK_CROWD_HTTP2_WHOLE, PORT_CALLERS, 8, 64, 1024, 4 << 20 },
  { NULL, SOAK_CROWD_UNREAD_METRICS, PORT_OPERATORS, 100, 64, 1024, 4 << 20 },
  { "operator-heads", SOAK_CROWD_HEADS, PORT_OPERATORS, 400, 64, 1024, 4 << 20 },
  { "metrics-silent", SOAK_CROWD_SILENT, PORT_OPERATORS, 100, 64, 1024, 4 << 20 },
  // The smallest hosts of the users.
  { "smallest-length", SOAK_CROWD_LENGTH, PORT_CALLERS, 60, 160, 4100, 8 << 20 },
  { "smallest-chunks", SOAK_CROWD_LARGE_CHUNKS, PORT_CALLERS, 60, 160, 4100, 8 << 20 },
  { "smallest-silent", SOAK_CROWD_SILENT, PORT_CALLERS, 4200, 160, 4100, 8 << 20 },
};

/// Steps of a run, in their order.
typedef enum
{
  PHASE_START,      ///< until an ordinary request is answered
  PHASE_CROWD,      ///< until the crowd sends nothing more
  PHASE_BESIDE,     ///< until an ordinary request is answered beside the crowd
  PHASE_METRICS,    ///< until metrics are served
  PHASE_CONFIGURED, ///< until a new configuration is applied
  PHASE_PEERS,      ///< until messages of the other daemon have arrived
  PHASE_AFTER,      ///< the crowd is gone: until an ordinary request is answered
  PHASE_DONE
} Phase;

static const char *const phase_names[] = {
  "an ordinary request is answered before the crowd",
  "the crowd comes to rest",
  "an ordinary request is answered beside the crowd",
  "metrics are served beside the crowd",
  "a new configuration is applied beside the crowd",
  "messages of the other daemon arrive beside the crowd",
  "an ordinary request is answered after the crowd",
};

typedef struct
{
  Soak soak;
  const Case *test;
  SoakCrowd *crowd;
  Phase phase;
  int64_t phase_us;
  int64_t next_send_us;
  int64_t last_progress_us;
  uint64_t crowd_progress;
  unsigned served_before;
  uint64_t peak_kb;
  uint64_t peak_descriptors;
  bool call_open; ///< a call for metrics or of a new route
  unsigned status;
  size_t text_size;
  char text[METRICS_MAX];
  double peer_messages; ///< that the daemon has received, when the phase began; negative = unknown
  char limits[256];
} Run;

static Run run;

static SoakDaemon *
target (void)
{
  return &run.soak.daemons[0];
}

static const char *
case_name (const Case *test)
{
  return test->name != NULL ? test->name : soak_crowd_name (test->kind);
}

static void
enter (Phase phase)
{
  run.phase = phase;
  run.phase_us = soak_now_us ();
  run.served_before = run.soak.served;
  run.status = 0;
  run.peer_messages = -1.0;
  soak_log (&run.soak, "phase %d; %llu KB, %llu descriptors", (int) phase,
            (unsigned long long) run.peak_kb, (unsigned long long) run.peak_descriptors);
}

static void
on_headers (void *context, TtHttpCall *call, unsigned status)
{
  (void) context, (void) call;
  run.status = status;
}

static void
on_data (void *context, const char *data, size_t size)
{
  (void) context;
  if (size > sizeof run.text - 1 - run.text_size)
    size = sizeof run.text - 1 - run.text_size;
  memcpy (run.text + run.text_size, data, size);
  run.text_size += size;
}

static void
on_end (void *context, const TtError *error)
{
  (void) context;
  run.call_open = false;
  run.text[run.text_size] = '\0';
  if (error->code != 0)
    run.status = 0;
}

/// Sends a GET request, whose status and body run.status and run.text hold at its end.
static void
start_call (uint16_t port, const char *path)
{
  char url[96];
  const char *headers[]
      = { "Host: h.example", "Authorization: Bearer key", "Attempt-Id: probe", NULL };
  TtHttpRequest request = { .method = "GET",
                            .url = url,
                            .peer = "daemon",
                            .headers = headers,
                            .fresh_connection = true,
                            .single_use = true,
                            .connect_timeout_ms = 1000,
                            .total_timeout_ms = 5000,
                            .on_headers = on_headers,
                            .on_data = on_data,
                            .on_end = on_end };

  (void) snprintf (url, sizeof url, "http://127.0.0.1:%u%s", port, path);
  run.text_size = 0;
  run.status = 0;
  run.call_open = tt_http_client_start (run.soak.http, &request) != NULL;
}

static double
received_peer_messages (void)
{
  const char *at = strstr (run.text, "\ntarragontrack_peer_messages_received_total ");

  return at != NULL ? strtod (strchr (at, ' '), NULL) : -1.0;
}

/// Sends the requests of a phase and tells whether it is complete.
static bool
is_phase_complete (int64_t now_us)
{
  bool due = now_us >= run.next_send_us;

  if (due)
    run.next_send_us = now_us + SEND_US;
  switch (run.phase)
    {
    case PHASE_START:
    case PHASE_BESIDE:
    case PHASE_AFTER:
      if (due)
        soak_caller_send_to (&run.soak, target ());
      return run.soak.served > run.served_before;
    case PHASE_CROWD:
      if (soak_crowd_progress (run.crowd) != run.crowd_progress)
        run.last_progress_us = now_us;
      run.crowd_progress = soak_crowd_progress (run.crowd);
      return now_us - run.last_progress_us > QUIET_US;
    case PHASE_METRICS:
    case PHASE_PEERS:
      if (due && !run.call_open && run.status == 200 && run.phase == PHASE_METRICS)
        return true;
      if (due && !run.call_open && run.status == 200)
        {
          if (run.peer_messages >= 0.0 && received_peer_messages () > run.peer_messages)
            return true;
          run.peer_messages = received_peer_messages ();
        }
      if (due && !run.call_open)
        start_call (target ()->operator_port, "/metrics");
      return false;
    default:
      if (due && !run.call_open && run.status != 0 && (run.status != 404) == run.soak.extra_route)
        return true;
      if (due && !run.call_open)
        start_call (target ()->caller_port, "/extra/1");
      return false;
    }
}

/// Enters the phase after a complete one.
static void
advance (int64_t now_us)
{
  const Case *test = run.test;
  uint16_t port = test->port == PORT_CALLERS ? target ()->caller_port : target ()->operator_port;

  enter (run.phase + 1);
  if (run.phase == PHASE_CROWD)
    {
      run.crowd = soak_crowd_open (&run.soak, target (), port, test->kind, test->connections,
                                   test->body_bytes);
      run.last_progress_us = now_us;
    }
  if (run.phase == PHASE_CONFIGURED)
    {
      (void) soak_request_new (&run.soak, "probe", SOAK_KIND_IDEMPOTENT);
      soak_write_configuration (&run.soak);
    }
  if (run.phase == PHASE_AFTER)
    {
      soak_log (&run.soak,
                "%u connections open; answers 400: %u, 408: %u, 413: %u, 431: %u, 503: %u",
                soak_crowd_open_connections (run.crowd), soak_crowd_answers (run.crowd, 400),
                soak_crowd_answers (run.crowd, 408), soak_crowd_answers (run.crowd, 413),
                soak_crowd_answers (run.crowd, 431), soak_crowd_answers (run.crowd, 503));
      soak_crowd_close (run.crowd);
      run.crowd = NULL;
    }
}

static void
sample_usage (void)
{
  uint64_t peak_kb = soak_usage_peak_kb (target ()->process.pid);
  uint64_t descriptors = soak_usage_descriptors (target ()->process.pid);

  if (peak_kb > run.peak_kb)
    run.peak_kb = peak_kb;
  if (descriptors > run.peak_descriptors)
    run.peak_descriptors = descriptors;
}

static void
on_tick (uv_timer_t *timer)
{
  int64_t now_us = soak_now_us ();

  soak_backend_tick (&run.soak);
  soak_store_tick (&run.soak.store);
  if (!target ()->running)
    {
      soak_violation (&run.soak, "FAULT", "the daemon has ended");
      uv_stop (timer->loop);
      return;
    }
  sample_usage ();
  if (now_us - run.phase_us > PHASE_LIMIT_US)
    {
      soak_violation (&run.soak, "ANSWER", "not seen: %s", phase_names[run.phase]);
      advance (now_us);
    }
  else if (is_phase_complete (now_us))
    advance (now_us);
  if (run.phase == PHASE_DONE)
    uv_stop (timer->loop);
}

static bool
start_daemons (void)
{
  struct rlimit own;
  struct rlimit lowered;
  bool started;

  run.soak.daemon_count = DAEMONS;
  started = soak_start_systems (&run.soak);
  (void) snprintf (run.limits, sizeof run.limits,
                   "\"max_requests\": 4096, \"max_attempts\": 8192, \"memory_mb\": %u, "
                   "\"body_bytes\": %u, \"read_timeout_ms\": 3600000",
                   run.test->memory_mb, run.test->body_bytes);
  (void) getrlimit (RLIMIT_NOFILE, &own);
  lowered = own;
  lowered.rlim_cur = run.test->descriptors; // inherited by the daemons
  for (unsigned i = 0; started && i < DAEMONS; i++)
    {
      run.soak.daemons[i].limits = run.limits;
      (void) setrlimit (RLIMIT_NOFILE, &lowered);
      started = soak_start_daemon (&run.soak, i);
      (void) setrlimit (RLIMIT_NOFILE, &own);
    }
  return started;
}

static void
check_usage (void)
{
  uint64_t memory_kb = (uint64_t) run.test->memory_mb * KB_PER_MB;
  uint64_t descriptors = run.test->descriptors - PLATFORM_DESCRIPTORS;

  if (run.peak_kb > memory_kb)
    soak_violation (&run.soak, "MEMORY", "%llu KB at the peak, above the limit of %llu",
                    (unsigned long long) run.peak_kb, (unsigned long long) memory_kb);
  if (run.peak_descriptors > descriptors)
    soak_violation (&run.soak, "DESCRIPTORS", "%llu at the peak, above the limit of %llu",
                    (unsigned long long) run.peak_descriptors, (unsigned long long) descriptors);
}

static const Case *
find_case (const char *name)
{
  for (size_t i = 0; i < sizeof cases / sizeof cases[0]; i++)
    if (strcmp (name, case_name (&cases[i])) == 0)
      return &cases[i];
  return NULL;
}

int
main (int argc, char **argv)
{
  gchar *program = NULL;
  gboolean verbose = FALSE;
  uv_timer_t tick;
  const GOptionEntry entries[]
      = { { "program", 'p', 0, G_OPTION_ARG_FILENAME, &program, "Path of tarragontrackd", "PATH" },
          { "verbose", 'v', 0, G_OPTION_ARG_NONE, &verbose, "Print each phase", NULL },
          { NULL, 0, 0, 0, NULL, NULL, NULL } };
  GOptionContext *context = g_option_context_new ("NAME - a crowd of callers");

  g_option_context_add_main_entries (context, entries, NULL);
  if (!g_option_context_parse (context, &argc, &argv, NULL) || program == NULL || argc != 2
      || (run.test = find_case (argv[1])) == NULL)
    {
      (void) fprintf (stderr, "crowd: expected --program PATH and the name of a crowd\n");
      return 2;
    }
  g_option_context_free (context);
  run.soak.program = program;
  run.soak.seed = 1;
  run.soak.verbose = verbose;
  run.soak.end_us = run.soak.faults_end_us = INT64_MAX;
  if (!soak_open (&run.soak) || !start_daemons ())
    {
      (void) fprintf (stderr, "crowd: cannot start the store, backend servers or daemons\n");
      return 2;
    }
  enter (PHASE_START);
  (void) uv_timer_init (run.soak.loop, &tick);
  (void) uv_timer_start (&tick, on_tick, TICK_MS, TICK_MS);
  (void) uv_run (run.soak.loop, UV_RUN_DEFAULT);
  check_usage ();
  (void) printf ("crowd %s: %llu KB and %llu descriptors at the peak, sent %u, served %u, "
                 "violations %u\n",
                 case_name (run.test), (unsigned long long) run.peak_kb,
                 (unsigned long long) run.peak_descriptors, run.soak.sent, run.soak.served,
                 run.soak.violations);
  soak_clean_up (&run.soak);
  g_free (program);
  return run.soak.violations > 0 ? 1 : 0;
}
