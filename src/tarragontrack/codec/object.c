#include "tarragontrack/codec/object.h"
#include "tarragontrack/board/error.h"
#include "tarragontrack/codec/digest.h"
#include "tarragontrack/codec/document.h"
#include "tarragontrack/codec/json.h"
#include "tarragontrack/codec/object_tables.h"
#include <arpa/inet.h>
#include <openssl/evp.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/// Decodes one record of an array into zeroed memory at @target.
typedef int (*RecordDecoder) (json_object *record, const char *path, void *target, TtError *error);

TtObjectType
tt_object_type_from_key (const char *key)
{
  static const struct
  {
    const char *prefix;
    TtObjectType type;
  } prefixes[] = {
    { "documents/", TT_OBJECT_DOCUMENT }, { "domains/", TT_OBJECT_DOMAIN },
    { "leases/", TT_OBJECT_LEASE },       { "claims/", TT_OBJECT_CLAIMS },
    { "orders/", TT_OBJECT_ORDERS },      { "audit/", TT_OBJECT_AUDIT },
  };

  if (strcmp (key, "config/head") == 0)
    return TT_OBJECT_HEAD;
  if (strcmp (key, "config/accepted") == 0)
    return TT_OBJECT_ACCEPTED;
  if (strcmp (key, TT_OBJECT_HOSTS_KEY) == 0)
    return TT_OBJECT_HOSTS;
  for (size_t i = 0; i < sizeof prefixes / sizeof prefixes[0]; i++)
    if (strncmp (key, prefixes[i].prefix, strlen (prefixes[i].prefix)) == 0)
      return prefixes[i].type;
  return TT_OBJECT_NONE;
}

/// Decodes the array under @key into @target: at most @limit records of @size bytes each.
static int
decode_records (json_object *root, const char *key, void *target, size_t size, size_t limit,
                RecordDecoder decoder, uint32_t *count, TtError *error)
{
  json_object *array = NULL;

  *count = 0;
  if (!json_object_object_get_ex (root, key, &array)
      || !json_object_is_type (array, json_type_array) || json_object_array_length (array) > limit)
    return tt_object_fields_fail (error, "", key, "an array within its bound");
  for (size_t i = 0; i < json_object_array_length (array); i++)
    {
      char path[TT_NAME_MAX];
      int code;

      (void) snprintf (path, sizeof path, "%s[%zu]", key, i);
      (*count)++; // incremented before decoding, so that tt_object_free() frees a partial record
      code
          = decoder (json_object_array_get_idx (array, i), path, (char *) target + i * size, error);
      if (code != TT_OK)
        return code;
    }
  return TT_OK;
}

/// Allocates zeroed memory for the records of the array under @key; for one record if the array is
/// absent, empty or longer than @limit.
static void *
allocate_records (json_object *root, const char *key, size_t size, size_t limit)
{
  json_object *array = NULL;
  size_t length = 0;

  if (json_object_object_get_ex (root, key, &array) && json_object_is_type (array, json_type_array))
    length = json_object_array_length (array);
  return calloc (length < 1 || length > limit ? 1 : length, size);
}

#define RECORD_DECODER(name, table)                                                                \
  static int name (json_object *record, const char *path, void *target, TtError *error)            \
  {                                                                                                \
    return tt_object_fields_decode (record, path, (table).fields, (table).count, target, error);   \
  }

RECORD_DECODER (decode_team, tt_object_team_table)
RECORD_DECODER (decode_wanted, tt_object_wanted_table)
RECORD_DECODER (decode_audit_domain, tt_object_audit_domain_table)
RECORD_DECODER (decode_host_fields, tt_object_host_table)

/// Decodes a host. Its address must be an IP address: resolving a name would start a thread.
static int
decode_host (json_object *record, const char *path, void *target, TtError *error)
{
  const TtHostEntry *host = target;
  uint8_t bytes[16];
  int code = decode_host_fields (record, path, target, error);

  if (code == TT_OK && inet_pton (AF_INET, host->address, bytes) != 1
      && inet_pton (AF_INET6, host->address, bytes) != 1)
    code = tt_object_fields_fail (error, path, "address", "an IP number");
  return code;
}

/// Decodes the recorded response of a claim from base64.
static int
decode_outcome (json_object *value, const char *path, TtClaimEntry *entry, TtError *error)
{
  unsigned char bytes[TT_CLAIM_OUTCOME_MAX_BYTES + 8];
  const char *text = json_object_get_string (value);
  int length = json_object_get_string_len (value);
  int size = -1;

  if (json_object_is_type (value, json_type_string) && length > 0 && length % 4 == 0
      && length <= (TT_CLAIM_OUTCOME_MAX_BYTES + 2) / 3 * 4)
    size = EVP_DecodeBlock (bytes, (const unsigned char *) text, length);
  if (size > 0 && text[length - 1] == '=') // EVP_DecodeBlock() counts padding as zero bytes
    size -= text[length - 2] == '=' ? 2 : 1;
  if (size < 1 || size > TT_CLAIM_OUTCOME_MAX_BYTES)
    return tt_object_fields_fail (error, path, "outcome", "base64 of a short answer");
  entry->outcome = malloc ((size_t) size);
  if (entry->outcome == NULL)
    return tt_error_set (error, TT_E_NO_MEMORY, TT_STEP_PLATFORM_READ, NULL, "outcome");
  memcpy (entry->outcome, bytes, (size_t) size);
  entry->outcome_size = (uint32_t) size;
  return TT_OK;
}

static int
decode_claim (json_object *record, const char *path, void *target, TtError *error)
{
  TtClaimEntry *entry = target;
  json_object *outcome = NULL;
  int code = tt_object_fields_decode (record, path, tt_object_claim_table.fields,
                                      tt_object_claim_table.count, entry, error);

  if (code == TT_OK && json_object_object_get_ex (record, "outcome", &outcome))
    code = decode_outcome (outcome, path, entry, error);
  return code;
}

/// Verifies the hash in the key, copies the text and parses the team document.
static int
decode_document (json_object *root, const char *key, TtDocumentObject *document, TtError *error)
{
  json_object *value = NULL;
  char name[TT_DIGEST_TEXT_SIZE];
  size_t length;
  char *text;
  TtDocument *parsed;

  tt_digest_format (&document->hash, name);
  if (strcmp (key + strlen ("documents/"), name) != 0)
    return tt_object_fields_fail (error, "", "key", "the hash of the object's text");
  if (!json_object_object_get_ex (root, "text", &value)
      || !json_object_is_type (value, json_type_string)
      || json_object_get_string_len (value) > TT_MAX_DOCUMENT_BYTES)
    return tt_object_fields_fail (error, "", "text", "a document's text within its bound");
  length = (size_t) json_object_get_string_len (value);
  text = malloc (length + 1);
  parsed = malloc (sizeof *parsed);
  document->text = text;
  document->document = parsed;
  if (text == NULL || parsed == NULL)
    return tt_error_set (error, TT_E_NO_MEMORY, TT_STEP_PLATFORM_READ, key, "document");
  memcpy (text, json_object_get_string (value), length + 1);
  document->text_size = (uint32_t) length;
  if (tt_document_parse (text, length, document->team, parsed, &document->error) != TT_OK)
    {
      free (parsed);
      document->document = NULL;
    }
  return TT_OK;
}

static int
decode_claims (json_object *root, TtClaimsObject *claims, TtError *error)
{
  claims->entries
      = allocate_records (root, "entries", sizeof *claims->entries, TT_CLAIM_SHARD_MAX_ENTRIES);
  if (claims->entries == NULL)
    return tt_error_set (error, TT_E_NO_MEMORY, TT_STEP_PLATFORM_READ, NULL, "claims");
  return decode_records (root, "entries", claims->entries, sizeof *claims->entries,
                         TT_CLAIM_SHARD_MAX_ENTRIES, decode_claim, &claims->count, error);
}

static int
decode_orders (json_object *root, TtOrdersObject *orders, TtError *error)
{
  orders->wanted = allocate_records (root, "wanted", sizeof *orders->wanted, TT_OBJECT_MAX_RECORDS);
  if (orders->wanted == NULL)
    return tt_error_set (error, TT_E_NO_MEMORY, TT_STEP_PLATFORM_READ, NULL, "orders");
  return decode_records (root, "wanted", orders->wanted, sizeof *orders->wanted,
                         TT_OBJECT_MAX_RECORDS, decode_wanted, &orders->count, error);
}

static int
decode_hosts (json_object *root, TtHostsObject *hosts, TtError *error)
{
  hosts->hosts = allocate_records (root, "hosts", sizeof *hosts->hosts, TT_OBJECT_MAX_RECORDS);
  if (hosts->hosts == NULL)
    return tt_error_set (error, TT_E_NO_MEMORY, TT_STEP_PLATFORM_READ, NULL, "hosts");
  return decode_records (root, "hosts", hosts->hosts, sizeof *hosts->hosts, TT_OBJECT_MAX_RECORDS,
                         decode_host, &hosts->count, error);
}

/// Decodes the arrays and texts that are not in the object's field table.
static int
decode_parts (json_object *root, const char *key, TtObject *object, TtError *error)
{
  switch (object->type)
    {
    case TT_OBJECT_HEAD:
      return decode_records (root, "teams", object->head.teams, sizeof object->head.teams[0],
                             TT_MAX_TEAMS, decode_team, &object->head.team_count, error);
    case TT_OBJECT_DOCUMENT:
      return decode_document (root, key, &object->document, error);
    case TT_OBJECT_CLAIMS:
      return decode_claims (root, &object->claims, error);
    case TT_OBJECT_ORDERS:
      return decode_orders (root, &object->orders, error);
    case TT_OBJECT_AUDIT:
      return decode_records (root, "domains", object->audit.domains,
                             sizeof object->audit.domains[0], TT_MAX_DOMAINS, decode_audit_domain,
                             &object->audit.domain_count, error);
    case TT_OBJECT_HOSTS:
      return decode_hosts (root, &object->hosts, error);
    default:
      return TT_OK;
    }
}

void
tt_object_free (TtObject *object)
{
  if (object == NULL)
    return;
  if (object->type == TT_OBJECT_DOCUMENT)
    {
      free ((void *) object->document.text);
      free ((void *) object->document.document);
    }
  else if (object->type == TT_OBJECT_CLAIMS)
    {
      for (uint32_t i = 0; i < object->claims.count; i++)
        free (object->claims.entries[i].outcome);
      free (object->claims.entries);
    }
  else if (object->type == TT_OBJECT_ORDERS)
    free (object->orders.wanted);
  else if (object->type == TT_OBJECT_HOSTS)
    free (object->hosts.hosts);
  free (object);
}

static int
decode_object (const char *key, const char *text, size_t size, TtObject *object, TtError *error)
{
  TtObjectTable table = tt_object_table (object->type);
  json_object *root;
  int code = TT_OK;

  if (object->type == TT_OBJECT_DOCUMENT)
    code = tt_digest_compute (text, size, &object->document.hash);
  else if (object->type == TT_OBJECT_AUDIT)
    code = tt_digest_compute (text, size, &object->audit.hash);
  if (code != TT_OK)
    return tt_error_set (error, code, TT_STEP_PLATFORM_READ, key, "SHA-256");
  root = tt_json_parse (text, size, key, TT_STEP_PLATFORM_READ, error);
  if (root == NULL)
    return error->code;
  (void) tt_error_set (error, TT_OK, TT_STEP_PLATFORM_READ, key, "%s", "");
  code = tt_object_fields_decode (root, "", table.fields, table.count, object, error);
  if (code == TT_OK)
    code = decode_parts (root, key, object, error);
  json_object_put (root);
  return code;
}

int
tt_object_decode (const char *key, const char *text, size_t size, TtObject **object, TtError *error)
{
  TtError local;
  TtObject *decoded;
  int code;

  *object = NULL;
  if (error == NULL)
    error = &local;
  if (tt_object_type_from_key (key) == TT_OBJECT_NONE)
    return tt_error_set (error, TT_E_MALFORMED, TT_STEP_PLATFORM_READ, key, "unknown key");
  if (size > TT_OBJECT_MAX_BYTES)
    return tt_error_set (error, TT_E_LIMIT, TT_STEP_PLATFORM_READ, key,
                         "%zu bytes, expected at most %d", size, TT_OBJECT_MAX_BYTES);
  decoded = calloc (1, sizeof *decoded);
  if (decoded == NULL)
    return tt_error_set (error, TT_E_NO_MEMORY, TT_STEP_PLATFORM_READ, key, "object");
  decoded->type = tt_object_type_from_key (key);
  code = decode_object (key, text, size, decoded, error);
  if (code == TT_OK)
    *object = decoded;
  else
    tt_object_free (decoded);
  return code;
}
