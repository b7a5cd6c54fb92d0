#include "tarragontrack/io/caller_server.h"
#include "tarragontrack/board/board.h"
#include "tarragontrack/board/error.h"
#include "tarragontrack/codec/chat.h"
#include "tarragontrack/io/caller_defs.h"
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define CHAT_PATH "/v1/chat/completions"
#define OUTCOMES_PATH "/v1/outcomes/"
#define WATCH_PERIOD_MS 200 ///< how soon a closed HTTP/1.1 connection is noticed

void
tt_caller_format_id (const TtCallerServer *server, uint64_t id, char *buffer)
{
  (void) snprintf (buffer, TT_CALLER_ID_MAX, "%s-%llx", server->front.board->config.name,
                   (unsigned long long) id);
}

static TtList *
bucket_of (TtCallerServer *server, uint64_t id)
{
  return &server->buckets[id % TT_CALLER_BUCKETS];
}

TtCallerCall *
tt_caller_server_find (TtCallerServer *server, uint64_t request_id)
{
  TT_LIST_FOREACH (bucket_of (server, request_id), it)
    {
      TtCallerRecord *record = TT_CONTAINER_OF (it, TtCallerRecord, link);

      if (record->call.id == request_id && !record->settled)
        return &record->call;
    }
  return NULL;
}

/// Frees released records. h2o may let go of a request while a function that holds its record runs,
/// so none is freed at once.
static void
on_reap (uv_timer_t *timer)
{
  TtCallerServer *server = timer->data;
  TtLink *link;

  while ((link = tt_list_pop (&server->released)) != NULL)
    {
      TtCallerRecord *record = TT_CONTAINER_OF (link, TtCallerRecord, open_link);

      if (record->waiting != NULL)
        h2o_buffer_dispose (&record->waiting);
      if (record->inflight != NULL)
        h2o_buffer_dispose (&record->inflight);
      free (record->storage);
      free (record);
    }
}

void
tt_caller_release (TtCallerRecord *record)
{
  if (!record->settled || record->req != NULL)
    return;
  tt_list_remove (bucket_of (record->server, record->call.id), &record->link);
  tt_list_remove (&record->server->open, &record->open_link);
  tt_list_append (&record->server->released, &record->open_link);
  (void) uv_timer_start (&record->server->reap_timer, on_reap, 0, 0);
}

/// Tells the board once that the caller went away.
static void
tell_closed (TtCallerRecord *record)
{
  const TtFront *front = &record->server->front;
  TtEvent event = { .type = TT_EVENT_CALLER_CLOSED, .request_id = record->call.id };

  if (record->closed_told || record->settled)
    return;
  record->closed_told = true;
  front->post (front->context, &event);
}

/// h2o frees the request: it was answered, or its connection or stream was closed.
static void
on_dispose (void *data)
{
  TtCallerRecord *record = ((TtCallerGuard *) data)->record;

  record->req = NULL;
  record->sending = false;
  if (record->settled)
    tt_caller_release (record);
  else
    {
      const TtCallerServer *server = record->server;
      uint64_t id = record->call.id;
      bool slow = record->slow;

      tell_closed (record);
      if (slow)
        server->options.on_writable (server->options.context, id);
    }
}

/// Copies a text into the record's storage. RETURN its copy; NULL for NULL.
static const char *
store_text (char **at, const char *text, size_t size)
{
  char *copy = *at;

  if (text == NULL)
    return NULL;
  memcpy (copy, text, size);
  copy[size] = '\0';
  *at = copy + size + 1;
  return copy;
}

/// Makes the record of a request, with its own copy of all that a backend server is sent.
static TtCallerRecord *
new_record (TtCallerServer *server, h2o_req_t *req)
{
  const char *type = tt_http_server_header (req, "content-type");
  const char *key = tt_http_server_header (req, "idempotency-key");
  size_t type_size = type != NULL ? strlen (type) : 0;
  size_t key_size = key != NULL ? strlen (key) : 0;
  TtCallerRecord *record = calloc (1, sizeof *record);
  TtCallerGuard *guard;
  char *at;

  if (record == NULL)
    return NULL;
  at = malloc (req->method.len + req->path.len + type_size + key_size + req->entity.len + 5);
  if (at == NULL)
    {
      free (record);
      return NULL;
    }
  record->storage = at;
  record->call.method = store_text (&at, req->method.base, req->method.len);
  record->call.path = store_text (&at, req->path.base, req->path.len);
  record->call.content_type = store_text (&at, type, type_size);
  record->call.idempotency_key = store_text (&at, key, key_size);
  record->call.body
      = store_text (&at, req->entity.len > 0 ? req->entity.base : "", req->entity.len);
  record->call.body_size = req->entity.len;
  record->server = server;
  record->req = req;
  guard = h2o_mem_alloc_shared (&req->pool, sizeof *guard, on_dispose);
  guard->record = record;
  record->call.id = tt_board_next_id (server->front.board);
  tt_list_append (bucket_of (server, record->call.id), &record->link);
  tt_list_append (&server->open, &record->open_link);
  return record;
}

/// Reads the request into its spec.
static int
read_spec (TtCallerServer *server, TtCallerRecord *record, TtError *error)
{
  TtCallerCall *call = &record->call;
  const TtCallerHeaders headers = {
    .account = tt_http_server_header (record->req, "x-client-account"),
    .authorization = tt_http_server_header (record->req, "authorization"),
    .chat_id = tt_http_server_header (record->req, "x-chat-id"),
    .chat_route = tt_http_server_header (record->req, "x-chat-route"),
    .work_kind = tt_http_server_header (record->req, "x-work-kind"),
    .idempotency_key = call->idempotency_key,
  };
  const char *const methods[] = { "GET", "POST", "PUT", "DELETE" };
  bool known = false;

  for (size_t i = 0; i < sizeof methods / sizeof methods[0]; i++)
    known = known || strcmp (methods[i], call->method) == 0;
  call->chat = strcmp (call->path, CHAT_PATH) == 0;
  if (!known || (call->chat && strcmp (call->method, "POST") != 0))
    return tt_error_set (error, TT_E_INVALID, TT_STEP_CALLER_READ, "caller",
                         "the method is not supported here");
  if (call->chat)
    return tt_chat_read (call->body, call->body_size, &headers, &call->spec, error);
  return tt_chat_read_plain (&server->front.board->configuration, call->method, call->path,
                             call->body, call->body_size, &headers, &call->spec, error);
}

/// Asks the board for the recorded outcome of an idempotency key of the caller's account.
static void
ask_outcome (TtCallerServer *server, TtCallerRecord *record)
{
  const char *account = tt_http_server_header (record->req, "x-client-account");
  const char *key = record->call.path + sizeof OUTCOMES_PATH - 1;
  TtEvent event = { .type = TT_EVENT_OUTCOME_QUERY };

  event.outcome_query.request_id = record->call.id;
  event.outcome_query.key = tt_chat_idempotency_key (account, key);
  server->front.post (server->front.context, &event);
}

static void
on_request (void *context, h2o_req_t *req)
{
  TtCallerServer *server = context;
  TtCallerRecord *record = new_record (server, req);
  TtReplyAction reply = { .outcome = TT_OUTCOME_INVALID, .status = 400 };
  TtEvent event = { .type = TT_EVENT_REQUEST };

  if (record == NULL)
    {
      tt_http_server_send (req, 503, "text/plain", "", 0);
      return;
    }
  reply.request_id = record->call.id;
  if (strncmp (record->call.path, OUTCOMES_PATH, sizeof OUTCOMES_PATH - 1) == 0)
    {
      ask_outcome (server, record);
      return;
    }
  if (read_spec (server, record, &reply.error) < 0)
    {
      if (reply.error.code == TT_E_NOT_FOUND)
        reply.status = 404;
      tt_board_count (server->front.board, TT_COUNT_INVALID, 1);
      tt_caller_server_reply (server, &reply);
      return;
    }
  record->call.spec.request_id = record->call.id;
  event.request = &record->call.spec;
  server->front.post (server->front.context, &event);
}

/// True if the caller has closed its HTTP/1.1 connection. h2o does not read while it waits for an
/// answer, so it would notice only when it writes. A half-closed connection counts as closed.
static bool
is_disconnected (h2o_req_t *req)
{
  struct tcp_info info;
  socklen_t size = sizeof info;
  h2o_socket_t *socket;

  if (req->version >= 0x200)
    return false;
  socket = req->conn->callbacks->get_socket (req->conn);
  memset (&info, 0, sizeof info);
  if (socket == NULL
      || getsockopt (h2o_socket_get_fd (socket), IPPROTO_TCP, TCP_INFO, &info, &size) != 0)
    return false;
  return info.tcpi_state != TCP_ESTABLISHED;
}

static void
on_watch (uv_timer_t *timer)
{
  TtCallerServer *server = timer->data;
  TtLink *it = server->open.head.next;

  // A post may free several records, so the walk starts again after each one.
  while (it != &server->open.head)
    {
      TtCallerRecord *record = TT_CONTAINER_OF (it, TtCallerRecord, open_link);

      it = it->next;
      if (record->closed_told || record->settled || record->req == NULL
          || !is_disconnected (record->req))
        continue;
      tell_closed (record);
      it = server->open.head.next;
    }
}

TtCallerServer *
tt_caller_server_new (const TtFront *front, const TtCallerOptions *options, TtError *error)
{
  TtCallerServer *server = calloc (1, sizeof *server);

  if (server == NULL)
    {
      (void) tt_error_set (error, TT_E_NO_MEMORY, TT_STEP_LISTEN, "callers", "server");
      return NULL;
    }
  server->front = *front;
  server->options = *options;
  server->options.http.context = server;
  server->options.http.on_request = on_request;
  tt_list_init (&server->open);
  tt_list_init (&server->released);
  for (int i = 0; i < TT_CALLER_BUCKETS; i++)
    tt_list_init (&server->buckets[i]);
  server->http = tt_http_server_new (front->loop, &server->options.http, error);
  if (server->http == NULL)
    {
      free (server);
      return NULL;
    }
  (void) uv_timer_init (front->loop, &server->watch_timer);
  (void) uv_timer_init (front->loop, &server->reap_timer);
  server->watch_timer.data = server;
  server->reap_timer.data = server;
  (void) uv_timer_start (&server->watch_timer, on_watch, WATCH_PERIOD_MS, WATCH_PERIOD_MS);
  return server;
}

int
tt_caller_server_reload (TtCallerServer *server, TtError *error)
{
  return tt_http_server_reload (server->http, error);
}

void
tt_caller_server_close (TtCallerServer *server)
{
  tt_http_server_close (server->http);
}

uint32_t
tt_caller_server_open (const TtCallerServer *server)
{
  return server->open.count;
}

void
tt_caller_server_free (TtCallerServer *server)
{
  if (server == NULL)
    return;
  uv_close ((uv_handle_t *) &server->watch_timer, NULL);
  tt_http_server_close (server->http);
  tt_http_server_free (server->http);
  on_reap (&server->reap_timer);
  // Requests that are still open hold on to the server; the process ends with them.
  if (server->open.count > 0)
    return;
  uv_close ((uv_handle_t *) &server->reap_timer, NULL);
  (void) uv_run (server->front.loop, UV_RUN_NOWAIT);
  free (server);
}
