#include "small.h"
#include <stdio.h>
#include <string.h>

uint64_t
put_manifest (int version, int routes, int both_keys)
{
  char text[MAX_SPEC];
  size_t size = 0;

  size += (size_t) snprintf (
      text + size, sizeof text - size,
      "{\"Version\":%d,\"Routes\":[{\"Name\":\"r-grant\",\"Host\":\"" HOST
      "\",\"PathPrefix\":\"/grant/\",\"Kind\":\"non_idempotent\",\"TimeoutMs\":600,"
      "\"GoalMs\":100,\"Priority\":2,\"Service\":\"licence-desk\",\"MaxAttempts\":1,"
      "\"Public\":false}",
      version);
  for (int i = 0; i < routes; i++)
    size += (size_t) snprintf (
        text + size, sizeof text - size,
        ",{\"Name\":\"r-idle%d\",\"Host\":\"" HOST
        "\",\"PathPrefix\":\"/idle%d/\",\"Kind\":\"idempotent\",\"TimeoutMs\":600,"
        "\"GoalMs\":100,\"Priority\":2,\"Service\":\"licence-desk\",\"MaxAttempts\":2,"
        "\"Public\":false}",
        i, i);
  (void) snprintf (
      text + size, sizeof text - size,
      "],\"Services\":[{\"Name\":\"licence-desk\",\"HealthPath\":\"/health\",\"MaxConns\":110,"
      "\"Protocol\":\"h1\",\"Tls\":false}],\"Limits\":{\"MaxHeaderBytes\":16384,"
      "\"MaxBodyBytes\":4194304,\"HeaderTimeoutMs\":3000,\"IdleTimeoutMs\":15000},"
      "\"Tenants\":[{\"Name\":\"agency\",\"ApiKeys\":[\"" KEY_KEPT "\"%s],\"Priority\":1}]}",
      both_keys ? ",\"" KEY_TAKEN "\"" : "");
  return store_put ("config", "main", text);
}

static void
start_store_and_workers (void)
{
  static const char *const zones[] = { "pk-central-a", "pk-central-b", "pk-central-c" };

  store_start ();
  (void) put_manifest (7, 0, 1);
  for (int i = 0; i < 3; i++)
    {
      char id[32];

      (void) snprintf (id, sizeof id, "i-licence-%d", i + 1);
      (void) worker_register (worker_start (id, "licence-desk", zones[i], 6, 15));
    }
}

void
start_deployment (void)
{
  start_store_and_workers ();
  (void) daemon_start ("edge-pk-central-a-1", "pk-central-a");
  (void) daemon_start ("edge-pk-central-a-2", "pk-central-a");
  (void) daemon_start ("edge-pk-central-b-1", "pk-central-b");
  (void) daemon_start ("edge-pk-central-c-1", "pk-central-c");
  daemons_await_ready (8000);
}

void
start_larger_deployment (void)
{
  start_store_and_workers ();
  for (char zone = 'a'; zone <= 'c'; zone++)
    for (int i = 1; i <= 3; i++)
      {
        char name[40], place[32];

        (void) snprintf (place, sizeof place, "pk-central-%c", zone);
        (void) snprintf (name, sizeof name, "edge-%s-%d", place, i);
        (void) daemon_start (name, place);
      }
  daemons_await_ready (8000);
}
