#include "platform_store.h"
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

void
platform_store_init (PlatformStore *store)
{
  memset (store, 0, sizeof *store);
  tt_list_init (&store->objects);
  tt_list_init (&store->snapshot);
  tt_list_init (&store->lags);
}

PlatformObject *
platform_store_find (PlatformStore *store, const char *key)
{
  TT_LIST_FOREACH (&store->objects, it)
    {
      PlatformObject *object = TT_CONTAINER_OF (it, PlatformObject, link);

      if (strcmp (object->key, key) == 0)
        return object;
    }
  return NULL;
}

static char *
copy_text (const char *text, size_t size)
{
  char *copy = malloc (size + 1);

  if (copy == NULL)
    abort ();
  memcpy (copy, text, size);
  copy[size] = '\0';
  return copy;
}

static PlatformObject *
add_object (TtList *list, const char *key)
{
  PlatformObject *object = calloc (1, sizeof *object);

  if (object == NULL)
    abort ();
  (void) snprintf (object->key, sizeof object->key, "%s", key);
  tt_list_append (list, &object->link);
  return object;
}

uint64_t
platform_store_put (PlatformStore *store, const char *key, uint64_t expected, const char *text,
                    size_t size)
{
  PlatformObject *object = platform_store_find (store, key);

  if ((object != NULL ? object->version : 0) != expected)
    return 0;
  if (object == NULL)
    object = add_object (&store->objects, key);
  free (object->text);
  object->text = copy_text (text, size);
  object->size = size;
  return ++object->version;
}

/// Replaces the objects in @target with copies of those in @source.
static void
copy_objects (TtList *target, const TtList *source)
{
  TtLink *link;

  while ((link = tt_list_pop (target)) != NULL)
    {
      PlatformObject *object = TT_CONTAINER_OF (link, PlatformObject, link);

      free (object->text);
      free (object);
    }
  TT_LIST_FOREACH (source, it)
    {
      const PlatformObject *object = TT_CONTAINER_OF (it, PlatformObject, link);
      PlatformObject *copy = add_object (target, object->key);

      copy->version = object->version;
      copy->size = object->size;
      copy->text = copy_text (object->text, object->size);
    }
}

void
platform_store_take_snapshot (PlatformStore *store)
{
  copy_objects (&store->snapshot, &store->objects);
}

void
platform_store_restore_snapshot (PlatformStore *store)
{
  copy_objects (&store->objects, &store->snapshot);
}

void
platform_store_set_hosts (PlatformStore *store, const char *text, uint64_t now_ms)
{
  PlatformHosts *hosts = &store->hosts[++store->hosts_version % PLATFORM_HOST_VERSIONS];

  free (hosts->text);
  hosts->text = copy_text (text, strlen (text));
  hosts->version = store->hosts_version;
  hosts->valid_from_ms = now_ms;
}

static PlatformHostsLag *
find_lag (const PlatformStore *store, const char *domain)
{
  TT_LIST_FOREACH (&store->lags, it)
    {
      PlatformHostsLag *lag = TT_CONTAINER_OF (it, PlatformHostsLag, link);

      if (strcmp (lag->domain, domain) == 0)
        return lag;
    }
  return NULL;
}

void
platform_store_set_lag (PlatformStore *store, const char *domain, uint64_t lag_ms)
{
  PlatformHostsLag *lag = find_lag (store, domain);

  if (lag == NULL)
    {
      lag = calloc (1, sizeof *lag);
      if (lag == NULL)
        abort ();
      (void) snprintf (lag->domain, sizeof lag->domain, "%s", domain);
      tt_list_append (&store->lags, &lag->link);
    }
  lag->lag_ms = lag_ms;
}

const PlatformHosts *
platform_store_hosts (const PlatformStore *store, const char *domain, uint64_t now_ms)
{
  const PlatformHostsLag *lag = find_lag (store, domain);
  uint64_t lag_ms = lag != NULL ? lag->lag_ms : 0;

  for (uint64_t age = 0; age < PLATFORM_HOST_VERSIONS && age < store->hosts_version; age++)
    {
      const PlatformHosts *hosts
          = &store->hosts[(store->hosts_version - age) % PLATFORM_HOST_VERSIONS];

      if (hosts->valid_from_ms + lag_ms <= now_ms)
        return hosts;
    }
  return NULL;
}
