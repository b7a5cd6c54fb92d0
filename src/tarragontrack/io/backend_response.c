#include "tarragontrack/board/board.h"
#include "tarragontrack/board/error.h"
#include "tarragontrack/board/escape.h"
#include "tarragontrack/io/backend_defs.h"
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define STATUS_OK 200
#define STATUS_NO_CONTENT 204

/// Cancels the HTTP call of an attempt and posts the attempt's failure.
static void
abort_attempt (TtBackendAttempt *attempt, int code, const char *detail)
{
  TtError error = { 0 };

  (void) tt_error_set (&error, code, TT_STEP_RECEIVE, attempt->backend_name, "%s", detail);
  if (attempt->call != NULL)
    tt_http_call_cancel (attempt->call);
  tt_backend_attempt_fail (attempt, &error);
}

/// True if the framing of the response, once its head has arrived, shows where the body ends.
static bool
has_stated_end (const TtBackendAttempt *attempt)
{
  return attempt->chunked || attempt->content_length != SIZE_MAX
         || attempt->status == STATUS_NO_CONTENT;
}

static const char *
framing_name (const TtBackendAttempt *attempt)
{
  if (attempt->status == 0) // no whole head arrived
    return "none";
  if (attempt->content_length != SIZE_MAX)
    return "length";
  return attempt->chunked ? "chunks" : "close";
}

/// Logs bytes of no known form in an answer, once for each attempt: what came, from which backend
/// server, after which event, and what the caller had been sent by then.
static void
report_unknown_form (TtBackendAttempt *attempt, const char *place, const char *data, size_t size)
{
  TtBackendClient *client = attempt->client;
  const TtCallerCall *caller = tt_caller_server_find (client->options.callers, attempt->request_id);
  char text[TT_BACKEND_LOGGED_BYTES_MAX];

  if (attempt->unknown_form_reported)
    return;
  attempt->unknown_form_reported = true;
  tt_board_counter_add (client->front.board, TT_COUNT_UNKNOWN_FORMS, 1);
  tt_escape_bytes (text, sizeof text, data, size);
  tt_board_log (client->front.board, TT_LOG_ANSWER_UNKNOWN_FORM,
                "request=%s backend=%s status=%u place=%s after_event=%u framing=%s size=%zu "
                "bytes=\"%s\" caller_bytes=%zu",
                caller != NULL ? caller->spec.external_id : "", attempt->backend_name,
                attempt->status, place, attempt->scan.last_event_id, framing_name (attempt), size,
                text, caller != NULL ? caller->relayed_bytes : 0);
}

/// Posts the attempt's progress to the board. RETURN false if the board closed the attempt.
static bool
post_progress (TtBackendAttempt *attempt, uint32_t tokens, bool exceeds_buffer)
{
  TtBackendClient *client = attempt->client;
  TtEvent event = { .type = TT_EVENT_ATTEMPT_PROGRESS };
  uint64_t id = attempt->id;

  event.attempt.attempt_id = id;
  event.attempt.tokens = tokens;
  event.attempt.exceeds_buffer = exceeds_buffer;
  event.attempt.not_executed = attempt->response_info.not_executed;
  event.attempt.status = attempt->status;
  event.attempt.event_stream = attempt->event_stream;
  event.attempt.last_event_id = attempt->scan.last_event_id;
  event.attempt.load = attempt->response_info.load;
  event.attempt.leaving = attempt->response_info.leaving;
  event.attempt.unavailable_ms = attempt->response_info.unavailable_ms;
  client->front.post (client->front.context, &event);
  return tt_backend_attempt_find (client, id) == attempt;
}

void
tt_backend_attempt_on_sent (void *context)
{
  TtBackendAttempt *attempt = context;
  TtEvent event = { .type = TT_EVENT_ATTEMPT_SENT, .attempt.attempt_id = attempt->id };

  attempt->maybe_sent = true;
  event.attempt.maybe_sent = true;
  attempt->client->front.post (attempt->client->front.context, &event);
}

static const char *
find_header (void *source, const char *name)
{
  return tt_http_call_get_header (source, name);
}

/// Counts a header that is relayed and adds up the storage for its name and value.
static void
count_relayed_header (void *context, const char *name, const char *value)
{
  TtBackendAttempt *attempt = context;
  const TtDialect *dialect = attempt->client->options.dialect;

  if (!dialect->relays_header (dialect->context, name))
    return;
  attempt->headers.count++;
  attempt->header_size += strlen (name) + strlen (value) + 2;
}

/// Copies a header that is relayed into the attempt's storage.
static void
copy_relayed_header (void *context, const char *name, const char *value)
{
  TtBackendAttempt *attempt = context;
  const TtDialect *dialect = attempt->client->options.dialect;
  TtHeader *header = &attempt->headers.entries[attempt->headers.count];
  char *at = attempt->header_storage + attempt->header_size;
  size_t name_size = strlen (name) + 1;
  size_t value_size = strlen (value) + 1;

  if (!dialect->relays_header (dialect->context, name))
    return;
  memcpy (at, name, name_size);
  memcpy (at + name_size, value, value_size);
  header->name = at;
  header->value = at + name_size;
  attempt->headers.count++;
  attempt->header_size += name_size + value_size;
}

/// Stores the response headers that are relayed to the caller. RETURN false if memory could not be
/// allocated.
static bool
store_relayed_headers (TtBackendAttempt *attempt, TtHttpCall *call)
{
  tt_http_call_visit_headers (call, count_relayed_header, attempt);
  if (attempt->headers.count == 0)
    return true;
  attempt->headers.entries = calloc (attempt->headers.count, sizeof *attempt->headers.entries);
  attempt->header_storage = malloc (attempt->header_size);
  attempt->headers.count = 0;
  attempt->header_size = 0;
  if (attempt->headers.entries == NULL || attempt->header_storage == NULL)
    return false;
  tt_http_call_visit_headers (call, copy_relayed_header, attempt);
  return true;
}

void
tt_backend_attempt_on_headers (void *context, TtHttpCall *call, unsigned status)
{
  TtBackendAttempt *attempt = context;
  TtBackendClient *client = attempt->client;
  const TtDialect *dialect = client->options.dialect;
  const TtCallerCall *caller = tt_caller_server_find (client->options.callers, attempt->request_id);
  const char *type = tt_http_call_get_header (call, "Content-Type");
  const char *reason = "the caller is gone";
  int code = TT_E_CANCELLED;

  attempt->status = status;
  attempt->content_length = tt_http_call_content_length (call);
  attempt->chunked = tt_http_call_get_header (call, "Transfer-Encoding") != NULL;
  if (type != NULL)
    (void) snprintf (attempt->content_type, sizeof attempt->content_type, "%s", type);
  attempt->response_info = (TtResponseInfo){ .status = status,
                                             .stream_requested = attempt->stream_requested,
                                             .resume_from = attempt->resume_from };
  if (caller != NULL)
    code = dialect->parse_response_head (dialect->context, caller, attempt->token, find_header,
                                         call, &attempt->response_info, &reason);
  attempt->event_stream = attempt->response_info.event_stream;
  // A stream that is resumed after its last event is empty. Only a length or chunks show that it is
  // whole.
  attempt->scan.done
      = attempt->event_stream && attempt->scan.last_event_id > 0 && has_stated_end (attempt);
  if (code == TT_E_STALE)
    tt_board_counter_add (client->front.board, TT_COUNT_LATE_RESPONSES, 1);
  if (code == TT_E_MALFORMED)
    report_unknown_form (attempt, "head", reason, strlen (reason));
  if (code != TT_OK)
    abort_attempt (attempt, code, reason);
  else if (!store_relayed_headers (attempt, call))
    abort_attempt (attempt, TT_E_NO_MEMORY, "headers");
  else if (attempt->response_info.load.known || attempt->response_info.leaving
           || attempt->response_info.unavailable_ms > 0)
    (void) post_progress (attempt, 0, false);
}

/// Appends response data to the attempt's buffer. RETURN false if memory could not be allocated.
static bool
append_data (TtBackendAttempt *attempt, const char *data, size_t size)
{
  if (attempt->size + size > attempt->capacity)
    {
      size_t capacity = 2 * (attempt->size + size);
      char *buffer = realloc (attempt->buffer, capacity);

      if (buffer == NULL)
        return false;
      attempt->client->buffered_bytes += capacity - attempt->capacity;
      attempt->buffer = buffer;
      attempt->capacity = capacity;
    }
  memcpy (attempt->buffer + attempt->size, data, size);
  attempt->size += size;
  return true;
}

void
tt_backend_attempt_free_buffer (TtBackendAttempt *attempt)
{
  attempt->client->buffered_bytes -= attempt->capacity;
  free (attempt->buffer);
  attempt->buffer = NULL;
  attempt->capacity = 0;
}

void
tt_backend_attempt_flush (TtBackendAttempt *attempt)
{
  TtBackendClient *client = attempt->client;
  TtCallerCall *caller;
  size_t size = attempt->relayable_size;

  if (!attempt->relayed || size == 0)
    return;
  caller = tt_caller_server_find (client->options.callers, attempt->request_id);
  attempt->size -= size;
  attempt->relayable_size = 0;
  if (caller != NULL)
    caller->relayed_bytes += size;
  if (caller != NULL
      && tt_caller_server_write_response (client->options.callers, caller, attempt->buffer, size)
      && attempt->call != NULL)
    tt_http_call_pause (attempt->call, true);
  memmove (attempt->buffer, attempt->buffer + size, attempt->size);
  if (attempt->size == 0 && !attempt->event_stream)
    tt_backend_attempt_free_buffer (attempt);
}

/// Ends an attempt whose stream must not be relayed any further.
static void
abort_stream (TtBackendAttempt *attempt)
{
  static const char *const details[]
      = { [TT_SSE_ENGINE_ERROR] = "the engine reported an error in the stream",
          [TT_SSE_UNKNOWN_FORM] = "the stream contains bytes that are no event",
          [TT_SSE_WRONG_ID] = "an event of the stream does not follow the one before it" };

  if (attempt->scan.fault != TT_SSE_ENGINE_ERROR)
    report_unknown_form (attempt, "event", attempt->buffer + attempt->relayable_size,
                         attempt->size - attempt->relayable_size);
  abort_attempt (attempt, TT_E_MALFORMED, details[attempt->scan.fault]);
}

/// Parses the new complete events of a streamed response and relays them.
static void
read_events (TtBackendAttempt *attempt)
{
  const TtDialect *dialect = attempt->client->options.dialect;
  uint32_t tokens_before = attempt->scan.tokens;

  attempt->relayable_size
      += dialect->scan (attempt->buffer + attempt->relayable_size,
                        attempt->size - attempt->relayable_size, &attempt->scan);
  if (attempt->scan.tokens > tokens_before
      && !post_progress (attempt, attempt->scan.tokens - tokens_before, false))
    return;
  tt_backend_attempt_flush (attempt);
  if (attempt->scan.fault != TT_SSE_NO_FAULT)
    abort_stream (attempt);
  else if (attempt->size > TT_SSE_EVENT_MAX_BYTES)
    {
      report_unknown_form (attempt, "event", attempt->buffer, attempt->size);
      abort_attempt (attempt, TT_E_LIMIT, "an event of the stream is too long");
    }
}

/// Relays the received part of a non-streamed response that is too large to be buffered until it is
/// complete.
static void
relay_oversized_response (TtBackendAttempt *attempt)
{
  attempt->buffer_exceeded = true;
  attempt->relayable_size = attempt->size;
  if (post_progress (attempt, 0, true))
    tt_backend_attempt_flush (attempt);
}

/// True if a non-streamed response must not be buffered any further.
static bool
exceeds_buffer (const TtBackendAttempt *attempt)
{
  const TtBackendClient *client = attempt->client;

  return attempt->size > client->options.max_buffered_response_bytes
         || (attempt->size > TT_BACKEND_SMALL_RESPONSE_BYTES
             && client->buffered_bytes > client->options.max_total_buffered_bytes);
}

void
tt_backend_attempt_on_data (void *context, const char *data, size_t size)
{
  TtBackendAttempt *attempt = context;

  if (!append_data (attempt, data, size))
    abort_attempt (attempt, TT_E_NO_MEMORY, "answer");
  else if (attempt->event_stream)
    read_events (attempt);
  else if (attempt->buffer_exceeded || exceeds_buffer (attempt))
    relay_oversized_response (attempt);
}

/// Posts to the board that the response is complete, and ends the response to the caller if the
/// attempt is relayed.
static void
finish_attempt (TtBackendAttempt *attempt)
{
  TtBackendClient *client = attempt->client;
  TtEvent event = { .type = TT_EVENT_ATTEMPT_DONE };
  uint64_t id = attempt->id;
  TtCallerCall *caller;

  attempt->complete = true;
  attempt->relayable_size = attempt->size; // includes [DONE], which the scan excludes
  event.attempt.attempt_id = id;
  event.attempt.status = attempt->status;
  event.attempt.event_stream = attempt->event_stream;
  if (!attempt->event_stream && client->options.dialect->parse_usage != NULL)
    client->options.dialect->parse_usage (attempt->buffer, attempt->size, &attempt->scan);
  event.attempt.cached_tokens = attempt->scan.cached_tokens;
  event.attempt.prompt_tokens = attempt->scan.prompt_tokens;
  event.attempt.not_executed = attempt->response_info.not_executed;
  event.attempt.last_event_id = attempt->scan.last_event_id;
  event.attempt.load = attempt->response_info.load;
  event.attempt.leaving = attempt->response_info.leaving;
  event.attempt.unavailable_ms = attempt->response_info.unavailable_ms;
  if (!attempt->event_stream && !attempt->buffer_exceeded)
    {
      event.attempt.body = attempt->size > 0 ? attempt->buffer : "";
      event.attempt.body_size = (uint32_t) attempt->size;
    }
  client->front.post (client->front.context, &event);
  if (tt_backend_attempt_find (client, id) != attempt)
    return;
  tt_backend_attempt_flush (attempt);
  caller = tt_caller_server_find (client->options.callers, attempt->request_id);
  if (attempt->relayed && caller != NULL)
    tt_caller_server_end_response (client->options.callers, caller);
  tt_backend_attempt_free (attempt);
}

/// Logs the bytes that the HTTP client has rejected; it does not keep those before a status line.
static void
report_rejected_bytes (TtBackendAttempt *attempt)
{
  const char *data;
  size_t size;
  const char *place = tt_http_call_rejected_bytes (attempt->call, &data, &size);

  report_unknown_form (attempt, place != NULL ? place : "head", data, size);
}

/// Ends an attempt whose stream ended too early. A server that crashes sends neither the last chunk
/// nor all bytes of a stated length, so such an end is no crash that the request could have caused.
static void
abort_early_end (TtBackendAttempt *attempt)
{
  const char *detail = "the engine ended the stream before its end mark";

  if (!has_stated_end (attempt))
    {
      abort_attempt (attempt, TT_E_CRASHED, detail);
      return;
    }
  report_unknown_form (attempt, "event", attempt->buffer, attempt->size);
  abort_attempt (attempt, TT_E_MALFORMED, detail);
}

void
tt_backend_attempt_on_end (void *context, const TtError *error)
{
  TtBackendAttempt *attempt = context;

  if (error->code == TT_E_MALFORMED)
    report_rejected_bytes (attempt);
  attempt->call = NULL;
  if (error->code == TT_OK && (!attempt->event_stream || attempt->scan.done))
    finish_attempt (attempt);
  else if (error->code == TT_OK)
    abort_early_end (attempt);
  else
    {
      attempt->maybe_sent = attempt->maybe_sent || error->code != TT_E_UNAVAILABLE;
      tt_backend_attempt_fail (attempt, error);
    }
}
