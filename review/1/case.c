/// REFUSED: the caller of a grant that has run gets 503.
#include "site.h"
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

enum
{
  LICENCES = 12,
  TROUBLE_EACH = 3, ///< the first attempt of each third licence meets the trouble
  RETRIES = 1       ///< of a caller, after a promise that the request has not run
};

/// One licence, and the attempts that a worker ran for it.
typedef struct
{
  int grants;
  char ran[4][32];
} Licence;

static Licence licences[LICENCES];
static pthread_mutex_t mutex = PTHREAD_MUTEX_INITIALIZER;

/// Sends bytes that are no answer's end until the caller closes.
static void
send_without_end (int fd)
{
  static char filler[65536];

  memset (filler, '.', sizeof filler);
  for (int i = 0; i < 300; i++)
    {
      rig_send (fd, filler, sizeof filler);
      rig_sleep (0.01);
    }
}

static bool
handle (RigWorker *worker, RigRequest *request)
{
  int number = atoi (request->body);
  char id[32];
  bool first;

  if (!rig_check_instance (worker, request))
    return true;
  (void) rig_header (request->head, "Attempt-Id", id, sizeof id);
  (void) pthread_mutex_lock (&mutex);
  first = licences[number].grants == 0;
  (void) snprintf (licences[number].ran[licences[number].grants++ % 4], 32, "%s", id);
  (void) pthread_mutex_unlock (&mutex);
  rig_record ("worker %s: runs %s, grants licence %d", worker->id, id, number);
  rig_sleep (0.015);
  if (rig_trouble () && first && number % TROUBLE_EACH == 0)
    {
      rig_record (
          "worker %s: answers %s with 503, without Not-Executed, and with bytes without end",
          worker->id, id);
      rig_sendf (
          request->fd,
          "HTTP/1.1 503 Service Unavailable\r\nAttempt-Id: %s\r\nContent-Type: text/plain\r\n\r\n",
          id);
      send_without_end (request->fd);
      return false;
    }
  rig_send_ok (request, "granted\n");
  return true;
}

static bool
has_run (int number, const char *id)
{
  bool found = false;

  (void) pthread_mutex_lock (&mutex);
  for (int i = 0; i < licences[number].grants && i < 4; i++)
    found = found || strcmp (licences[number].ran[i], id) == 0;
  (void) pthread_mutex_unlock (&mutex);
  return found;
}

int
main (int argc, char **argv)
{
  static RigAnswer answer;
  int refused_and_ran = 0;
  int granted_twice = 0;

  if (argc != 3)
    return 2;
  rig_init (argv[1], argv[2]);
  site_start (handle);
  for (int number = 0; number < LICENCES; number++)
    for (int attempt = 0; attempt <= RETRIES; attempt++)
      {
        const RigDaemon *daemon = &site_daemons[(number + attempt) % SITE_DAEMONS];
        char id[32];
        char body[16];

        (void) snprintf (id, sizeof id, "licence-%02d-try-%d", number, attempt + 1);
        (void) snprintf (body, sizeof body, "%d", number);
        site_call (daemon, "POST", "/grant/licence", id, body, &answer);
        site_record_answer (daemon, "POST", "/grant/licence", id, &answer);
        if (answer.status != 503 && answer.status != 429 && answer.status != 408
            && answer.status != 421)
          break;
        if (has_run (number, id))
          {
            rig_record ("REFUSED broken: %s was answered %d and has run", id, answer.status);
            refused_and_ran++;
          }
      }
  rig_sleep (0.5);
  for (int number = 0; number < LICENCES; number++)
    if (licences[number].grants > 1)
      {
        rig_record ("licence %d was granted %d times", number, licences[number].grants);
        granted_twice++;
      }
  rig_record ("%d licences, %d attempts refused that had run, %d licences granted twice", LICENCES,
              refused_and_ran, granted_twice);
  rig_finish (refused_and_ran > 0 ? 1 : 0);
}
