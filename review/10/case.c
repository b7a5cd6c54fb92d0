/// The store turns one daemon away for a moment, the one that reads it for its failure domain. A
/// backend server that removes its entry after that gets work later than DrainMs from a daemon that
/// was never turned away.
#include "small.h"

enum
{
  CALM_MS = 5000,
  REFUSED_MS = 150, ///< the pages' largest dose is 9 s (platform_down, nodes)
  REMOVED_MS = 250, ///< from the end of it to the removal of the entry
  QUIET_MS = 250,   ///< after DrainMs, until the requests are sent
  REQUESTS = 12     ///< at each daemon at the same time
};

int
main (int argc, char **argv)
{
  Worker *worker;
  Daemon *reader;
  Daemon *follower;
  int64_t ack_ms;
  size_t first;
  unsigned broken = 0;
  unsigned elsewhere = 0;

  if (argc != 3)
    return 2;
  rig_open (argv[1], argv[2], "10");
  start_deployment ();
  worker = worker_start ("i-licence-4", "licence-desk", "pk-central-a", 6, 15);
  (void) worker_register (worker);
  sleep_ms (CALM_MS);
  note ("%u of %u requests are served before the disruption",
        call_burst (REQUESTS, "POST", HOST, "/grant/1", KEY_KEPT, "{}", 600),
        REQUESTS * daemon_count ());
  sleep_ms (1000);

  // The two daemons of pk-central-a; one of them reads the store for both.
  reader = store_is_watched_by (daemon_get (0)) ? daemon_get (0) : daemon_get (1);
  follower = reader == daemon_get (0) ? daemon_get (1) : daemon_get (0);
  if (has_trouble ())
    {
      store_refuse (reader, true);
      sleep_ms (REFUSED_MS);
      store_refuse (reader, false);
    }
  sleep_ms (REMOVED_MS);
  // It goes on to serve for many seconds, and says in its answers that it leaves.
  worker->leaving = true;
  note ("backend server %s: removes its entry, ack at revision %llu", worker->id,
        (unsigned long long) store_remove ("servers", worker->id));
  ack_ms = now_ms ();
  sleep_until_ms (ack_ms + DRAIN_MS + QUIET_MS);

  first = run_count ();
  note ("%u of %u requests are served after it",
        call_burst (REQUESTS, "POST", HOST, "/grant/2", KEY_KEPT, "{}", 600),
        REQUESTS * daemon_count ());
  for (size_t i = first; i < run_count (); i++)
    {
      Run run = run_get (i);

      if (run.worker == worker && run.ran)
        {
          bool by_follower = false;

          for (unsigned k = 0; k < answer_count (); k++)
            by_follower = by_follower || answered_by (k, run.id) == follower;
          note ("request %s reached %s %lld ms after the ack, from %s", run.id, worker->id,
                (long long) (run.at_ms - ack_ms),
                by_follower ? "the daemon that was served all the while" : "another");
          broken += by_follower;
        }
      else
        elsewhere++;
    }
  if (elsewhere == 0 || !daemons_run ())
    {
      note ("no request reached another backend server, or a daemon has ended");
      rig_finish (2);
    }
  note ("%u requests reached the backend server later than %d ms after the ack from %s, which was "
        "never turned away",
        broken, DRAIN_MS, follower->name);
  rig_finish (broken > 0 ? 1 : 0);
}
