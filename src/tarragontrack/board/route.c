#include "tarragontrack/board/route.h"
#include <ctype.h>
#include <stdlib.h>
#include <string.h>

enum
{
  HOST_CHUNK_BYTES = 256 ///< part of a host name that is hashed at once; DNS names fit into one
};

uint64_t
tt_route_host_hash (const char *host)
{
  char lower[HOST_CHUNK_BYTES];
  size_t length = strcspn (host, ":");
  uint64_t hash = 0;

  for (size_t start = 0; start == 0 || start < length; start += sizeof lower)
    {
      size_t size = length - start < sizeof lower ? length - start : sizeof lower;

      for (size_t i = 0; i < size; i++)
        lower[i] = (char) tolower ((unsigned char) host[start + i]);
      hash = start == 0 ? tt_hash_bytes (lower, size)
                        : tt_hash_pair (hash, tt_hash_bytes (lower, size));
    }
  return hash;
}

static int
compare_routes (const void *left, const void *right)
{
  const TtRoute *a = left;
  const TtRoute *b = right;

  if (a->host_hash != b->host_hash)
    return a->host_hash < b->host_hash ? -1 : 1;
  if (a->prefix_length != b->prefix_length)
    return a->prefix_length > b->prefix_length ? -1 : 1;
  return strcmp (a->prefix, b->prefix);
}

static int
compare_ids (TtId128 a, TtId128 b)
{
  if (a.high != b.high)
    return a.high < b.high ? -1 : 1;
  if (a.low != b.low)
    return a.low < b.low ? -1 : 1;
  return 0;
}

static int
compare_keys (const void *left, const void *right)
{
  return compare_ids (((const TtRouteKey *) left)->hash, ((const TtRouteKey *) right)->hash);
}

void
tt_route_table_sort (TtRouteTable *table)
{
  if (table->route_count > 0)
    qsort (table->routes, table->route_count, sizeof *table->routes, compare_routes);
  if (table->key_count > 0)
    qsort (table->keys, table->key_count, sizeof *table->keys, compare_keys);
}

static void
free_route (TtRoute *route)
{
  for (uint32_t i = 0; i < route->target_count; i++)
    free (route->targets[i].service);
  free (route->targets);
  free (route->host);
  free (route->prefix);
}

void
tt_route_table_free (TtRouteTable *table)
{
  if (table == NULL)
    return;
  for (uint32_t i = 0; i < table->route_count; i++)
    free_route (&table->routes[i]);
  for (uint32_t i = 0; i < table->account_count; i++)
    free (table->accounts[i].name);
  for (uint32_t i = 0; i < table->service_count; i++)
    free (table->services[i].name);
  free (table->routes);
  free (table->accounts);
  free (table->services);
  free (table->keys);
  free (table->text);
  free (table);
}

/// Binary search for the first route of a host. RETURN its index; if the host has none, the index
/// of the first route with a larger host hash, or the number of routes.
static uint32_t
find_first_route (const TtRouteTable *table, uint64_t host_hash)
{
  uint32_t low = 0;
  uint32_t high = table->route_count;

  while (low < high)
    {
      uint32_t middle = low + (high - low) / 2;

      if (table->routes[middle].host_hash < host_hash)
        low = middle + 1;
      else
        high = middle;
    }
  return low;
}

const TtRoute *
tt_route_find (const TtRouteTable *table, const char *host, const char *path)
{
  uint64_t host_hash = tt_route_host_hash (host);
  size_t length = strlen (path);

  for (uint32_t i = find_first_route (table, host_hash);
       i < table->route_count && table->routes[i].host_hash == host_hash; i++)
    {
      const TtRoute *route = &table->routes[i];

      if (route->prefix_length <= length && memcmp (route->prefix, path, route->prefix_length) == 0)
        return route;
    }
  return NULL;
}

const TtRouteAccount *
tt_route_find_account (const TtRouteTable *table, TtId128 key_hash)
{
  uint32_t low = 0;
  uint32_t high = table->key_count;

  while (low < high)
    {
      uint32_t middle = low + (high - low) / 2;
      int order = compare_ids (table->keys[middle].hash, key_hash);

      if (order == 0)
        return &table->accounts[table->keys[middle].account];
      if (order < 0)
        low = middle + 1;
      else
        high = middle;
    }
  return NULL;
}
