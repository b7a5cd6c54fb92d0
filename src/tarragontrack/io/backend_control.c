#include "tarragontrack/board/backend.h"
#include "tarragontrack/board/board.h"
#include "tarragontrack/board/error.h"
#include "tarragontrack/board/escape.h"
#include "tarragontrack/board/hash.h"
#include "tarragontrack/codec/engine_report.h"
#include "tarragontrack/io/backend_defs.h"
#include <json-c/json.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define CONTROL_TIMEOUT_MS 5000
#define CONTROL_URL_MAX 192
/// Number of daemons of a failure domain that poll the load of one engine.
#define LOAD_POLLERS_PER_DOMAIN 2
#define STATUS_OK 200
#define STATUS_CONFLICT 409

static void on_control_end (void *context, const TtError *error);

static void
on_control_headers (void *context, TtHttpCall *call, unsigned status)
{
  TtBackendControlCall *control = context;

  control->status = status;
  control->has_length = tt_http_call_content_length (call) != SIZE_MAX;
}

static void
on_control_data (void *context, const char *data, size_t size)
{
  TtBackendControlCall *control = context;
  char *buffer;

  // A body over the limit is not used. Without a part of it, the rest would be another one.
  if (control->incomplete || control->size + size > TT_BACKEND_CONTROL_MAX_BYTES)
    {
      control->incomplete = true;
      return;
    }
  buffer = realloc (control->buffer, control->size + size + 1);
  if (buffer == NULL)
    {
      control->incomplete = true;
      return;
    }
  memcpy (buffer + control->size, data, size);
  control->buffer = buffer;
  control->size += size;
  buffer[control->size] = '\0';
}

static void
free_control_call (TtBackendControlCall *control)
{
  tt_list_remove (&control->client->control_calls, &control->link);
  free (control->buffer);
  free (control);
}

/// Starts a control call. @params holds its type, ids and KV transfer. RETURN false if it could not
/// be started.
static bool
start_control_call (TtBackendClient *client, const TtBackendControlCall *params, const char *method,
                    const char *path, const char *body, size_t body_size)
{
  const TtBackendServer *backend = tt_backend_find (client->front.board, params->backend_id);
  TtBackendControlCall *control = backend != NULL ? malloc (sizeof *control) : NULL;
  char url[CONTROL_URL_MAX];
  bool is_ipv6;
  TtHttpRequest request = { .method = method,
                            .url = url,
                            .peer = "backend server",
                            .body = body,
                            .body_size = body_size,
                            .connect_timeout_ms = client->options.connect_timeout_ms,
                            .total_timeout_ms = CONTROL_TIMEOUT_MS,
                            .context = control,
                            .on_headers = on_control_headers,
                            .on_data = on_control_data,
                            .on_end = on_control_end };

  if (control == NULL)
    return false;
  *control = *params;
  control->client = client;
  tt_list_append (&client->control_calls, &control->link);
  is_ipv6 = strchr (backend->address, ':') != NULL;
  (void) snprintf (url, sizeof url, "http://%s%s%s:%u%s", is_ipv6 ? "[" : "", backend->address,
                   is_ipv6 ? "]" : "", backend->port, path);
  control->call = tt_http_client_start (client->options.http, &request);
  if (control->call != NULL)
    return true;
  free_control_call (control);
  return false;
}

/// Logs an answer of no known form. It is not used.
static void
report_unknown_form (const TtBackendControlCall *control, const char *place, const char *data,
                     size_t size)
{
  TtBoard *board = control->client->front.board;
  const TtBackendServer *backend = tt_backend_find (board, control->backend_id);
  char text[TT_BACKEND_LOGGED_BYTES_MAX];

  tt_board_counter_add (board, TT_COUNT_UNKNOWN_FORMS, 1);
  tt_escape_bytes (text, sizeof text, data, size);
  tt_board_log (board, TT_LOG_ANSWER_UNKNOWN_FORM,
                "request= backend=%s status=%u place=%s after_event=0 framing=%s size=%zu "
                "bytes=\"%s\" caller_bytes=0",
                backend != NULL ? backend->name : "", control->status, place,
                control->has_length ? "length" : "chunks", size, text);
}

void
tt_backend_control_parse_load_report (TtBackendClient *client, TtBackendLoadPoll *load_poll,
                                      const TtBackendControlCall *control)
{
  const char *text = control->buffer != NULL ? control->buffer : "";
  TtEvent event = { .type = TT_EVENT_LOAD_REPORT };
  TtEngineReport report;

  if (!tt_engine_report_parse (&report, text, control->size))
    report_unknown_form (control, "body", text, control->size);
  else
    {
      event.load = report.load;
      event.load.backend_id = control->backend_id;
      client->front.post (client->front.context, &event);
      if (report.has_next)
        load_poll->last_event_number = report.next;
      event = (TtEvent){ .type = TT_EVENT_CACHE_UPDATE };
      for (size_t i = 0; i < report.event_count; i++)
        if (tt_engine_report_read_event (&report, i, &event.cache))
          {
            event.cache.backend_id = control->backend_id;
            client->front.post (client->front.context, &event);
          }
    }
  tt_engine_report_free (&report);
}

/// Load polling schedule of an engine; NULL if the engine was removed or its record now belongs to
/// another engine.
static TtBackendLoadPoll *
find_load_poll (TtBackendClient *client, uint64_t backend_id)
{
  const TtBackendServer *backend = tt_backend_find (client->front.board, backend_id);
  TtBackendLoadPoll *load_poll;

  if (backend == NULL)
    return NULL;
  load_poll = &client->load_polls[backend - client->front.board->backends.backend_records];
  return load_poll->backend_id == backend_id ? load_poll : NULL;
}

/// Sends an exported KV cache to the target engine.
static void
import_cache (TtBackendControlCall *control)
{
  TtBackendControlCall params = { .type = TT_BACKEND_CONTROL_KV_IMPORT, .kv = control->kv };
  char path[CONTROL_URL_MAX / 2];

  params.backend_id = control->kv.to_backend_id;
  (void) snprintf (path, sizeof path, "/kv/%016llx", (unsigned long long) control->kv.chat_key);
  (void) start_control_call (control->client, &params, "PUT", path, control->buffer, control->size);
}

static void
on_control_end (void *context, const TtError *error)
{
  TtBackendControlCall *control = context;
  TtBackendClient *client = control->client;
  bool succeeded = error->code == TT_OK && control->status == STATUS_OK && !control->incomplete;
  TtBackendLoadPoll *load_poll = control->type == TT_BACKEND_CONTROL_LOAD
                                     ? find_load_poll (client, control->backend_id)
                                     : NULL;
  TtEvent event = { .type = TT_EVENT_ORDER_RESPONSE };

  if (error->code == TT_E_MALFORMED)
    {
      const char *data;
      size_t size;
      const char *place = tt_http_call_rejected_bytes (control->call, &data, &size);

      report_unknown_form (control, place != NULL ? place : "head", data, size);
    }
  if (load_poll != NULL)
    load_poll->in_flight = false;
  if (load_poll != NULL && succeeded)
    tt_backend_control_parse_load_report (client, load_poll, control);
  else if (control->type == TT_BACKEND_CONTROL_KV_EXPORT && succeeded && control->size > 0)
    import_cache (control);
  else if (control->type == TT_BACKEND_CONTROL_ORDER && error->code == TT_OK
           && (control->status == STATUS_OK || control->status == STATUS_CONFLICT))
    {
      event.order.backend_id = control->backend_id;
      event.order.fencing_token = control->fencing_token;
      event.order.rejected = control->status == STATUS_CONFLICT;
      client->front.post (client->front.context, &event);
    }
  free_control_call (control);
}

void
tt_backend_client_send_order (TtBackendClient *client, const TtOrderAction *action)
{
  TtBackendControlCall params
      = { .type = TT_BACKEND_CONTROL_ORDER, .backend_id = action->backend_id };
  json_object *root = json_object_new_object ();
  const char *text;

  params.fencing_token = action->fencing_token;
  json_object_object_add (root, "fencing", json_object_new_uint64 (action->fencing_token));
  json_object_object_add (root, "model", json_object_new_string (action->role.model));
  json_object_object_add (root, "adapter", json_object_new_string (action->role.adapter));
  json_object_object_add (root, "version", json_object_new_string (action->role.version));
  json_object_object_add (root, "role", json_object_new_string (action->role.role));
  text = json_object_to_json_string_ext (root, JSON_C_TO_STRING_PLAIN);
  (void) start_control_call (client, &params, "POST", "/order", text, strlen (text));
  json_object_put (root);
}

void
tt_backend_client_transfer_kv_cache (TtBackendClient *client, const TtKvAction *action)
{
  TtBackendControlCall params = { .type = TT_BACKEND_CONTROL_KV_EXPORT,
                                  .backend_id = action->from_backend_id,
                                  .kv = *action };
  char path[CONTROL_URL_MAX / 2];

  (void) snprintf (path, sizeof path, "/kv/%016llx", (unsigned long long) action->chat_key);
  (void) start_control_call (client, &params, "GET", path, NULL, 0);
}

/// True if this daemon has one of the LOAD_POLLERS_PER_DOMAIN highest rendezvous scores for the
/// engine among the live daemons of its failure domain.
static bool
is_poller (const TtBoard *board, const TtBackendServer *backend)
{
  uint64_t self = tt_hash_string (board->config.name);
  double own = tt_hash_rendezvous_score (backend->id, self, 1.0);
  unsigned higher_ranked = 0;

  TT_LIST_FOREACH (&board->member.all, it)
    {
      const TtMember *member = TT_CONTAINER_OF (it, TtMember, link);

      if (member->entry.id != self && member->entry.domain_id == board->domain_id
          && member->entry.state == TT_MEMBER_ALIVE
          && tt_hash_rendezvous_score (backend->id, member->entry.id, 1.0) > own)
        higher_ranked++;
    }
  return higher_ranked < LOAD_POLLERS_PER_DOMAIN;
}

/// Delay until the next load request: 3/4 to 5/4 of the configured interval.
static int64_t
jittered_interval_us (TtBackendClient *client)
{
  int64_t interval_us = client->options.load_poll_interval_ms * TT_MILLISECOND_US;

  client->jitter_state = tt_hash_pair (client->jitter_state, client->options.jitter_seed);
  return interval_us * 3 / 4 + (int64_t) (client->jitter_state % (uint64_t) (interval_us / 2 + 1));
}

/// Requests the load report of one engine.
static void
request_load (TtBackendClient *client, TtBackendLoadPoll *load_poll, int64_t now_us)
{
  TtBackendControlCall params
      = { .type = TT_BACKEND_CONTROL_LOAD, .backend_id = load_poll->backend_id };
  char path[CONTROL_URL_MAX / 2];

  (void) snprintf (path, sizeof path, "/load?since=%llu",
                   (unsigned long long) load_poll->last_event_number);
  load_poll->next_poll_us = now_us + jittered_interval_us (client);
  load_poll->in_flight = start_control_call (client, &params, "GET", path, NULL, 0);
}

void
tt_backend_client_poll_load (TtBackendClient *client, int64_t now_us)
{
  TtBoard *board = client->front.board;

  TT_LIST_FOREACH (&board->backends.all, it)
    {
      const TtBackendServer *backend = TT_CONTAINER_OF (it, TtBackendServer, link);
      TtBackendLoadPoll *load_poll = &client->load_polls[backend - board->backends.backend_records];

      // A damped backend server gets no requests, but shows by its reports that it is stable again.
      if (backend->pool == NULL || backend->pool->spec.type != TT_SERVICE_MODEL
          || backend->domain_id != board->domain_id
          || (!tt_backend_accepts (backend, now_us) && backend->roster.state != TT_BACKEND_DAMPED))
        continue;
      if (load_poll->backend_id != backend->id)
        *load_poll
            = (TtBackendLoadPoll){ .backend_id = backend->id,
                                   .next_poll_us = now_us + jittered_interval_us (client) / 4 };
      if (!load_poll->in_flight && now_us >= load_poll->next_poll_us && is_poller (board, backend))
        request_load (client, load_poll, now_us);
    }
}
