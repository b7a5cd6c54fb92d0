#include "site.h"
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

RigDaemon site_daemons[SITE_DAEMONS] = { { .name = "edge-a-1", .zone = "z-a" },
                                         { .name = "edge-a-2", .zone = "z-a" },
                                         { .name = "edge-b-1", .zone = "z-b" },
                                         { .name = "edge-c-1", .zone = "z-c" } };

RigWorker site_workers[SITE_WORKERS]
    = { { .id = "i-desk-a", .service = "desk", .zone = "z-a", .slots = 6 },
        { .id = "i-desk-b", .service = "desk", .zone = "z-b", .slots = 6 },
        { .id = "i-desk-c", .service = "desk", .zone = "z-c", .slots = 6 } };

void
site_put_manifest (int version, const char *routes, const char *services)
{
  size_t size = strlen (routes) + strlen (services) + 1024;
  char *text = malloc (size);

  (void) snprintf (
      text, size,
      "{\"Version\":%d,\"Routes\":[%s],\"Services\":[%s],\"Limits\":{\"MaxHeaderBytes\":16384,"
      "\"MaxBodyBytes\":4194304,\"HeaderTimeoutMs\":3000,\"IdleTimeoutMs\":15000},"
      "\"Tenants\":[{\"Name\":\"hule930\",\"ApiKeys\":[\"" SITE_KEY "\"],\"Priority\":1}]}",
      version, routes, services);
  rig_store_put ("config", "main", text);
  free (text);
}

void
site_start (RigHandler handler)
{
  site_put_manifest (
      7,
      SITE_ROUTE ("r-grant", "/grant/", "non_idempotent", "desk",
                  "1") "," SITE_ROUTE ("r-rights", "/rights/", "idempotent", "desk", "2"),
      "{\"Name\":\"desk\",\"HealthPath\":\"/health\",\"MaxConns\":110,\"Protocol\":\"h1\","
      "\"Tls\":false}");
  for (int i = 0; i < SITE_WORKERS; i++)
    {
      site_workers[i].handler = handler;
      rig_worker_start (&site_workers[i]);
    }
  for (int i = 0; i < SITE_DAEMONS; i++)
    rig_daemon_start (&site_daemons[i]);
  for (int i = 0; i < SITE_DAEMONS; i++)
    if (!rig_daemon_wait_ready (&site_daemons[i], 15.0))
      {
        rig_record ("daemon %s is not ready", site_daemons[i].name);
        rig_finish (2);
      }
  rig_sleep (3.5);
  rig_record ("all daemons are ready and undisturbed");
}

void
site_call (const RigDaemon *daemon, const char *method, const char *path, const char *id,
           const char *body, RigAnswer *answer)
{
  char headers[512];

  (void) snprintf (headers, sizeof headers,
                   "Host: " SITE_HOST
                   "\r\nAttempt-Id: %s\r\nDeadline-Ms: %d\r\nAuthorization: Bearer " SITE_KEY
                   "\r\n",
                   id, SITE_TIMEOUT_MS);
  rig_call (daemon->front_port, method, path, headers, body, strlen (body), SITE_TIMEOUT_MS,
            answer);
}

void
site_record_answer (const RigDaemon *daemon, const char *method, const char *path, const char *id,
                    const RigAnswer *answer)
{
  char line[64];

  (void) snprintf (line, sizeof line, "%.*s", (int) strcspn (answer->head, "\r\n"), answer->head);
  rig_record ("caller: %s %s %s at %s -> '%s' body %zu bytes, %s%s after %.0f ms", id, method, path,
              daemon->name, line, answer->body_size,
              answer->complete    ? "complete"
              : answer->reset     ? "reset"
              : answer->timed_out ? "not complete"
                                  : "connection closed early",
              answer->complete && !answer->has_length ? " (ended by the connection)" : "",
              answer->ms);
}
