#include "tarragontrack/codec/object_fields.h"
#include "tarragontrack/board/error.h"
#include "tarragontrack/codec/digest.h"
#include <math.h>
#include <stdio.h>
#include <string.h>

enum
{
  ID128_BYTES = 16,
  HEX_TEXT_SIZE = 65 ///< hexadecimal digits of the longest type, including the final NUL
};

int
tt_object_fields_fail (TtError *error, const char *path, const char *key, const char *expected)
{
  char peer[TT_ERROR_PEER_MAX];

  (void) snprintf (peer, sizeof peer, "%s", error->peer);
  return tt_error_set (error, TT_E_MALFORMED, TT_STEP_PLATFORM_READ, peer, "%s%s%s: expected %s",
                       path, path[0] != '\0' ? "." : "", key, expected);
}

/// Stores a 64-bit number in big-endian byte order.
static void
store_big_endian (uint64_t number, uint8_t *bytes)
{
  for (unsigned i = 0; i < 8; i++)
    bytes[i] = (uint8_t) (number >> (56 - 8 * i));
}

static uint64_t
load_big_endian (const uint8_t *bytes)
{
  uint64_t number = 0;

  for (unsigned i = 0; i < 8; i++)
    number = (number << 8) | bytes[i];
  return number;
}

static bool
decode_unsigned (json_object *value, uint64_t limit, uint64_t *number)
{
  if (!json_object_is_type (value, json_type_int) || json_object_get_int64 (value) < 0)
    return false;
  *number = json_object_get_uint64 (value);
  return *number <= limit;
}

static bool
decode_hex (json_object *value, TtFieldType type, void *target)
{
  uint8_t bytes[ID128_BYTES];
  const char *text
      = json_object_is_type (value, json_type_string) ? json_object_get_string (value) : "";

  if (type == TT_FIELD_DIGEST)
    return tt_hex_parse (text, ((TtDigest *) target)->bytes, sizeof (TtDigest));
  if (!tt_hex_parse (text, bytes, type == TT_FIELD_ID64 ? 8 : ID128_BYTES))
    return false;
  if (type == TT_FIELD_ID64)
    *(uint64_t *) target = load_big_endian (bytes);
  else
    *(TtId128 *) target
        = (TtId128){ .high = load_big_endian (bytes), .low = load_big_endian (bytes + 8) };
  return true;
}

static bool
decode_text (json_object *value, const TtObjectField *field, char *target)
{
  const char *text;
  size_t length;

  if (!json_object_is_type (value, json_type_string))
    return false;
  text = json_object_get_string (value);
  length = (size_t) json_object_get_string_len (value);
  if (length >= field->size || strlen (text) != length)
    return false;
  memcpy (target, text, length + 1);
  return true;
}

static bool
decode_choice (json_object *value, const TtObjectField *field, int *target)
{
  for (int i = 0; field->choices[i] != NULL; i++)
    if (json_object_is_type (value, json_type_string)
        && strcmp (json_object_get_string (value), field->choices[i]) == 0)
      {
        *target = i;
        return true;
      }
  return false;
}

static bool
decode_double (json_object *value, double *target)
{
  if (!json_object_is_type (value, json_type_int) && !json_object_is_type (value, json_type_double))
    return false;
  *target = json_object_get_double (value);
  return isfinite (*target) && *target >= 0;
}

static bool
decode_field (json_object *value, const TtObjectField *field, void *target)
{
  uint64_t number = 0;
  bool valid = true;

  switch (field->type)
    {
    case TT_FIELD_U64:
      return decode_unsigned (value, UINT64_MAX, target);
    case TT_FIELD_U32:
      valid = decode_unsigned (value, UINT32_MAX, &number);
      *(uint32_t *) target = (uint32_t) number;
      return valid;
    case TT_FIELD_U16:
      valid = decode_unsigned (value, UINT16_MAX, &number);
      *(uint16_t *) target = (uint16_t) number;
      return valid;
    case TT_FIELD_I64:
      *(int64_t *) target = json_object_get_int64 (value);
      return json_object_is_type (value, json_type_int);
    case TT_FIELD_BOOL:
      *(bool *) target = json_object_get_boolean (value) != 0;
      return json_object_is_type (value, json_type_boolean);
    case TT_FIELD_DOUBLE:
      return decode_double (value, target);
    case TT_FIELD_STRING:
      return decode_text (value, field, target);
    case TT_FIELD_CHOICE:
      return decode_choice (value, field, target);
    default:
      return decode_hex (value, field->type, target);
    }
}

int
tt_object_fields_decode (json_object *object, const char *path, const TtObjectField *fields,
                         size_t count, void *target, TtError *error)
{
  static const char *const expected[] = { "a whole number",
                                          "a whole number below 2^32",
                                          "a whole number below 65536",
                                          "a whole number",
                                          "true or false",
                                          "a number of at least 0",
                                          "a shorter string",
                                          "16 hexadecimal digits",
                                          "32 hexadecimal digits",
                                          "64 hexadecimal digits",
                                          "a known word" };

  if (!json_object_is_type (object, json_type_object))
    return tt_object_fields_fail (error, path, "", "an object");
  for (size_t i = 0; i < count; i++)
    {
      json_object *value = NULL;

      if (!json_object_object_get_ex (object, fields[i].key, &value))
        {
          if (!fields[i].optional)
            return tt_object_fields_fail (error, path, fields[i].key,
                                          "a value, this key is required");
          continue;
        }
      if (!decode_field (value, &fields[i], (char *) target + fields[i].offset))
        return tt_object_fields_fail (error, path, fields[i].key, expected[fields[i].type]);
    }
  return TT_OK;
}

static json_object *
encode_hex (TtFieldType type, const void *source)
{
  uint8_t bytes[ID128_BYTES];
  char text[HEX_TEXT_SIZE];

  if (type == TT_FIELD_DIGEST)
    tt_digest_format (source, text);
  else if (type == TT_FIELD_ID64)
    {
      store_big_endian (*(const uint64_t *) source, bytes);
      tt_hex_format (bytes, 8, text);
    }
  else
    {
      store_big_endian (((const TtId128 *) source)->high, bytes);
      store_big_endian (((const TtId128 *) source)->low, bytes + 8);
      tt_hex_format (bytes, sizeof bytes, text);
    }
  return json_object_new_string (text);
}

static json_object *
encode_field (const TtObjectField *field, const void *source)
{
  switch (field->type)
    {
    case TT_FIELD_U64:
      return json_object_new_uint64 (*(const uint64_t *) source);
    case TT_FIELD_U32:
      return json_object_new_uint64 (*(const uint32_t *) source);
    case TT_FIELD_U16:
      return json_object_new_uint64 (*(const uint16_t *) source);
    case TT_FIELD_I64:
      return json_object_new_int64 (*(const int64_t *) source);
    case TT_FIELD_BOOL:
      return json_object_new_boolean (*(const bool *) source);
    case TT_FIELD_DOUBLE:
      return json_object_new_double (*(const double *) source);
    case TT_FIELD_STRING:
      return json_object_new_string (source);
    case TT_FIELD_CHOICE:
      return json_object_new_string (field->choices[*(const int *) source]);
    default:
      return encode_hex (field->type, source);
    }
}

json_object *
tt_object_fields_encode (const TtObjectField *fields, size_t count, const void *source)
{
  json_object *object = json_object_new_object ();

  for (size_t i = 0; object != NULL && i < count; i++)
    {
      json_object *value = encode_field (&fields[i], (const char *) source + fields[i].offset);

      if (value != NULL && json_object_object_add (object, fields[i].key, value) == 0)
        continue;
      json_object_put (value);
      json_object_put (object);
      return NULL;
    }
  return object;
}
