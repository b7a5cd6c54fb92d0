#include "tarragontrack/board/backend.h"
#include "tarragontrack/board/board.h"
#include "tarragontrack/board/error.h"
#include "tarragontrack/board/hash.h"
#include "tarragontrack/io/backend_defs.h"
#include <json-c/json.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define SIDE_TIMEOUT_MS 5000
#define SIDE_URL_MAX 192
#define POLLERS 2 ///< daemons of a failure domain that ask one engine for its load
#define STATUS_OK 200
#define STATUS_CONFLICT 409

static void on_side_end (void *context, const TtError *error);

static void
on_side_headers (void *context, TtHttpCall *call, unsigned status)
{
  (void) call;
  ((TtSideCall *) context)->status = status;
}

static void
on_side_data (void *context, const char *data, size_t size)
{
  TtSideCall *side = context;
  char *buffer;

  // A longer answer is cut and then refused as malformed.
  if (side->size + size > TT_SIDE_BYTES_MAX)
    return;
  buffer = realloc (side->buffer, side->size + size + 1);
  if (buffer == NULL)
    return;
  memcpy (buffer + side->size, data, size);
  side->buffer = buffer;
  side->size += size;
  buffer[side->size] = '\0';
}

static void
free_side (TtSideCall *side)
{
  tt_list_remove (&side->client->sides, &side->link);
  free (side->buffer);
  free (side);
}

/// Starts a call to a backend server. RETURN false if it could not be started.
static bool
start_side (TtBackendClient *client, const TtSideCall *model, const char *method, const char *path,
            const char *body, size_t body_size)
{
  const TtBackendServer *backend = tt_backend_find (client->front.board, model->backend_id);
  TtSideCall *side = backend != NULL ? malloc (sizeof *side) : NULL;
  char url[SIDE_URL_MAX];
  bool bracket;
  TtHttpRequest request = { .method = method,
                            .url = url,
                            .peer = "backend server",
                            .body = body,
                            .body_size = body_size,
                            .connect_timeout_ms = client->options.connect_timeout_ms,
                            .total_timeout_ms = SIDE_TIMEOUT_MS,
                            .context = side,
                            .on_headers = on_side_headers,
                            .on_data = on_side_data,
                            .on_end = on_side_end };

  if (side == NULL)
    return false;
  *side = *model;
  side->client = client;
  tt_list_append (&client->sides, &side->link);
  bracket = strchr (backend->address, ':') != NULL;
  (void) snprintf (url, sizeof url, "http://%s%s%s:%u%s", bracket ? "[" : "", backend->address,
                   bracket ? "]" : "", backend->port, path);
  if (tt_http_client_start (client->options.http, &request) != NULL)
    return true;
  free_side (side);
  return false;
}

/// Copies a string member of an object.
static void
copy_member (json_object *object, const char *key, char *target)
{
  json_object *value = NULL;

  if (json_object_object_get_ex (object, key, &value)
      && json_object_is_type (value, json_type_string))
    (void) snprintf (target, TT_NAME_MAX, "%s", json_object_get_string (value));
}

/// Tells the board of the cache events of a report.
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
tt_backend_read_load (TtBackendClient *client, TtLoadSlot *slot, const TtSideCall *side)
{
  json_object *root = side->buffer != NULL ? json_tokener_parse (side->buffer) : NULL;
  TtEvent event = { .type = TT_EVENT_LOAD_REPORT, .load.backend_id = side->backend_id };
  json_object *value = NULL;

  if (json_object_is_type (root, json_type_object))
    {
      if (json_object_object_get_ex (root, "running", &value))
        event.load.running = (uint32_t) json_object_get_int64 (value);
      if (json_object_object_get_ex (root, "waiting", &value))
        event.load.waiting = (uint32_t) json_object_get_int64 (value);
      copy_member (root, "model", event.load.role.model);
      copy_member (root, "adapter", event.load.role.adapter);
      copy_member (root, "version", event.load.role.version);
      copy_member (root, "role", event.load.role.role);
      client->front.post (client->front.context, &event);
      if (json_object_object_get_ex (root, "next", &value))
        slot->since = (uint64_t) json_object_get_int64 (value);
      if (json_object_object_get_ex (root, "events", &value))
        post_cache_events (client, side->backend_id, value);
    }
  json_object_put (root);
}

/// Slot of an engine; NULL if its record belongs to another one by now.
static TtLoadSlot *
slot_of (TtBackendClient *client, uint64_t backend_id)
{
  const TtBackendServer *backend = tt_backend_find (client->front.board, backend_id);
  TtLoadSlot *slot;

  if (backend == NULL)
    return NULL;
  slot = &client->loads[backend - client->front.board->backends.backend_records];
  return slot->backend_id == backend_id ? slot : NULL;
}

/// Puts an exported KV cache into the other engine.
static void
import_cache (TtSideCall *side)
{
  TtSideCall model = { .type = TT_SIDE_IMPORT, .kv = side->kv };
  char path[SIDE_URL_MAX / 2];

  model.backend_id = side->kv.to_backend_id;
  (void) snprintf (path, sizeof path, "/kv/%016llx", (unsigned long long) side->kv.chat_key);
  (void) start_side (side->client, &model, "PUT", path, side->buffer, side->size);
}

static void
on_side_end (void *context, const TtError *error)
{
  TtSideCall *side = context;
  TtBackendClient *client = side->client;
  bool good = error->code == TT_OK && side->status == STATUS_OK;
  TtLoadSlot *slot = side->type == TT_SIDE_LOAD ? slot_of (client, side->backend_id) : NULL;
  TtEvent event = { .type = TT_EVENT_ORDER_RESPONSE };

  if (slot != NULL)
    slot->open = false;
  if (slot != NULL && good)
    tt_backend_read_load (client, slot, side);
  else if (side->type == TT_SIDE_EXPORT && good && side->size > 0)
    import_cache (side);
  else if (side->type == TT_SIDE_ORDER && error->code == TT_OK
           && (side->status == STATUS_OK || side->status == STATUS_CONFLICT))
    {
      event.order.backend_id = side->backend_id;
      event.order.fencing = side->fencing;
      event.order.refused = side->status == STATUS_CONFLICT;
      client->front.post (client->front.context, &event);
    }
  free_side (side);
}

void
tt_backend_client_order (TtBackendClient *client, const TtOrderAction *action)
{
  TtSideCall model = { .type = TT_SIDE_ORDER, .backend_id = action->backend_id };
  json_object *root = json_object_new_object ();
  const char *text;

  model.fencing = action->fencing;
  json_object_object_add (root, "fencing", json_object_new_uint64 (action->fencing));
  json_object_object_add (root, "model", json_object_new_string (action->role.model));
  json_object_object_add (root, "adapter", json_object_new_string (action->role.adapter));
  json_object_object_add (root, "version", json_object_new_string (action->role.version));
  json_object_object_add (root, "role", json_object_new_string (action->role.role));
  text = json_object_to_json_string_ext (root, JSON_C_TO_STRING_PLAIN);
  (void) start_side (client, &model, "POST", "/order", text, strlen (text));
  json_object_put (root);
}

void
tt_backend_client_move (TtBackendClient *client, const TtKvAction *action)
{
  TtSideCall model
      = { .type = TT_SIDE_EXPORT, .backend_id = action->from_backend_id, .kv = *action };
  char path[SIDE_URL_MAX / 2];

  (void) snprintf (path, sizeof path, "/kv/%016llx", (unsigned long long) action->chat_key);
  (void) start_side (client, &model, "GET", path, NULL, 0);
}

/// True if this daemon is among the first POLLERS live daemons of the domain for the engine.
static bool
is_poller (const TtBoard *board, const TtBackendServer *backend)
{
  uint64_t self = tt_hash_string (board->config.name);
  double own = tt_hash_rendezvous_score (backend->id, self, 1.0);
  unsigned better = 0;

  TT_LIST_FOREACH (&board->member.all, it)
    {
      const TtMember *member = TT_CONTAINER_OF (it, TtMember, link);

      if (member->entry.id != self && member->entry.domain_id == board->domain_id
          && member->entry.state == TT_MEMBER_ALIVE
          && tt_hash_rendezvous_score (backend->id, member->entry.id, 1.0) > own)
        better++;
    }
  return better < POLLERS;
}

/// Time until the next report, between 3/4 and 5/4 of the period.
static int64_t
jitter_period (TtBackendClient *client)
{
  int64_t period_us = client->options.load_period_ms * TT_MILLISECOND_US;

  client->random = tt_hash_pair (client->random, client->options.seed);
  return period_us * 3 / 4 + (int64_t) (client->random % (uint64_t) (period_us / 2 + 1));
}

/// Asks one engine for its load.
static void
ask_load (TtBackendClient *client, TtLoadSlot *slot, int64_t now_us)
{
  TtSideCall model = { .type = TT_SIDE_LOAD, .backend_id = slot->backend_id };
  char path[SIDE_URL_MAX / 2];

  (void) snprintf (path, sizeof path, "/load?since=%llu", (unsigned long long) slot->since);
  slot->next_us = now_us + jitter_period (client);
  slot->open = start_side (client, &model, "GET", path, NULL, 0);
}

void
tt_backend_client_poll (TtBackendClient *client, int64_t now_us)
{
  TtBoard *board = client->front.board;

  TT_LIST_FOREACH (&board->backends.all, it)
    {
      const TtBackendServer *backend = TT_CONTAINER_OF (it, TtBackendServer, link);
      TtLoadSlot *slot = &client->loads[backend - board->backends.backend_records];

      if (backend->pool == NULL || backend->pool->spec.type != TT_SERVICE_MODEL
          || backend->domain_id != board->domain_id || backend->roster.state == TT_BACKEND_GONE)
        continue;
      if (slot->backend_id != backend->id)
        *slot = (TtLoadSlot){ .backend_id = backend->id,
                              .next_us = now_us + jitter_period (client) / 4 };
      if (!slot->open && now_us >= slot->next_us && is_poller (board, backend))
        ask_load (client, slot, now_us);
    }
}
