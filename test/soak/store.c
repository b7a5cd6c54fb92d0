#include "store.h"
#include <h2o.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define MAX_HEADER 65536
#define MAX_BODY (1 << 20)
#define READ_TIMEOUT_MS 60000
#define MAX_CONNECTIONS (64 * SOAK_MAX_DAEMONS) ///< also those of calls whose answers are lost

typedef struct WatchGuard WatchGuard;

/// An open watch: a long-poll request for changes.
typedef struct
{
  TtLink link; ///< on SoakStore.watches
  h2o_req_t *request;
  WatchGuard *guard;
  char kind[SOAK_KEY_MAX];
  uint64_t after_revision; ///< only changes after this revision are sent
  int64_t expires_us;      ///< when to respond even if there are no changes
} SoakWatch;

/// Allocated in the request's h2o memory pool, so that h2o calls its destructor when it frees the
/// request. The destructor removes an open watch.
struct WatchGuard
{
  SoakStore *store;
  SoakWatch *watch; ///< NULL once the response was sent
};

static void
on_request_freed (void *data)
{
  const WatchGuard *guard = data;

  if (guard->watch == NULL)
    return;
  tt_list_remove (&guard->store->watches, &guard->watch->link);
  free (guard->watch);
}

static void
send_json (const SoakStore *store, h2o_req_t *request, unsigned status, json_object *object)
{
  const char *text = json_object_to_json_string_ext (object, JSON_C_TO_STRING_PLAIN);
  char era[24];

  if (store->loses_answers)
    {
      json_object_put (object);
      return; // the daemon's time limit ends the call
    }
  (void) snprintf (era, sizeof era, "%llu", (unsigned long long) store->era);
  tt_http_server_add_header (request, "store-era", era);
  tt_http_server_send_response (request, status, "application/json", text, strlen (text));
  json_object_put (object);
}

static json_object *
object_to_json (const SoakObject *object)
{
  json_object *root = json_object_new_object ();
  json_object *metadata = json_object_new_object ();

  json_object_object_add (metadata, "Name", json_object_new_string (object->name));
  json_object_object_add (metadata, "Revision", json_object_new_uint64 (object->revision));
  json_object_object_add (root, "Metadata", metadata);
  json_object_object_add (root, "Spec", json_object_get (object->spec));
  return root;
}

static SoakObject *
find_object (SoakStore *store, const char *kind, const char *name)
{
  TT_LIST_FOREACH (&store->objects, it)
    {
      SoakObject *object = TT_CONTAINER_OF (it, SoakObject, link);

      if (strcmp (object->kind, kind) == 0 && strcmp (object->name, name) == 0)
        return object;
    }
  return NULL;
}

/// Responds to a watch if there are changes or if its wait time has expired.
static void
respond_to_watch (SoakStore *store, SoakWatch *watch, bool expired)
{
  json_object *events = json_object_new_array ();
  json_object *root;

  TT_LIST_FOREACH (&store->objects, it)
    {
      const SoakObject *object = TT_CONTAINER_OF (it, SoakObject, link);
      json_object *event;

      if (strcmp (object->kind, watch->kind) != 0 || object->revision <= watch->after_revision)
        continue;
      event = json_object_new_object ();
      json_object_object_add (event, "Removed", json_object_new_boolean (object->removed));
      json_object_object_add (event, "Object", object_to_json (object));
      json_object_array_add (events, event);
    }
  if (!expired && json_object_array_length (events) == 0)
    {
      json_object_put (events);
      return;
    }
  root = json_object_new_object ();
  json_object_object_add (root, "events", events);
  json_object_object_add (root, "AsOf", json_object_new_uint64 (store->revision));
  watch->guard->watch = NULL;
  tt_list_remove (&store->watches, &watch->link);
  send_json (store, watch->request, 200, root);
  free (watch);
}

static void
notify_watches (SoakStore *store)
{
  if (store->silent || store->unavailable)
    return;
  TT_LIST_FOREACH (&store->watches, it)
    respond_to_watch (store, TT_CONTAINER_OF (it, SoakWatch, link), false);
}

void
soak_store_put (SoakStore *store, const char *kind, const char *name, json_object *spec)
{
  SoakObject *object = find_object (store, kind, name);

  if (object == NULL)
    {
      object = calloc (1, sizeof *object);
      (void) snprintf (object->kind, sizeof object->kind, "%s", kind);
      (void) snprintf (object->name, sizeof object->name, "%s", name);
      tt_list_append (&store->objects, &object->link);
    }
  json_object_put (object->spec);
  object->spec = spec;
  object->removed = false;
  object->revision = ++store->revision;
  notify_watches (store);
}

void
soak_store_remove (SoakStore *store, const char *kind, const char *name)
{
  SoakObject *object = find_object (store, kind, name);

  if (object == NULL || object->removed)
    return;
  object->removed = true;
  object->revision = ++store->revision;
  notify_watches (store);
}

/// Forgets a watch without a response: its connection returns nothing further.
static void
forget_watch (SoakStore *store, SoakWatch *watch)
{
  watch->guard->watch = NULL;
  tt_list_remove (&store->watches, &watch->link);
  free (watch);
}

static void
free_objects (TtList *objects)
{
  TtLink *link;

  while ((link = tt_list_pop (objects)) != NULL)
    {
      SoakObject *object = TT_CONTAINER_OF (link, SoakObject, link);

      json_object_put (object->spec);
      free (object);
    }
}

static void
copy_objects (const TtList *from, TtList *to)
{
  TT_LIST_FOREACH (from, it)
    {
      SoakObject *object = malloc (sizeof *object);

      *object = *TT_CONTAINER_OF (it, SoakObject, link);
      object->spec = json_object_get (object->spec);
      tt_link_init (&object->link);
      tt_list_append (to, &object->link);
    }
}

SoakStoreCopy *
soak_store_copy (const SoakStore *store)
{
  SoakStoreCopy *copy = calloc (1, sizeof *copy);

  tt_list_init (&copy->objects);
  copy_objects (&store->objects, &copy->objects);
  copy->revision = store->revision;
  copy->compacted_revision = store->compacted_revision;
  return copy;
}

void
soak_store_free_copy (SoakStoreCopy *copy)
{
  if (copy == NULL)
    return;
  free_objects (&copy->objects);
  free (copy);
}

void
soak_store_return_from_copy (SoakStore *store, const SoakStoreCopy *copy)
{
  TT_LIST_FOREACH (&store->watches, it)
    forget_watch (store, TT_CONTAINER_OF (it, SoakWatch, link));
  free_objects (&store->objects);
  copy_objects (&copy->objects, &store->objects);
  store->revision = copy->revision;
  store->compacted_revision = copy->compacted_revision;
  store->era++;
}

void
soak_store_compact (SoakStore *store)
{
  store->compacted_revision = store->revision;
  TT_LIST_FOREACH (&store->watches, it)
    {
      SoakWatch *watch = TT_CONTAINER_OF (it, SoakWatch, link);

      watch->guard->watch = NULL;
      tt_list_remove (&store->watches, &watch->link);
      send_json (store, watch->request, 410, json_object_new_object ());
      free (watch);
    }
}

void
soak_store_tick (SoakStore *store)
{
  if (store->silent || store->unavailable)
    return;
  notify_watches (store);
  TT_LIST_FOREACH (&store->watches, it)
    {
      SoakWatch *watch = TT_CONTAINER_OF (it, SoakWatch, link);

      if (soak_now_us () >= watch->expires_us)
        respond_to_watch (store, watch, true);
    }
}

static void
list_objects (SoakStore *store, h2o_req_t *request, const char *kind)
{
  json_object *root = json_object_new_object ();
  json_object *entries = json_object_new_array ();

  TT_LIST_FOREACH (&store->objects, it)
    {
      const SoakObject *object = TT_CONTAINER_OF (it, SoakObject, link);

      if (strcmp (object->kind, kind) == 0 && !object->removed)
        json_object_array_add (entries, object_to_json (object));
    }
  json_object_object_add (root, "Entries", entries);
  json_object_object_add (root, "HasMore", json_object_new_boolean (0));
  json_object_object_add (root, "AsOf", json_object_new_uint64 (store->revision));
  send_json (store, request, 200, root);
}

static void
watch_objects (SoakStore *store, h2o_req_t *request, const char *kind, uint64_t after_revision,
               long wait_ms)
{
  SoakWatch *watch;

  if (after_revision < store->compacted_revision || after_revision > store->revision)
    {
      send_json (store, request, 410, json_object_new_object ());
      return;
    }
  watch = calloc (1, sizeof *watch);
  (void) snprintf (watch->kind, sizeof watch->kind, "%s", kind);
  watch->request = request;
  watch->after_revision = after_revision;
  watch->expires_us = soak_now_us () + wait_ms * 1000;
  watch->guard = h2o_mem_alloc_shared (&request->pool, sizeof *watch->guard, on_request_freed);
  *watch->guard = (WatchGuard){ .store = store, .watch = watch };
  tt_list_append (&store->watches, &watch->link);
  respond_to_watch (store, watch, false);
}

/// Handles a daemon's write of its own entry.
static void
write_object (SoakStore *store, h2o_req_t *request, const char *kind, const char *name)
{
  h2o_iovec_t copy = h2o_strdup (&request->pool, request->entity.base, request->entity.len);
  json_object *body = json_tokener_parse (copy.base);
  json_object *metadata = NULL;
  json_object *value = NULL;
  char key[48];

  (void) snprintf (key, sizeof key, "%s", name);
  if (json_object_object_get_ex (body, "Metadata", &metadata)
      && json_object_object_get_ex (metadata, "Name", &value))
    (void) snprintf (key, sizeof key, "%s", json_object_get_string (value));
  if (name[0] == '\0' && find_object (store, kind, key) != NULL)
    {
      json_object_put (body);
      send_json (store, request, 409, json_object_new_object ());
      return;
    }
  value = NULL;
  (void) json_object_object_get_ex (body, "Spec", &value);
  soak_store_put (store, kind, key, json_object_get (value));
  json_object_put (body);
  if (store->lose_write_responses > 0)
    {
      h2o_socket_t *socket = request->conn->callbacks->get_socket (request->conn);

      store->lose_write_responses--;
      (void) shutdown (h2o_socket_get_fd (socket), SHUT_RDWR);
    }
  send_json (store, request, 200, json_object_new_object ());
}

static void
on_request (void *context, h2o_req_t *request)
{
  SoakStore *store = context;
  const char *path = h2o_strdup (&request->pool, request->path.base, request->path.len).base;
  char kind[SOAK_KEY_MAX] = "";
  char name[48] = "";
  const char *watch = strstr (path, "Watch=");
  const char *wait = strstr (path, "WaitMs=");

  if (store->silent)
    return; // the daemon's time limit ends the call
  if (store->unavailable || sscanf (path, "/objects/%15[a-z]/%47[^?]", kind, name) < 1)
    send_json (store, request, 503, json_object_new_object ());
  else if (!h2o_memis (request->method.base, request->method.len, H2O_STRLIT ("GET")))
    write_object (store, request, kind, name);
  else if (watch != NULL)
    watch_objects (store, request, kind, strtoull (watch + 6, NULL, 10),
                   wait != NULL ? strtol (wait + 7, NULL, 10) : 0);
  else
    list_objects (store, request, kind);
}

bool
soak_store_start (Soak *soak)
{
  SoakStore *store = &soak->store;
  TtHttpServerOptions options = { .address = "127.0.0.1",
                                  .max_connections = MAX_CONNECTIONS,
                                  .max_body_bytes = MAX_BODY,
                                  .max_header_bytes = MAX_HEADER,
                                  .read_timeout_ms = READ_TIMEOUT_MS,
                                  .context = store,
                                  .on_request = on_request };
  TtError error;

  store->soak = soak;
  store->era = 1;
  tt_list_init (&store->objects);
  tt_list_init (&store->watches);
  store->port = options.port = soak_free_port (soak);
  store->server = tt_http_server_new (soak->loop, &options, &error);
  return store->server != NULL;
}
