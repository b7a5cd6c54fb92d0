#include "support/test_server.h"
#include "support/unit.h"
#include "tarragontrack/board/error.h"
#include "tarragontrack/io/http_client.h"
#include "tarragontrack/io/object_dialect.h"
#include "tarragontrack/io/platform_client.h"
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define ACCEPTED_JSON "{\"generation\":1,\"epoch\":2,\"audit_number\":3}"

/// Expected request of a call, the simulated response, and the expected event.
typedef struct
{
  TtPlatformOp op;
  const char *key;
  const char *request_line; ///< expected beginning of the request
  const char *header;       ///< header line that the request must contain, or NULL
  unsigned status;          ///< of the response; 0 = the connection is closed without a response
  const char *headers;      ///< of the response
  const char *body;
  int code; ///< expected in the event, like the following members
  uint64_t version;
  bool unchanged;
  bool has_object;
  uint64_t era;
} CallCase;

typedef struct
{
  uv_loop_t loop;
  uv_timer_t timeout;
  TestServer *server;
  TtHttpClient *http;
  TtPlatformClient *client;
  const CallCase *current_case;
  unsigned requests;
  unsigned events;
  unsigned refused;
  unsigned expected;
} Fixture;

static const CallCase cases[] = {
  { TT_PLATFORM_GET, "config/accepted", "GET /objects/config/accepted HTTP", NULL, 200,
    "ETag: 7\r\n", ACCEPTED_JSON, TT_OK, 7, false, true },
  { TT_PLATFORM_GET, "leases/a b%", "GET /objects/leases/a%20b%25 HTTP", NULL, 404, "", "",
    TT_E_NOT_FOUND, 0, false, false },
  { TT_PLATFORM_GET, "config/accepted", "GET /objects/", NULL, 200, "ETag: \"7\"\r\n", "{}",
    TT_E_MALFORMED, 7, false, false },
  { TT_PLATFORM_GET, "config/accepted", "GET /objects/", NULL, 200, "", ACCEPTED_JSON,
    TT_E_MALFORMED, 0, false, false },
  { TT_PLATFORM_GET, "config/accepted", "GET /objects/", NULL, 200, "ETag: 7x\r\n", ACCEPTED_JSON,
    TT_E_MALFORMED, 0, false, false },
  { TT_PLATFORM_GET, "config/accepted", "GET /objects/", NULL, 200, "ETag: -1\r\n", ACCEPTED_JSON,
    TT_E_MALFORMED, 0, false, false },
  { TT_PLATFORM_GET, "config/accepted", "GET /objects/", NULL, 200, "ETag: \"7\r\n", ACCEPTED_JSON,
    TT_E_MALFORMED, 0, false, false },
  { TT_PLATFORM_GET, "config/accepted", "GET /objects/", NULL, 200,
    "ETag: 99999999999999999999999\r\n", ACCEPTED_JSON, TT_E_MALFORMED, 0, false, false },
  { TT_PLATFORM_GET, "config/accepted", "GET /objects/", NULL, 200, "ETag: 7\r\n",
    ACCEPTED_JSON "garbage", TT_E_MALFORMED, 7, false, false },
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
  { TT_PLATFORM_WATCH, "config/accepted", "GET /objects/", NULL, 200, "ETag: 8\r\n", ACCEPTED_JSON,
    TT_OK, 8, false, true },
  { TT_PLATFORM_HOSTS, "north 1", "GET /hosts?domain=north%201 HTTP", "If-None-Match: 5\r\n", 200,
    "ETag: 6\r\n", "{\"hosts\":[]}", TT_OK, 6, false, true },
  { TT_PLATFORM_GET, "config/accepted", "GET /objects/", NULL, 200, "ETag: 7\r\nStore-Era: 3\r\n",
    ACCEPTED_JSON, TT_OK, 7, false, true, .era = 3 },
  { TT_PLATFORM_GET, "config/accepted", "GET /objects/", NULL, 404, "Store-Era: 4\r\n", "",
    TT_E_NOT_FOUND, 0, false, false, .era = 4 },
  { TT_PLATFORM_GET, "config/accepted", "GET /objects/", NULL, 503, "Store-Era: x\r\n", "",
    TT_E_UNAVAILABLE, 0, false, false },
  { TT_PLATFORM_GET, "config/accepted", "GET /objects/", NULL, 200, "ETag: 7\r\nStore-Era: 0\r\n",
    ACCEPTED_JSON, TT_OK, 7, false, true },
  { TT_PLATFORM_GET, "config/accepted", "GET /objects/", NULL, 200, "ETag: 7\r\nStore-Era: 3x\r\n",
    ACCEPTED_JSON, TT_E_MALFORMED, 7, false, false },
  { TT_PLATFORM_GET, "config/accepted", "GET /objects/", NULL, 200, "ETag: 7\r\nStore-Era: -3\r\n",
    ACCEPTED_JSON, TT_E_MALFORMED, 7, false, false },
  { TT_PLATFORM_GET, "config/accepted", "GET /objects/", NULL, 200,
    "ETag: 7\r\nStore-Era: \"3\"\r\n", ACCEPTED_JSON, TT_E_MALFORMED, 7, false, false },
  { TT_PLATFORM_GET, "config/accepted", "GET /objects/", NULL, 200,
    "ETag: 7\r\nStore-Era: 99999999999999999999\r\n", ACCEPTED_JSON, TT_E_MALFORMED, 7, false,
    false },
  { TT_PLATFORM_PUT, "config/accepted", "PUT /objects/", NULL, 200, "ETag: 6\r\nStore-Era: 1 2\r\n",
    "", TT_E_TIMEOUT, 6, false, false },
};

static void
handle_request (void *context, TestServerConnection *connection, unsigned number,
                const char *request)
{
  Fixture *fixture = context;
  const CallCase *current_case = fixture->current_case;

  (void) number;
  fixture->requests++;
  if (strncmp (request, current_case->request_line, strlen (current_case->request_line)) != 0
      || (current_case->header != NULL && strstr (request, current_case->header) == NULL))
    CU_FAIL ("wrong request");
  if (current_case->status == 0)
    test_server_close_connection (connection);
  else
    test_server_respond (connection, current_case->status, current_case->headers,
                         current_case->body);
}

static void
check_event (void *context, const TtEvent *event)
{
  Fixture *fixture = context;
  const CallCase *current_case = fixture->current_case;

  CU_ASSERT_EQUAL (event->type, TT_EVENT_PLATFORM_RESPONSE);
  fixture->events++;
  fixture->refused += event->platform.code == TT_E_UNAVAILABLE && event->error.code == TT_E_LIMIT;
  if (fixture->events == fixture->expected)
    uv_stop (&fixture->loop);
  if (fixture->expected > 1)
    return;
  CU_ASSERT_EQUAL (event->platform.call_id, 77);
  CU_ASSERT_EQUAL (event->platform.op, current_case->op);
  CU_ASSERT_EQUAL (event->platform.code, current_case->code);
  CU_ASSERT_EQUAL (event->platform.version, current_case->version);
  CU_ASSERT_EQUAL (event->platform.era, current_case->era);
  CU_ASSERT_EQUAL (event->platform.unchanged, current_case->unchanged);
  CU_ASSERT_EQUAL (event->platform.object != NULL, current_case->has_object);
  if (event->platform.object != NULL && current_case->op != TT_PLATFORM_HOSTS)
    CU_ASSERT_EQUAL (event->platform.object->accepted.epoch, 2);
}

static void
on_timeout (uv_timer_t *timer)
{
  uv_stop (timer->loop);
}

static void
open_fixture (Fixture *fixture)
{
  char url[64];

  memset (fixture, 0, sizeof *fixture);
  (void) uv_loop_init (&fixture->loop);
  (void) uv_timer_init (&fixture->loop, &fixture->timeout);
  fixture->server = test_server_new (&fixture->loop, handle_request, fixture);
  fixture->http = tt_http_client_new (&fixture->loop);
  (void) snprintf (url, sizeof url, "http://127.0.0.1:%u", test_server_port (fixture->server));
  fixture->client
      = tt_platform_client_new (&fixture->loop, fixture->http,
                                &(TtPlatformClientOptions){ .url = url,
                                                            .max_response_bytes = 4000000,
                                                            .dialect = tt_object_dialect (),
                                                            .context = fixture,
                                                            .on_event = check_event });
}

static void
close_fixture (Fixture *fixture)
{
  tt_platform_client_free (fixture->client);
  tt_http_client_free (fixture->http);
  if (fixture->server != NULL)
    test_server_free (fixture->server);
  uv_close ((uv_handle_t *) &fixture->timeout, NULL);
  (void) uv_run (&fixture->loop, UV_RUN_DEFAULT);
  CU_ASSERT_EQUAL (uv_loop_close (&fixture->loop), 0);
}

/// Starts @count calls of the case and waits for their events.
static void
run_calls (Fixture *fixture, const CallCase *current_case, unsigned count)
{
  static const TtObject object = { .type = TT_OBJECT_ACCEPTED, .accepted = { 1, 2, 3 } };
  TtPlatformAction action = { .call_id = 77,
                              .op = current_case->op,
                              .version = 5,
                              .object = current_case->op == TT_PLATFORM_PUT ? &object : NULL };

  (void) snprintf (action.key, sizeof action.key, "%s", current_case->key);
  fixture->current_case = current_case;
  fixture->events = 0;
  fixture->expected = count;
  for (unsigned i = 0; i < count; i++)
    tt_platform_client_call (fixture->client, &action);
  CU_ASSERT_EQUAL (fixture->events, 0);
  (void) uv_timer_start (&fixture->timeout, on_timeout, 4000, 0);
  (void) uv_run (&fixture->loop, UV_RUN_DEFAULT);
  CU_ASSERT_EQUAL (fixture->events, count);
}

/// Guards against reporting that a write had no effect although it may have taken effect, and
/// against other wrong error codes.
static void
test_response_codes (void)
{
  Fixture fixture;

  open_fixture (&fixture);
  for (size_t i = 0; i < sizeof cases / sizeof cases[0]; i++)
    {
      unsigned failures = CU_get_number_of_failures ();

      run_calls (&fixture, &cases[i], 1);
      if (CU_get_number_of_failures () != failures)
        printf ("[case %zu] ", i);
    }
  CU_ASSERT_EQUAL (fixture.requests, sizeof cases / sizeof cases[0]);
  close_fixture (&fixture);
}

/// Guards against reporting an unknown effect for a call that was never sent.
static void
test_refused_connection (void)
{
  static const CallCase refused
      = { .op = TT_PLATFORM_PUT, .key = "config/accepted", .code = TT_E_UNAVAILABLE };
  Fixture fixture;

  open_fixture (&fixture);
  test_server_free (fixture.server);
  fixture.server = NULL;
  (void) uv_run (&fixture.loop, UV_RUN_NOWAIT);
  run_calls (&fixture, &refused, 1);
  close_fixture (&fixture);
}

/// Guards against an unbounded number of concurrent calls, and against callbacks after the client
/// is freed.
static void
test_calls_are_bounded (void)
{
  Fixture fixture;

  open_fixture (&fixture);
  run_calls (&fixture, &cases[0], TT_PLATFORM_MAX_CALLS + 10);
  CU_ASSERT_EQUAL (fixture.refused, 10);
  CU_ASSERT_EQUAL (fixture.requests, TT_PLATFORM_MAX_CALLS);
  fixture.expected = 0;
  tt_platform_client_call (fixture.client, &(TtPlatformAction){ .op = TT_PLATFORM_HOSTS });
  close_fixture (&fixture);
  CU_ASSERT_EQUAL (fixture.events, TT_PLATFORM_MAX_CALLS + 10);
}

static const UnitTest tests[] = {
  { "response_codes", test_response_codes },
  { "refused_connection", test_refused_connection },
  { "calls_are_bounded", test_calls_are_bounded },
};

UNIT_MAIN ("platform_client", tests)
