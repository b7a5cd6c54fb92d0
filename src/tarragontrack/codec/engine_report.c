#include "tarragontrack/codec/engine_report.h"
#include "tarragontrack/codec/json.h"
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

enum
{
  MAX_KEY_DIGITS = 16 ///< of a chat's key, in hexadecimal
};

/// Reads a member that is a number from 0 to @maximum. RETURN false if it is absent or another.
static bool
read_number (json_object *object, const char *key, int64_t maximum, uint64_t *number)
{
  json_object *value = NULL;
  int64_t read;

  if (!json_object_object_get_ex (object, key, &value)
      || !json_object_is_type (value, json_type_int))
    return false;
  read = json_object_get_int64 (value);
  *number = (uint64_t) read;
  return read >= 0 && read <= maximum;
}

/// Reads a member that is a name, if present. A name that is too long would become another one.
static bool
read_name (json_object *object, const char *key, char *target)
{
  json_object *value = NULL;

  if (!json_object_object_get_ex (object, key, &value))
    return true;
  if (!json_object_is_type (value, json_type_string)
      || (size_t) json_object_get_string_len (value) != strlen (json_object_get_string (value)))
    return false;
  return snprintf (target, TT_NAME_MAX, "%s", json_object_get_string (value)) < TT_NAME_MAX;
}

bool
tt_engine_report_read_event (const TtEngineReport *report, size_t index, TtCacheEvent *event)
{
  json_object *entry = json_object_array_get_idx (report->events, index);
  json_object *value = NULL;
  const char *text;

  if (!json_object_is_type (entry, json_type_object)
      || !json_object_object_get_ex (entry, "chat", &value)
      || !json_object_is_type (value, json_type_string))
    return false;
  text = json_object_get_string (value);
  if (text[0] == '\0' || (size_t) json_object_get_string_len (value) > MAX_KEY_DIGITS
      || strspn (text, "0123456789abcdefABCDEF") != (size_t) json_object_get_string_len (value))
    return false;
  event->chat_key = strtoull (text, NULL, 16);
  if (!json_object_object_get_ex (entry, "stored", &value)
      || !json_object_is_type (value, json_type_boolean))
    return false;
  event->stored = json_object_get_boolean (value) != 0;
  return true;
}

/// Reads the changes of the prompt cache, if present.
static bool
read_events (TtEngineReport *report)
{
  TtCacheEvent event;

  if (!json_object_object_get_ex (report->root, "events", &report->events))
    return true;
  if (!json_object_is_type (report->events, json_type_array))
    return false;
  report->event_count = json_object_array_length (report->events);
  for (size_t i = 0; i < report->event_count; i++)
    if (!tt_engine_report_read_event (report, i, &event))
      return false;
  return true;
}

bool
tt_engine_report_parse (TtEngineReport *report, const char *text, size_t size)
{
  TtEngineRole *role = &report->load.role;
  TtError error = { 0 };
  uint64_t running = 0;
  uint64_t waiting = 0;

  *report = (TtEngineReport){ .root = NULL };
  report->root = tt_json_parse (text, size, "load report", TT_STEP_RECEIVE, &error);
  if (!json_object_is_type (report->root, json_type_object)
      || !read_number (report->root, "running", TT_ENGINE_REPORT_MAX_REQUESTS, &running)
      || !read_number (report->root, "waiting", TT_ENGINE_REPORT_MAX_REQUESTS, &waiting)
      || !read_name (report->root, "model", role->model)
      || !read_name (report->root, "adapter", role->adapter)
      || !read_name (report->root, "version", role->version)
      || !read_name (report->root, "role", role->role))
    return false;
  report->load.running = (uint32_t) running;
  report->load.waiting = (uint32_t) waiting;
  report->has_next = json_object_object_get_ex (report->root, "next", NULL);
  return (!report->has_next || read_number (report->root, "next", INT64_MAX, &report->next))
         && read_events (report);
}

void
tt_engine_report_free (TtEngineReport *report)
{
  json_object_put (report->root);
  *report = (TtEngineReport){ .root = NULL };
}
