/// CONFIG: accepted manifests never come into force: at any daemon if a client
/// account has a long name, and at the daemons that don't read the store
/// themselves if the manifest is almost as large as the store allows.
#include "site.h"
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

enum
{
  ROUNDS = 4, ///< of requests at each daemon
  VALUE_BYTES = 1048576,
  LARGE_BYTES = 1044000, ///< of a large manifest
  ROUTE_BYTES_MAX = 512
};

#define CONFIG_S 2.0 ///< ConfigMs
#define LONG_NAME "Skurðlistasjóður Ríkisins, framkvæmdanefnd um útskurð"
#define SHORT_NAME "skur930"
#define DESK                                                                                       \
  "{\"Name\":\"desk\",\"HealthPath\":\"/"                                                          \
  "health\",\"MaxConns\":110,\"Protocol\":\"h1\",\"Tls\":false}"
#define LIMITS                                                                                     \
  "{\"MaxHeaderBytes\":16384,\"MaxBodyBytes\":4194304,\"HeaderTimeoutMs\":"                        \
  "3000,\"IdleTimeoutMs\":15000}"
#define NEW_KEY "anfqasnmgkcuyj8pjbvk"
#define ADDED_KEY "k4v7d0hzpq2mslcn81tw"

static int wrong; ///< requests that were not handled as the version in force allows

static bool
handle (RigWorker *worker, RigRequest *request)
{
  char id[64];
  char account[128];

  if (!rig_check_instance (worker, request))
    return true;
  (void) rig_header (request->head, "Attempt-Id", id, sizeof id);
  (void) rig_header (request->head, "Tenant", account, sizeof account);
  rig_record ("worker %s: runs %s for '%s'", worker->id, id, account);
  rig_send_ok (request, "fine\n");
  return true;
}

/// Sends a request with a key and returns the status of its answer.
static int
send_with_key (const RigDaemon *daemon, const char *path, const char *key, const char *id)
{
  static RigAnswer answer;
  char headers[512];

  (void) snprintf (headers, sizeof headers,
                   "Host: " SITE_HOST
                   "\r\nAttempt-Id: %s\r\nDeadline-Ms: %d\r\nAuthorization: Bearer %s\r\n",
                   id, SITE_TIMEOUT_MS, key);
  rig_call (daemon->front_port, "POST", path, headers, "x", 1, SITE_TIMEOUT_MS, &answer);
  site_record_answer (daemon, "POST", path, id, &answer);
  return answer.status;
}

/// First way: a version takes all client accounts away.
static void
remove_accounts (void)
{
  int dropped_key_runs = 0;
  int unknown_key_runs = 0;

  rig_store_put ("config", "main",
                 rig_trouble () ? "{\"Version\":9,\"Routes\":[" SITE_ROUTE (
                     "r-grant", "/grant/", "non_idempotent", "desk",
                     "1") "],\"Services\":[" DESK "],\"Limits\":" LIMITS ",\"Tenants\":[]}"
                                : "{\"Version\":9,\"Routes\":[" SITE_ROUTE (
                                    "r-grant", "/grant/", "non_idempotent", "desk",
                                    "1") "],\"Services\":[" DESK "],\"Limits\":" LIMITS
                                         ",\"Tenants\":[{\"Name\":\"hule930\",\"ApiKeys\":[]}]}");
  rig_record ("store: acknowledges version 9, in which %s",
              rig_trouble () ? "Tenants is an empty list" : "the account has no keys");
  rig_sleep (CONFIG_S + 1.0);
  for (int round = 0; round < ROUNDS; round++)
    for (int i = 0; i < SITE_DAEMONS; i++)
      {
        char id[64];

        (void) snprintf (id, sizeof id, "removed-account-%d-%d", round, i);
        dropped_key_runs
            += send_with_key (&site_daemons[i], "/grant/licence", SITE_KEY, id) == 200 ? 1 : 0;
        (void) snprintf (id, sizeof id, "unknown-key-%d-%d", round, i);
        unknown_key_runs
            += send_with_key (&site_daemons[i], "/grant/licence", "no-manifest-ever-held-this", id)
                       == 200
                   ? 1
                   : 0;
      }
  rig_record ("first way: %d requests run with the dropped key, %d with a key "
              "that no manifest ever held",
              dropped_key_runs, unknown_key_runs);
  wrong += dropped_key_runs + unknown_key_runs;
  // Back to the first accounts.
  rig_store_put ("config", "main",
                 "{\"Version\":10,\"Routes\":[" SITE_ROUTE (
                     "r-grant", "/grant/", "non_idempotent", "desk",
                     "1") "],\"Services\":[" DESK "],\"Limits\":" LIMITS
                          ",\"Tenants\":[{\"Name\":\"hule930\",\"ApiKeys\":[\"" SITE_KEY
                          "\"],\"Priority\":1}]}");
  rig_record ("store: acknowledges version 10, with the first account and its key");
  rig_sleep (CONFIG_S + 1.0);
}

/// Second way: the new version takes a key away, adds another one, adds a
/// route, and adds a client account.
static void
change_accounts (void)
{
  char text[4096];
  int dropped_key_runs = 0;
  int refused = 0;

  (void) snprintf (
      text, sizeof text,
      "{\"Version\":12,\"Routes\":[" SITE_ROUTE (
          "r-grant", "/grant/", "non_idempotent", "desk",
          "1") "," SITE_ROUTE ("r-rights", "/rights/", "idempotent", "desk",
                               "2") "," SITE_ROUTE ("r-renew", "/renewal/", "non_idempotent",
                                                    "desk", "1") "],"
                                                                 "\"Services\":[{"
                                                                 "\"Name\":\"desk\","
                                                                 "\"HealthPath\":\"/"
                                                                 "health\",\"MaxConns\":"
                                                                 "110,\"Protocol\":"
                                                                 "\"h1\","
                                                                 "\"Tls\":false}],"
                                                                 "\"Limits\":{"
                                                                 "\"MaxHeaderBytes\":"
                                                                 "16384,"
                                                                 "\"MaxBodyBytes\":"
                                                                 "4194304,"
                                                                 "\"HeaderTimeoutMs\":"
                                                                 "3000,"
                                                                 "\"IdleTimeoutMs\":"
                                                                 "15000},\"Tenants\":["
                                                                 "{\"Name\":\"hule930\","
                                                                 "\"ApiKeys\":["
                                                                 "\"" NEW_KEY "\"],\"Priority\":1},"
                                                                 "{\"Name\":\"%s\","
                                                                 "\"ApiKeys\":["
                                                                 "\"" ADDED_KEY
                                                                 "\"],\"Priority\":1}]}",
      rig_trouble () ? LONG_NAME : SHORT_NAME);
  rig_store_put ("config", "main", text);
  rig_record ("store: acknowledges version 12, with the account '%s' of %zu bytes",
              rig_trouble () ? LONG_NAME : SHORT_NAME,
              strlen (rig_trouble () ? LONG_NAME : SHORT_NAME));
  rig_sleep (CONFIG_S + 1.0);
  for (int round = 0; round < ROUNDS; round++)
    {
      for (int i = 0; i < SITE_DAEMONS; i++)
        {
          char id[64];
          int status;

          (void) snprintf (id, sizeof id, "dropped-key-%d-%d", round, i);
          status = send_with_key (&site_daemons[i], "/grant/licence", SITE_KEY, id);
          dropped_key_runs += status == 200 ? 1 : 0;
          (void) snprintf (id, sizeof id, "new-key-%d-%d", round, i);
          status = send_with_key (&site_daemons[i], "/grant/licence", NEW_KEY, id);
          refused += status == 401 || status == 403 || status == 404 ? 1 : 0;
          (void) snprintf (id, sizeof id, "new-route-%d-%d", round, i);
          status = send_with_key (&site_daemons[i], "/renewal/licence", ADDED_KEY, id);
          refused += status == 401 || status == 403 || status == 404 ? 1 : 0;
        }
      rig_sleep (2.0);
    }
  rig_record ("second way: %d requests run with the dropped key, %d refused "
              "with 401 or 404 though "
              "route and key are there",
              dropped_key_runs, refused);
  wrong += dropped_key_runs + refused;
}

/// Writes a manifest that is filled up with routes. @added: path prefix of a
/// route of this version only.
static void
put_large_manifest (int version, const char *added)
{
  size_t size = (size_t) (rig_trouble () ? LARGE_BYTES : 4096);
  char *routes = malloc (size + ROUTE_BYTES_MAX);
  size_t length = (size_t) snprintf (routes, ROUTE_BYTES_MAX,
                                     "{\"Name\":\"r-v%d\",\"Host\":\"" SITE_HOST
                                     "\",\"PathPrefix\":\"%s\",\"Kind\":\"non_idempotent\","
                                     "\"TimeoutMs\":1500,\"GoalMs\":100,\"Priority\":2,"
                                     "\"Service\":\"desk\",\"MaxAttempts\":1,"
                                     "\"Public\":false,\"Affinity\":false}",
                                     version, added);
  int count = 1;

  for (; length + ROUTE_BYTES_MAX < size; count++)
    length += (size_t) snprintf (routes + length, ROUTE_BYTES_MAX,
                                 ",{\"Name\":\"r-%05d\",\"Host\":\"" SITE_HOST "\",\"PathPrefix\":"
                                 "\"/api/v1/catalogue/%05d/"
                                 "\",\"Kind\":\"idempotent\",\"TimeoutMs\":1500,\"GoalMs\":100,"
                                 "\"Priority\":2,\"Service\":\"desk\",\"MaxAttempts\":2,\"Public\":"
                                 "false,"
                                 "\"Affinity\":false}",
                                 count, count);
  site_put_manifest (version, routes,
                     "{\"Name\":\"desk\",\"HealthPath\":\"/"
                     "health\",\"MaxConns\":110,\"Protocol\":\"h1\",\"Tls\":false}");
  rig_record ("store: acknowledges version %d with %d routes, their list has "
              "%zu bytes (ValueBytes %d)",
              version, count, length, VALUE_BYTES);
  free (routes);
}

/// Third way: large manifests follow each other.
static void
change_large_manifests (void)
{
  int dropped_route_runs = 0;
  int not_found = 0;

  put_large_manifest (20, "/season-20/");
  rig_sleep (CONFIG_S + 2.0);
  put_large_manifest (21, "/season-21/");
  rig_sleep (CONFIG_S + 2.0);
  put_large_manifest (22, "/season-22/");
  rig_sleep (CONFIG_S + 1.0);
  for (int round = 0; round < ROUNDS; round++)
    {
      for (int i = 0; i < SITE_DAEMONS; i++)
        {
          char id[64];

          (void) snprintf (id, sizeof id, "added-route-%d-%d", round, i);
          not_found += send_with_key (&site_daemons[i], "/season-22/licence", SITE_KEY, id) == 404
                           ? 1
                           : 0;
          // The versions since 20 have no /grant/.
          (void) snprintf (id, sizeof id, "dropped-route-%d-%d", round, i);
          dropped_route_runs
              += send_with_key (&site_daemons[i], "/grant/licence", SITE_KEY, id) == 200 ? 1 : 0;
        }
      rig_sleep (1.0);
    }
  rig_record ("third way: %d requests run with a dropped route, %d refused with "
              "404 though the "
              "route is there",
              dropped_route_runs, not_found);
  wrong += dropped_route_runs + not_found;
}

int
main (int argc, char **argv)
{
  if (argc != 3)
    return 2;
  rig_init (argv[1], argv[2]);
  site_start (handle);
  remove_accounts ();
  change_accounts ();
  change_large_manifests ();
  if (wrong > 0)
    rig_record ("CONFIG broken: later than ConfigMs after the ack, requests are "
                "handled as only "
                "older versions allow");
  rig_finish (wrong > 0 ? 1 : 0);
}
