#include "tarragontrack/io/platform_client.h"
#include "tarragontrack/board/error.h"
#include "tarragontrack/io/http_client.h"
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

enum
{
  BASE_URL_MAX = 64
};

struct TtPlatformClient
{
  TtHttpClient *http;
  TtPlatformDialect dialect;
  uv_timer_t timer; ///< delivers the events of failed_calls
  void *context;
  void (*on_event) (void *context, const TtEvent *event);
  TtList open_calls;   ///< PlatformCall.link
  TtList failed_calls; ///< PlatformCall.link, calls that failed before they were sent
  size_t max_response_bytes;
  char base_url[BASE_URL_MAX];
};

typedef struct
{
  TtLink link;
  TtPlatformClient *client;
  TtHttpCall *http; ///< NULL if the request was not sent
  uint64_t call_id;
  TtPlatformOp op;
  TtStoreKind kind;
  TtError error;    ///< of a call that was not sent
  uint64_t version; ///< from the ETag header of the response
  uint64_t era;     ///< from the dialect's era header
  bool era_is_malformed;
  unsigned status;
  size_t size;
  size_t capacity;
  char *data;
  char key[TT_KEY_MAX];
} PlatformCall;

/// True if the effect of a call is unknown when its response is lost.
static bool
is_write (TtPlatformOp op)
{
  return op == TT_PLATFORM_PUT || op == TT_PLATFORM_CREATE || op == TT_PLATFORM_REPLACE;
}

static TtStep
step_of_op (TtPlatformOp op)
{
  if (is_write (op))
    return TT_STEP_PLATFORM_WRITE;
  return op == TT_PLATFORM_WATCH || op == TT_PLATFORM_WATCH_ENTRIES ? TT_STEP_PLATFORM_WATCH
                                                                    : TT_STEP_PLATFORM_READ;
}

/// Delivers the event of a call and frees the call.
static void
complete_call (PlatformCall *call, TtEvent *event)
{
  TtPlatformClient *client = call->client;

  event->type = TT_EVENT_PLATFORM_RESPONSE;
  event->platform.call_id = call->call_id;
  event->platform.op = call->op;
  tt_list_remove (&client->open_calls, &call->link);
  client->on_event (client->context, event);
  if (client->dialect.free_response != NULL)
    client->dialect.free_response (client->dialect.context, &event->platform);
  free (call->data);
  free (call);
}

static void
complete_failed_calls (uv_timer_t *timer)
{
  TtPlatformClient *client = timer->data;
  TtLink *link;

  while ((link = tt_list_pop (&client->failed_calls)) != NULL)
    {
      PlatformCall *call = TT_CONTAINER_OF (link, PlatformCall, link);
      TtEvent event = { .error = call->error };

      event.platform.code = TT_E_UNAVAILABLE;
      tt_list_append (&client->open_calls, &call->link); // complete_call() removes it
      complete_call (call, &event);
    }
}

/// Fails a call of which nothing was sent. The event is delivered in the next iteration of the
/// event loop, because tt_platform_client_call() is called during a step of the board.
static void
fail_call (PlatformCall *call)
{
  TtPlatformClient *client = call->client;

  tt_list_remove (&client->open_calls, &call->link);
  tt_list_append (&client->failed_calls, &call->link);
  (void) uv_timer_start (&client->timer, complete_failed_calls, 0, 0);
}

/// Parses a version with or without quotes; 0 if there is none, or a text of another form.
static uint64_t
parse_version (const char *text)
{
  bool quoted = text != NULL && *text == '"';
  unsigned long long version;
  char *end;

  if (text == NULL)
    return 0;
  text += quoted ? 1 : 0;
  if (*text < '0' || *text > '9')
    return 0;
  version = strtoull (text, &end, 10);
  if (quoted && *end++ != '"')
    return 0;
  return *end == '\0' && version <= INT64_MAX ? version : 0;
}

/// Parses the number of an era; 0 if there is none. RETURN false if the text has another form.
static bool
parse_era (const char *text, uint64_t *era)
{
  *era = text != NULL && text[0] != '"' ? parse_version (text) : 0;
  return text == NULL || *era != 0 || strcmp (text, "0") == 0;
}

static void
on_headers (void *context, TtHttpCall *http, unsigned status)
{
  PlatformCall *call = context;
  const char *era;

  call->status = status;
  call->version = parse_version (tt_http_call_get_header (http, "ETag"));
  era = tt_http_call_get_header (http, call->client->dialect.era_header);
  call->era_is_malformed = !parse_era (era, &call->era);
}

/// Cancels a call after a local error and delivers its event.
static void
abort_call (PlatformCall *call, int code, const char *detail)
{
  TtEvent event = { .type = TT_EVENT_PLATFORM_RESPONSE };

  (void) tt_error_set (&event.error, code, step_of_op (call->op), call->key, "%s", detail);
  // The effect of a write is unknown because its response was not read completely.
  event.platform.code = is_write (call->op) ? TT_E_TIMEOUT : code;
  tt_http_call_cancel (call->http);
  complete_call (call, &event);
}

static void
on_data (void *context, const char *data, size_t size)
{
  PlatformCall *call = context;

  if (call->size + size > call->client->max_response_bytes)
    {
      abort_call (call, TT_E_MALFORMED, "the answer exceeds the maximum size of an object");
      return;
    }
  if (call->size + size + 1 > call->capacity)
    {
      size_t capacity = 2 * (call->size + size) + 1;
      char *grown = realloc (call->data, capacity);

      if (grown == NULL)
        {
          abort_call (call, TT_E_UNAVAILABLE, "out of memory for the answer");
          return;
        }
      call->data = grown;
      call->capacity = capacity;
    }
  memcpy (call->data + call->size, data, size);
  call->size += size;
  call->data[call->size] = '\0';
}

/// True for a status with which the platform turns a call away, without a word about its objects.
static bool
is_rejection (unsigned status)
{
  return status == 429 || status >= 500;
}

static void
on_end (void *context, const TtError *error)
{
  PlatformCall *call = context;
  const TtPlatformDialect *dialect = &call->client->dialect;
  const TtPlatformResponse response = { .op = call->op,
                                        .key = call->key,
                                        .kind = call->kind,
                                        .status = call->status,
                                        .version = call->version,
                                        .era = call->era,
                                        .data = call->data != NULL ? call->data : "",
                                        .size = call->size };
  TtEvent event = { .error = *error };

  event.error.step = step_of_op (call->op);
  event.platform.version = call->version;
  event.platform.era = call->era;
  if (error->code != TT_OK)
    event.platform.code = error->code == TT_E_UNAVAILABLE                       ? TT_E_UNAVAILABLE
                          : error->code == TT_E_CRASHED && !is_write (call->op) ? TT_E_CRASHED
                                                                                : TT_E_TIMEOUT;
  else if (call->era_is_malformed && !is_rejection (call->status))
    // The answer cannot be compared with others. The effect of a write is unknown.
    event.platform.code
        = tt_error_set (&event.error, is_write (call->op) ? TT_E_TIMEOUT : TT_E_MALFORMED,
                        event.error.step, call->key, "the era of the answer is no number");
  else
    (void) dialect->decode_response (dialect->context, &response, &event.platform, &event.error);
  complete_call (call, &event);
}

/// Encodes and sends a request. RETURN 0 or a negative error number.
static int
start_call (PlatformCall *call, const TtPlatformAction *action)
{
  const TtPlatformDialect *dialect = &call->client->dialect;
  TtPlatformRequest encoded = { .method = "GET" };
  char *url = NULL;
  size_t url_size;
  int code = dialect->encode_request (dialect->context, action, &encoded, &call->error);
  const char *const headers[]
      = { encoded.body != NULL ? "Content-Type: application/json" : "Accept: application/json",
          encoded.condition_header[0] != '\0' ? encoded.condition_header : NULL, NULL };
  TtHttpRequest request = { .method = encoded.method,
                            .peer = "platform",
                            .headers = headers,
                            .body = encoded.body,
                            .body_size = encoded.body_size,
                            .connect_timeout_ms = TT_PLATFORM_CONNECT_TIMEOUT_MS,
                            .total_timeout_ms = encoded.timeout_ms,
                            .tcp_keepalive = true,
                            .context = call,
                            .on_headers = on_headers,
                            .on_data = on_data,
                            .on_end = on_end };

  if (code == TT_OK)
    {
      url_size = strlen (call->client->base_url) + strlen (encoded.path) + 1;
      url = malloc (url_size);
    }
  if (url != NULL)
    {
      (void) snprintf (url, url_size, "%s%s", call->client->base_url, encoded.path);
      request.url = url;
      call->http = tt_http_client_start (call->client->http, &request);
    }
  free (url);
  free (encoded.path);
  free (encoded.body);
  if (code == TT_OK && call->http == NULL)
    code = tt_error_set (&call->error, TT_E_NO_MEMORY, step_of_op (call->op), call->key,
                         "HTTP call");
  return code;
}

TtPlatformClient *
tt_platform_client_new (uv_loop_t *loop, TtHttpClient *http, const TtPlatformClientOptions *options)
{
  TtPlatformClient *client = calloc (1, sizeof *client);

  if (client == NULL)
    return NULL;
  client->http = http;
  client->dialect = options->dialect;
  client->context = options->context;
  client->on_event = options->on_event;
  client->max_response_bytes = options->max_response_bytes;
  tt_list_init (&client->open_calls);
  tt_list_init (&client->failed_calls);
  (void) snprintf (client->base_url, sizeof client->base_url, "%s", options->url);
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
  while ((link = tt_list_pop (&client->open_calls)) != NULL
         || (link = tt_list_pop (&client->failed_calls)) != NULL)
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
  int code = TT_OK;

  if (call == NULL)
    return;
  call->client = client;
  call->call_id = action->call_id;
  call->op = action->op;
  call->kind = action->kind;
  (void) snprintf (call->key, sizeof call->key, "%s", action->key);
  tt_list_append (&client->open_calls, &call->link);
  if (client->open_calls.count + client->failed_calls.count > TT_PLATFORM_MAX_CALLS)
    code = tt_error_set (&call->error, TT_E_LIMIT, step_of_op (call->op), call->key,
                         "%d calls are open", TT_PLATFORM_MAX_CALLS);
  if (code == TT_OK)
    code = start_call (call, action);
  if (code != TT_OK)
    fail_call (call);
}
