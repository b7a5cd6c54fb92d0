#include "tarragontrack/io/operator_server.h"
#include "tarragontrack/board/backend.h"
#include "tarragontrack/board/board.h"
#include "tarragontrack/board/error.h"
#include "tarragontrack/board/request.h"
#include "tarragontrack/io/clock.h"
#include "tarragontrack/io/operator_text.h"
#include <h2o.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define PLACEMENT_RECORDS 4096
#define EXPLAIN_PATH "/explain/"
#define JSON_TYPE "application/json"

struct TtOperatorServer
{
  TtFront front;
  TtHttpServer *http;
  TtPlacementRecord placements[PLACEMENT_RECORDS];
  size_t next_placement; ///< index of the next record, modulo PLACEMENT_RECORDS
};

/// Sends a JSON object and frees it.
static void
send_json (h2o_req_t *request, unsigned status, json_object *object)
{
  const char *text
      = json_object_to_json_string_ext (object, JSON_C_TO_STRING_PRETTY | JSON_C_TO_STRING_SPACED);

  tt_http_server_send_response (request, status, JSON_TYPE, text, strlen (text));
  json_object_put (object);
}

static void
send_text (h2o_req_t *request, unsigned status, const char *text)
{
  tt_http_server_send_response (request, status, "text/plain", text, strlen (text));
}

static void
send_metrics (const TtOperatorServer *server, h2o_req_t *request)
{
  size_t size = 0;
  char *text = tt_operator_metrics (server->front.board, &size);

  if (text == NULL)
    {
      send_text (request, 503, "out of memory\n");
      return;
    }
  tt_http_server_send_response (request, 200, "text/plain; version=0.0.4", text, size);
  free (text);
}

/// Sends the recorded placements of a request. @name is its X-Request-Id, which ends with the
/// request id in hexadecimal.
static void
send_placements (const TtOperatorServer *server, h2o_req_t *request, const char *name)
{
  const char *dash = strrchr (name, '-');
  json_object *root = tt_operator_explain (server->placements, PLACEMENT_RECORDS,
                                           strtoull (dash != NULL ? dash + 1 : name, NULL, 16));
  json_object *attempts = json_object_object_get (root, "attempts");

  send_json (request, json_object_array_length (attempts) > 0 ? 200 : 404, root);
}

static void
on_request (void *context, h2o_req_t *request)
{
  const TtOperatorServer *server = context;
  const TtBoard *board = server->front.board;
  const char *path = h2o_strdup (&request->pool, request->path.base, request->path.len).base;

  if (!h2o_memis (request->method.base, request->method.len, H2O_STRLIT ("GET")))
    send_text (request, 405, "only GET is supported\n");
  else if (strcmp (path, "/metrics") == 0)
    send_metrics (server, request);
  else if (strcmp (path, "/status") == 0)
    send_json (request, 200, tt_operator_status (board, tt_clock_now_us ()));
  else if (strncmp (path, EXPLAIN_PATH, sizeof EXPLAIN_PATH - 1) == 0)
    send_placements (server, request, path + sizeof EXPLAIN_PATH - 1);
  else if (strcmp (path, "/healthz") == 0)
    send_text (request, 200, "ok\n");
  else if (strcmp (path, "/readyz") == 0)
    send_text (request, board->drain.ready ? 200 : 503,
               board->drain.ready ? "ready\n" : "not ready\n");
  else
    send_text (request, 404, "not found\n");
}

TtOperatorServer *
tt_operator_server_new (const TtFront *front, const TtHttpServerOptions *options, TtError *error)
{
  TtOperatorServer *server = calloc (1, sizeof *server);
  TtHttpServerOptions http = *options;

  if (server == NULL)
    {
      (void) tt_error_set (error, TT_E_NO_MEMORY, TT_STEP_LISTEN, "operators", "server");
      return NULL;
    }
  server->front = *front;
  http.board = front->board;
  http.context = server;
  http.on_request = on_request;
  server->http = tt_http_server_new (front->loop, &http, error);
  if (server->http == NULL)
    {
      free (server);
      return NULL;
    }
  return server;
}

void
tt_operator_server_check (TtOperatorServer *server, int64_t now_us)
{
  tt_http_server_check (server->http, now_us);
}

/// Copies the name of a backend server; empty if it is unknown.
static void
copy_backend_name (TtBoard *board, uint64_t id, char *name)
{
  const TtBackendServer *backend = tt_backend_find (board, id);

  (void) snprintf (name, TT_NAME_MAX, "%s", backend != NULL ? backend->name : "");
}

void
tt_operator_server_record_attempt (TtOperatorServer *server, const TtAttemptAction *action,
                                   int64_t now_us)
{
  TtBoard *board = server->front.board;
  const TtRequest *request = tt_request_find (board, action->request_id);
  const TtAttempt *attempt = tt_attempt_find (board, action->attempt_id);
  TtPlacementRecord *record = &server->placements[server->next_placement++ % PLACEMENT_RECORDS];

  *record = (TtPlacementRecord){ .request_id = action->request_id,
                                 .attempt_id = action->attempt_id,
                                 .backend_id = action->backend_id,
                                 .resume_from = action->resume_from,
                                 .hedge = attempt != NULL && attempt->hedge,
                                 .placed_at_us = now_us };
  copy_backend_name (board, action->backend_id, record->backend);
  if (request == NULL)
    return;
  record->home_id = request->place.home_id;
  record->reason = request->place.reason;
  record->rank = request->place.rank;
  copy_backend_name (board, record->home_id, record->home);
  (void) snprintf (record->service, sizeof record->service, "%s", request->spec.service);
  (void) snprintf (record->account, sizeof record->account, "%s", request->spec.account);
}

void
tt_operator_server_shut_down (TtOperatorServer *server)
{
  tt_http_server_shut_down (server->http);
}

void
tt_operator_server_free (TtOperatorServer *server)
{
  if (server == NULL)
    return;
  tt_http_server_free (server->http);
  free (server);
}
