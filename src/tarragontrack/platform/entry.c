#include "tarragontrack/platform/entry.h"
#include "tarragontrack/platform/fields.h"
#include "tarragontrack/platform/names.h"
#include "tarragontrack/platform/table.h"
#include <string.h>

enum
{
  MAX_SLOTS = 1000000 ///< of one backend server; an entry with more is invalid
};

/// Copies a name. RETURN NULL if it is absent, empty or has a NUL byte.
static const char *
copy_name (json_object *object, const char *member, TtStoreText *text)
{
  const char *name = tt_field_is_plain (object, member) ? tt_field_string (object, member) : "";

  return name[0] != '\0' ? tt_store_text_add (text, name, strlen (name)) : NULL;
}

/// Parses a backend server's entry. RETURN false if a field is absent or invalid: other programs
/// write these entries.
static bool
parse_server (json_object *spec, TtServerEntry *server, TtStoreText *text)
{
  const char *state = tt_field_string (spec, "State");
  const char *zone = tt_field_string (spec, "Zone");
  uint64_t slots;

  if (state == NULL || (strcmp (state, "ready") != 0 && strcmp (state, "draining") != 0))
    return false;
  server->leaving = strcmp (state, "draining") == 0;
  if (zone == NULL || !tt_field_whole (spec, "Slots", MAX_SLOTS, &slots)
      || !tt_field_whole (spec, "born", UINT64_MAX, &server->process_start_ms))
    return false;
  server->slots = (uint32_t) slots;
  server->domain_id = tt_hash_string (zone);
  server->service = copy_name (spec, "Service", text);
  return server->service != NULL
         && tt_field_parse_endpoint (tt_field_string (spec, "Address"), server->address,
                                     sizeof server->address, &server->port);
}

static bool
parse_daemon (json_object *spec, TtDaemonEntry *daemon)
{
  uint64_t port = tt_field_number (spec, "port", 0);

  daemon->port = port <= UINT16_MAX ? (uint16_t) port : 0;
  return daemon->port != 0
         && tt_field_copy (spec, "address", daemon->address, sizeof daemon->address);
}

void
tt_entry_from_json (TtStoreKind kind, json_object *object, TtStoreEntry *entry, TtStoreText *text)
{
  json_object *metadata = NULL;
  json_object *spec = NULL;
  TtError error = { 0 };

  *entry = (TtStoreEntry){ .kind = kind };
  if (!json_object_is_type (object, json_type_object)
      || !json_object_object_get_ex (object, "Metadata", &metadata)
      || !json_object_is_type (metadata, json_type_object))
    return;
  entry->name = copy_name (metadata, "Name", text);
  if (entry->name == NULL)
    return;
  if (!tt_field_counter (metadata, "Revision", &entry->revision))
    return;
  if (!json_object_object_get_ex (object, "Spec", &spec)
      || !json_object_is_type (spec, json_type_object))
    return;
  if (kind == TT_STORE_CONFIG)
    entry->valid = strcmp (entry->name, TT_WIRE_CONFIG_NAME) == 0
                   && tt_table_from_json (spec, &entry->table, &error) == TT_OK;
  else if (kind == TT_STORE_SERVERS)
    entry->valid = tt_field_is_header_value (metadata, "Name") // it is sent with each attempt
                   && parse_server (spec, &entry->server, text);
  else
    entry->valid = parse_daemon (spec, &entry->daemon);
}

json_object *
tt_entry_to_json (const char *name, const TtDaemonEntry *daemon)
{
  json_object *object = json_object_new_object ();
  json_object *metadata = json_object_new_object ();
  json_object *spec = json_object_new_object ();

  json_object_object_add (metadata, "Name", json_object_new_string (name));
  json_object_object_add (spec, "address", json_object_new_string (daemon->address));
  json_object_object_add (spec, "port", json_object_new_int (daemon->port));
  json_object_object_add (object, "Metadata", metadata);
  json_object_object_add (object, "Spec", spec);
  return object;
}
