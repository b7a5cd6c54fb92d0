#include "tarragontrack/io/backend_client.h"
#include "tarragontrack/board/backend.h"
#include "tarragontrack/board/board.h"
#include "tarragontrack/board/error.h"
#include "tarragontrack/board/request.h"
#include "tarragontrack/io/backend_defs.h"
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define HEADERS_MAX 96     ///< an attempt with more headers is not started
#define URL_EXTRA_BYTES 64 ///< bytes of scheme, brackets and port in addition to address and path

/// Header lines of one call to a backend server.
typedef struct
{
  char *lines[HEADERS_MAX + 1];
  size_t count;
  bool failed; ///< memory could not be allocated, or there are more than HEADERS_MAX headers
} HeaderList;

/// Appends a header line (a TtAddHeader callback). libcurl omits a header without a value unless
/// its line is "Name;".
static void
add_header (void *target, const char *name, const char *value)
{
  HeaderList *headers = target;
  size_t size = strlen (name) + strlen (value) + 3;
  char *line = headers->count < HEADERS_MAX ? malloc (size) : NULL;

  if (line == NULL)
    {
      headers->failed = true;
      return;
    }
  (void) snprintf (line, size, value[0] != '\0' ? "%s: %s" : "%s;", name, value);
  headers->lines[headers->count++] = line;
}

static void
free_headers (HeaderList *headers)
{
  for (size_t i = 0; i < headers->count; i++)
    free (headers->lines[i]);
}

TtBackendClient *
tt_backend_client_new (const TtFront *front, const TtBackendClientOptions *options)
{
  TtBackendClient *client = calloc (1, sizeof *client);

  if (client == NULL)
    return NULL;
  client->front = *front;
  client->options = *options;
  client->jitter_state = options->jitter_seed;
  tt_list_init (&client->control_calls);
  for (int i = 0; i < TT_BACKEND_ATTEMPT_BUCKETS; i++)
    tt_list_init (&client->buckets[i]);
  return client;
}

void
tt_backend_client_free (TtBackendClient *client)
{
  TtLink *link;

  if (client == NULL)
    return;
  for (int i = 0; i < TT_BACKEND_ATTEMPT_BUCKETS; i++)
    while ((link = tt_list_first (&client->buckets[i])) != NULL)
      tt_backend_attempt_free (TT_CONTAINER_OF (link, TtBackendAttempt, link));
  while ((link = tt_list_pop (&client->control_calls)) != NULL)
    {
      TtBackendControlCall *control = TT_CONTAINER_OF (link, TtBackendControlCall, link);

      free (control->buffer);
      free (control);
    }
  free (client);
}

/// Hash bucket of an attempt. The low bits of an attempt's id are its index in the board's array of
/// attempts, so the remainder distributes ids evenly.
static TtList *
attempt_bucket (TtBackendClient *client, uint64_t attempt_id)
{
  return &client->buckets[attempt_id % TT_BACKEND_ATTEMPT_BUCKETS];
}

TtBackendAttempt *
tt_backend_attempt_find (TtBackendClient *client, uint64_t attempt_id)
{
  TT_LIST_FOREACH (attempt_bucket (client, attempt_id), it)
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
  if (caller != NULL && caller->relayed_attempt_id == attempt->id)
    caller->relayed_attempt_id = 0;
  tt_list_remove (attempt_bucket (attempt->client, attempt->id), &attempt->link);
  free (attempt->headers.entries);
  free (attempt->header_storage);
  tt_backend_attempt_free_buffer (attempt);
  free (attempt);
}

void
tt_backend_attempt_fail (TtBackendAttempt *attempt, const TtError *error)
{
  TtFront front = attempt->client->front;
  TtEvent event = { .type = TT_EVENT_ATTEMPT_FAILED, .error = *error };

  event.attempt.attempt_id = attempt->id;
  event.attempt.status = attempt->status;
  event.attempt.maybe_sent = attempt->maybe_sent;
  tt_backend_attempt_free (attempt);
  front.post (front.context, &event);
}

/// Posts the failure of an attempt that could not be started.
static void
post_dispatch_failure (TtBackendClient *client, uint64_t attempt_id, int code, const char *peer)
{
  TtEvent event = { .type = TT_EVENT_ATTEMPT_FAILED, .attempt.attempt_id = attempt_id };

  (void) tt_error_set (&event.error, code, TT_STEP_SEND, peer, "the attempt was not started");
  client->front.post (client->front.context, &event);
}

/// Allocates and links the record of an attempt.
static TtBackendAttempt *
new_attempt (TtBackendClient *client, const TtAttemptAction *action, const TtCallerCall *caller,
             const TtRequest *request, const TtBackendServer *backend)
{
  TtBackendAttempt *attempt = calloc (1, sizeof *attempt);

  if (attempt == NULL)
    return NULL;
  attempt->client = client;
  attempt->id = action->attempt_id;
  attempt->request_id = action->request_id;
  attempt->backend_id = action->backend_id;
  attempt->resume_from = action->resume_from;
  attempt->stream_requested = request != NULL ? request->spec.stream : caller->spec.stream;
  attempt->token = action->token;
  attempt->scan.last_event_id = action->last_event_id;
  (void) snprintf (attempt->backend_name, sizeof attempt->backend_name, "%s", backend->name);
  tt_list_append (attempt_bucket (client, attempt->id), &attempt->link);
  return attempt;
}

/// URL of a path on a backend server; the caller frees it.
static char *
format_url (const TtBackendServer *backend, const char *path)
{
  size_t size = URL_EXTRA_BYTES + sizeof backend->address + strlen (path);
  char *url = malloc (size);
  bool is_ipv6 = strchr (backend->address, ':') != NULL;

  if (url != NULL)
    (void) snprintf (url, size, "http://%s%s%s:%u%s", is_ipv6 ? "[" : "", backend->address,
                     is_ipv6 ? "]" : "", backend->port, path);
  return url;
}

/// Starts the HTTP call of an attempt.
static bool
start_call (TtBackendClient *client, TtBackendAttempt *attempt, const TtAttemptAction *action,
            const TtCallerCall *caller, const TtBackendServer *backend)
{
  const TtDialect *dialect = client->options.dialect;
  const TtRequest *record = tt_request_find (client->front.board, action->request_id);
  HeaderList headers = { .count = 0 };
  char *url = format_url (backend, caller->path);
  TtHttpRequest request = { .method = caller->method,
                            .url = url,
                            .target = caller->path,
                            .peer = attempt->backend_name,
                            .body = caller->body,
                            .body_size = caller->body_size,
                            .connect_timeout_ms = client->options.connect_timeout_ms,
                            // The server may close an idle connection while a request is in transit
                            // on it. It is then unknown whether the request was executed, and a
                            // request that is not idempotent must not be sent again.
                            .fresh_connection = dialect->connection_per_attempt
                                                || (record != NULL && !record->idempotent),
                            .single_use = dialect->connection_per_attempt,
                            .close_ends_response = dialect->close_ends_response,
                            .context = attempt,
                            .on_sent = tt_backend_attempt_on_sent,
                            .on_headers = tt_backend_attempt_on_headers,
                            .on_data = tt_backend_attempt_on_data,
                            .on_end = tt_backend_attempt_on_end };

  dialect->write_attempt_headers (dialect->context, client->front.board, action, caller, add_header,
                                  &headers);
  request.headers = (const char *const *) headers.lines;
  if (url != NULL && !headers.failed)
    attempt->call = tt_http_client_start (client->options.http, &request);
  free_headers (&headers);
  free (url);
  return attempt->call != NULL;
}

void
tt_backend_client_dispatch (TtBackendClient *client, const TtAttemptAction *action)
{
  TtBoard *board = client->front.board;
  const TtBackendServer *backend = tt_backend_find (board, action->backend_id);
  const TtCallerCall *caller = tt_caller_server_find (client->options.callers, action->request_id);
  TtBackendAttempt *attempt;

  if (backend == NULL || caller == NULL)
    {
      post_dispatch_failure (client, action->attempt_id, TT_E_NOT_FOUND, "");
      return;
    }
  attempt
      = new_attempt (client, action, caller, tt_request_find (board, action->request_id), backend);
  if (attempt != NULL && start_call (client, attempt, action, caller, backend))
    return;
  post_dispatch_failure (client, action->attempt_id, TT_E_NO_MEMORY, backend->name);
  if (attempt != NULL)
    tt_backend_attempt_free (attempt);
}

void
tt_backend_client_relay (TtBackendClient *client, const TtAttemptAction *action)
{
  TtBackendAttempt *attempt = tt_backend_attempt_find (client, action->attempt_id);
  TtCallerCall *caller = tt_caller_server_find (client->options.callers, action->request_id);
  TtResponseHead head = { .content_length = SIZE_MAX };

  if (attempt == NULL || caller == NULL)
    return;
  attempt->relayed = true;
  caller->relayed_attempt_id = attempt->id;
  head.status = attempt->status;
  head.content_type = attempt->content_type[0] != '\0' ? attempt->content_type : NULL;
  head.backend_id = attempt->backend_id;
  head.headers = attempt->headers;
  head.complete = attempt->complete && !attempt->event_stream;
  if (head.complete)
    head.content_length = attempt->size;
  else if (!attempt->event_stream)
    head.content_length = attempt->content_length;
  tt_caller_server_start_response (client->options.callers, caller, &head);
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
tt_backend_client_resume_reading (TtBackendClient *client, uint64_t request_id)
{
  const TtCallerCall *caller = tt_caller_server_find (client->options.callers, request_id);
  TtBackendAttempt *attempt;

  if (caller == NULL || caller->relayed_attempt_id == 0)
    return;
  attempt = tt_backend_attempt_find (client, caller->relayed_attempt_id);
  if (attempt != NULL && attempt->call != NULL)
    tt_http_call_pause (attempt->call, false);
}
