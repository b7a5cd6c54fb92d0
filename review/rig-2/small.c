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

void
start_deployment (void)
{
  static const char *const zones[] = { "pk-central-a", "pk-central-b", "pk-central-c" };
  static const char *const names[] = { "edge-pk-central-a-1", "edge-pk-central-a-2",
                                       "edge-pk-central-b-1", "edge-pk-central-c-1" };
  static const char *const places[]
      = { "pk-central-a", "pk-central-a", "pk-central-b", "pk-central-c" };

  store_start ();
  (void) put_manifest (7, 0, 1);
  for (int i = 0; i < 3; i++)
    {
      char id[32];

      (void) snprintf (id, sizeof id, "i-licence-%d", i + 1);
      (void) worker_register (worker_start (id, "licence-desk", zones[i], 6, 15));
    }
  for (int i = 0; i < 4; i++)
    (void) daemon_start (names[i], places[i]);
  daemons_await_ready (8000);
}
