#include "tarragontrack/board/route.h"
#include <ctype.h>
#include <stdlib.h>
#include <string.h>

enum
{
  HOST_MAX = 256 ///< bytes of a host name including the terminating NUL; DNS allows 253
};

uint64_t
tt_route_host_hash (const char *host)
{
  char lower[HOST_MAX];
  size_t length = 0;

  for (; host[length] != '\0' && host[length] != ':' && length < sizeof lower - 1; length++)
    lower[length] = (char) tolower ((unsigned char) host[length]);
  return tt_hash_bytes (lower, length);
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

void
tt_route_table_free (TtRouteTable *table)
{
  if (table == NULL)
    return;
  for (uint32_t i = 0; i < table->route_count; i++)
    {
      free (table->routes[i].host);
      free (table->routes[i].prefix);
    }
  free (table->routes);
  free (table->accounts);
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
