/// The store comes back from a copy of some seconds ago. A backend server that leaves 5 s later
/// gets work for good: its entry has a lower revision than the one that the daemons saw before.
#include "small.h"

enum
{
  REPORT_MS = 1200,
  AWAY_MS = 500,
  CALM_MS = 5000, ///< after the store's return; StableWindowMs is 4,000
  REQUESTS = 4,   ///< at each daemon at the same time
};

int
main (int argc, char **argv)
{
  Worker *worker;
  int64_t ack_ms;
  uint64_t revision;
  size_t first;
  unsigned broken = 0;
  unsigned elsewhere = 0;

  if (argc != 3)
    return 2;
  rig_open (argv[1], argv[2], "9");
  start_deployment ();
  sleep_ms (3000);

  // A backend server is added. It is slow after its start, and its entry says for how much longer.
  worker = worker_start ("i-licence-4", "licence-desk", "pk-central-b", 6, 15);
  worker->cold_left_ms = 3 * REPORT_MS;
  (void) worker_register (worker);
  store_copy ();
  for (int i = 0; i < 3; i++)
    {
      sleep_ms (REPORT_MS);
      worker->cold_left_ms -= REPORT_MS;
      revision = worker_register (worker);
    }
  note ("backend server %s: no longer slow, entry at revision %llu", worker->id,
        (unsigned long long) revision);
  sleep_ms (REPORT_MS);

  if (has_trouble ())
    {
      store_set_mode (STORE_AWAY);
      sleep_ms (AWAY_MS);
      store_come_back_from_copy ();
      (void) put_manifest (7, 0, 1);
      note ("backend server %s: writes its entry again, at revision %llu", worker->id,
            (unsigned long long) worker_register (worker));
    }
  sleep_ms (CALM_MS);
  note ("%u of %u requests are served before the backend server leaves",
        call_burst (REQUESTS, "POST", HOST, "/grant/1", KEY_KEPT, "{}", 600),
        REQUESTS * daemon_count ());

  worker->leaving = true;
  note ("backend server %s: reports that it leaves, ack at revision %llu", worker->id,
        (unsigned long long) worker_register (worker));
  ack_ms = now_ms ();
  sleep_until_ms (ack_ms + DRAIN_MS + 500);

  first = run_count ();
  note ("%u of %u requests are served after it",
        call_burst (REQUESTS, "POST", HOST, "/grant/2", KEY_KEPT, "{}", 600),
        REQUESTS * daemon_count ());
  for (size_t i = first; i < run_count (); i++)
    {
      Run run = run_get (i);

      if (run.worker == worker && run.ran)
        {
          broken++;
          note ("request %s reached %s %lld ms after the ack", run.id, worker->id,
                (long long) (run.at_ms - ack_ms));
        }
      else
        elsewhere++;
    }
  if (elsewhere == 0 || !daemons_run ())
    {
      note ("no request reached another backend server, or a daemon has ended");
      rig_finish (2);
    }
  note ("%u requests reached the leaving backend server later than %d ms after the ack, %u others",
        broken, DRAIN_MS, elsewhere);
  rig_finish (broken > 0 ? 1 : 0);
}
