/// Lookups in a routing table.
#pragma once

#include "tarragontrack/board/route_defs.h"

/// Sorts a table's routes and keys for the lookups below. Must be called once after the table was
/// filled.
void tt_route_table_sort (TtRouteTable *table);

/// Frees a table. @table may be NULL.
void tt_route_table_free (TtRouteTable *table);

/// tt_route_find - the route of a host with the longest prefix that matches the path
///
/// ARGUMENTS  host: case-insensitive; a port is ignored
///            path: may include the query
/// RETURN     the route, or NULL
const TtRoute *tt_route_find (const TtRouteTable *table, const char *host, const char *path);

/// Client account whose key has the hash @key_hash; NULL if no key has it.
const TtRouteAccount *tt_route_find_account (const TtRouteTable *table, TtId128 key_hash);

/// Hash of a host name; case-insensitive, and a port is ignored.
uint64_t tt_route_host_hash (const char *host);
