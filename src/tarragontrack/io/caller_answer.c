#include "tarragontrack/board/error.h"
#include "tarragontrack/codec/chat.h"
#include "tarragontrack/io/caller_defs.h"
#include <stdio.h>
#include <string.h>
#include <sys/socket.h>

#define STATUS_INTERNAL 500

static void on_proceed (h2o_generator_t *generator, h2o_req_t *req);

static TtCallerRecord *
record_of (TtCallerCall *call)
{
  return TT_CONTAINER_OF (call, TtCallerRecord, call);
}

/// State that goes with the next bytes. A connection ends only after its last bytes were written.
static h2o_send_state_t
next_state (const TtCallerRecord *record)
{
  if (!record->ended || (record->cut && record->inflight->size > 0))
    return H2O_SEND_STATE_IN_PROGRESS;
  return record->cut ? H2O_SEND_STATE_ERROR : H2O_SEND_STATE_FINAL;
}

/// Ends the connection of an HTTP/1.1 answer that is not whole. For H2O_SEND_STATE_ERROR, h2o would
/// write a malformed chunk, which is not HTTP; a missing last chunk tells the caller enough.
static void
break_connection (const TtCallerRecord *record)
{
  h2o_socket_t *socket;

  if (record->req->version >= 0x200)
    return;
  socket = record->req->conn->callbacks->get_socket (record->req->conn);
  if (socket != NULL)
    (void) shutdown (h2o_socket_get_fd (socket), SHUT_RDWR);
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
  if (state == H2O_SEND_STATE_ERROR)
    break_connection (record);
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

/// Adds a header to the answer; TtAddHeader.
static void
add_header (void *target, const char *name, const char *value)
{
  tt_http_server_add_header (target, name, value);
}

void
tt_caller_server_begin (TtCallerServer *server, TtCallerCall *call, const TtAnswerHead *head)
{
  TtCallerRecord *record = record_of (call);
  const TtDialect *dialect = server->options.dialect;
  h2o_req_t *req = record->req;

  if (record->begun || req == NULL)
    return;
  record->begun = true;
  h2o_buffer_init (&record->waiting, &h2o_socket_buffer_prototype);
  h2o_buffer_init (&record->inflight, &h2o_socket_buffer_prototype);
  req->res.status = (int) head->status;
  req->res.reason = "";
  req->res.content_length = head->content_length;
  dialect->write_answer (dialect->context, call, head, add_header, req);
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
  const TtDialect *dialect = record->server->options.dialect;
  TtReplyAction answer = *reply;
  char body[TT_ERROR_JSON_MAX];
  size_t size;

  if (answer.status == 0)
    answer.status = STATUS_INTERNAL;
  size = dialect->write_reply (dialect->context, &record->call, &answer, add_header, record->req,
                               body, sizeof body);
  if (reply->body != NULL)
    tt_http_server_send (record->req, answer.status, NULL, reply->body, reply->body_size);
  else
    tt_http_server_send (record->req, answer.status, NULL, body, size);
}

/// Ends an answer that was begun: a stream with an error event, another one with a broken
/// connection, because its length or its end mark shows that it is not whole.
static void
end_begun (TtCallerRecord *record, const TtReplyAction *reply)
{
  char event[TT_ERROR_JSON_MAX + 32];
  size_t length = 0;

  record->cut = !record->call.spec.stream || record->server->options.dialect->breaks_cut_streams;
  if (!record->cut)
    {
      static const char head[] = "event: error\ndata: ";

      memcpy (event, head, sizeof head - 1);
      length = sizeof head - 1;
      length += tt_chat_format_error (event + length, TT_ERROR_JSON_MAX, reply->status,
                                      record->call.spec.external_id, reply->outcome,
                                      reply->error.detail[0] != '\0'
                                          ? reply->error.detail
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
