#include "tarragontrack/codec/document.h"
#include "tarragontrack/board/error.h"
#include "tarragontrack/board/hash.h"
#include "tarragontrack/codec/json.h"
#include <stdio.h>
#include <string.h>

#define FIELD(type, member) offsetof (type, member), sizeof (((type *) 0)->member)
#define MAX_COUNT 1e9
#define MAX_TIMEOUT_MS 3.6e6

static const char *const detached_choices[] = { "wait", "refuse", NULL };
static const char *const type_choices[] = { "model", "plain", NULL };

static const TtJsonField document_fields[] = {
  { "team", TT_JSON_STRING, FIELD (TtDocument, team), .required = true },
  { "schema", TT_JSON_UINT32, FIELD (TtDocument, schema), .required = true, .minimum = 1,
    .maximum = MAX_COUNT },
  { "detached", TT_JSON_CHOICE, FIELD (TtDocument, detached), .choices = detached_choices },
  { "detach_after_s", TT_JSON_UINT32, FIELD (TtDocument, detach_after_s), .minimum = 5,
    .maximum = 3600, .default_value = 30, .unit = "s" },
  { "default_priority", TT_JSON_UINT32, FIELD (TtDocument, default_priority),
    .maximum = TT_PRIORITY_COUNT - 1, .default_value = 2 },
  { "default_queue_deadline_ms", TT_JSON_UINT32, FIELD (TtDocument, default_queue_deadline_ms),
    .minimum = 1, .maximum = MAX_TIMEOUT_MS, .default_value = 30000, .unit = "ms" },
  { "services", TT_JSON_NESTED, 0, 0, .required = true },
  { "accounts", TT_JSON_NESTED, 0, 0, .required = true },
  { "kinds", TT_JSON_NESTED, 0, 0 },
};

static const TtJsonField service_fields[] = {
  { "name", TT_JSON_STRING, FIELD (TtServiceSpec, name), .required = true },
  { "type", TT_JSON_CHOICE, FIELD (TtServiceSpec, type), .required = true,
    .choices = type_choices },
  { "path_prefix", TT_JSON_STRING, FIELD (TtServiceSpec, path_prefix) },
  { "repeatable", TT_JSON_BOOL, FIELD (TtServiceSpec, repeatable), .default_value = 0 },
  { "prefix_spread", TT_JSON_UINT32, FIELD (TtServiceSpec, prefix_spread), .maximum = 1024,
    .default_value = 0, .unit = "engines" },
  { "load_multiple", TT_JSON_DOUBLE, FIELD (TtServiceSpec, load_multiple), .minimum = 1.05,
    .maximum = 10, .default_value = 1.25 },
  { "long_share", TT_JSON_DOUBLE, FIELD (TtServiceSpec, long_share), .minimum = 0.05, .maximum = 1,
    .default_value = 0.5 },
  { "long_tokens", TT_JSON_UINT32, FIELD (TtServiceSpec, long_tokens), .minimum = 1,
    .maximum = MAX_COUNT, .default_value = 1000, .unit = "tokens" },
  { "first_token_timeout_ms", TT_JSON_UINT32, FIELD (TtServiceSpec, first_token_timeout_ms),
    .minimum = 10, .maximum = MAX_TIMEOUT_MS, .default_value = 10000, .unit = "ms" },
  { "progress_timeout_ms", TT_JSON_UINT32, FIELD (TtServiceSpec, progress_timeout_ms),
    .minimum = 10, .maximum = MAX_TIMEOUT_MS, .default_value = 5000, .unit = "ms" },
  { "min_replicas", TT_JSON_UINT32, FIELD (TtServiceSpec, min_replicas), .minimum = 1,
    .maximum = 1024, .default_value = 1, .unit = "engines" },
};

static const TtJsonField account_fields[] = {
  { "name", TT_JSON_STRING, FIELD (TtAccountSpec, name), .required = true },
  { "weight", TT_JSON_DOUBLE, FIELD (TtAccountSpec, weight), .minimum = 0.001, .maximum = 1000,
    .default_value = 1 },
  { "max_in_flight", TT_JSON_UINT32, FIELD (TtAccountSpec, max_in_flight), .maximum = MAX_COUNT,
    .unit = "requests" },
  { "requests_per_s", TT_JSON_DOUBLE, FIELD (TtAccountSpec, requests_per_s), .maximum = MAX_COUNT,
    .unit = "requests/s" },
  { "token_sha256", TT_JSON_NESTED, 0, 0 },
};

static const TtJsonField kind_fields[] = {
  { "name", TT_JSON_STRING, FIELD (TtKindSpec, name), .required = true },
  { "priority", TT_JSON_UINT32, FIELD (TtKindSpec, priority), .maximum = TT_PRIORITY_COUNT - 1,
    .default_value = 2 },
  { "queue_deadline_ms", TT_JSON_UINT32, FIELD (TtKindSpec, queue_deadline_ms), .minimum = 1,
    .maximum = MAX_TIMEOUT_MS, .default_value = 30000, .unit = "ms" },
  { "idempotent", TT_JSON_BOOL, FIELD (TtKindSpec, idempotent), .default_value = 1 },
};

#define COUNT(table) (sizeof (table) / sizeof (table)[0])

const TtJsonField *
tt_document_fields (unsigned index, const char **name, size_t *count)
{
  static const struct
  {
    const char *name;
    const TtJsonField *fields;
    size_t count;
  } tables[] = {
    { "document", document_fields, COUNT (document_fields) },
    { "service", service_fields, COUNT (service_fields) },
    { "account", account_fields, COUNT (account_fields) },
    { "kind", kind_fields, COUNT (kind_fields) },
  };

  if (index >= COUNT (tables))
    return NULL;
  *name = tables[index].name;
  *count = tables[index].count;
  return tables[index].fields;
}

/// Sets TT_E_INVALID with the array index; preserves the error's step and peer.
static int
reject (TtError *error, const char *array, int index, const char *what)
{
  char peer[TT_ERROR_PEER_MAX];

  (void) snprintf (peer, sizeof peer, "%s", error->peer);
  return tt_error_set (error, TT_E_INVALID, error->step, peer, "%s[%d]%s", array, index, what);
}

static int
read_services (json_object *root, TtDocument *document, TtError *error)
{
  json_object *array;
  int count = tt_json_get_array (root, "services", TT_DOCUMENT_MAX_SERVICES, &array, error);

  for (int i = 0; i < count; i++)
    {
      TtServiceSpec *service = &document->services[i];
      char path[TT_NAME_MAX];
      int code;

      (void) snprintf (path, sizeof path, "services[%d]", i);
      code = tt_json_read_fields (json_object_array_get_idx (array, (size_t) i), path,
                                  service_fields, COUNT (service_fields), service, error);
      if (code < 0)
        return code;
      service->id = tt_hash_string (service->name);
      service->repeatable = service->repeatable || service->type == TT_SERVICE_MODEL;
      if ((service->type == TT_SERVICE_PLAIN) != (service->path_prefix[0] == '/'))
        return reject (error, "services", i,
                       ".path_prefix: expected a path that begins with / for a plain service, "
                       "and none for a model");
      for (int j = 0; j < i; j++)
        if (document->services[j].id == service->id)
          return reject (error, "services", i, ".name: expected a name that is not used above");
    }
  document->service_count = (uint32_t) (count > 0 ? count : 0);
  return count < 0 ? count : TT_OK;
}

static int
read_accounts (json_object *root, TtDocument *document, TtError *error)
{
  json_object *array;
  int count = tt_json_get_array (root, "accounts", TT_DOCUMENT_MAX_ACCOUNTS, &array, error);

  for (int i = 0; i < count; i++)
    {
      TtAccountSpec *account = &document->accounts[i];
      json_object *entry = json_object_array_get_idx (array, (size_t) i);
      json_object *token = NULL;
      char path[TT_NAME_MAX];
      int code;

      (void) snprintf (path, sizeof path, "accounts[%d]", i);
      code = tt_json_read_fields (entry, path, account_fields, COUNT (account_fields), account,
                                  error);
      if (code < 0)
        return code;
      account->id = tt_hash_string (account->name);
      if (json_object_object_get_ex (entry, "token_sha256", &token))
        {
          if (!json_object_is_type (token, json_type_string)
              || json_object_get_string_len (token) != 64)
            return reject (error, "accounts", i, ".token_sha256: expected 64 hexadecimal digits");
          account->key_hash = tt_hash_string (json_object_get_string (token));
        }
      for (int j = 0; j < i; j++)
        if (document->accounts[j].id == account->id)
          return reject (error, "accounts", i, ".name: expected a name that is not used above");
    }
  document->account_count = (uint32_t) (count > 0 ? count : 0);
  return count < 0 ? count : TT_OK;
}

static int
read_kinds (json_object *root, TtDocument *document, TtError *error)
{
  json_object *array;
  int count = tt_json_get_array (root, "kinds", TT_DOCUMENT_MAX_KINDS, &array, error);

  for (int i = 0; i < count; i++)
    {
      TtKindSpec *kind = &document->kinds[i];
      char path[TT_NAME_MAX];
      int code;

      (void) snprintf (path, sizeof path, "kinds[%d]", i);
      code = tt_json_read_fields (json_object_array_get_idx (array, (size_t) i), path, kind_fields,
                                  COUNT (kind_fields), kind, error);
      if (code < 0)
        return code;
      kind->id = tt_hash_string (kind->name);
    }
  document->kind_count = (uint32_t) (count > 0 ? count : 0);
  return count < 0 ? count : TT_OK;
}

/// Reads all sections of a parsed JSON document into @document.
static int
read_document (json_object *root, TtDocument *document, TtError *error)
{
  int code
      = tt_json_read_fields (root, "", document_fields, COUNT (document_fields), document, error);
  char peer[TT_ERROR_PEER_MAX];

  if (code < 0)
    return code;
  if (document->schema > TT_DOCUMENT_MAX_SCHEMA)
    {
      (void) snprintf (peer, sizeof peer, "%s", error->peer);
      return tt_error_set (error, TT_E_VERSION, error->step, peer, "schema: expected at most %d",
                           TT_DOCUMENT_MAX_SCHEMA);
    }
  document->team_id = tt_hash_string (document->team);
  code = read_services (root, document, error);
  if (code == TT_OK)
    code = read_accounts (root, document, error);
  if (code == TT_OK)
    code = read_kinds (root, document, error);
  return code;
}

int
tt_document_parse (const char *text, size_t size, const char *name, TtDocument *document,
                   TtError *error)
{
  json_object *root;
  int code;

  memset (document, 0, sizeof *document);
  if (size > TT_MAX_DOCUMENT_BYTES)
    return tt_error_set (error, TT_E_LIMIT, TT_STEP_DOCUMENT, name, "expected at most %d bytes",
                         TT_MAX_DOCUMENT_BYTES);
  root = tt_json_parse (text, size, name, TT_STEP_DOCUMENT, error);
  if (root == NULL)
    return error->code;
  (void) tt_error_set (error, TT_OK, TT_STEP_DOCUMENT, name, "%s", "");
  code = read_document (root, document, error);
  json_object_put (root);
  return code;
}
