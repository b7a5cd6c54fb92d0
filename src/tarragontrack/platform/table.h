/// Parses the operators' configuration object into a routing table.
#pragma once

#include "tarragontrack/board/error_defs.h"
#include "tarragontrack/board/route_defs.h"
#include <json-c/json.h>

/// tt_table_from_json - converts the configuration object to a routing table
///
/// ARGUMENTS  spec: content of the configuration object; table: set on success, free it with
///            tt_route_table_free()
/// RETURN     0, TT_E_MALFORMED, TT_E_LIMIT or TT_E_NO_MEMORY
int tt_table_from_json (json_object *spec, TtRouteTable **table, TtError *error);

/// Parses the JSON text of the configuration, as received from another daemon. RETURN as
/// tt_table_from_json().
int tt_table_parse (const char *text, size_t size, TtRouteTable **table, TtError *error);

/// Hashes a bearer key; TtRouteKey stores the same hash.
TtId128 tt_table_key_hash (const char *key, size_t size);
