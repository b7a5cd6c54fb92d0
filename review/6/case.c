/// The store comes back from a copy of some seconds ago, and the operator's next version gets a
/// revision that the daemons have already seen. They never read it.
#include "small.h"

enum
{
  AWAY_MS = 120,
  RETRY_MS = 20, ///< of the operator's writes while the store is away
  PROBES = 5
};

int
main (int argc, char **argv)
{
  int64_t ack_ms;
  uint64_t revision;
  unsigned broken = 0;
  unsigned late = 0;

  if (argc != 3)
    return 2;
  rig_open (argv[1], argv[2], "6");
  start_deployment ();
  sleep_ms (4000);
  store_copy ();
  sleep_ms (1000);
  note ("operator: writes version 8 with one route more, at revision %llu",
        (unsigned long long) put_manifest (8, 1, 1));
  sleep_ms (1500);

  if (has_trouble ())
    {
      store_set_mode (STORE_AWAY);
      sleep_ms (AWAY_MS);
      store_come_back_from_copy ();
    }
  while ((revision = put_manifest (9, 1, 0)) == 0)
    sleep_ms (RETRY_MS);
  ack_ms = now_ms ();
  note ("operator: writes version 9 without one key, ack at revision %llu",
        (unsigned long long) revision);
  sleep_until_ms (ack_ms + STABLE_MS + CONFIG_MS);
  for (unsigned probe = 0; probe < PROBES; probe++, sleep_ms (5000))
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
