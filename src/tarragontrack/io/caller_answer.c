#include "tarragontrack/board/error.h"
#include "tarragontrack/codec/chat.h"
#include "tarragontrack/io/caller_defs.h"
#include <stdio.h>
#include <string.h>

#define STATUS_INTERNAL 500

static void on_proceed (h2o_generator_t *generator, h2o_req_t *req);

static TtCallerRecord *
record_of (TtCallerCall *call)
{
  return TT_CONTAINER_OF (call, TtCallerRecord, call);
}

/// State that goes with the next bytes.
static h2o_send_state_t
next_state (const TtCallerRecord *record)
{
  if (!record->ended)
    return H2O_SEND_STATE_IN_PROGRESS;
  return record->cut ? H2O_SEND_STATE_ERROR : H2O_SEND_STATE_FINAL;
}

void
tt_caller_pump (TtCallerRecord *record)
{
  h2o_buffer_t *swap = record->inflight;
  h2o_send_state_t state;
  h2o_iovec_t bytes;

  if (record->req == NULL || !record->begun || record->sending || record->final_sent
      || (record->waiting->size == 0 && !record->ended))
    return;
  record->inflight = record->waiting;
  record->waiting = swap;
  record->sending = true;
  state = next_state (record);
  record->final_sent = state != H2O_SEND_STATE_IN_PROGRESS;
  bytes = h2o_iovec_init (record->inflight->bytes, record->inflight->size);
  h2o_send (record->req, &bytes, bytes.len > 0 ? 1 : 0, state);
}

static void
on_proceed (h2o_generator_t *generator, h2o_req_t *req)
{
  TtCallerRecord *record = TT_CONTAINER_OF (generator, TtCallerRecord, generator);
  const TtCallerServer *server = record->server;
  bool writable;

  (void) req;
  record->sending = false;
  h2o_buffer_consume (&record->inflight, record->inflight->size);
  writable = record->slow && record->waiting->size < server->options.buffer_bytes / 2;
  if (writable)
    record->slow = false;
  tt_caller_pump (record);
  if (writable)
    server->options.on_writable (server->options.context, record->call.id);
}

/// Adds the headers that all answers have.
static void
add_headers (const TtCallerRecord *record, uint64_t backend_id, const char *outcome)
{
  char text[TT_CALLER_ID_MAX];

  tt_caller_format_id (record->server, record->call.id, text);
  tt_http_server_add_header (record->req, "x-request-id", text);
  if (outcome != NULL)
    tt_http_server_add_header (record->req, "x-outcome", outcome);
  if (backend_id == 0)
    return;
  tt_chat_format_route (backend_id, text);
  tt_http_server_add_header (record->req, "x-chat-route", text);
}

void
tt_caller_server_begin (TtCallerServer *server, TtCallerCall *call, const TtAnswerHead *head)
{
  TtCallerRecord *record = record_of (call);
  h2o_req_t *req = record->req;

  (void) server;
  if (record->begun || req == NULL)
    return;
  record->begun = true;
  h2o_buffer_init (&record->waiting, &h2o_socket_buffer_prototype);
  h2o_buffer_init (&record->inflight, &h2o_socket_buffer_prototype);
  req->res.status = (int) head->status;
  req->res.reason = "";
  req->res.content_length = head->content_length;
  tt_http_server_add_header (req, "content-type",
                             head->content_type != NULL ? head->content_type : "application/json");
  add_headers (record, head->backend_id, head->whole ? "complete" : NULL);
  record->generator.proceed = on_proceed;
  h2o_start_response (req, &record->generator);
}

bool
tt_caller_server_write (TtCallerServer *server, TtCallerCall *call, const char *data, size_t size)
{
  TtCallerRecord *record = record_of (call);

  if (record->req == NULL || !record->begun || size == 0)
    return false;
  h2o_buffer_reserve (&record->waiting, size);
  memcpy (record->waiting->bytes + record->waiting->size, data, size);
  record->waiting->size += size;
  tt_caller_pump (record);
  record->slow = record->waiting != NULL && record->waiting->size >= server->options.buffer_bytes;
  return record->slow;
}

void
tt_caller_server_end (TtCallerServer *server, TtCallerCall *call)
{
  TtCallerRecord *record = record_of (call);

  (void) server;
  record->settled = true;
  record->ended = true;
  if (record->req == NULL)
    tt_caller_release (record);
  else
    tt_caller_pump (record);
}

/// Sends a whole answer that no backend server gave.
static void
send_reply (TtCallerRecord *record, const TtReplyAction *reply)
{
  char body[TT_ERROR_JSON_MAX];
  char text[TT_CALLER_ID_MAX];
  unsigned status = reply->status != 0 ? reply->status : STATUS_INTERNAL;
  size_t size;

  add_headers (record, 0, tt_chat_outcome_name (reply->outcome));
  if (reply->retry_after_ms > 0)
    {
      (void) snprintf (text, sizeof text, "%u", (reply->retry_after_ms + 999) / 1000);
      tt_http_server_add_header (record->req, "retry-after", text);
    }
  if (reply->body != NULL)
    {
      tt_http_server_send (record->req, status, "application/json", reply->body, reply->body_size);
      return;
    }
  tt_caller_format_id (record->server, record->call.id, text);
  size = tt_chat_format_error (body, sizeof body, status, text, reply->outcome,
                               reply->error.detail[0] != '\0' ? reply->error.detail
                                                              : tt_error_name (reply->error.code));
  tt_http_server_send (record->req, status, "application/json", body, size);
}

/// Ends an answer that was begun: a stream with an error event, another one with a broken
/// connection, because its length or its end mark shows that it is not whole.
static void
end_begun (TtCallerRecord *record, const TtReplyAction *reply)
{
  char event[TT_ERROR_JSON_MAX + 32];
  char text[TT_CALLER_ID_MAX];
  size_t length = 0;

  record->cut = !record->call.spec.stream;
  if (!record->cut)
    {
      static const char head[] = "event: error\ndata: ";

      memcpy (event, head, sizeof head - 1);
      length = sizeof head - 1;
      tt_caller_format_id (record->server, record->call.id, text);
      length += tt_chat_format_error (
          event + length, TT_ERROR_JSON_MAX, reply->status, text, reply->outcome,
          reply->error.detail[0] != '\0' ? reply->error.detail
                                         : "the answer could not be completed");
      length += (size_t) snprintf (event + length, sizeof event - length, "\n\n");
      (void) tt_caller_server_write (record->server, &record->call, event, length);
    }
}

void
tt_caller_server_reply (TtCallerServer *server, const TtReplyAction *reply)
{
  TtCallerCall *call = tt_caller_server_find (server, reply->request_id);
  TtCallerRecord *record;

  if (call == NULL)
    return;
  record = record_of (call);
  record->settled = true;
  if (record->req != NULL && !record->begun)
    {
      send_reply (record, reply);
      return;
    }
  if (record->req != NULL)
    {
      end_begun (record, reply);
      record->ended = true;
      tt_caller_pump (record);
      return;
    }
  tt_caller_release (record);
}
