/// After a silent outage of the store, all daemons wait on in watches whose answers were lost: a
/// version that is written later, while the store is stable, is not in force for as long as the
/// watches last.
#include "small.h"

enum
{
  CALM_MS = 2000,        ///< from the daemons' readiness to the disruption
  SILENT_MS = 3000,      ///< the pages' largest dose is 4.5 s
  AFTER_MS = 4500,       ///< from the store's return to the next version; StableWindowMs is 4,000
  FIRST_PROBE_MS = 3200, ///< after its ack; ConfigMs is 3,000
  PROBES = 6
};

int
main (int argc, char **argv)
{
  int64_t back_ms;
  int64_t ack_ms;
  unsigned broken = 0;
  unsigned late = 0;

  if (argc != 3)
    return 2;
  rig_open (argv[1], argv[2], "7");
  start_deployment ();
  for (unsigned i = 0; i < daemon_count (); i++)
    if (call (daemon_get (i), "POST", HOST, "/grant/1", KEY_TAKEN, "{}", 600).status != 200)
      {
        note ("a request with a good key is not served before the disruption");
        rig_finish (2);
      }
  sleep_ms (CALM_MS);

  if (has_trouble ())
    store_set_mode (STORE_SILENT);
  sleep_ms (SILENT_MS / 3);
  // The operator's write is executed. If the store is silent, its answer is lost, to the operator
  // and to the watches.
  note ("operator: writes version 8 with one route more, at revision %llu%s",
        (unsigned long long) put_manifest (8, 1, 1), has_trouble () ? ", and gets no answer" : "");
  sleep_ms (SILENT_MS - SILENT_MS / 3);
  if (has_trouble ())
    store_set_mode (STORE_SERVING);
  back_ms = now_ms ();
  sleep_ms (100);
  note (
      "operator: writes version 8 again, which changes nothing, and gets the ack at revision %llu",
      (unsigned long long) put_manifest (8, 1, 1));

  sleep_until_ms (back_ms + AFTER_MS);
  note ("operator: writes version 9 without one key, and gets the ack at revision %llu",
        (unsigned long long) put_manifest (9, 1, 0));
  ack_ms = now_ms ();
  sleep_until_ms (ack_ms + FIRST_PROBE_MS);
  for (unsigned probe = 0; probe < PROBES; probe++, sleep_ms (1000))
    for (unsigned i = 0; i < daemon_count (); i++)
      {
        Answer answer = call (daemon_get (i), "POST", HOST, "/grant/2", KEY_TAKEN, "{}", 600);

        late++;
        if (answer.status == 200 && answer.signature[0] != '\0')
          {
            broken++;
            note ("daemon %s: a request with the key that was taken away has run, sent %lld ms "
                  "after the ack",
                  daemon_get (i)->name, (long long) (answer.sent_ms - ack_ms));
          }
      }
  if (call (daemon_get (0), "POST", HOST, "/grant/3", KEY_KEPT, "{}", 600).status != 200
      || !daemons_run ())
    {
      note ("a request with the key that is kept is not served, or a daemon has ended");
      rig_finish (2);
    }
  note ("%u of %u requests with the key that was taken away have run", broken, late);
  rig_finish (broken > 0 ? 1 : 0);
}
