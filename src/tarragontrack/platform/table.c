#include "tarragontrack/platform/table.h"
#include "tarragontrack/board/error.h"
#include "tarragontrack/board/route.h"
#include "tarragontrack/platform/fields.h"
#include <stdlib.h>
#include <string.h>

#define KEY_SCOPE 0 ///< hash scope of bearer keys, the same for all client accounts

static int
set_error (TtError *error, int code, const char *what)
{
  return tt_error_set (error, code, TT_STEP_DOCUMENT, "configuration", "%s", what);
}

TtId128
tt_table_key_hash (const char *key, size_t size)
{
  return tt_hash_id128 (KEY_SCOPE, key, size);
}

/// Reads a name. Names have any length and may have any content; one with a NUL byte differs from
/// all others by its hash. RETURN false if the member is no string, or memory could not be
/// allocated.
static bool
parse_name (json_object *object, const char *member, char **name, uint64_t *id)
{
  json_object *value = NULL;

  if (!json_object_object_get_ex (object, member, &value)
      || !json_object_is_type (value, json_type_string))
    return false;
  *name = strdup (json_object_get_string (value));
  *id = tt_hash_bytes (json_object_get_string (value), (size_t) json_object_get_string_len (value));
  return *name != NULL;
}

static bool
add_target (TtRoute *route, json_object *object, uint32_t weight)
{
  TtRouteTarget *target = &route->targets[route->target_count];

  if (!parse_name (object, "Service", &target->service, &target->service_id))
    return false;
  target->weight = weight;
  route->target_count++;
  return true;
}

/// Parses the target services of a route: a single name, or several with weights.
static bool
parse_targets (json_object *object, TtRoute *route)
{
  size_t count;
  json_object *array = tt_field_array (object, "Backends", &count);

  route->targets = calloc (count > 0 ? count : 1, sizeof *route->targets);
  if (route->targets == NULL)
    return false;
  for (size_t i = 0; i < count; i++)
    {
      json_object *entry = json_object_array_get_idx (array, i);

      if (!add_target (route, entry, tt_field_number32 (entry, "Weight", 0)))
        return false;
    }
  return count > 0 || add_target (route, object, 1);
}

static TtRouteRetry
parse_retry (json_object *object, const char *kind)
{
  if (strcmp (kind, "idempotent") == 0)
    return TT_ROUTE_RETRY_ALWAYS;
  if (strcmp (kind, "streaming") == 0 && tt_field_bool (object, "Resumable", false))
    return TT_ROUTE_RETRY_RESUME;
  return TT_ROUTE_RETRY_NEVER;
}

static bool
parse_route (json_object *object, TtRoute *route)
{
  const char *host = tt_field_string (object, "Host");
  const char *prefix = tt_field_string (object, "PathPrefix");
  const char *kind = tt_field_string (object, "Kind");

  if (host == NULL || prefix == NULL || prefix[0] != '/' || kind == NULL
      || !tt_field_is_optional_array (object, "Backends"))
    return false;
  route->host = strdup (host);
  route->prefix = strdup (prefix);
  if (route->host == NULL || route->prefix == NULL)
    return false;
  route->prefix_length = strlen (prefix);
  route->host_hash = tt_route_host_hash (host);
  route->retry = parse_retry (object, kind);
  route->stream = strcmp (kind, "streaming") == 0;
  route->keyless = tt_field_bool (object, "Public", false);
  route->affinity = tt_field_bool (object, "Affinity", false);
  route->max_attempts = tt_field_number32 (object, "MaxAttempts", 1);
  route->timeout_ms = tt_field_number32 (object, "TimeoutMs", 0);
  route->goal_ms = tt_field_number32 (object, "GoalMs", 0);
  route->event_gap_ms = tt_field_number32 (object, "GapTargetMs", 0);
  route->priority = tt_field_number32 (object, "Priority", 0);
  return parse_targets (object, route);
}

static int
parse_routes (json_object *spec, TtRouteTable *table, TtError *error)
{
  size_t count;
  json_object *array = tt_field_array (spec, "Routes", &count);

  table->routes = calloc (count > 0 ? count : 1, sizeof *table->routes);
  if (table->routes == NULL)
    return set_error (error, TT_E_NO_MEMORY, "routes");
  for (size_t i = 0; i < count; i++)
    {
      table->route_count++; // counted first, so that its strings are freed if parsing fails
      if (!parse_route (json_object_array_get_idx (array, i), &table->routes[i]))
        return set_error (error, TT_E_MALFORMED,
                          "expected a route with host, path prefix and kind");
    }
  return TT_OK;
}

/// Counts the keys of all client accounts.
static size_t
count_keys (json_object *accounts, size_t account_count)
{
  size_t total = 0;

  for (size_t i = 0; i < account_count; i++)
    {
      size_t count;

      (void) tt_field_array (json_object_array_get_idx (accounts, i), "ApiKeys", &count);
      total += count;
    }
  return total;
}

static bool
parse_account (json_object *object, TtRouteTable *table, uint32_t index)
{
  TtRouteAccount *account = &table->accounts[index];
  size_t count;
  json_object *keys = tt_field_array (object, "ApiKeys", &count);

  if (!parse_name (object, "Name", &account->name, &account->id)
      || !tt_field_is_optional_array (object, "ApiKeys"))
    return false;
  if (!tt_field_is_header_value (object, "Name"))
    {
      free (account->name);
      account->name = NULL;
    }
  account->has_priority = tt_field_is_number (object, "Priority");
  account->priority = tt_field_number32 (object, "Priority", 0);
  for (size_t i = 0; i < count; i++)
    {
      json_object *key = json_object_array_get_idx (keys, i);

      if (!json_object_is_type (key, json_type_string))
        return false;
      table->keys[table->key_count++] = (TtRouteKey){
        .hash = tt_table_key_hash (json_object_get_string (key),
                                   (size_t) json_object_get_string_len (key)),
        .account = index,
      };
    }
  return true;
}

static int
parse_accounts (json_object *spec, TtRouteTable *table, TtError *error)
{
  size_t count;
  json_object *array = tt_field_array (spec, "Tenants", &count);
  size_t keys = count_keys (array, count);
  json_object *member = NULL;

  table->requires_key = json_object_object_get_ex (spec, "Tenants", &member) && member != NULL;
  table->accounts = calloc (count > 0 ? count : 1, sizeof *table->accounts);
  table->keys = calloc (keys > 0 ? keys : 1, sizeof *table->keys);
  if (table->accounts == NULL || table->keys == NULL)
    return set_error (error, TT_E_NO_MEMORY, "client accounts");
  for (size_t i = 0; i < count; i++)
    if (!parse_account (json_object_array_get_idx (array, i), table, table->account_count++))
      return set_error (error, TT_E_MALFORMED, "expected a client account with name and keys");
  return TT_OK;
}

static int
parse_services (json_object *spec, TtRouteTable *table, TtError *error)
{
  size_t count;
  json_object *array = tt_field_array (spec, "Services", &count);

  table->services = calloc (count > 0 ? count : 1, sizeof *table->services);
  if (table->services == NULL)
    return set_error (error, TT_E_NO_MEMORY, "services");
  for (size_t i = 0; i < count; i++)
    {
      json_object *object = json_object_array_get_idx (array, i);
      TtRouteService *service = &table->services[i];
      json_object *engine = NULL;

      if (!parse_name (object, "Name", &service->name, &service->id))
        return set_error (error, TT_E_MALFORMED, "expected a service with a name");
      service->engine = json_object_object_get_ex (object, "Engine", &engine)
                        && json_object_is_type (engine, json_type_object);
      table->service_count++;
    }
  return TT_OK;
}

static void
parse_limits (json_object *spec, TtRouteTable *table)
{
  json_object *limits = NULL;

  if (!json_object_object_get_ex (spec, "Limits", &limits))
    return;
  table->max_header_bytes = tt_field_number32 (limits, "MaxHeaderBytes", 0);
  table->max_body_bytes = tt_field_number32 (limits, "MaxBodyBytes", 0);
  table->idle_timeout_ms = tt_field_number32 (limits, "IdleTimeoutMs", 0);
}

/// Stores the JSON text of the configuration, which is sent to other daemons. It is not longer than
/// the store's.
static int
store_text (json_object *spec, TtRouteTable *table, TtError *error)
{
  const char *text = json_object_to_json_string_ext (spec, JSON_C_TO_STRING_PLAIN
                                                               | JSON_C_TO_STRING_NOSLASHESCAPE);

  table->text = strdup (text);
  if (table->text == NULL)
    return set_error (error, TT_E_NO_MEMORY, "text");
  table->text_size = strlen (text);
  return TT_OK;
}

int
tt_table_from_json (json_object *spec, TtRouteTable **result, TtError *error)
{
  TtRouteTable *table = calloc (1, sizeof *table);
  int code = TT_OK;

  *result = NULL;
  if (table == NULL)
    return set_error (error, TT_E_NO_MEMORY, "table");
  if (!json_object_is_type (spec, json_type_object)
      || !tt_field_counter (spec, "Version", &table->version))
    code = set_error (error, TT_E_MALFORMED, "expected an object with a version");
  else if (!tt_field_is_optional_array (spec, "Routes")
           || !tt_field_is_optional_array (spec, "Tenants")
           || !tt_field_is_optional_array (spec, "Services"))
    code = set_error (error, TT_E_MALFORMED, "expected lists of routes, accounts and services");
  if (code == TT_OK)
    code = parse_routes (spec, table, error);
  if (code == TT_OK)
    code = parse_accounts (spec, table, error);
  if (code == TT_OK)
    code = parse_services (spec, table, error);
  if (code == TT_OK)
    code = store_text (spec, table, error);
  if (code != TT_OK)
    {
      tt_route_table_free (table);
      return code;
    }
  parse_limits (spec, table);
  tt_route_table_sort (table);
  *result = table;
  return TT_OK;
}

int
tt_table_parse (const char *text, size_t size, TtRouteTable **table, TtError *error)
{
  json_object *spec = tt_field_parse_text (text, size);
  int code;

  *table = NULL;
  code = spec != NULL ? tt_table_from_json (spec, table, error)
                      : set_error (error, TT_E_MALFORMED, "expected JSON");
  json_object_put (spec);
  return code;
}
