#include "tarragontrack/platform/store.h"
#include "tarragontrack/board/error.h"
#include "tarragontrack/board/route.h"
#include "tarragontrack/platform/entry.h"
#include "tarragontrack/platform/fields.h"
#include "tarragontrack/platform/names.h"
#include "tarragontrack/platform/table.h"
#include <curl/curl.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

enum
{
  /// Longest time for which the store may hold a watch request. It is long to limit the number of
  /// requests; keepalive probes detect a connection that fails during a watch.
  WATCH_WAIT_MS = 20000,
  WATCH_TIMEOUT_MS = WATCH_WAIT_MS + 1000,
  /// The store normally responds within milliseconds, and within a few hundred when it is slow.
  CALL_TIMEOUT_MS = 1500,
  NO_WAIT_MS = 1 ///< of a watch that returns at once
};

static const char *const kind_names[] = {
  [TT_STORE_CONFIG] = TT_WIRE_KIND_CONFIG,
  [TT_STORE_SERVERS] = TT_WIRE_KIND_SERVERS,
  [TT_STORE_DAEMONS] = TT_WIRE_KIND_DAEMONS,
};

/// Sets the path of a request from a format.
static int __attribute__ ((format (printf, 3, 4)))
set_path (TtPlatformRequest *request, TtError *error, const char *format, ...)
{
  va_list arguments;
  int size;

  va_start (arguments, format);
  size = vsnprintf (NULL, 0, format, arguments);
  va_end (arguments);
  request->path = size >= 0 ? malloc ((size_t) size + 1) : NULL;
  if (request->path == NULL)
    return tt_error_set (error, TT_E_NO_MEMORY, TT_STEP_PLATFORM_READ, NULL, "path");
  va_start (arguments, format);
  (void) vsnprintf (request->path, (size_t) size + 1, format, arguments);
  va_end (arguments);
  return TT_OK;
}

static int
encode_request (void *context, const TtPlatformAction *action, TtPlatformRequest *request,
                TtError *error)
{
  const TtStoreIdentity *identity = context;
  const char *kind = kind_names[action->kind];
  char *name;
  json_object *object;
  int code;

  request->method = "GET";
  request->timeout_ms = CALL_TIMEOUT_MS;
  switch (action->op)
    {
    case TT_PLATFORM_LIST:
      // Despite its name, the parameter SinceRev takes the name of the last entry of the previous
      // page, not a revision.
      if (action->continue_after == NULL)
        return set_path (request, error, "/objects/%s", kind);
      name = curl_easy_escape (NULL, action->continue_after, 0);
      code = name != NULL
                 ? set_path (request, error, "/objects/%s?SinceRev=%s", kind, name)
                 : tt_error_set (error, TT_E_NO_MEMORY, TT_STEP_PLATFORM_READ, kind, "path");
      curl_free (name);
      return code;
    case TT_PLATFORM_WATCH_ENTRIES:
      if (!action->answers_at_once)
        request->timeout_ms = WATCH_TIMEOUT_MS;
      return set_path (request, error, "/objects/%s?Watch=%llu&WaitMs=%d", kind,
                       (unsigned long long) action->version,
                       action->answers_at_once ? NO_WAIT_MS : WATCH_WAIT_MS);
    case TT_PLATFORM_CREATE:
      request->method = "POST";
      code = set_path (request, error, "/objects/%s", kind);
      break;
    case TT_PLATFORM_REPLACE:
      request->method = "PUT";
      code = set_path (request, error, "/objects/%s/%s", kind, identity->name);
      break;
    default:
      return tt_error_set (error, TT_E_INVALID, TT_STEP_PLATFORM_READ, kind,
                           "operation is not supported by the store");
    }
  if (code != TT_OK)
    return code;
  object = tt_entry_to_json (identity->name, &identity->daemon_entry);
  request->body = strdup (json_object_to_json_string_ext (object, JSON_C_TO_STRING_PLAIN));
  json_object_put (object);
  if (request->body == NULL)
    return tt_error_set (error, TT_E_NO_MEMORY, TT_STEP_PLATFORM_WRITE, kind, "body");
  request->body_size = strlen (request->body);
  return TT_OK;
}

/// Maps an HTTP status to an error code. 503 and 429 mean that the store did not execute the
/// request; after other failures of a write its effect is unknown.
static int
status_to_error (const TtPlatformResponse *response)
{
  bool is_write = response->op == TT_PLATFORM_CREATE || response->op == TT_PLATFORM_REPLACE;

  switch (response->status)
    {
    case 200:
    case 201:
    case 204:
      return TT_OK;
    case 404:
      return TT_E_NOT_FOUND;
    case 409:
      return TT_E_CONFLICT;
    case 410:
      return TT_E_STALE;
    case 429:
    case 503:
      return TT_E_UNAVAILABLE;
    default:
      return is_write ? TT_E_TIMEOUT : TT_E_UNAVAILABLE;
    }
}

static TtStoreEntries *
new_entries (TtStoreKind kind, size_t count, size_t text_size, TtStoreText *text)
{
  TtStoreEntries *entries = calloc (1, sizeof *entries);

  if (entries == NULL)
    return NULL;
  entries->kind = kind;
  entries->entries = tt_store_entries_alloc ((uint32_t) count, text_size, text);
  if (entries->entries != NULL)
    return entries;
  free (entries);
  return NULL;
}

void
tt_store_entries_free (TtStoreEntries *entries)
{
  if (entries == NULL)
    return;
  for (uint32_t i = 0; i < entries->count; i++)
    if (entries->kind == TT_STORE_CONFIG)
      tt_route_table_free (entries->entries[i].table);
  free (entries->entries);
  free (entries);
}

/// True if the response has the members of a page or of changes. One without them must not be taken
/// for an empty list, after which no entry would be left.
static bool
has_known_form (json_object *root, bool is_list)
{
  json_object *value = NULL;
  uint64_t revision;

  if (!json_object_is_type (root, json_type_object) || !tt_field_counter (root, "AsOf", &revision)
      || revision == 0)
    return false;
  if (json_object_object_get_ex (root, "HasMore", &value)
      && !json_object_is_type (value, json_type_boolean))
    return false;
  // Encoders write an empty list as null, too.
  return json_object_object_get_ex (root, is_list ? "Entries" : "events", &value)
         && (value == NULL || json_object_is_type (value, json_type_array));
}

/// Parses an item of a page or a change. RETURN false if it does not say which object it is about,
/// or a change does not say which one it is.
static bool
parse_item (const TtStoreEntries *entries, json_object *item, TtStoreEntry *entry,
            TtStoreText *text)
{
  json_object *object = item;
  json_object *removed = NULL;

  if (!entries->is_list
      && (!json_object_object_get_ex (item, "Object", &object)
          || !json_object_object_get_ex (item, "Removed", &removed)
          || !json_object_is_type (removed, json_type_boolean)))
    return false;
  tt_entry_from_json (entries->kind, object, entry, text);
  entry->removed = !entries->is_list && json_object_get_boolean (removed) != 0;
  return entry->name != NULL && (entries->is_list || entry->revision != 0);
}

/// Parses a page of a list, or the changes of a watch. RETURN NULL if a change cannot be read, as
/// the watches that follow do not repeat it, or if memory could not be allocated.
static TtStoreEntries *
parse_entries (const TtPlatformResponse *response, json_object *root)
{
  bool is_list = response->op == TT_PLATFORM_LIST;
  size_t count;
  json_object *array = tt_field_array (root, is_list ? "Entries" : "events", &count);
  TtStoreText text;
  // The strings of the entries are shorter than their JSON text.
  TtStoreEntries *entries = new_entries (response->kind, count, response->size, &text);

  if (entries == NULL)
    return NULL;
  entries->is_list = is_list;
  entries->has_more = is_list && tt_field_bool (root, "HasMore", false);
  entries->revision = tt_field_number (root, "AsOf", 0);
  for (size_t i = 0; i < count; i++)
    {
      TtStoreEntry *entry = &entries->entries[entries->count];

      if (parse_item (entries, json_object_array_get_idx (array, i), entry, &text))
        {
          entries->continue_after = entry->name;
          entries->count++;
        }
      else if (!is_list)
        {
          tt_store_entries_free (entries);
          return NULL;
        }
    }
  return entries;
}

static int
decode_response (void *context, const TtPlatformResponse *response, TtPlatformEvent *event,
                 TtError *error)
{
  bool is_read = response->op == TT_PLATFORM_LIST || response->op == TT_PLATFORM_WATCH_ENTRIES;
  json_object *root;

  (void) context;
  event->code = status_to_error (response);
  if (event->code != TT_OK)
    return tt_error_set (error, event->code, error->step, kind_names[response->kind], "status %u",
                         response->status);
  if (!is_read)
    return TT_OK;
  root = tt_field_parse_text (response->data, response->size);
  if (has_known_form (root, response->op == TT_PLATFORM_LIST))
    event->entries = parse_entries (response, root);
  if (event->entries != NULL)
    event->entries->era = response->era;
  if (event->entries == NULL)
    event->code = tt_error_set (error, TT_E_MALFORMED, error->step, kind_names[response->kind],
                                "expected entries and a revision in %zu bytes", response->size);
  json_object_put (root);
  return event->code;
}

static void
free_response (void *context, TtPlatformEvent *event)
{
  (void) context;
  tt_store_entries_free (event->entries);
  event->entries = NULL;
}

TtPlatformDialect
tt_store_dialect (TtStoreIdentity *identity)
{
  return (TtPlatformDialect){ .context = identity,
                              .era_header = TT_WIRE_ERA_HEADER,
                              .encode_request = encode_request,
                              .decode_response = decode_response,
                              .free_response = free_response };
}

TtStoreEntries *
tt_store_entries_from_table (const char *text, size_t size, TtError *error)
{
  TtStoreText room;
  TtStoreEntries *entries = new_entries (TT_STORE_CONFIG, 1, 0, &room);

  if (entries == NULL)
    {
      (void) tt_error_set (error, TT_E_NO_MEMORY, TT_STEP_PEER_RECEIVE, "", "entries");
      return NULL;
    }
  entries->from_peer = true;
  entries->count = 1;
  entries->entries[0].kind = TT_STORE_CONFIG;
  entries->entries[0].name = TT_WIRE_CONFIG_NAME;
  if (tt_table_parse (text, size, &entries->entries[0].table, error) == TT_OK)
    {
      entries->entries[0].valid = true;
      return entries;
    }
  tt_store_entries_free (entries);
  return NULL;
}
