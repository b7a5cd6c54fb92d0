#include "tarragontrack/io/backend_client.h"
#include "tarragontrack/board/backend.h"
#include "tarragontrack/board/board.h"
#include "tarragontrack/board/error.h"
#include "tarragontrack/board/request.h"
#include "tarragontrack/io/backend_defs.h"
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define HEADER_MAX 256
#define HEADER_COUNT 10
#define URL_MAX 64 ///< bytes before the path

/// Headers of one call to a backend server.
typedef struct
{
  char text[HEADER_COUNT][HEADER_MAX];
  const char *list[HEADER_COUNT + 1];
  size_t count;
} HeaderList;

static void add_header (HeaderList *headers, const char *format, ...)
    __attribute__ ((format (printf, 2, 3)));

/// Adds a header unless it is too long or there are too many.
static void
add_header (HeaderList *headers, const char *format, ...)
{
  va_list arguments;
  int length;

  if (headers->count == HEADER_COUNT)
    return;
  va_start (arguments, format);
  length = vsnprintf (headers->text[headers->count], HEADER_MAX, format, arguments);
  va_end (arguments);
  if (length < 0 || length >= HEADER_MAX)
    return;
  headers->list[headers->count] = headers->text[headers->count];
  headers->list[++headers->count] = NULL;
}

TtBackendClient *
tt_backend_client_new (const TtFront *front, const TtBackendOptions *options)
{
  TtBackendClient *client = calloc (1, sizeof *client);

  if (client == NULL)
    return NULL;
  client->front = *front;
  client->options = *options;
  client->random = options->seed;
  tt_list_init (&client->sides);
  for (int i = 0; i < TT_ATTEMPT_BUCKETS; i++)
    tt_list_init (&client->buckets[i]);
  return client;
}

void
tt_backend_client_free (TtBackendClient *client)
{
  TtLink *link;

  if (client == NULL)
    return;
  for (int i = 0; i < TT_ATTEMPT_BUCKETS; i++)
    while ((link = tt_list_first (&client->buckets[i])) != NULL)
      tt_backend_attempt_free (TT_CONTAINER_OF (link, TtBackendAttempt, link));
  while ((link = tt_list_pop (&client->sides)) != NULL)
    {
      TtSideCall *side = TT_CONTAINER_OF (link, TtSideCall, link);

      free (side->buffer);
      free (side);
    }
  free (client);
}

/// Hash of an attempt's id. Its low bits are the record's index in the board's pool.
static TtList *
bucket_of (TtBackendClient *client, uint64_t attempt_id)
{
  return &client->buckets[attempt_id % TT_ATTEMPT_BUCKETS];
}

TtBackendAttempt *
tt_backend_attempt_find (TtBackendClient *client, uint64_t attempt_id)
{
  TT_LIST_FOREACH (bucket_of (client, attempt_id), it)
    {
      TtBackendAttempt *attempt = TT_CONTAINER_OF (it, TtBackendAttempt, link);

      if (attempt->id == attempt_id)
        return attempt;
    }
  return NULL;
}

void
tt_backend_attempt_free (TtBackendAttempt *attempt)
{
  TtCallerCall *caller = NULL;

  if (attempt->relayed)
    caller = tt_caller_server_find (attempt->client->options.callers, attempt->request_id);
  if (caller != NULL && caller->relaying == attempt->id)
    caller->relaying = 0;
  tt_list_remove (bucket_of (attempt->client, attempt->id), &attempt->link);
  free (attempt->buffer);
  free (attempt);
}

void
tt_backend_attempt_fail (TtBackendAttempt *attempt, const TtError *error)
{
  TtFront front = attempt->client->front;
  TtEvent event = { .type = TT_EVENT_ATTEMPT_FAILED, .error = *error };

  event.attempt.attempt_id = attempt->id;
  event.attempt.status = attempt->status;
  event.attempt.sent = attempt->sent;
  tt_backend_attempt_free (attempt);
  front.post (front.context, &event);
}

/// Fails an attempt that could not be started.
static void
fail_dispatch (TtBackendClient *client, uint64_t attempt_id, int code, const char *peer)
{
  TtEvent event = { .type = TT_EVENT_ATTEMPT_FAILED, .attempt.attempt_id = attempt_id };

  (void) tt_error_set (&event.error, code, TT_STEP_SEND, peer, "the attempt was not started");
  client->front.post (client->front.context, &event);
}

/// Makes the record of an attempt.
static TtBackendAttempt *
new_attempt (TtBackendClient *client, const TtAttemptAction *action, const TtCallerCall *caller,
             const TtBackendServer *backend)
{
  TtBackendAttempt *attempt = calloc (1, sizeof *attempt);

  if (attempt == NULL)
    return NULL;
  attempt->client = client;
  attempt->id = action->attempt_id;
  attempt->request_id = action->request_id;
  attempt->backend_id = action->backend_id;
  attempt->resume_from = action->resume_from;
  attempt->engine = caller->chat;
  attempt->wanted = caller->spec.stream;
  (void) snprintf (attempt->token, sizeof attempt->token, "%016llx%016llx",
                   (unsigned long long) action->token.high, (unsigned long long) action->token.low);
  (void) snprintf (attempt->name, sizeof attempt->name, "%s", backend->name);
  tt_list_append (bucket_of (client, attempt->id), &attempt->link);
  return attempt;
}

/// Headers that the backend server gets with an attempt.
static void
fill_headers (HeaderList *headers, const TtBackendAttempt *attempt, const TtAttemptAction *action,
              const TtCallerCall *caller)
{
  add_header (headers, "X-Attempt-Id: %s", attempt->token);
  add_header (headers, "X-Priority: %u", action->priority);
  add_header (headers, "X-Chat-Key: %016llx", (unsigned long long) caller->spec.chat_key);
  add_header (headers, "X-Client-Account: %s", caller->spec.account);
  add_header (headers, "Content-Type: %s",
              caller->content_type != NULL ? caller->content_type : "application/json");
  if (action->resume_from > 0)
    add_header (headers, "X-Resume-From: %u", action->resume_from);
  if (caller->idempotency_key != NULL)
    add_header (headers, "Idempotency-Key: %s", caller->idempotency_key);
}

/// Address of a backend server with a path; free it.
static char *
make_url (const TtBackendServer *backend, const char *path)
{
  size_t size = URL_MAX + sizeof backend->address + strlen (path);
  char *url = malloc (size);
  bool bracket = strchr (backend->address, ':') != NULL;

  if (url != NULL)
    (void) snprintf (url, size, "http://%s%s%s:%u%s", bracket ? "[" : "", backend->address,
                     bracket ? "]" : "", backend->port, path);
  return url;
}

void
tt_backend_client_dispatch (TtBackendClient *client, const TtAttemptAction *action)
{
  const TtBackendServer *backend = tt_backend_find (client->front.board, action->backend_id);
  const TtCallerCall *caller = tt_caller_server_find (client->options.callers, action->request_id);
  const TtRequest *request_record = tt_request_find (client->front.board, action->request_id);
  HeaderList headers = { .count = 0 };
  TtBackendAttempt *attempt;
  TtHttpRequest request;
  char *url;

  if (backend == NULL || caller == NULL)
    {
      fail_dispatch (client, action->attempt_id, TT_E_NOT_FOUND, "");
      return;
    }
  attempt = new_attempt (client, action, caller, backend);
  url = make_url (backend, caller->path);
  if (attempt != NULL && url != NULL)
    {
      fill_headers (&headers, attempt, action, caller);
      request = (TtHttpRequest){ .method = caller->method,
                                 .url = url,
                                 .peer = attempt->name,
                                 .headers = headers.list,
                                 .body = caller->body,
                                 .body_size = caller->body_size,
                                 .connect_timeout_ms = client->options.connect_timeout_ms,
                                 // An idle connection may close while the request is on its
                                 // way; for work that runs once the outcome would be unknown.
                                 .fresh_connection
                                 = request_record != NULL && !request_record->idempotent,
                                 .context = attempt,
                                 .on_sent = tt_backend_on_sent,
                                 .on_headers = tt_backend_on_headers,
                                 .on_data = tt_backend_on_data,
                                 .on_end = tt_backend_on_end };
      attempt->call = tt_http_client_start (client->options.http, &request);
    }
  if (attempt == NULL || attempt->call == NULL)
    {
      fail_dispatch (client, action->attempt_id, TT_E_NO_MEMORY, backend->name);
      if (attempt != NULL)
        tt_backend_attempt_free (attempt);
    }
  free (url);
}

void
tt_backend_client_relay (TtBackendClient *client, const TtAttemptAction *action)
{
  TtBackendAttempt *attempt = tt_backend_attempt_find (client, action->attempt_id);
  TtCallerCall *caller = tt_caller_server_find (client->options.callers, action->request_id);
  TtAnswerHead head = { .content_length = SIZE_MAX };

  if (attempt == NULL || caller == NULL)
    return;
  attempt->relayed = true;
  caller->relaying = attempt->id;
  head.status = attempt->status;
  head.content_type = attempt->content_type[0] != '\0' ? attempt->content_type : NULL;
  head.backend_id = attempt->backend_id;
  head.whole = attempt->whole && !attempt->events;
  if (head.whole)
    head.content_length = attempt->size;
  tt_caller_server_begin (client->options.callers, caller, &head);
  tt_backend_attempt_flush (attempt);
}

void
tt_backend_client_cancel (TtBackendClient *client, const TtAttemptAction *action)
{
  TtBackendAttempt *attempt = tt_backend_attempt_find (client, action->attempt_id);

  if (attempt == NULL)
    return;
  if (attempt->call != NULL)
    tt_http_call_cancel (attempt->call);
  tt_backend_attempt_free (attempt);
}

void
tt_backend_client_resume (TtBackendClient *client, uint64_t request_id)
{
  const TtCallerCall *caller = tt_caller_server_find (client->options.callers, request_id);
  TtBackendAttempt *attempt;

  if (caller == NULL || caller->relaying == 0)
    return;
  attempt = tt_backend_attempt_find (client, caller->relaying);
  if (attempt != NULL && attempt->call != NULL)
    tt_http_call_pause (attempt->call, false);
}
