#include "tarragontrack/board/error.h"
#include "tarragontrack/codec/object.h"
#include "tarragontrack/codec/object_tables.h"
#include <openssl/evp.h>
#include <stdlib.h>
#include <string.h>

/// Encodes one record of an array; NULL if memory could not be allocated.
typedef json_object *(*RecordEncoder) (const TtObject *object, uint32_t index);

static json_object *
encode_team (const TtObject *object, uint32_t index)
{
  return tt_object_fields_encode (tt_object_team_table.fields, tt_object_team_table.count,
                                  &object->head.teams[index]);
}

static json_object *
encode_wanted (const TtObject *object, uint32_t index)
{
  return tt_object_fields_encode (tt_object_wanted_table.fields, tt_object_wanted_table.count,
                                  &object->orders.wanted[index]);
}

static json_object *
encode_audit_domain (const TtObject *object, uint32_t index)
{
  return tt_object_fields_encode (tt_object_audit_domain_table.fields,
                                  tt_object_audit_domain_table.count,
                                  &object->audit.domains[index]);
}

static json_object *
encode_host (const TtObject *object, uint32_t index)
{
  return tt_object_fields_encode (tt_object_host_table.fields, tt_object_host_table.count,
                                  &object->hosts.hosts[index]);
}

/// Encodes a claim entry; its recorded response is encoded in base64.
static json_object *
encode_claim (const TtObject *object, uint32_t index)
{
  const TtClaimEntry *entry = &object->claims.entries[index];
  unsigned char text[TT_CLAIM_OUTCOME_MAX_BYTES * 4 / 3 + 8];
  json_object *record
      = tt_object_fields_encode (tt_object_claim_table.fields, tt_object_claim_table.count, entry);
  json_object *outcome;
  int length;

  if (record == NULL || entry->outcome_size == 0)
    return record;
  length
      = EVP_EncodeBlock (text, (const unsigned char *) entry->outcome, (int) entry->outcome_size);
  outcome = json_object_new_string_len ((const char *) text, length);
  if (outcome != NULL && json_object_object_add (record, "outcome", outcome) == 0)
    return record;
  json_object_put (outcome);
  json_object_put (record);
  return NULL;
}

/// Adds an array of @count records under @key.
static int
add_records (json_object *root, const char *key, const TtObject *object, uint32_t count,
             RecordEncoder encoder)
{
  json_object *array = json_object_new_array_ext ((int) count);

  if (array == NULL || json_object_object_add (root, key, array) != 0)
    {
      json_object_put (array);
      return TT_E_NO_MEMORY;
    }
  for (uint32_t i = 0; i < count; i++)
    {
      json_object *record = encoder (object, i);

      if (record == NULL || json_object_array_add (array, record) != 0)
        {
          json_object_put (record);
          return TT_E_NO_MEMORY;
        }
    }
  return TT_OK;
}

static int
add_text (json_object *root, const TtDocumentObject *document)
{
  json_object *text = json_object_new_string_len (document->text, (int) document->text_size);

  if (text != NULL && json_object_object_add (root, "text", text) == 0)
    return TT_OK;
  json_object_put (text);
  return TT_E_NO_MEMORY;
}

/// Adds the arrays and texts that are not in the object's field table.
static int
add_parts (json_object *root, const TtObject *object)
{
  switch (object->type)
    {
    case TT_OBJECT_HEAD:
      return add_records (root, "teams", object, object->head.team_count, encode_team);
    case TT_OBJECT_DOCUMENT:
      return add_text (root, &object->document);
    case TT_OBJECT_CLAIMS:
      return add_records (root, "entries", object, object->claims.count, encode_claim);
    case TT_OBJECT_ORDERS:
      return add_records (root, "wanted", object, object->orders.count, encode_wanted);
    case TT_OBJECT_AUDIT:
      return add_records (root, "domains", object, object->audit.domain_count, encode_audit_domain);
    case TT_OBJECT_HOSTS:
      return add_records (root, "hosts", object, object->hosts.count, encode_host);
    default:
      return TT_OK;
    }
}

/// True if all counts and sizes are within their limits.
static bool
is_within_limits (const TtObject *object)
{
  switch (object->type)
    {
    case TT_OBJECT_HEAD:
      return object->head.team_count <= TT_MAX_TEAMS;
    case TT_OBJECT_DOCUMENT:
      return object->document.text_size <= TT_MAX_DOCUMENT_BYTES;
    case TT_OBJECT_CLAIMS:
      for (uint32_t i = 0; i < object->claims.count; i++)
        if (object->claims.entries[i].outcome_size > TT_CLAIM_OUTCOME_MAX_BYTES
            || (unsigned) object->claims.entries[i].state > TT_CLAIM_NOT_RUN)
          return false;
      return object->claims.count <= TT_CLAIM_SHARD_MAX_ENTRIES;
    case TT_OBJECT_ORDERS:
      return object->orders.count <= TT_OBJECT_MAX_RECORDS;
    case TT_OBJECT_AUDIT:
      return object->audit.domain_count <= TT_MAX_DOMAINS;
    case TT_OBJECT_HOSTS:
      return object->hosts.count <= TT_OBJECT_MAX_RECORDS;
    default:
      return true;
    }
}

int
tt_object_encode (const TtObject *object, const char *key, char **text, size_t *size,
                  TtError *error)
{
  TtObjectTable table = tt_object_table (object->type);
  json_object *root;
  const char *encoded = NULL;
  size_t length = 0;
  int code = TT_E_NO_MEMORY;

  *text = NULL;
  if (table.fields == NULL || !is_within_limits (object))
    return tt_error_set (error, TT_E_INVALID, TT_STEP_PLATFORM_WRITE, key,
                         "object type or a count is out of range");
  root = tt_object_fields_encode (table.fields, table.count, object);
  if (root != NULL)
    code = add_parts (root, object);
  if (code == TT_OK)
    encoded = json_object_to_json_string_length (
        root, JSON_C_TO_STRING_PLAIN | JSON_C_TO_STRING_NOSLASHESCAPE, &length);
  if (encoded != NULL && length > TT_OBJECT_MAX_BYTES)
    code = tt_error_set (error, TT_E_LIMIT, TT_STEP_PLATFORM_WRITE, key,
                         "%zu bytes, expected at most %d", length, TT_OBJECT_MAX_BYTES);
  else if (encoded == NULL || (*text = malloc (length + 1)) == NULL)
    code = tt_error_set (error, TT_E_NO_MEMORY, TT_STEP_PLATFORM_WRITE, key, "object's text");
  else
    {
      memcpy (*text, encoded, length + 1);
      *size = length;
    }
  json_object_put (root);
  return code;
}
