#include "support/unit.h"
#include "support/uv_peer.h"
#include "tarragontrack/board/error.h"
#include "tarragontrack/io/http_client.h"
#include "tarragontrack/io/object_dialect.h"
#include "tarragontrack/io/platform_client.h"
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define ACCEPTED "{\"generation\":1,\"epoch\":2,\"audit_number\":3}"

/// What the server does with a call, and the event that must follow.
typedef struct
{
  TtPlatformOp op;
  const char *key;
  const char *line;    ///< that the request must begin with
  const char *header;  ///< that it must hold, or NULL
  unsigned status;     ///< of the answer; 0 = the connection is closed without one
  const char *headers; ///< of the answer
  const char *body;
  int code;
  uint64_t version;
  bool unchanged;
  bool object;
} Case;

typedef struct
{
  uv_loop_t loop;
  uv_timer_t guard;
  UvPeer *peer;
  TtHttpClient *http;
  TtPlatformClient *client;
  const Case *active;
  unsigned requests;
  unsigned events;
  unsigned refused;
  unsigned expected;
} World;

static const Case cases[] = {
  { TT_PLATFORM_GET, "config/accepted", "GET /objects/config/accepted HTTP", NULL, 200,
    "ETag: 7\r\n", ACCEPTED, TT_OK, 7, false, true },
  { TT_PLATFORM_GET, "leases/a b%", "GET /objects/leases/a%20b%25 HTTP", NULL, 404, "", "",
    TT_E_NOT_FOUND, 0, false, false },
  { TT_PLATFORM_GET, "config/accepted", "GET /objects/", NULL, 200, "ETag: \"7\"\r\n", "{}",
    TT_E_MALFORMED, 7, false, false },
  { TT_PLATFORM_GET, "config/accepted", "GET /objects/", NULL, 200, "", ACCEPTED, TT_E_MALFORMED, 0,
    false, false },
  { TT_PLATFORM_GET, "config/accepted", "GET /objects/", NULL, 429, "", "", TT_E_UNAVAILABLE, 0,
    false, false },
  { TT_PLATFORM_GET, "config/accepted", "GET /objects/", NULL, 503, "", "", TT_E_UNAVAILABLE, 0,
    false, false },
  { TT_PLATFORM_PUT, "config/accepted", "PUT /objects/config/accepted HTTP", "If-Match: 5\r\n", 200,
    "ETag: 6\r\n", "", TT_OK, 6, false, false },
  { TT_PLATFORM_PUT, "config/accepted", "PUT /objects/", "If-Match: 5\r\n", 412, "ETag: 9\r\n", "",
    TT_E_CONFLICT, 9, false, false },
  { TT_PLATFORM_PUT, "config/accepted", "PUT /objects/", NULL, 429, "", "", TT_E_UNAVAILABLE, 0,
    false, false },
  { TT_PLATFORM_PUT, "config/accepted", "PUT /objects/", NULL, 503, "", "", TT_E_TIMEOUT, 0, false,
    false },
  { TT_PLATFORM_PUT, "config/accepted", "PUT /objects/", NULL, 200, "", "", TT_E_TIMEOUT, 0, false,
    false },
  { TT_PLATFORM_PUT, "config/accepted", "PUT /objects/", NULL, 0, "", "", TT_E_TIMEOUT, 0, false,
    false },
  { TT_PLATFORM_WATCH, "config/accepted", "GET /objects/config/accepted?watch=5&wait_ms=", NULL,
    304, "ETag: 5\r\n", "", TT_OK, 5, true, false },
  { TT_PLATFORM_WATCH, "config/accepted", "GET /objects/", NULL, 200, "ETag: 8\r\n", ACCEPTED,
    TT_OK, 8, false, true },
  { TT_PLATFORM_HOSTS, "north 1", "GET /hosts?domain=north%201 HTTP", "If-None-Match: 5\r\n", 200,
    "ETag: 6\r\n", "{\"hosts\":[]}", TT_OK, 6, false, true },
};

static void
serve (void *context, UvPeerConnection *connection, unsigned number, const char *request)
{
  World *world = context;
  const Case *active = world->active;

  (void) number;
  world->requests++;
  if (strncmp (request, active->line, strlen (active->line)) != 0
      || (active->header != NULL && strstr (request, active->header) == NULL))
    CU_FAIL ("wrong request");
  if (active->status == 0)
    uv_peer_close (connection);
  else
    uv_peer_answer (connection, active->status, active->headers, active->body);
}

static void
check_event (void *context, const TtEvent *event)
{
  World *world = context;
  const Case *active = world->active;

  CU_ASSERT_EQUAL (event->type, TT_EVENT_PLATFORM_RESPONSE);
  world->events++;
  world->refused += event->platform.code == TT_E_UNAVAILABLE && event->error.code == TT_E_LIMIT;
  if (world->events == world->expected)
    uv_stop (&world->loop);
  if (world->expected > 1)
    return;
  CU_ASSERT_EQUAL (event->platform.call_id, 77);
  CU_ASSERT_EQUAL (event->platform.op, active->op);
  CU_ASSERT_EQUAL (event->platform.code, active->code);
  CU_ASSERT_EQUAL (event->platform.version, active->version);
  CU_ASSERT_EQUAL (event->platform.unchanged, active->unchanged);
  CU_ASSERT_EQUAL (event->platform.object != NULL, active->object);
  if (event->platform.object != NULL && active->op != TT_PLATFORM_HOSTS)
    CU_ASSERT_EQUAL (event->platform.object->accepted.epoch, 2);
}

static void
stop_loop (uv_timer_t *timer)
{
  uv_stop (timer->loop);
}

static void
open_world (World *world)
{
  char url[64];

  memset (world, 0, sizeof *world);
  (void) uv_loop_init (&world->loop);
  (void) uv_timer_init (&world->loop, &world->guard);
  world->peer = uv_peer_new (&world->loop, serve, world);
  world->http = tt_http_client_new (&world->loop);
  (void) snprintf (url, sizeof url, "http://127.0.0.1:%u", uv_peer_port (world->peer));
  world->client = tt_platform_client_new (
      &world->loop, world->http,
      &(TtPlatformClientOptions){
          .url = url, .dialect = tt_object_dialect (), .context = world, .on_event = check_event });
}

static void
close_world (World *world)
{
  tt_platform_client_free (world->client);
  tt_http_client_free (world->http);
  if (world->peer != NULL)
    uv_peer_free (world->peer);
  uv_close ((uv_handle_t *) &world->guard, NULL);
  (void) uv_run (&world->loop, UV_RUN_DEFAULT);
  CU_ASSERT_EQUAL (uv_loop_close (&world->loop), 0);
}

/// Makes @count calls of the case and waits for their events.
static void
call (World *world, const Case *active, unsigned count)
{
  static const TtObject object = { .type = TT_OBJECT_ACCEPTED, .accepted = { 1, 2, 3 } };
  TtPlatformAction action = { .call_id = 77,
                              .op = active->op,
                              .version = 5,
                              .object = active->op == TT_PLATFORM_PUT ? &object : NULL };

  (void) snprintf (action.key, sizeof action.key, "%s", active->key);
  world->active = active;
  world->events = 0;
  world->expected = count;
  for (unsigned i = 0; i < count; i++)
    tt_platform_client_call (world->client, &action);
  CU_ASSERT_EQUAL (world->events, 0);
  (void) uv_timer_start (&world->guard, stop_loop, 4000, 0);
  (void) uv_run (&world->loop, UV_RUN_DEFAULT);
  CU_ASSERT_EQUAL (world->events, count);
}

/// Guards against "no effect" for a write that may have taken effect, and other wrong verdicts.
static void
answers (void)
{
  World world;

  open_world (&world);
  for (size_t i = 0; i < sizeof cases / sizeof cases[0]; i++)
    {
      unsigned failures = CU_get_number_of_failures ();

      call (&world, &cases[i], 1);
      if (CU_get_number_of_failures () != failures)
        printf ("[case %zu] ", i);
    }
  CU_ASSERT_EQUAL (world.requests, sizeof cases / sizeof cases[0]);
  close_world (&world);
}

/// Guards against "effect unknown" for a call that was never sent.
static void
refused_connection (void)
{
  static const Case refused
      = { .op = TT_PLATFORM_PUT, .key = "config/accepted", .code = TT_E_UNAVAILABLE };
  World world;

  open_world (&world);
  uv_peer_free (world.peer);
  world.peer = NULL;
  (void) uv_run (&world.loop, UV_RUN_NOWAIT);
  call (&world, &refused, 1);
  close_world (&world);
}

/// Guards against an unbounded number of open calls, and against callbacks after the end.
static void
calls_are_bounded (void)
{
  World world;

  open_world (&world);
  call (&world, &cases[0], TT_PLATFORM_MAX_CALLS + 10);
  CU_ASSERT_EQUAL (world.refused, 10);
  CU_ASSERT_EQUAL (world.requests, TT_PLATFORM_MAX_CALLS);
  world.expected = 0;
  tt_platform_client_call (world.client, &(TtPlatformAction){ .op = TT_PLATFORM_HOSTS });
  close_world (&world);
  CU_ASSERT_EQUAL (world.events, TT_PLATFORM_MAX_CALLS + 10);
}

static const UnitTest tests[] = {
  { "answers", answers },
  { "refused_connection", refused_connection },
  { "calls_are_bounded", calls_are_bounded },
};

UNIT_MAIN ("platform_client", tests)
