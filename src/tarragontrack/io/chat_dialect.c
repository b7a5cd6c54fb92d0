#include "tarragontrack/io/chat_dialect.h"
#include "tarragontrack/board/error.h"
#include "tarragontrack/codec/chat.h"
#include "tarragontrack/io/header.h"
#include <stdio.h>
#include <string.h>

#define CHAT_PATH "/v1/chat/completions"
#define OUTCOMES_PATH "/v1/outcomes/"
#define STATUS_OK 200
#define TOKEN_TEXT_BYTES 33 ///< an attempt's token in hexadecimal, with the final NUL

/// True for a chat completion, false for a plain service.
static bool
is_chat (const TtCallerCall *call)
{
  return strcmp (call->path, CHAT_PATH) == 0;
}

/// Parses method, headers and body of a request into its spec.
static int
parse_spec (const TtBoard *board, TtCallerCall *call, TtError *error)
{
  const TtCallerHeaders headers = {
    .account = tt_header_find (&call->headers, "x-client-account"),
    .authorization = tt_header_find (&call->headers, "authorization"),
    .chat_id = tt_header_find (&call->headers, "x-chat-id"),
    .chat_route = tt_header_find (&call->headers, "x-chat-route"),
    .work_kind = tt_header_find (&call->headers, "x-work-kind"),
    .idempotency_key = tt_header_find (&call->headers, "idempotency-key"),
  };
  // Of two values, the daemon would take one and the caller may mean the other.
  const char *const single[]
      = { "x-client-account", "authorization", "x-chat-id", "x-work-kind", "idempotency-key" };
  const char *const methods[] = { "GET", "POST", "PUT", "DELETE" };
  bool method_supported = false;

  for (size_t i = 0; i < sizeof single / sizeof single[0]; i++)
    if (tt_header_is_ambiguous (&call->headers, single[i]))
      return tt_error_set (error, TT_E_INVALID, TT_STEP_CALLER_READ, "caller",
                           "%s: expected one value", single[i]);
  for (size_t i = 0; i < sizeof methods / sizeof methods[0]; i++)
    method_supported = method_supported || strcmp (methods[i], call->method) == 0;
  if (!method_supported || (is_chat (call) && strcmp (call->method, "POST") != 0))
    return tt_error_set (error, TT_E_INVALID, TT_STEP_CALLER_READ, "caller",
                         "the method is not supported here");
  if (is_chat (call))
    return tt_chat_parse (call->body, call->body_size, &headers, &call->spec, error);
  return tt_chat_parse_plain_call (&board->team_config, call->method, call->path, call->body,
                                   call->body_size, &headers, &call->spec, error);
}

/// Sets the external id of the request: the daemon's name and the request id.
static void
set_external_id (const TtBoard *board, TtCallerCall *call)
{
  (void) snprintf (call->spec.external_id, sizeof call->spec.external_id, "%.*s-%llx",
                   TT_NAME_MAX - 1, board->config.name, (unsigned long long) call->id);
}

static int
parse_request (void *context, const TtBoard *board, TtCallerCall *call, TtEvent *event,
               TtError *error)
{
  int code;

  (void) context;
  if (strncmp (call->path, OUTCOMES_PATH, sizeof OUTCOMES_PATH - 1) == 0)
    {
      // A query for the recorded outcome of an idempotency key of the caller's account.
      set_external_id (board, call);
      event->type = TT_EVENT_OUTCOME_QUERY;
      event->outcome_query.request_id = call->id;
      event->outcome_query.key
          = tt_chat_idempotency_key (tt_header_find (&call->headers, "x-client-account"),
                                     call->path + sizeof OUTCOMES_PATH - 1);
      return TT_OK;
    }
  code = parse_spec (board, call, error);
  set_external_id (board, call);
  event->type = TT_EVENT_REQUEST;
  event->request = &call->spec;
  return code;
}

/// Adds the headers that all responses have.
static void
add_common_headers (const TtCallerCall *call, uint64_t backend_id, const char *outcome,
                    TtAddHeader add, void *target)
{
  char text[17];

  add (target, "x-request-id", call->spec.external_id);
  if (outcome != NULL)
    add (target, "x-outcome", outcome);
  if (backend_id == 0)
    return;
  tt_chat_format_route (backend_id, text);
  add (target, "x-chat-route", text);
}

static void
write_response_headers (void *context, const TtCallerCall *call, const TtResponseHead *head,
                        TtAddHeader add, void *target)
{
  (void) context;
  add (target, "content-type",
       head->content_type != NULL ? head->content_type : "application/json");
  add_common_headers (call, head->backend_id, head->complete ? "complete" : NULL, add, target);
}

static size_t
write_local_reply (void *context, const TtCallerCall *call, const TtReplyAction *reply,
                   TtAddHeader add, void *target, char *body, size_t size)
{
  char text[16];

  (void) context;
  add (target, "content-type", "application/json");
  add_common_headers (call, 0, tt_chat_outcome_name (reply->outcome), add, target);
  if (reply->retry_after_ms > 0)
    {
      (void) snprintf (text, sizeof text, "%u", (reply->retry_after_ms + 999) / 1000);
      add (target, "retry-after", text);
    }
  return tt_chat_format_error (body, size, reply->status, call->spec.external_id, reply->outcome,
                               reply->error.detail[0] != '\0' ? reply->error.detail
                                                              : tt_error_name (reply->error.code));
}

static void
format_token (TtId128 token, char *text)
{
  (void) snprintf (text, TOKEN_TEXT_BYTES, "%016llx%016llx", (unsigned long long) token.high,
                   (unsigned long long) token.low);
}

static void
write_attempt_headers (void *context, TtBoard *board, const TtAttemptAction *action,
                       const TtCallerCall *call, TtAddHeader add, void *target)
{
  const char *type = tt_header_find (&call->headers, "content-type");
  const char *key = tt_header_find (&call->headers, "idempotency-key");
  char text[TOKEN_TEXT_BYTES];

  (void) context, (void) board;
  format_token (action->token, text);
  add (target, "X-Attempt-Id", text);
  (void) snprintf (text, sizeof text, "%u", action->priority);
  add (target, "X-Priority", text);
  (void) snprintf (text, sizeof text, "%016llx", (unsigned long long) call->spec.chat_key);
  add (target, "X-Chat-Key", text);
  add (target, "X-Client-Account", call->spec.account);
  add (target, "Content-Type", type != NULL ? type : "application/json");
  if (action->resume_from > 0)
    {
      (void) snprintf (text, sizeof text, "%u", action->resume_from);
      add (target, "X-Resume-From", text);
    }
  if (key != NULL)
    add (target, "Idempotency-Key", key);
}

/// True if the response's X-Attempt-Id is the token of the attempt. A plain service may omit the
/// header.
static bool
matches_attempt_token (const TtCallerCall *call, TtId128 token, const char *returned)
{
  char text[TOKEN_TEXT_BYTES];

  format_token (token, text);
  return returned != NULL ? strcmp (returned, text) == 0 : !is_chat (call);
}

/// True if a header's value is the number and nothing else.
static bool
is_number (const char *value, uint32_t number)
{
  char text[16];

  (void) snprintf (text, sizeof text, "%u", number);
  return value != NULL && strcmp (value, text) == 0;
}

static int
parse_response_head (void *context, const TtCallerCall *call, TtId128 token, TtFindHeader find,
                     void *source, TtResponseInfo *info, const char **reason)
{
  (void) context;
  info->event_stream = info->stream_requested && info->status == STATUS_OK
                       && tt_header_is_event_stream (find (source, "Content-Type"));
  if (!matches_attempt_token (call, token, find (source, "X-Attempt-Id")))
    {
      *reason = "the answer carries another attempt's id";
      return TT_E_STALE;
    }
  if (find (source, "Content-Encoding") != NULL) // no request asks for one, and it is not relayed
    {
      *reason = "an answer with a content encoding";
      return TT_E_MALFORMED;
    }
  if (info->resume_from > 0 && info->event_stream
      && !is_number (find (source, "X-Resume-From"), info->resume_from))
    {
      *reason = "the engine did not resume the stream at the offset";
      return TT_E_VERSION;
    }
  if (info->stream_requested && !info->event_stream && info->status == STATUS_OK)
    {
      *reason = "expected a stream of events";
      return TT_E_MALFORMED;
    }
  return TT_OK;
}

static void
parse_usage (const char *data, size_t size, TtSseScan *scan)
{
  scan->cached_tokens = tt_sse_parse_cached_tokens (data, size);
  scan->prompt_tokens = tt_sse_parse_prompt_tokens (data, size);
}

static bool
relays_header (void *context, const char *name)
{
  (void) context, (void) name;
  return false;
}

TtDialect
tt_chat_dialect (void)
{
  return (TtDialect){ .parse_request = parse_request,
                      .write_response_headers = write_response_headers,
                      .write_local_reply = write_local_reply,
                      .write_attempt_headers = write_attempt_headers,
                      .parse_response_head = parse_response_head,
                      .relays_header = relays_header,
                      .scan = tt_sse_scan,
                      .parse_usage = parse_usage };
}
