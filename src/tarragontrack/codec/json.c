#include "tarragontrack/codec/json.h"
#include "tarragontrack/board/error.h"
#include <stdio.h>
#include <string.h>

enum
{
  KEY_MAX = 64 ///< bytes of a key of a duration, including the final NUL
};

#define MS_PER_SECOND 1000.0

/// Sets TT_E_INVALID; preserves the error's step and peer.
static int
reject (TtError *error, const char *path, const char *key, const char *expected)
{
  char peer[TT_ERROR_PEER_MAX];

  (void) snprintf (peer, sizeof peer, "%s", error->peer);
  return tt_error_set (error, TT_E_INVALID, error->step, peer, "%s%s%s: expected %s", path,
                       path[0] != '\0' ? "." : "", key, expected);
}

/// True if the text contains only white space and comments.
static bool
is_blank (const char *text, size_t size)
{
  for (size_t i = 0; i < size; i++)
    {
      if (text[i] == '/' && i + 1 < size && text[i + 1] == '/')
        while (i + 1 < size && text[i + 1] != '\n')
          i++;
      else if (text[i] == '/' && i + 1 < size && text[i + 1] == '*')
        {
          for (i += 2; i + 1 < size && (text[i] != '*' || text[i + 1] != '/'); i++)
            ;
          i++;
        }
      else if (strchr (" \t\r\n", text[i]) == NULL || text[i] == '\0')
        return false;
    }
  return true;
}

/// Error message for a text whose parsing ended with @code.
static const char *
parse_error_text (enum json_tokener_error code, const json_object *value)
{
  if (code == json_tokener_continue)
    return "expected more text";
  if (code != json_tokener_success)
    return json_tokener_error_desc (code);
  return value == NULL ? "expected a value other than null" : "unexpected text after the value";
}

json_object *
tt_json_parse (const char *text, size_t size, const char *name, TtStep step, TtError *error)
{
  struct json_tokener *tokener = json_tokener_new ();
  json_object *value;
  enum json_tokener_error code;
  size_t end;
  unsigned line = 1;

  if (tokener == NULL)
    {
      (void) tt_error_set (error, TT_E_NO_MEMORY, step, name, "JSON parser");
      return NULL;
    }
  value = json_tokener_parse_ex (tokener, text, (int) size);
  code = json_tokener_get_error (tokener);
  end = code == json_tokener_continue ? size : json_tokener_get_parse_end (tokener);
  // json-c completes a top-level number only when another character follows it.
  if (code == json_tokener_continue)
    value = json_tokener_parse_ex (tokener, "\n", 1), code = json_tokener_get_error (tokener);
  json_tokener_free (tokener);
  if (code == json_tokener_success && value != NULL && is_blank (text + end, size - end))
    return value;
  for (size_t i = 0; i < end && i < size; i++)
    line += text[i] == '\n' ? 1 : 0;
  (void) tt_error_set (error, TT_E_MALFORMED, step, name, "line %u: %s", line,
                       parse_error_text (code, value));
  json_object_put (value);
  return NULL;
}

/// Writes the key by which a duration is given in seconds: "NAME_s" for the key "NAME_ms".
static void
format_seconds_key (const TtJsonField *field, char *key, size_t size)
{
  (void) snprintf (key, size, "%.*s_s", (int) (strlen (field->key) - strlen ("_ms")), field->key);
}

/// True if the table contains the key.
static bool
has_key (const TtJsonField *fields, size_t count, const char *key)
{
  char seconds_key[KEY_MAX];

  for (size_t i = 0; i < count; i++)
    {
      if (strcmp (fields[i].key, key) == 0)
        return true;
      if (fields[i].type != TT_JSON_DURATION)
        continue;
      format_seconds_key (&fields[i], seconds_key, sizeof seconds_key);
      if (strcmp (seconds_key, key) == 0)
        return true;
    }
  return false;
}

/// Stores a number with the type of its field.
static void
store_number (const TtJsonField *field, char *target, double number)
{
  if (field->type == TT_JSON_UINT32 || field->type == TT_JSON_DURATION)
    *(uint32_t *) (void *) (target + field->offset) = (uint32_t) number;
  else if (field->type == TT_JSON_UINT16)
    *(uint16_t *) (void *) (target + field->offset) = (uint16_t) number;
  else
    *(double *) (void *) (target + field->offset) = number;
}

static int
read_number (json_object *value, const char *path, const TtJsonField *field, char *target,
             TtError *error)
{
  char expected[TT_ERROR_DETAIL_MAX / 2];
  double number = json_object_get_double (value);
  bool whole = field->type != TT_JSON_DOUBLE && field->type != TT_JSON_DURATION;
  bool typed = json_object_is_type (value, json_type_int)
               || (!whole && json_object_is_type (value, json_type_double));

  (void) snprintf (expected, sizeof expected, "a %snumber from %g to %g%s%s", whole ? "whole " : "",
                   field->minimum, field->maximum, field->unit != NULL ? " " : "",
                   field->unit != NULL ? field->unit : "");
  if (!typed || !(number >= field->minimum && number <= field->maximum))
    return reject (error, path, field->key, expected);
  store_number (field, target, number);
  return TT_OK;
}

bool
tt_json_get_number (const TtJsonField *field, const void *source, double *number)
{
  const char *value = (const char *) source + field->offset;

  switch (field->type)
    {
    case TT_JSON_UINT32:
    case TT_JSON_DURATION:
      *number = *(const uint32_t *) (const void *) value;
      return true;
    case TT_JSON_UINT16:
      *number = *(const uint16_t *) (const void *) value;
      return true;
    case TT_JSON_DOUBLE:
      *number = *(const double *) (const void *) value;
      return true;
    default:
      return false;
    }
}

/// Reads a duration that is given in seconds.
static int
read_seconds (json_object *value, const char *path, const char *key, const TtJsonField *field,
              char *target, TtError *error)
{
  TtJsonField seconds = *field;
  double number = 0.0;
  int code;

  seconds.key = key;
  seconds.type = TT_JSON_DOUBLE;
  seconds.offset = 0;
  seconds.minimum = field->minimum / MS_PER_SECOND;
  seconds.maximum = field->maximum / MS_PER_SECOND;
  seconds.unit = "s";
  code = read_number (value, path, &seconds, (char *) &number, error);
  if (code == TT_OK)
    store_number (field, target, number * MS_PER_SECOND);
  return code;
}

static int
read_string (json_object *value, const char *path, const TtJsonField *field, char *target,
             TtError *error)
{
  char expected[TT_ERROR_DETAIL_MAX / 2];

  (void) snprintf (expected, sizeof expected, "a string of 1 to %zu bytes", field->size - 1);
  if (!json_object_is_type (value, json_type_string) || json_object_get_string_len (value) < 1
      || (size_t) json_object_get_string_len (value) >= field->size
      || strlen (json_object_get_string (value)) != (size_t) json_object_get_string_len (value))
    return reject (error, path, field->key, expected);
  memcpy (target + field->offset, json_object_get_string (value),
          (size_t) json_object_get_string_len (value) + 1);
  return TT_OK;
}

static int
read_choice (json_object *value, const char *path, const TtJsonField *field, char *target,
             TtError *error)
{
  char expected[TT_ERROR_DETAIL_MAX / 2] = "one of";
  size_t length = strlen (expected);

  for (int i = 0; field->choices[i] != NULL; i++)
    {
      if (json_object_is_type (value, json_type_string)
          && strcmp (json_object_get_string (value), field->choices[i]) == 0)
        {
          *(int *) (void *) (target + field->offset) = i;
          return TT_OK;
        }
      if (length < sizeof expected)
        length += (size_t) snprintf (expected + length, sizeof expected - length, " \"%s\"",
                                     field->choices[i]);
    }
  return reject (error, path, field->key, expected);
}

/// Reads the value of a key that is present.
static int
read_value (json_object *value, const char *path, const TtJsonField *field, char *target,
            TtError *error)
{
  switch (field->type)
    {
    case TT_JSON_STRING:
      return read_string (value, path, field, target, error);
    case TT_JSON_CHOICE:
      return read_choice (value, path, field, target, error);
    case TT_JSON_BOOL:
      if (!json_object_is_type (value, json_type_boolean))
        return reject (error, path, field->key, "true or false");
      *(bool *) (void *) (target + field->offset) = json_object_get_boolean (value) != 0;
      return TT_OK;
    case TT_JSON_NESTED:
      return TT_OK;
    default:
      return read_number (value, path, field, target, error);
    }
}

/// Stores the default value of a key that is absent.
static void
store_default (const TtJsonField *field, char *target)
{
  if (field->type == TT_JSON_STRING || field->type == TT_JSON_NESTED)
    return;
  if (field->type == TT_JSON_CHOICE)
    *(int *) (void *) (target + field->offset) = (int) field->default_value;
  else if (field->type == TT_JSON_BOOL)
    *(bool *) (void *) (target + field->offset) = field->default_value != 0.0;
  else
    store_number (field, target, field->default_value);
}

/// Reads one field of the table, or stores its default value if the object does not contain it.
static int
read_field (json_object *object, const char *path, const TtJsonField *field, char *target,
            TtError *error)
{
  json_object *value = NULL;
  json_object *seconds = NULL;
  char key[KEY_MAX];
  bool present = json_object_object_get_ex (object, field->key, &value);

  if (field->type == TT_JSON_DURATION)
    {
      format_seconds_key (field, key, sizeof key);
      if (json_object_object_get_ex (object, key, &seconds))
        return present ? reject (error, path, key, "no second value for this duration")
                       : read_seconds (seconds, path, key, field, target, error);
    }
  if (present)
    return read_value (value, path, field, target, error);
  if (field->required)
    return reject (error, path, field->key, "a value, this key is required");
  store_default (field, target);
  return TT_OK;
}

int
tt_json_read_fields (json_object *object, const char *path, const TtJsonField *fields, size_t count,
                     void *target, TtError *error)
{
  if (!json_object_is_type (object, json_type_object))
    return reject (error, path, "", "an object");
  json_object_object_foreach (object, key, unused)
  {
    (void) unused;
    if (!has_key (fields, count, key))
      return reject (error, path, key, "no such key; see the reference page");
  }
  for (size_t i = 0; i < count; i++)
    {
      int code = read_field (object, path, &fields[i], target, error);

      if (code < 0)
        return code;
    }
  return TT_OK;
}

int
tt_json_get_array (json_object *object, const char *key, size_t limit, json_object **array,
                   TtError *error)
{
  char expected[TT_ERROR_DETAIL_MAX / 2];

  *array = NULL;
  if (!json_object_object_get_ex (object, key, array))
    return 0;
  (void) snprintf (expected, sizeof expected, "an array of at most %zu values", limit);
  if (!json_object_is_type (*array, json_type_array) || json_object_array_length (*array) > limit)
    return reject (error, "", key, expected);
  return (int) json_object_array_length (*array);
}
