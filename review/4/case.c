/// DRAIN: a worker that has left gets grants after DrainMs, because the waiting watches were cut
/// off before.
#include "site.h"
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define DRAIN_S 2.0   ///< DrainMs of the deployment
#define SERVES_S 2.45 ///< time for which the worker serves after its entry was removed
#define WORK_S 0.4    ///< of a grant

static double
    left_at; ///< when the store acknowledged that the worker's entry is removed; 0 = not yet
static int late;
static pthread_mutex_t mutex = PTHREAD_MUTEX_INITIALIZER;

static bool
handle (RigWorker *worker, RigRequest *request)
{
  bool leaving = worker == &site_workers[0] && left_at > 0.0;
  char id[64];

  if (!rig_check_instance (worker, request))
    return true;
  (void) rig_header (request->head, "Attempt-Id", id, sizeof id);
  if (leaving)
    rig_record ("worker %s: runs %s, %.3f s after the ack of its leaving", worker->id, id,
                rig_now () - left_at);
  else
    rig_record ("worker %s: runs %s", worker->id, id);
  (void) pthread_mutex_lock (&mutex);
  if (leaving && rig_now () - left_at > DRAIN_S)
    {
      late++;
      rig_record ("DRAIN broken: %s reaches %s later than DrainMs after the ack", id, worker->id);
    }
  (void) pthread_mutex_unlock (&mutex);
  rig_sleep (WORK_S);
  if (!worker->up)
    {
      rig_record ("worker %s: exits with %s at work", worker->id, id);
      return false;
    }
  rig_sendf (request->fd,
             "HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nResponse-Signature: sig-%s\r\n%sContent-Length: "
             "8\r\n\r\ngranted\n",
             id, id, leaving ? "Server-Leaving: 1\r\n" : "");
  return true;
}

/// A caller in a thread of its own.
typedef struct
{
  pthread_t thread;
  const RigDaemon *daemon;
  char id[32];
  RigAnswer answer;
} Caller;

static void *
call (void *argument)
{
  Caller *caller = argument;

  site_call (caller->daemon, "POST", "/grant/licence", caller->id, "x", &caller->answer);
  site_record_answer (caller->daemon, "POST", "/grant/licence", caller->id, &caller->answer);
  return NULL;
}

int
main (int argc, char **argv)
{
  static Caller callers[2];
  static RigAnswer answer;

  if (argc != 3)
    return 2;
  rig_init (argv[1], argv[2]);
  site_start (handle);
  // Other workers are replaced: the entry of i-desk-c changes, as it does at a start of a worker.
  site_workers[2].slots++;
  rig_worker_register (&site_workers[2]);
  rig_record ("store: the entry of i-desk-c changes");
  rig_sleep (0.9);
  if (rig_trouble ())
    {
      rig_store_cut_watches ();
      rig_record ("store: cuts off the waiting watches, once");
    }
  rig_sleep (0.02);
  rig_store_delete ("servers", site_workers[0].id);
  left_at = rig_now ();
  rig_record ("store: the entry of i-desk-a is removed, without draining before; the worker serves "
              "on for %.2f s",
              SERVES_S);
  rig_sleep (2.2 - (rig_now () - left_at));
  for (int i = 0; i < 2; i++)
    {
      callers[i].daemon = &site_daemons[i];
      (void) snprintf (callers[i].id, sizeof callers[i].id, "grant-%d", i + 1);
      (void) pthread_create (&callers[i].thread, NULL, call, &callers[i]);
    }
  rig_sleep (SERVES_S - (rig_now () - left_at));
  rig_worker_crash (&site_workers[0]);
  rig_record ("worker i-desk-a: has exited");
  for (int i = 0; i < 2; i++)
    (void) pthread_join (callers[i].thread, NULL);
  rig_sleep (1.0);
  site_call (&site_daemons[0], "POST", "/grant/licence", "grant-3", "x", &answer);
  site_record_answer (&site_daemons[0], "POST", "/grant/licence", "grant-3", &answer);
  rig_record ("%d grants reached the worker later than DrainMs after the ack of its leaving", late);
  rig_finish (late > 0 ? 1 : 0);
}
