#include "tarragontrack/io/platform_client.h"
#include "tarragontrack/board/error.h"
#include "tarragontrack/codec/object.h"
#include "tarragontrack/io/http_client.h"
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

enum
{
  URL_MAX = 64 + 3 * TT_KEY_MAX + 64, ///< base, escaped key, query
  BASE_MAX = 64,
  HEADER_MAX = 64
};

struct TtPlatformClient
{
  TtHttpClient *http;
  uv_timer_t timer; ///< reports calls that failed before they were sent
  void *context;
  void (*on_event) (void *context, const TtEvent *event);
  TtList open;   ///< PlatformCall.link
  TtList failed; ///< PlatformCall.link, the event is due
  char base[BASE_MAX];
};

typedef struct
{
  TtLink link;
  TtPlatformClient *client;
  TtHttpCall *http; ///< NULL if it was not sent
  uint64_t call_id;
  TtPlatformOp op;
  TtError error;    ///< failed calls
  uint64_t version; ///< of the answer's ETag
  unsigned status;
  size_t size;
  size_t capacity;
  char *data;
  char key[TT_KEY_MAX];
} PlatformCall;

static TtStep
step_of (TtPlatformOp op)
{
  if (op == TT_PLATFORM_PUT)
    return TT_STEP_PLATFORM_WRITE;
  return op == TT_PLATFORM_WATCH ? TT_STEP_PLATFORM_WATCH : TT_STEP_PLATFORM_READ;
}

/// Gives the event and frees the call.
static void
report (PlatformCall *call, TtEvent *event)
{
  TtPlatformClient *client = call->client;

  event->type = TT_EVENT_PLATFORM;
  event->platform.call_id = call->call_id;
  event->platform.op = call->op;
  tt_list_remove (&client->open, &call->link);
  client->on_event (client->context, event);
  free (call->data);
  free (call);
}

static void
report_failed (uv_timer_t *timer)
{
  TtPlatformClient *client = timer->data;
  TtLink *link;

  while ((link = tt_list_pop (&client->failed)) != NULL)
    {
      PlatformCall *call = TT_CONTAINER_OF (link, PlatformCall, link);
      TtEvent event = { .error = call->error };

      event.platform.code = TT_E_UNAVAILABLE;
      tt_list_append (&client->open, &call->link);
      report (call, &event);
    }
}

/// Ends a call of which nothing was sent. The event follows in the loop's next turn, because the
/// caller is in a step of the board.
static void
fail_call (PlatformCall *call)
{
  TtPlatformClient *client = call->client;

  tt_list_remove (&client->open, &call->link);
  tt_list_append (&client->failed, &call->link);
  (void) uv_timer_start (&client->timer, report_failed, 0, 0);
}

/// Reads a version as it is or in quotes; 0 if there is none.
static uint64_t
parse_version (const char *text)
{
  if (text == NULL)
    return 0;
  return strtoull (text + (*text == '"' ? 1 : 0), NULL, 10);
}

static void
read_head (void *context, TtHttpCall *http, unsigned status)
{
  PlatformCall *call = context;

  call->status = status;
  call->version = parse_version (tt_http_call_header (http, "ETag"));
}

/// Sets the error of a call that stops at this side, and cancels it.
static void
stop_call (PlatformCall *call, int code, const char *detail)
{
  TtEvent event = { .type = TT_EVENT_PLATFORM };

  (void) tt_error_set (&event.error, code, step_of (call->op), call->key, "%s", detail);
  // The effect of a PUT is unknown: its answer was not read to the end.
  event.platform.code = call->op == TT_PLATFORM_PUT ? TT_E_TIMEOUT : code;
  tt_http_call_cancel (call->http);
  report (call, &event);
}

static void
read_data (void *context, const char *data, size_t size)
{
  PlatformCall *call = context;

  if (call->size + size > TT_OBJECT_MAX_BYTES)
    {
      stop_call (call, TT_E_MALFORMED, "the answer is longer than an object may be");
      return;
    }
  if (call->size + size > call->capacity)
    {
      size_t capacity = 2 * (call->size + size);
      char *grown = realloc (call->data, capacity);

      if (grown == NULL)
        {
          stop_call (call, TT_E_UNAVAILABLE, "no memory for the answer");
          return;
        }
      call->data = grown;
      call->capacity = capacity;
    }
  memcpy (call->data + call->size, data, size);
  call->size += size;
}

/// Reads the object of a whole answer with status 200.
static int
read_answer (PlatformCall *call, TtObject **object, TtError *error)
{
  // A PUT without a version took effect in an unknown way; the caller reads the object back.
  if (call->version == 0)
    return tt_error_set (error, call->op == TT_PLATFORM_PUT ? TT_E_TIMEOUT : TT_E_MALFORMED,
                         step_of (call->op), call->key, "expected a version in ETag");
  if (call->op == TT_PLATFORM_PUT)
    return TT_OK;
  if (tt_object_read (call->op == TT_PLATFORM_HOSTS ? TT_OBJECT_HOSTS_KEY : call->key,
                      call->data != NULL ? call->data : "", call->size, object, error)
      == TT_OK)
    return TT_OK;
  return TT_E_MALFORMED;
}

/// Code of an answer's status. Other statuses of 500 and above may come from a proxy after the
/// platform did the work, so that the effect of a PUT is unknown.
static int
code_of_status (const PlatformCall *call)
{
  if (call->status == 412 || (call->status == 409 && call->op == TT_PLATFORM_PUT))
    return TT_E_CONFLICT;
  if (call->status == 404)
    return TT_E_NOT_FOUND;
  if (call->status >= 500 && call->op == TT_PLATFORM_PUT)
    return TT_E_TIMEOUT;
  return TT_E_UNAVAILABLE;
}

static void
end_call (void *context, const TtError *error)
{
  PlatformCall *call = context;
  TtEvent event = { .error = *error };
  TtObject *object = NULL;

  event.error.step = step_of (call->op);
  event.platform.version = call->version;
  if (error->code != TT_OK)
    event.platform.code = error->code == TT_E_UNAVAILABLE ? TT_E_UNAVAILABLE : TT_E_TIMEOUT;
  else if (call->status == 304)
    event.platform.unchanged = true;
  else if (call->status == 200 || call->status == 201 || call->status == 204)
    event.platform.code = read_answer (call, &object, &event.error);
  else
    event.platform.code = tt_error_set (&event.error, code_of_status (call), step_of (call->op),
                                        call->key, "status %u", call->status);
  if (event.platform.code == TT_E_NOT_FOUND)
    event.platform.version = 0;
  event.platform.object = object;
  report (call, &event);
  tt_object_free (object);
}

/// Appends @key to @url; bytes that have a meaning in URLs are escaped.
static void
append_key (char *url, size_t size, const char *key)
{
  static const char safe[] = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789-._~/";
  size_t length = strlen (url);

  for (; *key != '\0' && length + 4 < size; key++)
    if (strchr (safe, *key) != NULL)
      {
        url[length++] = *key;
        url[length] = '\0';
      }
    else
      length += (size_t) snprintf (url + length, size - length, "%%%02X", (unsigned char) *key);
}

static void
write_url (const PlatformCall *call, uint64_t version, char *url, size_t size)
{
  (void) snprintf (url, size, "%s%s", call->client->base,
                   call->op == TT_PLATFORM_HOSTS ? "/hosts" : "/objects/");
  if (call->op == TT_PLATFORM_HOSTS)
    {
      if (call->key[0] == '\0')
        return;
      (void) snprintf (url + strlen (url), size - strlen (url), "?domain=");
      append_key (url, size, call->key);
      return;
    }
  append_key (url, size, call->key);
  if (call->op == TT_PLATFORM_WATCH)
    {
      size_t length = strlen (url);

      (void) snprintf (url + length, size - length, "?watch=%llu&wait_ms=%d",
                       (unsigned long long) version, TT_PLATFORM_WATCH_WAIT_MS);
    }
}

static void
start_call (PlatformCall *call, uint64_t version, const char *body, size_t body_size)
{
  char url[URL_MAX];
  char condition[HEADER_MAX];
  bool put = call->op == TT_PLATFORM_PUT;
  const char *const headers[]
      = { put ? "Content-Type: application/json" : "Accept: application/json",
          put || call->op == TT_PLATFORM_HOSTS ? condition : NULL, NULL };
  TtHttpRequest request
      = { .method = put ? "PUT" : "GET",
          .url = url,
          .peer = "platform",
          .headers = headers,
          .body = body,
          .body_size = body_size,
          .connect_timeout_ms = TT_PLATFORM_CONNECT_TIMEOUT_MS,
          .total_timeout_ms = call->op == TT_PLATFORM_WATCH ? TT_PLATFORM_WATCH_TIMEOUT_MS
                                                            : TT_PLATFORM_CALL_TIMEOUT_MS,
          .context = call,
          .on_headers = read_head,
          .on_data = read_data,
          .on_end = end_call };

  write_url (call, version, url, sizeof url);
  (void) snprintf (condition, sizeof condition, "%s: %llu", put ? "If-Match" : "If-None-Match",
                   (unsigned long long) version);
  call->http = tt_http_client_start (call->client->http, &request);
  if (call->http != NULL)
    return;
  (void) tt_error_set (&call->error, TT_E_NO_MEMORY, step_of (call->op), call->key, "HTTP call");
  fail_call (call);
}

TtPlatformClient *
tt_platform_client_new (uv_loop_t *loop, TtHttpClient *http, const TtPlatformClientOptions *options)
{
  TtPlatformClient *client = calloc (1, sizeof *client);

  if (client == NULL)
    return NULL;
  client->http = http;
  client->context = options->context;
  client->on_event = options->on_event;
  tt_list_init (&client->open);
  tt_list_init (&client->failed);
  (void) snprintf (client->base, sizeof client->base, "%s", options->url);
  (void) uv_timer_init (loop, &client->timer);
  client->timer.data = client;
  return client;
}

static void
free_client (uv_handle_t *handle)
{
  free (handle->data);
}

void
tt_platform_client_free (TtPlatformClient *client)
{
  TtLink *link;

  if (client == NULL)
    return;
  while ((link = tt_list_pop (&client->open)) != NULL
         || (link = tt_list_pop (&client->failed)) != NULL)
    {
      PlatformCall *call = TT_CONTAINER_OF (link, PlatformCall, link);

      if (call->http != NULL)
        tt_http_call_cancel (call->http);
      free (call->data);
      free (call);
    }
  uv_close ((uv_handle_t *) &client->timer, free_client);
}

void
tt_platform_client_call (TtPlatformClient *client, const TtPlatformAction *action)
{
  PlatformCall *call = calloc (1, sizeof *call);
  char *body = NULL;
  size_t body_size = 0;
  int code = TT_OK;

  if (call == NULL)
    return;
  call->client = client;
  call->call_id = action->call_id;
  call->op = action->op;
  (void) snprintf (call->key, sizeof call->key, "%s", action->key);
  tt_list_append (&client->open, &call->link);
  if (client->open.count + client->failed.count > TT_PLATFORM_MAX_CALLS)
    code = tt_error_set (&call->error, TT_E_LIMIT, step_of (call->op), call->key,
                         "%d calls are open", TT_PLATFORM_MAX_CALLS);
  else if (action->op == TT_PLATFORM_PUT)
    code = tt_object_write (action->object, call->key, &body, &body_size, &call->error);
  if (code == TT_OK)
    start_call (call, action->version, body, body_size);
  else
    fail_call (call);
  free (body);
}
