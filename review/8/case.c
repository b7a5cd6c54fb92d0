/// The store is silent to three of nine daemons, those that read it for their failure domains, and
/// serves the others: a version that is written meanwhile is in force nowhere.
#include "small.h"

enum
{
  CALM_MS = 22000,      ///< until the watches that other daemons began at their start have ended
  SILENT_MS = 8000,     ///< the pages' largest dose is 9 s
  WRITE_MS = 500,       ///< from its beginning to the next version
  FIRST_PROBE_MS = 3200 ///< after its ack; ConfigMs is 3,000
};

int
main (int argc, char **argv)
{
  bool silenced[MAX_DAEMONS] = { false };
  unsigned readers = 0;
  int64_t start_ms;
  int64_t ack_ms;
  unsigned broken = 0;
  unsigned late = 0;

  if (argc != 3)
    return 2;
  rig_open (argv[1], argv[2], "8");
  start_larger_deployment ();
  for (unsigned i = 0; i < daemon_count (); i++)
    if (call (daemon_get (i), "POST", HOST, "/grant/1", KEY_TAKEN, "{}", 600).status != 200)
      {
        note ("a request with a good key is not served before the disruption");
        rig_finish (2);
      }
  sleep_ms (CALM_MS);

  for (unsigned i = 0; i < daemon_count (); i++)
    {
      silenced[i] = store_is_watching (daemon_get (i));
      readers += silenced[i];
    }
  note ("%u of %u daemons wait in a watch of the store", readers, daemon_count ());
  if (readers == 0 || readers > 3)
    rig_finish (2);
  start_ms = now_ms ();
  for (unsigned i = 0; i < daemon_count () && has_trouble (); i++)
    if (silenced[i])
      store_silence (daemon_get (i), true);
  sleep_ms (WRITE_MS);
  note ("operator: writes version 8 without one key, and gets the ack at revision %llu",
        (unsigned long long) put_manifest (8, 0, 0));
  ack_ms = now_ms ();

  // Only the daemons that the store serves all the while are asked; they are in touch.
  sleep_until_ms (ack_ms + FIRST_PROBE_MS);
  for (; now_ms () < start_ms + SILENT_MS - 500; sleep_ms (1000))
    for (unsigned i = 0; i < daemon_count (); i++)
      {
        Answer answer;

        if (silenced[i])
          continue;
        answer = call (daemon_get (i), "POST", HOST, "/grant/2", KEY_TAKEN, "{}", 600);
        late++;
        if (answer.status == 200 && answer.signature[0] != '\0')
          {
            broken++;
            note ("daemon %s: a request with the key that was taken away has run, sent %lld ms "
                  "after the ack",
                  daemon_get (i)->name, (long long) (answer.sent_ms - ack_ms));
          }
      }
  for (unsigned i = 0; i < daemon_count () && has_trouble (); i++)
    if (silenced[i])
      store_silence (daemon_get (i), false);
  if (call (daemon_get (0), "POST", HOST, "/grant/3", KEY_KEPT, "{}", 600).status != 200
      || !daemons_run ())
    {
      note ("a request with the key that is kept is not served, or a daemon has ended");
      rig_finish (2);
    }
  note ("%u of %u requests with the key that was taken away have run", broken, late);
  rig_finish (broken > 0 ? 1 : 0);
}
