#include "support/unit.h"
#include "tarragontrack/board/route.h"
#include <stdlib.h>
#include <string.h>

static void
add_route (TtRouteTable *table, const char *host, const char *prefix)
{
  TtRoute *route = &table->routes[table->route_count++];

  route->host = strdup (host);
  route->prefix = strdup (prefix);
  route->prefix_length = strlen (prefix);
  route->host_hash = tt_route_host_hash (host);
}

/// Guards against lookups that return a shorter prefix, a route of another host, or a prefix that
/// ends inside a path segment.
static void
longest_prefix (void)
{
  TtRouteTable *table = calloc (1, sizeof *table);

  UNIT_REQUIRE (table != NULL);
  table->routes = calloc (4, sizeof *table->routes);
  add_route (table, "a.example", "/x/");
  add_route (table, "b.example", "/x/y/z/");
  add_route (table, "a.example", "/x/y/");
  tt_route_table_sort (table);
  CU_ASSERT_STRING_EQUAL (tt_route_find (table, "a.example", "/x/y/1")->prefix, "/x/y/");
  CU_ASSERT_STRING_EQUAL (tt_route_find (table, "A.Example:8080", "/x/yy")->prefix, "/x/");
  CU_ASSERT_STRING_EQUAL (tt_route_find (table, "b.example", "/x/y/z/?q")->prefix, "/x/y/z/");
  CU_ASSERT_PTR_NULL (tt_route_find (table, "b.example", "/x/y/"));
  CU_ASSERT_PTR_NULL (tt_route_find (table, "a.example", "/x"));
  CU_ASSERT_PTR_NULL (tt_route_find (table, "", "/x/"));
  tt_route_table_free (table);
}

/// Guards against lookups that return another account's key, or do not find a key.
static void
account_lookup (void)
{
  TtRouteTable *table = calloc (1, sizeof *table);
  char text[8];

  UNIT_REQUIRE (table != NULL);
  table->accounts = calloc (20, sizeof *table->accounts);
  table->keys = calloc (20, sizeof *table->keys);
  for (uint32_t i = 0; i < 20; i++)
    {
      (void) snprintf (text, sizeof text, "key%u", i);
      table->accounts[i].id = i + 1;
      table->keys[i] = (TtRouteKey){ .hash = tt_hash_id128 (0, text, strlen (text)), .account = i };
    }
  table->account_count = table->key_count = 20;
  tt_route_table_sort (table);
  for (uint32_t i = 0; i < 20; i++)
    {
      (void) snprintf (text, sizeof text, "key%u", i);
      CU_ASSERT_EQUAL (tt_route_find_account (table, tt_hash_id128 (0, text, strlen (text)))->id,
                       i + 1);
    }
  CU_ASSERT_PTR_NULL (tt_route_find_account (table, tt_hash_id128 (0, "none", 4)));
  tt_route_table_free (table);
}

static const UnitTest tests[] = {
  { "longest_prefix", longest_prefix },
  { "account_lookup", account_lookup },
};

UNIT_MAIN ("route", tests)
