#include "tarragontrack/board/error.h"
#include "tarragontrack/codec/chat.h"
#include "tarragontrack/io/caller_defs.h"
#include <stdio.h>
#include <string.h>
#include <sys/socket.h>

enum
{
  HTTP_1_1 = 0x101, ///< h2o's number of the protocol's version
  STATUS_OK = 200,
  STATUS_NO_CONTENT = 204,
  STATUS_NOT_MODIFIED = 304,
  STATUS_INTERNAL = 500,
  CHUNK_PARTS = 4 ///< size, data, line end, last chunk
};

static void on_proceed (h2o_generator_t *generator, h2o_req_t *req);

static TtCallerRecord *
caller_record (TtCallerCall *call)
{
  return TT_CONTAINER_OF (call, TtCallerRecord, call);
}

/// Send state for the next bytes. The error that ends a truncated response is passed to h2o only
/// after all earlier bytes were written.
static h2o_send_state_t
next_send_state (const TtCallerRecord *record)
{
  if (!record->response_ended || (record->response_truncated && record->inflight->size > 0))
    return H2O_SEND_STATE_IN_PROGRESS;
  return record->response_truncated ? H2O_SEND_STATE_ERROR : H2O_SEND_STATE_FINAL;
}

/// Shuts down the connection of an incomplete HTTP/1.x response. For H2O_SEND_STATE_ERROR, h2o
/// would write a malformed chunk, which is not HTTP; the missing last chunk shows the caller that
/// the response is incomplete. HTTP/1.0 has no chunks; there the connection is reset.
static void
shut_down_connection (const TtCallerRecord *record)
{
  const struct linger reset = { .l_onoff = 1, .l_linger = 0 };
  h2o_socket_t *socket;

  if (record->req->version >= 0x200)
    return;
  socket = record->req->conn->callbacks->get_socket (record->req->conn);
  if (socket == NULL)
    return;
  if (record->req->version < HTTP_1_1 && record->req->res.content_length == SIZE_MAX)
    (void) setsockopt (h2o_socket_get_fd (socket), SOL_SOCKET, SO_LINGER, &reset, sizeof reset);
  else
    (void) shutdown (h2o_socket_get_fd (socket), SHUT_RDWR);
}

/// Frames the bytes that are sent next as a chunk, and ends the response with the last chunk.
/// RETURN the number of parts.
static size_t
frame_chunk (TtCallerRecord *record, h2o_send_state_t state, h2o_iovec_t parts[CHUNK_PARTS])
{
  size_t size = record->inflight->size;
  size_t count = 0;

  if (size > 0)
    {
      parts[count++] = h2o_iovec_init (
          record->chunk_head,
          (size_t) snprintf (record->chunk_head, sizeof record->chunk_head, "%zx\r\n", size));
      parts[count++] = h2o_iovec_init (record->inflight->bytes, size);
      parts[count++] = h2o_iovec_init (H2O_STRLIT ("\r\n"));
    }
  if (state == H2O_SEND_STATE_FINAL)
    parts[count++] = h2o_iovec_init (H2O_STRLIT ("0\r\n\r\n"));
  return count;
}

void
tt_caller_record_flush (TtCallerRecord *record)
{
  h2o_buffer_t *idle_buffer = record->inflight;
  h2o_iovec_t parts[CHUNK_PARTS];
  h2o_send_state_t state;
  size_t count = 0;

  if (record->req == NULL || !record->response_started || record->sending || record->final_sent
      || (record->unsent->size == 0 && !record->response_ended))
    return;
  record->inflight = record->unsent;
  record->unsent = idle_buffer;
  record->sending = true;
  state = next_send_state (record);
  if (state == H2O_SEND_STATE_ERROR)
    shut_down_connection (record);
  record->final_sent = state != H2O_SEND_STATE_IN_PROGRESS;
  if (record->chunked)
    count = frame_chunk (record, state, parts);
  else if (record->inflight->size > 0)
    parts[count++] = h2o_iovec_init (record->inflight->bytes, record->inflight->size);
  h2o_send (record->req, parts, count, state);
}

static void
on_proceed (h2o_generator_t *generator, h2o_req_t *req)
{
  TtCallerRecord *record = TT_CONTAINER_OF (generator, TtCallerRecord, generator);
  const TtCallerServer *server = record->server;
  bool writable;

  (void) req;
  record->sending = false;
  record->server->unsent_bytes -= record->inflight->size;
  h2o_buffer_consume (&record->inflight, record->inflight->size);
  writable = record->awaiting_writable
             && record->unsent->size < server->options.response_buffer_bytes / 2;
  if (writable)
    record->awaiting_writable = false;
  tt_caller_record_flush (record);
  if (writable)
    server->options.on_writable (server->options.context, record->call.id);
}

/// Adds a header to the response (a TtAddHeader callback).
static void
add_header (void *target, const char *name, const char *value)
{
  tt_http_server_add_header (target, name, value);
}

/// True if the response needs chunks of its own: it has no length, and h2o uses chunks for status
/// 200 only. Without either, a response that breaks off would look complete.
static bool
needs_chunks (const h2o_req_t *req)
{
  return req->version == HTTP_1_1 && req->res.content_length == SIZE_MAX
         && req->res.status != STATUS_OK && req->res.status != STATUS_NO_CONTENT
         && req->res.status != STATUS_NOT_MODIFIED
         && !h2o_memis (req->input.method.base, req->input.method.len, H2O_STRLIT ("HEAD"));
}

void
tt_caller_server_start_response (TtCallerServer *server, TtCallerCall *call,
                                 const TtResponseHead *head)
{
  TtCallerRecord *record = caller_record (call);
  const TtDialect *dialect = server->options.dialect;
  h2o_req_t *req = record->req;

  if (record->response_started || req == NULL)
    return;
  record->response_started = true;
  h2o_buffer_init (&record->unsent, &h2o_socket_buffer_prototype);
  h2o_buffer_init (&record->inflight, &h2o_socket_buffer_prototype);
  req->res.status = (int) head->status;
  req->res.reason = "";
  req->res.content_length = head->content_length;
  dialect->write_response_headers (dialect->context, call, head, add_header, req);
  record->chunked = needs_chunks (req);
  if (record->chunked)
    tt_http_server_add_header (req, "transfer-encoding", "chunked");
  record->generator.proceed = on_proceed;
  h2o_start_response (req, &record->generator);
}

/// True if a response with @size unsent bytes is to be given no more for now.
static bool
is_full (const TtCallerServer *server, size_t size)
{
  return size >= server->options.response_buffer_bytes
         || (size >= TT_CALLER_SMALL_PART_BYTES
             && server->unsent_bytes > server->options.total_buffer_bytes);
}

bool
tt_caller_server_write_response (TtCallerServer *server, TtCallerCall *call, const char *data,
                                 size_t size)
{
  TtCallerRecord *record = caller_record (call);

  if (record->req == NULL || !record->response_started || size == 0)
    return false;
  h2o_buffer_reserve (&record->unsent, size);
  memcpy (record->unsent->bytes + record->unsent->size, data, size);
  record->unsent->size += size;
  server->unsent_bytes += size;
  tt_caller_record_flush (record);
  record->awaiting_writable = record->unsent != NULL && is_full (server, record->unsent->size);
  return record->awaiting_writable;
}

void
tt_caller_server_end_response (TtCallerServer *server, TtCallerCall *call)
{
  TtCallerRecord *record = caller_record (call);

  (void) server;
  record->finished_by_board = true;
  record->response_ended = true;
  if (record->req == NULL)
    tt_caller_record_release (record);
  else
    tt_caller_record_flush (record);
}

/// Sends a generated or recorded response.
static void
send_local_reply (TtCallerRecord *record, const TtReplyAction *reply)
{
  const TtDialect *dialect = record->server->options.dialect;
  TtReplyAction filled_reply = *reply;
  char body[TT_ERROR_JSON_MAX];
  size_t size;

  if (filled_reply.status == 0)
    filled_reply.status = STATUS_INTERNAL;
  size = dialect->write_local_reply (dialect->context, &record->call, &filled_reply, add_header,
                                     record->req, body, sizeof body);
  if (reply->body != NULL)
    tt_http_server_send_response (record->req, filled_reply.status, NULL, reply->body,
                                  reply->body_size);
  else
    tt_http_server_send_response (record->req, filled_reply.status, NULL, body, size);
}

/// Ends a response that was started and cannot be completed. A stream ends with an error event,
/// unless the dialect closes incomplete streams. Any other response ends by closing the connection;
/// its length or the missing last chunk shows the caller that it is incomplete.
static void
end_incomplete_response (TtCallerRecord *record, const TtReplyAction *reply)
{
  char event[TT_ERROR_JSON_MAX + 32];
  size_t length = 0;

  record->response_truncated
      = !record->call.spec.stream || record->server->options.dialect->closes_incomplete_streams;
  if (!record->response_truncated)
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
      (void) tt_caller_server_write_response (record->server, &record->call, event, length);
    }
}

void
tt_caller_server_reply (TtCallerServer *server, const TtReplyAction *reply)
{
  TtCallerCall *call = tt_caller_server_find (server, reply->request_id);
  TtCallerRecord *record;

  if (call == NULL)
    return;
  record = caller_record (call);
  record->finished_by_board = true;
  if (record->req != NULL && !record->response_started)
    {
      send_local_reply (record, reply);
      return;
    }
  if (record->req != NULL)
    {
      end_incomplete_response (record, reply);
      record->response_ended = true;
      tt_caller_record_flush (record);
      return;
    }
  tt_caller_record_release (record);
}
