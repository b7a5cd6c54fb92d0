/// Crowds as a fault of the soak. They excuse nothing: other callers keep all promises.
#include "crowd.h"
#include "faults.h"
#include "usage.h"
#include <stdlib.h>

enum
{
  CROWD_DIVISOR = 3, ///< with one fault of so many, a crowd comes
  CONNECTIONS = 16,
  HTTP2_CONNECTIONS = 2, ///< each has many streams
  MAX_OPEN_CROWDS = 4,
  BODY_BYTES = 1 << 20, ///< limit of the daemons
  KB_PER_MB = 1024
};

/// Kinds that keep a daemon busy for seconds are left to test/crowd.
static const SoakCrowdKind kinds[] = {
  SOAK_CROWD_LARGE_CHUNKS, SOAK_CROWD_SMALL_CHUNKS, SOAK_CROWD_LENGTH,
  SOAK_CROWD_SMALL_BODIES, SOAK_CROWD_COMPLETE,     SOAK_CROWD_CHUNKS_OVER,
  SOAK_CROWD_LENGTH_OVER,  SOAK_CROWD_HEADS,        SOAK_CROWD_SILENT,
  SOAK_CROWD_EXTENSIONS,   SOAK_CROWD_TRAILERS,     SOAK_CROWD_HTTP2_STREAMS,
};

typedef struct
{
  uv_timer_t timer;
  SoakCrowd *crowd;
} OpenCrowd;

static unsigned open_crowds;

static void
on_timer_closed (uv_handle_t *handle)
{
  free (handle->data);
}

static void
on_crowd_end (uv_timer_t *timer)
{
  OpenCrowd *open = timer->data;

  open_crowds--;
  soak_crowd_close (open->crowd);
  uv_close ((uv_handle_t *) timer, on_timer_closed);
}

void
soak_crowd_inject (Soak *soak)
{
  TtRng *rng = &soak->crowd_rng;
  SoakDaemon *daemon = &soak->daemons[tt_rng_below (rng, soak->daemon_count)];
  SoakCrowdKind kind = kinds[tt_rng_below (rng, sizeof kinds / sizeof kinds[0])];
  uint64_t duration_ms = 300 + tt_rng_below (rng, 3000);
  OpenCrowd *open;

  if (tt_rng_below (rng, CROWD_DIVISOR) != 0 || !daemon->running || open_crowds >= MAX_OPEN_CROWDS)
    return;
  soak_log (soak, "crowd %s at daemon %u", soak_crowd_name (kind), daemon->index);
  open_crowds++;
  soak->crowds++;
  open = calloc (1, sizeof *open);
  open->crowd = soak_crowd_open (soak, daemon, daemon->caller_port, kind,
                                 kind == SOAK_CROWD_HTTP2_STREAMS ? HTTP2_CONNECTIONS : CONNECTIONS,
                                 BODY_BYTES);
  (void) uv_timer_init (soak->loop, &open->timer);
  open->timer.data = open;
  (void) uv_timer_start (&open->timer, on_crowd_end, duration_ms, 0);
}

void
soak_crowd_check_memory (Soak *soak)
{
  for (unsigned i = 0; i < soak->daemon_count; i++)
    {
      SoakDaemon *daemon = &soak->daemons[i];
      uint64_t peak_kb = daemon->running ? soak_usage_peak_kb (daemon->process.pid) : 0;

      if (peak_kb <= (uint64_t) SOAK_MEMORY_MB * KB_PER_MB || daemon->above_memory)
        continue;
      daemon->above_memory = true;
      soak_violation (soak, "MEMORY", "daemon %u: %llu KB at the peak of %u MB", i,
                      (unsigned long long) peak_kb, SOAK_MEMORY_MB);
    }
}
