#include "tarragontrack/io/caller_server.h"
#include "tarragontrack/board/board.h"
#include "tarragontrack/board/error.h"
#include "tarragontrack/control/intake.h"
#include "tarragontrack/io/caller_defs.h"
#include "tarragontrack/io/clock.h"
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define DISCONNECT_CHECK_INTERVAL_MS 200 ///< interval of the check for closed HTTP/1.1 connections

static TtList *
caller_bucket (TtCallerServer *server, uint64_t id)
{
  return &server->buckets[id % TT_CALLER_BUCKETS];
}

TtCallerCall *
tt_caller_server_find (TtCallerServer *server, uint64_t request_id)
{
  TT_LIST_FOREACH (caller_bucket (server, request_id), it)
    {
      TtCallerRecord *record = TT_CONTAINER_OF (it, TtCallerRecord, link);

      if (record->call.id == request_id && !record->finished_by_board)
        return &record->call;
    }
  return NULL;
}

/// Frees released records (a timer callback). h2o may free a request while a function that uses its
/// record runs, so tt_caller_record_release() does not free the record itself.
static void
free_released_records (uv_timer_t *timer)
{
  TtCallerServer *server = timer->data;
  TtLink *link;

  while ((link = tt_list_pop (&server->released_records)) != NULL)
    {
      TtCallerRecord *record = TT_CONTAINER_OF (link, TtCallerRecord, open_link);

      if (record->unsent != NULL)
        server->unsent_bytes -= record->unsent->size + record->inflight->size;
      if (record->unsent != NULL)
        h2o_buffer_dispose (&record->unsent);
      if (record->inflight != NULL)
        h2o_buffer_dispose (&record->inflight);
      tt_intake_release (server->front.board, record->charged_bytes);
      free (record->storage);
      free (record);
    }
}

void
tt_caller_record_release (TtCallerRecord *record)
{
  if (!record->finished_by_board || record->req != NULL)
    return;
  tt_list_remove (caller_bucket (record->server, record->call.id), &record->link);
  tt_list_remove (&record->server->open_records, &record->open_link);
  tt_list_append (&record->server->released_records, &record->open_link);
  (void) uv_timer_start (&record->server->free_timer, free_released_records, 0, 0);
}

/// Posts to the board, once per request, that the caller closed its connection or stream.
static void
post_caller_closed (TtCallerRecord *record)
{
  const TtFront *front = &record->server->front;
  TtEvent event = { .type = TT_EVENT_CALLER_CLOSED, .request_id = record->call.id };

  if (record->close_reported || record->finished_by_board)
    return;
  record->close_reported = true;
  front->post (front->context, &event);
}

/// Called when h2o frees the request: the response was sent, or its connection or stream was
/// closed.
static void
on_dispose (void *data)
{
  TtCallerRecord *record = ((TtCallerDisposeHook *) data)->record;

  record->req = NULL;
  record->sending = false;
  if (record->finished_by_board)
    tt_caller_record_release (record);
  else
    {
      const TtCallerServer *server = record->server;
      uint64_t id = record->call.id;
      bool slow = record->awaiting_writable;

      post_caller_closed (record);
      if (slow)
        server->options.on_writable (server->options.context, id);
    }
}

/// Copies a string into the record's storage at @at and advances @at past its final NUL.
static const char *
copy_text (char **at, const char *text, size_t size)
{
  char *copy = *at;

  if (size > 0)
    memcpy (copy, text, size);
  copy[size] = '\0';
  *at = copy + size + 1;
  return copy;
}

/// Total size of a request's strings and body, each with a final NUL.
static size_t
request_text_size (const h2o_req_t *req)
{
  size_t size = req->method.len + req->path.len + req->authority.len + req->entity.len + 4;

  for (size_t i = 0; i < req->headers.size; i++)
    size += req->headers.entries[i].name->len + req->headers.entries[i].value.len + 2;
  return size;
}

/// Copies the headers, strings and body of a request. RETURN false if memory could not be
/// allocated.
static bool
copy_request (TtCallerRecord *record, const h2o_req_t *req)
{
  TtCallerCall *call = &record->call;
  size_t headers_size = req->headers.size * sizeof (TtHeader);
  size_t size = headers_size + request_text_size (req);
  char *at = malloc (size);

  if (at == NULL)
    return false;
  record->storage = at;
  record->charged_bytes = size + req->entity.len;
  call->headers = (TtHeaders){ .entries = (TtHeader *) at, .count = req->headers.size };
  at += headers_size;
  for (size_t i = 0; i < req->headers.size; i++)
    {
      const h2o_header_t *header = &req->headers.entries[i];

      call->headers.entries[i].name = copy_text (&at, header->name->base, header->name->len);
      call->headers.entries[i].value = copy_text (&at, header->value.base, header->value.len);
    }
  call->method = copy_text (&at, req->method.base, req->method.len);
  call->path = copy_text (&at, req->path.base, req->path.len);
  call->host = copy_text (&at, req->authority.base, req->authority.len);
  call->body = copy_text (&at, req->entity.base, req->entity.len);
  call->body_size = req->entity.len;
  return true;
}

/// Allocates the record of a request, with a copy of everything that is sent to a backend server.
static TtCallerRecord *
new_record (TtCallerServer *server, h2o_req_t *req)
{
  TtCallerRecord *record = calloc (1, sizeof *record);
  TtCallerDisposeHook *dispose_hook;

  if (record == NULL)
    return NULL;
  if (!copy_request (record, req))
    {
      free (record);
      return NULL;
    }
  if (req->entity.len > 0)
    tt_http_server_release_body (req);
  tt_intake_hold (server->front.board, record->charged_bytes, tt_clock_now_us ());
  record->server = server;
  record->req = req;
  dispose_hook = h2o_mem_alloc_shared (&req->pool, sizeof *dispose_hook, on_dispose);
  dispose_hook->record = record;
  record->call.id = tt_board_next_id (server->front.board);
  record->call.spec.request_id = record->call.id;
  tt_list_append (caller_bucket (server, record->call.id), &record->link);
  tt_list_append (&server->open_records, &record->open_link);
  return record;
}

static void
on_request (void *context, h2o_req_t *req)
{
  TtCallerServer *server = context;
  const TtDialect *dialect = server->options.dialect;
  TtCallerRecord *record = new_record (server, req);
  TtReplyAction reply = { .outcome = TT_OUTCOME_INVALID, .status = 400 };
  TtEvent event = { .type = TT_EVENT_REQUEST };

  if (record == NULL)
    {
      tt_http_server_send_response (req, 503, "text/plain", "", 0);
      return;
    }
  if (dialect->parse_request (dialect->context, server->front.board, &record->call, &event,
                              &reply.error)
      < 0)
    {
      reply.request_id = record->call.id;
      if (reply.error.code == TT_E_NOT_FOUND)
        reply.status = 404;
      tt_board_counter_add (server->front.board, TT_COUNT_INVALID, 1);
      tt_caller_server_reply (server, &reply);
      return;
    }
  record->call.spec.request_id = record->call.id;
  server->front.post (server->front.context, &event);
}

/// True if the caller has closed its HTTP/1.1 connection. h2o does not read from the connection
/// until the response is sent, so it would detect the close only on a write. A half-closed
/// connection counts as closed.
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
on_disconnect_check (uv_timer_t *timer)
{
  TtCallerServer *server = timer->data;
  TtLink *it = server->open_records.head.next;

  // A posted event may release several records, so the iteration restarts after each post.
  while (it != &server->open_records.head)
    {
      TtCallerRecord *record = TT_CONTAINER_OF (it, TtCallerRecord, open_link);

      it = it->next;
      if (record->close_reported || record->finished_by_board || record->req == NULL
          || !is_disconnected (record->req))
        continue;
      post_caller_closed (record);
      it = server->open_records.head.next;
    }
}

/// Formats a refusal as the dialect does (TtHttpServerOptions.format_refusal).
static size_t
format_refusal (void *context, const TtReplyAction *reply, TtAddHeader add, void *target,
                char *body, size_t size)
{
  const TtDialect *dialect = ((const TtCallerServer *) context)->options.dialect;
  const TtCallerCall call = { .id = 0 };

  return dialect->write_local_reply (dialect->context, &call, reply, add, target, body, size);
}

TtCallerServer *
tt_caller_server_new (const TtFront *front, const TtCallerServerOptions *options, TtError *error)
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
  server->options.http.format_refusal = format_refusal;
  server->options.http.board = front->board;
  tt_list_init (&server->open_records);
  tt_list_init (&server->released_records);
  for (int i = 0; i < TT_CALLER_BUCKETS; i++)
    tt_list_init (&server->buckets[i]);
  server->http = tt_http_server_new (front->loop, &server->options.http, error);
  if (server->http == NULL)
    {
      free (server);
      return NULL;
    }
  (void) uv_timer_init (front->loop, &server->disconnect_timer);
  (void) uv_timer_init (front->loop, &server->free_timer);
  server->disconnect_timer.data = server;
  server->free_timer.data = server;
  (void) uv_timer_start (&server->disconnect_timer, on_disconnect_check,
                         DISCONNECT_CHECK_INTERVAL_MS, DISCONNECT_CHECK_INTERVAL_MS);
  return server;
}

int
tt_caller_server_reload_certificate (TtCallerServer *server, TtError *error)
{
  return tt_http_server_reload_certificate (server->http, error);
}

void
tt_caller_server_set_limits (TtCallerServer *server, uint32_t max_header_bytes,
                             uint32_t max_body_bytes, uint32_t read_timeout_ms)
{
  tt_http_server_set_limits (server->http, max_header_bytes, max_body_bytes, read_timeout_ms);
}

void
tt_caller_server_check (TtCallerServer *server, int64_t now_us)
{
  tt_http_server_check (server->http, now_us);
}

void
tt_caller_server_drain (TtCallerServer *server)
{
  tt_http_server_drain (server->http);
}

void
tt_caller_server_stop_accepting (TtCallerServer *server)
{
  tt_http_server_shut_down (server->http);
}

uint32_t
tt_caller_server_count_open_requests (const TtCallerServer *server)
{
  return server->open_records.count;
}

void
tt_caller_server_free (TtCallerServer *server)
{
  if (server == NULL)
    return;
  uv_close ((uv_handle_t *) &server->disconnect_timer, NULL);
  tt_http_server_shut_down (server->http);
  tt_http_server_free (server->http);
  free_released_records (&server->free_timer);
  // Open requests still reference the server, so it is not freed; the process is about to exit.
  if (server->open_records.count > 0)
    return;
  uv_close ((uv_handle_t *) &server->free_timer, NULL);
  (void) uv_run (server->front.loop, UV_RUN_NOWAIT);
  free (server);
}
