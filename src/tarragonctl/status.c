#include "commands.h"
#include "json.h"
#include <stdio.h>

#define REFRESH_US 2000000UL
#define CLEAR_SCREEN "\033[H\033[2J"

/// Prints the table of members. Each table fits into 80 columns; longer names are truncated.
static void
print_members (json_object *status)
{
  size_t length;
  json_object *members = ctl_json_array (status, "members", &length);

  (void) printf ("\n%-24s %-20s %-9s %10s\n", "DAEMON", "ADDRESS", "STATE", "EPOCH");
  for (size_t i = 0; i < length; i++)
    {
      json_object *member = json_object_array_get_idx (members, i);

      (void) printf ("%-24.24s %-20.20s %-9.9s %10.0f\n", ctl_json_string (member, "name"),
                     ctl_json_string (member, "address"), ctl_json_string (member, "state"),
                     ctl_json_number (member, "epoch"));
    }
}

static void
print_pools (json_object *status)
{
  size_t length;
  json_object *pools = ctl_json_array (status, "pools", &length);

  (void) printf ("\n%-32s %-6s %9s %7s %11s\n", "SERVICE", "TYPE", "BACKENDS", "QUEUED",
                 "FREE SLOTS");
  for (size_t i = 0; i < length; i++)
    {
      json_object *pool = json_object_array_get_idx (pools, i);

      (void) printf ("%-32.32s %-6.6s %9.0f %7.0f %11.0f\n", ctl_json_string (pool, "service"),
                     ctl_json_string (pool, "type"), ctl_json_number (pool, "backends"),
                     ctl_json_number (pool, "queued"), ctl_json_number (pool, "free_slots"));
    }
}

static void
print_backends (json_object *status)
{
  size_t length;
  json_object *backends = ctl_json_array (status, "backends", &length);

  (void) printf ("\n%-20s %-16s %-8s %5s %5s %5s %6s %8s\n", "BACKEND SERVER", "SERVICE", "STATE",
                 "USED", "LENT", "ROOM", "FACTOR", "FIRST MS");
  for (size_t i = 0; i < length; i++)
    {
      json_object *backend = json_object_array_get_idx (backends, i);
      json_object *ejected = NULL;
      bool is_ejected = json_object_object_get_ex (backend, "ejected", &ejected)
                        && json_object_get_boolean (ejected);

      (void) printf ("%-20.20s %-16.16s %-8.8s %5.0f %5.0f %5.0f %6.2f %8.1f\n",
                     ctl_json_string (backend, "name"), ctl_json_string (backend, "service"),
                     is_ejected ? "ejected" : ctl_json_string (backend, "state"),
                     ctl_json_number (backend, "used"), ctl_json_number (backend, "lent"),
                     ctl_json_number (backend, "room"), ctl_json_number (backend, "factor"),
                     ctl_json_number (backend, "first_token_us") / 1000.0);
    }
}

static void
print_status (json_object *status)
{
  json_object *ready = NULL;
  json_object *requests = NULL;
  bool is_ready
      = json_object_object_get_ex (status, "ready", &ready) && json_object_get_boolean (ready);

  (void) printf ("%s  fleet %s  failure domain %s  %s, %s\n", ctl_json_string (status, "daemon"),
                 ctl_json_string (status, "fleet"), ctl_json_string (status, "domain"),
                 is_ready ? "ready" : "not ready", ctl_json_string (status, "drain"));
  (void) printf ("configuration: epoch %.0f in force here, epoch %.0f accepted everywhere\n",
                 ctl_json_number (status, "epoch"), ctl_json_number (status, "accepted_epoch"));
  if (json_object_object_get_ex (status, "requests", &requests))
    (void) printf ("requests: %.0f queued, %.0f claiming, %.0f running\n",
                   ctl_json_number (requests, "queued"), ctl_json_number (requests, "claiming"),
                   ctl_json_number (requests, "running"));
  print_members (status);
  print_pools (status);
  print_backends (status);
}

CtlExit
ctl_status (const CtlOptions *options, int count, char **arguments)
{
  CtlSession *session = ctl_session_new (options);
  CtlExit code;

  (void) count;
  (void) arguments;
  do
    {
      json_object *status = ctl_json_get (session, options, "/status", &code);

      if (options->watch)
        (void) fputs (CLEAR_SCREEN, stdout);
      if (status != NULL && options->json)
        (void) printf ("%s\n", json_object_to_json_string (status));
      else if (status != NULL)
        print_status (status);
      json_object_put (status);
      (void) fflush (stdout);
      if (options->watch)
        g_usleep (REFRESH_US);
    }
  while (options->watch);
  ctl_session_free (session);
  return code;
}
