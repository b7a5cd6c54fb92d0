#include "call.h"
#include "balancer.h"
#include "check.h"
#include "plan.h"
#include <gsl/gsl_rng.h>
#include <stdio.h>
#include <string.h>

#define CHAT_PATH "/v1/chat/completions"
#define CONNECT_TIMEOUT_MS 2000
#define CONNECT_RETRY_MS 50      ///< delay before a retry when no target accepts the connection
#define MAX_CONNECT_ATTEMPTS 400 ///< 20 s at CONNECT_RETRY_MS: longer than a daemon takes to start
#define REPEAT_DELAY_MS 500      ///< delay before the second sending of a grant and its retries
#define MAX_UNKNOWN_OUTCOMES 20  ///< "unknown" outcomes after which a repeated grant is given up
#define US_PER_MS 1000.0
#define HEADER_BYTES 128

static void send_request (LoadRequest *request);

static int64_t
now_us (void)
{
  return (int64_t) (uv_hrtime () / 1000);
}

static double
elapsed_ms (int64_t from_us, int64_t to_us)
{
  return (double) (to_us - from_us) / US_PER_MS;
}

/// Copies a response header, if there is one, to a buffer of LOAD_NAME_MAX bytes.
static void
copy_header (const TtHttpCall *call, const char *name, char *buffer)
{
  const char *value = tt_http_call_get_header (call, name);

  if (value != NULL)
    g_strlcpy (buffer, value, LOAD_NAME_MAX);
}

static void
on_headers (void *context, TtHttpCall *call, unsigned status)
{
  LoadRequest *request = context;

  request->status = status;
  copy_header (call, "X-Outcome", request->outcome);
  if (request->chat != NULL)
    copy_header (call, "X-Chat-Route", request->chat->route);
}

static void
on_data (void *context, const char *data, size_t size)
{
  LoadRequest *request = context;
  uint32_t before = request->scan.tokens;
  int64_t now = now_us ();

  g_string_append_len (request->response, data, (gssize) size);
  if (request->kind->type != LOAD_TYPE_STREAM)
    return;
  request->scanned_bytes
      += tt_sse_scan (request->response->str + request->scanned_bytes,
                      request->response->len - request->scanned_bytes, &request->scan);
  for (uint32_t i = before; i < request->scan.tokens; i++)
    {
      double gap = elapsed_ms (request->last_token_us, now);

      if (i == 0)
        request->first_token_ms = elapsed_ms (request->scheduled_us, now);
      else
        g_array_append_val (request->token_gaps_ms, gap);
      request->last_token_us = now;
    }
}

/// Parses the number after a key in the response's usage object; 0 if the key is absent.
static uint64_t
parse_usage_field (const LoadRequest *request, const char *key)
{
  const char *at = strstr (request->response->str, key);

  return at != NULL ? strtoull (at + strlen (key), NULL, 10) : 0;
}

/// Adds a complete response to the statistics of its kind of work.
static void
record_complete_response (const LoadRequest *request, int64_t now)
{
  LoadStatistics *statistics = &request->kind->work_statistics;
  double total = elapsed_ms (request->scheduled_us, now);
  uint64_t prompt = parse_usage_field (request, "\"prompt_tokens\":");
  uint64_t cached = parse_usage_field (request, "\"cached_tokens\":");

  g_array_append_val (statistics->latencies_ms, total);
  if (request->chat == NULL)
    return;
  statistics->tokens += request->max_tokens;
  statistics->prompt_tokens += prompt;
  statistics->cached_tokens += cached;
  if (request->chat->turns > 1)
    {
      statistics->later_turn_prompt_tokens += prompt;
      statistics->later_turn_cached_tokens += cached;
    }
  if (request->kind->type != LOAD_TYPE_STREAM)
    return;
  g_array_append_val (statistics->first_token_ms, request->first_token_ms);
  g_array_append_vals (statistics->token_gaps_ms, request->token_gaps_ms->data,
                       request->token_gaps_ms->len);
}

/// Keeps a chat for its next turn after a complete response; frees it after any other outcome.
static void
end_turn (LoadRequest *request, LoadOutcome outcome, int64_t now)
{
  GString *content = g_string_new (NULL);

  load_check_write_expected (request, content);
  if (outcome == LOAD_COMPLETE)
    load_plan_pause_chat (request->load, request->chat, content->str, now);
  else
    load_plan_free_chat (request->chat);
  (void) g_string_free (content, TRUE);
}

static void
on_send_timer_closed (uv_handle_t *handle)
{
  LoadRequest *request = handle->data;

  g_free (handle);
  send_request (request);
}

static void
on_send_timer (uv_timer_t *timer)
{
  uv_close ((uv_handle_t *) timer, on_send_timer_closed);
}

/// Sends a request to the next ready target after a delay.
static void
schedule_send (LoadRequest *request, uint64_t wait_ms)
{
  uv_timer_t *timer = g_new0 (uv_timer_t, 1);

  (void) uv_timer_init (&request->load->loop, timer);
  timer->data = request;
  (void) uv_timer_start (timer, on_send_timer, wait_ms, 0);
}

/// Records the outcome of a request and frees it. Schedules the second sending of a fraction of the
/// grants, LoadOptions.repeat_fraction.
static void
finish_request (LoadRequest *request, LoadOutcome outcome, const char *detail)
{
  Load *load = request->load;
  int64_t now = now_us ();

  load->open_requests--;
  load->last_end_us = now;
  request->kind->work_statistics.outcomes[outcome]++;
  if (outcome == LOAD_COMPLETE)
    record_complete_response (request, now);
  else
    (void) fprintf (stderr, "tt_load: request %llu (%s, %s) at %s: outcome %d, status %u, %s %s\n",
                    (unsigned long long) request->number, request->kind->name, request->key,
                    request->target >= 0 ? load->targets[request->target].url : "no target",
                    (int) outcome, request->status, request->outcome, detail);
  if (request->chat != NULL)
    end_turn (request, outcome, now);
  if (request->kind->type == LOAD_TYPE_GRANT && !request->is_repeat)
    {
      (void) g_hash_table_insert (load->grant_outcomes, g_strdup (request->key),
                                  GINT_TO_POINTER ((int) outcome + 1));
      if (gsl_rng_uniform (load->random) < load->options.repeat_fraction)
        {
          load->open_requests++;
          schedule_send (
              load_plan_repeat_grant (request, now + REPEAT_DELAY_MS * (int64_t) US_PER_MS),
              REPEAT_DELAY_MS);
        }
    }
  load_plan_free_request (request);
}

/// Retries a request after a refused connection, or when no target was ready. Nothing was sent, so
/// that a grant cannot run twice because of this.
static void
retry_connect (LoadRequest *request)
{
  if (++request->connect_attempts == MAX_CONNECT_ATTEMPTS)
    {
      finish_request (request, LOAD_UNREACHABLE, "no target accepted the connection");
      return;
    }
  if (request->target != LOAD_NO_TARGET)
    request->load->connect_retries++;
  schedule_send (request, request->connect_attempts < 2 ? 0 : CONNECT_RETRY_MS);
}

/// Retries a repeated grant with the outcome "unknown", because the record of the first sending may
/// not have been written yet.
///
/// RETURN     false if the request is not a repeated grant or has no retries left
static bool
retry_unknown_grant (LoadRequest *request)
{
  if (!request->is_repeat || ++request->unknown_retries == MAX_UNKNOWN_OUTCOMES)
    return false;
  request->load->unknown_retries++;
  request->status = 0;
  request->outcome[0] = '\0';
  (void) g_string_truncate (request->response, 0);
  request->scheduled_us = now_us () + REPEAT_DELAY_MS * (int64_t) US_PER_MS;
  schedule_send (request, REPEAT_DELAY_MS);
  return true;
}

static void
on_end (void *context, const TtError *error)
{
  LoadRequest *request = context;
  LoadOutcome outcome = load_check_outcome (request, error);

  if (outcome == LOAD_UNKNOWN && retry_unknown_grant (request))
    return;
  if (outcome != LOAD_UNREACHABLE)
    {
      finish_request (request, outcome, error->detail);
      return;
    }
  // Skips this target until the next readiness probe, unless it is not probed.
  request->load->targets[request->target].ready
      = request->load->targets[request->target].ready_url[0] == '\0';
  retry_connect (request);
}

/// Sends a request to the next ready target.
static void
send_request (LoadRequest *request)
{
  Load *load = request->load;
  bool grant = request->kind->type == LOAD_TYPE_GRANT;
  char headers[4][HEADER_BYTES];
  const char *list[8] = { headers[0], headers[1], headers[2], "Content-Type: application/json" };
  TtHttpRequest call = { .method = request->kind->type == LOAD_TYPE_CALL ? "GET" : "POST",
                         .url = request->url,
                         .headers = list,
                         .body = request->body->str,
                         .body_size = request->body->len,
                         .connect_timeout_ms = CONNECT_TIMEOUT_MS,
                         .total_timeout_ms = (uint32_t) load->options.timeout_ms,
                         .fresh_connection = grant,
                         .context = request,
                         .on_headers = on_headers,
                         .on_data = on_data,
                         .on_end = on_end };

  request->target = load_balancer_pick (load, request->avoid_target);
  if (request->target == LOAD_NO_TARGET)
    {
      retry_connect (request);
      return;
    }
  call.peer = load->targets[request->target].url;
  load->targets[request->target].requests_sent++;
  (void) snprintf (request->url, sizeof request->url, "%s%s", call.peer,
                   request->chat != NULL ? CHAT_PATH : load->options.service_path);
  (void) snprintf (headers[0], HEADER_BYTES, "X-Client-Account: %s", request->account->name);
  (void) snprintf (headers[1], HEADER_BYTES, "X-Work-Kind: %s", request->kind->name);
  if (request->chat != NULL)
    (void) snprintf (headers[2], HEADER_BYTES, "X-Chat-Id: chat-%llu",
                     (unsigned long long) request->chat->number);
  else
    (void) snprintf (headers[2], HEADER_BYTES, "Idempotency-Key: %s", request->key);
  if (request->chat != NULL && request->chat->route[0] != '\0')
    {
      (void) snprintf (headers[3], HEADER_BYTES, "X-Chat-Route: %s", request->chat->route);
      list[4] = headers[3];
    }
  if (tt_http_client_start (load->http, &call) == NULL)
    finish_request (request, LOAD_ERROR, "the call could not be started");
}

void
load_call_start (LoadRequest *request)
{
  double lag = elapsed_ms (request->scheduled_us, now_us ());

  request->load->open_requests++;
  g_array_append_val (request->load->send_lags_ms, lag);
  send_request (request);
}

typedef struct
{
  Load *load;
  int index;
} ServiceCall;

static void
on_service_data (void *context, const char *data, size_t size)
{
  const ServiceCall *call = context;

  g_string_append_len (call->load->service_responses[call->index], data, (gssize) size);
}

static void
on_service_end (void *context, const TtError *error)
{
  ServiceCall *call = context;

  call->load->service_codes[call->index] = error->code;
  call->load->open_service_calls--;
  g_free (call);
}

void
load_call_fetch_executions (Load *load)
{
  for (int i = 0;
       load->options.services != NULL && load->options.services[i] != NULL && i < LOAD_MAX_TARGETS;
       i++)
    {
      ServiceCall *context = g_new0 (ServiceCall, 1);
      char *url = g_strconcat (load->options.services[i], "/executions", NULL);
      TtHttpRequest call = { .method = "GET",
                             .url = url,
                             .peer = load->options.services[i],
                             .connect_timeout_ms = CONNECT_TIMEOUT_MS,
                             .total_timeout_ms = (uint32_t) load->options.timeout_ms,
                             .context = context,
                             .on_data = on_service_data,
                             .on_end = on_service_end };

      context->load = load;
      context->index = i;
      load->service_responses[i] = g_string_new (NULL);
      load->service_codes[i] = TT_E_UNAVAILABLE;
      if (tt_http_client_start (load->http, &call) != NULL)
        load->open_service_calls++;
      else
        g_free (context);
      g_free (url);
    }
}
