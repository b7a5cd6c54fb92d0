#include "support/store.h"
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/// Copies @size bytes; returns NULL for an empty block.
static void *
copy_block (const void *block, size_t size)
{
  void *copy;

  if (block == NULL || size == 0)
    return NULL;
  copy = malloc (size);
  if (copy == NULL)
    abort ();
  memcpy (copy, block, size);
  return copy;
}

/// Makes a deep copy of an object.
static TtObject
copy_object (const TtObject *object)
{
  TtObject copy = *object;

  if (copy.type == TT_OBJECT_DOCUMENT)
    {
      copy.document.text = copy_block (object->document.text, object->document.text_size);
      copy.document.document = copy_block (object->document.document, sizeof (TtDocument));
    }
  else if (copy.type == TT_OBJECT_CLAIMS)
    {
      copy.claims.entries
          = copy_block (object->claims.entries, object->claims.count * sizeof (TtClaimEntry));
      for (uint32_t i = 0; i < copy.claims.count; i++)
        copy.claims.entries[i].outcome
            = copy_block (copy.claims.entries[i].outcome, copy.claims.entries[i].outcome_size);
    }
  else if (copy.type == TT_OBJECT_ORDERS)
    copy.orders.wanted
        = copy_block (object->orders.wanted, object->orders.count * sizeof (TtWantedRole));
  else if (copy.type == TT_OBJECT_HOSTS)
    copy.hosts.hosts = copy_block (object->hosts.hosts, object->hosts.count * sizeof (TtHostEntry));
  return copy;
}

static void
free_object (TtObject *object)
{
  if (object->type == TT_OBJECT_DOCUMENT)
    {
      free ((void *) object->document.text);
      free ((void *) object->document.document);
    }
  else if (object->type == TT_OBJECT_CLAIMS)
    {
      for (uint32_t i = 0; i < object->claims.count; i++)
        free (object->claims.entries[i].outcome);
      free (object->claims.entries);
    }
  else if (object->type == TT_OBJECT_ORDERS)
    free (object->orders.wanted);
  else if (object->type == TT_OBJECT_HOSTS)
    free (object->hosts.hosts);
  object->type = TT_OBJECT_NONE;
}

TtObject *
store_copy_object (const TtObject *object)
{
  TtObject *copy = malloc (sizeof *copy);

  if (copy == NULL)
    abort ();
  *copy = copy_object (object);
  return copy;
}

void
store_free_object (TtObject *object)
{
  if (object == NULL)
    return;
  free_object (object);
  free (object);
}

Store *
store_new (void)
{
  Store *store = calloc (1, sizeof *store);

  if (store == NULL)
    abort ();
  return store;
}

void
store_free (Store *store)
{
  for (uint32_t i = 0; i < store->count; i++)
    {
      free_object (&store->items[i].object);
      free_object (&store->items[i].previous);
    }
  free (store);
}

StoreItem *
store_find (Store *store, const char *key)
{
  for (uint32_t i = 0; i < store->count; i++)
    if (strcmp (store->items[i].key, key) == 0)
      return &store->items[i];
  return NULL;
}

/// Finds the item of a key, and adds it with version 0 if it is absent.
static StoreItem *
find_or_add_item (Store *store, const char *key)
{
  StoreItem *item = store_find (store, key);

  if (item != NULL)
    return item;
  if (store->count == STORE_MAX_KEYS)
    abort ();
  item = &store->items[store->count++];
  (void) snprintf (item->key, sizeof item->key, "%s", key);
  return item;
}

static TtPlatformEvent
put_object (Store *store, const TtPlatformAction *call)
{
  StoreItem *item = find_or_add_item (store, call->key);
  TtPlatformEvent event = { .call_id = call->call_id, .op = call->op };

  store->writes++;
  if (item->version != call->version)
    {
      event.code = TT_E_CONFLICT;
      event.version = item->version;
      return event;
    }
  free_object (&item->previous);
  item->previous = item->object;
  item->previous_version = item->version;
  item->object = copy_object (call->object);
  item->version = (store->reuse_versions ? item->version : store->last_version) + 1;
  if (item->version > store->last_version)
    store->last_version = item->version;
  // The version replaces the hash of the stored text, which the real codec computes.
  if (item->object.type == TT_OBJECT_AUDIT)
    memcpy (item->object.audit.hash.bytes, &item->version, sizeof item->version);
  event.version = item->version;
  return event;
}

static TtPlatformEvent
get_object (Store *store, const TtPlatformAction *call, bool stale)
{
  StoreItem *item = store_find (store, call->key);
  TtPlatformEvent event = { .call_id = call->call_id, .op = call->op };

  store->reads++;
  if (item == NULL || item->version == 0 || (stale && item->previous_version == 0))
    {
      event.code = TT_E_NOT_FOUND;
      return event;
    }
  event.version = stale ? item->previous_version : item->version;
  event.object = stale ? &item->previous : &item->object;
  if (call->op == TT_PLATFORM_WATCH && event.version == call->version)
    {
      event.unchanged = true;
      event.object = NULL;
    }
  return event;
}

/// Lists the hosts of one failure domain, or of all if the call's key is empty.
static TtPlatformEvent
list_hosts (Store *store, const TtPlatformAction *call)
{
  static TtHostEntry hosts[STORE_MAX_HOSTS];
  static TtObject object;
  TtPlatformEvent event = { .call_id = call->call_id, .op = call->op };

  store->reads++;
  event.version = store->hosts_version;
  if (call->version == store->hosts_version)
    {
      event.unchanged = true;
      return event;
    }
  object = (TtObject){ .type = TT_OBJECT_HOSTS, .hosts = { .hosts = hosts } };
  for (uint32_t i = 0; i < store->host_count; i++)
    if (call->key[0] == '\0' || strcmp (store->hosts[i].domain, call->key) == 0)
      hosts[object.hosts.count++] = store->hosts[i];
  event.object = &object;
  return event;
}

TtPlatformEvent
store_call (Store *store, const TtPlatformAction *call, bool stale)
{
  TtPlatformEvent event = call->op == TT_PLATFORM_PUT     ? put_object (store, call)
                          : call->op == TT_PLATFORM_HOSTS ? list_hosts (store, call)
                                                          : get_object (store, call, stale);

  event.era = store->era;
  return event;
}

bool
store_watch_has_change (const Store *store, const TtPlatformAction *call)
{
  for (uint32_t i = 0; i < store->count; i++)
    if (strcmp (store->items[i].key, call->key) == 0)
      return store->items[i].version != call->version;
  return call->version != 0;
}

Store *
store_snapshot (const Store *store)
{
  Store *snapshot = store_new ();

  snapshot->count = store->count;
  for (uint32_t i = 0; i < store->count; i++)
    {
      snapshot->items[i] = store->items[i];
      snapshot->items[i].object = copy_object (&store->items[i].object);
      snapshot->items[i].previous = copy_object (&store->items[i].previous);
    }
  return snapshot;
}

void
store_restore (Store *store, const Store *snapshot)
{
  store->era += store->era != 0;
  for (uint32_t i = 0; i < store->count; i++)
    {
      const StoreItem *saved = i < snapshot->count ? &snapshot->items[i] : NULL;
      StoreItem *item = &store->items[i];

      free_object (&item->object);
      free_object (&item->previous);
      item->previous_version = 0;
      if (saved != NULL)
        item->object = copy_object (&saved->object);
      item->version = saved != NULL ? saved->version : 0;
    }
}
