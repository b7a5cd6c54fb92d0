#include "tarragontrack/board/backend.h"
#include "tarragontrack/board/board.h"
#include "tarragontrack/board/error.h"
#include "tarragontrack/board/hash.h"
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
  (void) call;
  ((TtBackendControlCall *) context)->status = status;
}

static void
on_control_data (void *context, const char *data, size_t size)
{
  TtBackendControlCall *control = context;
  char *buffer;

  // Discards data over the limit. An incomplete load report does not parse and is ignored; an
  // incomplete KV cache must be rejected by the engine that imports it.
  if (control->size + size > TT_BACKEND_CONTROL_MAX_BYTES)
    return;
  buffer = realloc (control->buffer, control->size + size + 1);
  if (buffer == NULL)
    return;
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
  if (tt_http_client_start (client->options.http, &request) != NULL)
    return true;
  free_control_call (control);
  return false;
}

/// Copies a string member of a JSON object, if present.
static void
copy_json_string (json_object *object, const char *key, char *target)
{
  json_object *value = NULL;

  if (json_object_object_get_ex (object, key, &value)
      && json_object_is_type (value, json_type_string))
    (void) snprintf (target, TT_NAME_MAX, "%s", json_object_get_string (value));
}

/// Posts the cache events of a load report to the board.
static void
post_cache_events (TtBackendClient *client, uint64_t backend_id, json_object *events)
{
  size_t count
      = json_object_is_type (events, json_type_array) ? json_object_array_length (events) : 0;

  for (size_t i = 0; i < count; i++)
    {
      json_object *entry = json_object_array_get_idx (events, i);
      TtEvent event = { .type = TT_EVENT_CACHE_UPDATE, .cache.backend_id = backend_id };
      json_object *value = NULL;

      if (!json_object_object_get_ex (entry, "chat", &value))
        continue;
      event.cache.chat_key = strtoull (json_object_get_string (value), NULL, 16);
      event.cache.stored = json_object_object_get_ex (entry, "stored", &value)
                           && json_object_get_boolean (value) != 0;
      client->front.post (client->front.context, &event);
    }
}

void
tt_backend_control_parse_load_report (TtBackendClient *client, TtBackendLoadPoll *load_poll,
                                      const TtBackendControlCall *control)
{
  json_object *root = control->buffer != NULL ? json_tokener_parse (control->buffer) : NULL;
  TtEvent event = { .type = TT_EVENT_LOAD_REPORT, .load.backend_id = control->backend_id };
  json_object *value = NULL;

  if (json_object_is_type (root, json_type_object))
    {
      if (json_object_object_get_ex (root, "running", &value))
        event.load.running = (uint32_t) json_object_get_int64 (value);
      if (json_object_object_get_ex (root, "waiting", &value))
        event.load.waiting = (uint32_t) json_object_get_int64 (value);
      copy_json_string (root, "model", event.load.role.model);
      copy_json_string (root, "adapter", event.load.role.adapter);
      copy_json_string (root, "version", event.load.role.version);
      copy_json_string (root, "role", event.load.role.role);
      client->front.post (client->front.context, &event);
      if (json_object_object_get_ex (root, "next", &value))
        load_poll->last_event_number = (uint64_t) json_object_get_int64 (value);
      if (json_object_object_get_ex (root, "events", &value))
        post_cache_events (client, control->backend_id, value);
    }
  json_object_put (root);
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
  bool succeeded = error->code == TT_OK && control->status == STATUS_OK;
  TtBackendLoadPoll *load_poll = control->type == TT_BACKEND_CONTROL_LOAD
                                     ? find_load_poll (client, control->backend_id)
                                     : NULL;
  TtEvent event = { .type = TT_EVENT_ORDER_RESPONSE };

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
