#include "tarragontrack/platform/fields.h"
#include "tarragontrack/board/name.h"
#include "tarragontrack/platform/nesting.h"
#include <arpa/inet.h>
#include <limits.h>
#include <stdlib.h>
#include <string.h>

/// 2^64: the lowest number that is too large for a uint64_t.
#define UINT64_LIMIT 18446744073709551616.0

const char *
tt_field_string (json_object *object, const char *name)
{
  json_object *value = NULL;

  if (!json_object_object_get_ex (object, name, &value)
      || !json_object_is_type (value, json_type_string))
    return NULL;
  return json_object_get_string (value);
}

bool
tt_field_is_plain (json_object *object, const char *name)
{
  json_object *value = NULL;

  return json_object_object_get_ex (object, name, &value)
         && json_object_is_type (value, json_type_string)
         && strlen (json_object_get_string (value)) == (size_t) json_object_get_string_len (value);
}

bool
tt_field_is_header_value (json_object *object, const char *name)
{
  return tt_field_is_plain (object, name)
         && tt_name_is_header_value (tt_field_string (object, name));
}

bool
tt_field_copy (json_object *object, const char *name, char *target, size_t size)
{
  const char *text = tt_field_string (object, name);
  size_t length = text != NULL ? strlen (text) : 0;

  target[0] = '\0';
  if (length == 0 || length >= size)
    return false;
  memcpy (target, text, length + 1);
  return true;
}

bool
tt_field_is_number (json_object *object, const char *name)
{
  json_object *value = NULL;

  return json_object_object_get_ex (object, name, &value)
         && (json_object_is_type (value, json_type_int)
             || json_object_is_type (value, json_type_double))
         && json_object_get_double (value) >= 0.0;
}

uint64_t
tt_field_number (json_object *object, const char *name, uint64_t fallback)
{
  json_object *value = NULL;
  double number;

  if (!tt_field_is_number (object, name))
    return fallback;
  (void) json_object_object_get_ex (object, name, &value);
  if (json_object_is_type (value, json_type_int))
    return json_object_get_uint64 (value);
  number = json_object_get_double (value);
  return number < UINT64_LIMIT ? (uint64_t) number : UINT64_MAX;
}

uint32_t
tt_field_number32 (json_object *object, const char *name, uint32_t fallback)
{
  uint64_t number = tt_field_number (object, name, fallback);

  return number < UINT32_MAX ? (uint32_t) number : UINT32_MAX;
}

bool
tt_field_whole (json_object *object, const char *name, uint64_t limit, uint64_t *number)
{
  json_object *value = NULL;

  *number = 0;
  if (!json_object_object_get_ex (object, name, &value))
    return true;
  if (!json_object_is_type (value, json_type_int) || json_object_get_int64 (value) < 0)
    return false;
  *number = json_object_get_uint64 (value);
  return *number <= limit;
}

bool
tt_field_counter (json_object *object, const char *name, uint64_t *number)
{
  *number = 0;
  return json_object_object_get_ex (object, name, NULL)
         && tt_field_whole (object, name, INT64_MAX, number);
}

bool
tt_field_bool (json_object *object, const char *name, bool fallback)
{
  json_object *value = NULL;

  if (!json_object_object_get_ex (object, name, &value)
      || !json_object_is_type (value, json_type_boolean))
    return fallback;
  return json_object_get_boolean (value) != 0;
}

json_object *
tt_field_array (json_object *object, const char *name, size_t *count)
{
  json_object *value = NULL;

  *count = 0;
  if (!json_object_object_get_ex (object, name, &value)
      || !json_object_is_type (value, json_type_array))
    return NULL;
  *count = json_object_array_length (value);
  return value;
}

bool
tt_field_is_optional_array (json_object *object, const char *name)
{
  json_object *value = NULL;

  return !json_object_object_get_ex (object, name, &value) || value == NULL
         || json_object_is_type (value, json_type_array);
}

/// True if the text has only white space.
static bool
is_blank (const char *text, size_t size)
{
  for (size_t i = 0; i < size; i++)
    if (text[i] != ' ' && text[i] != '\t' && text[i] != '\r' && text[i] != '\n')
      return false;
  return true;
}

json_object *
tt_field_parse_text (const char *text, size_t size)
{
  json_tokener *tokener = size <= INT_MAX ? json_tokener_new () : NULL;
  json_object *value = NULL;
  char *cut;

  if (tokener == NULL)
    return NULL;
  cut = tt_nesting_cut (text, size);
  value = json_tokener_parse_ex (tokener, cut != NULL ? cut : text, (int) size);
  if (value != NULL)
    {
      size_t end = json_tokener_get_parse_end (tokener);

      if (!is_blank (text + end, size - end))
        {
          json_object_put (value);
          value = NULL;
        }
    }
  free (cut);
  json_tokener_free (tokener);
  return value;
}

bool
tt_field_parse_endpoint (const char *text, char *address, size_t size, uint16_t *port)
{
  const char *colon = text != NULL ? strrchr (text, ':') : NULL;
  struct in_addr number;
  char *end;
  unsigned long value;

  if (colon == NULL || colon == text || (size_t) (colon - text) >= size)
    return false;
  memcpy (address, text, (size_t) (colon - text));
  address[colon - text] = '\0';
  if (colon[1] < '0' || colon[1] > '9')
    return false;
  value = strtoul (colon + 1, &end, 10);
  if (*end != '\0' || value == 0 || value > UINT16_MAX
      || inet_pton (AF_INET, address, &number) != 1)
    return false;
  *port = (uint16_t) value;
  return true;
}
