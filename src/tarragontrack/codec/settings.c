#include "tarragontrack/codec/settings.h"
#include "tarragontrack/board/error.h"
#include "tarragontrack/codec/json.h"
#include <arpa/inet.h>
#include <errno.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define FIELD(member) offsetof (TtSettings, member), sizeof (((TtSettings *) 0)->member)
#define COUNT(table) (sizeof (table) / sizeof (table)[0])
#define MAX_COUNT 1e6
#define MIN_DESCRIPTORS 512
#define MAX_BYTES 1e8
#define MAX_TIMEOUT_MS 3.6e6

/// Fractions of the time from SIGTERM to SIGKILL. A request that arrives at the end of the
/// announced part still has most of the time; what is left after the limit is for the last
/// responses.
#define GRACE_ANNOUNCE_FRACTION 0.375
#define GRACE_LIMIT_FRACTION 0.925

static const TtJsonField top_fields[] = {
  { "fleet", TT_JSON_STRING, FIELD (fleet), .required = true },
  { "name", TT_JSON_STRING, FIELD (name), .required = true },
  { "domain", TT_JSON_STRING, FIELD (domain), .required = true },
  { "region", TT_JSON_STRING, FIELD (region), .required = true },
  { "caller", TT_JSON_NESTED, 0, 0, .required = true },
  { "operator", TT_JSON_NESTED, 0, 0, .required = true },
  { "metrics", TT_JSON_NESTED, 0, 0 },
  { "peer", TT_JSON_NESTED, 0, 0, .required = true },
  { "platform", TT_JSON_NESTED, 0, 0, .required = true },
  { "curve", TT_JSON_NESTED, 0, 0 },
  { "limits", TT_JSON_NESTED, 0, 0 },
  { "drain", TT_JSON_NESTED, 0, 0 },
  { "bounds", TT_JSON_NESTED, 0, 0 },
};

static const TtJsonField caller_fields[] = {
  { "address", TT_JSON_STRING, FIELD (caller.address), .required = true },
  { "port", TT_JSON_UINT16, FIELD (caller.port), .required = true, .maximum = UINT16_MAX },
  { "certificate_file", TT_JSON_STRING, FIELD (certificate_file) },
  { "key_file", TT_JSON_STRING, FIELD (key_file) },
};

static const TtJsonField operator_fields[] = {
  { "address", TT_JSON_STRING, FIELD (operators.address), .required = true },
  { "port", TT_JSON_UINT16, FIELD (operators.port), .required = true, .maximum = UINT16_MAX },
};

static const TtJsonField metrics_fields[] = {
  { "address", TT_JSON_STRING, FIELD (metrics.address), .required = true },
  { "port", TT_JSON_UINT16, FIELD (metrics.port), .required = true, .maximum = UINT16_MAX },
};

static const TtJsonField peer_fields[] = {
  { "address", TT_JSON_STRING, FIELD (peer.address), .required = true },
  { "port", TT_JSON_UINT16, FIELD (peer.port), .required = true, .minimum = 1,
    .maximum = UINT16_MAX },
};

static const char *const configuration_kinds[] = { "documents", "routes", NULL };

static const TtJsonField platform_fields[] = {
  { "url", TT_JSON_STRING, FIELD (platform_url), .required = true },
  { "object_bytes", TT_JSON_UINT32, FIELD (object_bytes), .minimum = 1024, .maximum = MAX_BYTES,
    .default_value = 1048576, .unit = "bytes" },
  { "configuration", TT_JSON_CHOICE, FIELD (configuration), .choices = configuration_kinds },
};

static const TtJsonField bounds_fields[] = {
  { "load_factor", TT_JSON_DOUBLE, FIELD (bounds.load_factor), .minimum = 1, .maximum = 100,
    .default_value = 2, .unit = "times the mean" },
  { "repeat_ratio", TT_JSON_DOUBLE, FIELD (bounds.repeat_ratio), .maximum = 100,
    .default_value = 0.1, .unit = "sends a request" },
  { "repeat_slack", TT_JSON_DOUBLE, FIELD (bounds.repeat_slack), .maximum = MAX_COUNT,
    .default_value = 20, .unit = "sends" },
  { "repeat_window_ms", TT_JSON_DURATION, FIELD (bounds.repeat_window_ms), .minimum = 100,
    .maximum = MAX_TIMEOUT_MS, .default_value = 10000, .unit = "ms" },
  { "settle_ms", TT_JSON_DURATION, FIELD (bounds.settle_ms), .minimum = 200,
    .maximum = MAX_TIMEOUT_MS, .default_value = 3000, .unit = "ms" },
  { "report_ms", TT_JSON_DURATION, FIELD (bounds.report_ms), .minimum = 10,
    .maximum = MAX_TIMEOUT_MS, .default_value = 1000, .unit = "ms" },
  { "leaving_ms", TT_JSON_DURATION, FIELD (bounds.leaving_ms), .minimum = 100,
    .maximum = MAX_TIMEOUT_MS, .default_value = 2000, .unit = "ms" },
  { "config_ms", TT_JSON_DURATION, FIELD (bounds.config_ms), .maximum = MAX_TIMEOUT_MS,
    .unit = "ms" },
};

static const TtJsonField curve_fields[] = {
  { "secret_key", TT_JSON_STRING, FIELD (curve.secret_key), .required = true },
  { "public_key", TT_JSON_STRING, FIELD (curve.public_key), .required = true },
  { "accepted_keys", TT_JSON_NESTED, 0, 0, .required = true },
};

static const TtJsonField limits_fields[] = {
  { "max_requests", TT_JSON_UINT32, FIELD (max_requests), .minimum = 1, .maximum = MAX_COUNT,
    .default_value = 4096, .unit = "requests" },
  { "max_attempts", TT_JSON_UINT32, FIELD (max_attempts), .minimum = 1, .maximum = MAX_COUNT,
    .default_value = 8192, .unit = "attempts" },
  { "max_accounts", TT_JSON_UINT32, FIELD (max_accounts), .minimum = 1, .maximum = MAX_COUNT,
    .default_value = 2048, .unit = "client accounts" },
  { "body_bytes", TT_JSON_UINT32, FIELD (max_body_bytes), .minimum = 1024, .maximum = MAX_BYTES,
    .default_value = 1048576, .unit = "bytes" },
  { "memory_mb", TT_JSON_DOUBLE, FIELD (memory_mb), .minimum = 16, .maximum = MAX_COUNT,
    .default_value = 512, .unit = "MB" },
  { "descriptors", TT_JSON_UINT32, FIELD (descriptors), .maximum = MAX_COUNT,
    .unit = "descriptors" },
  { "header_bytes", TT_JSON_UINT32, FIELD (max_header_bytes), .minimum = 1024, .maximum = MAX_BYTES,
    .default_value = 16384, .unit = "bytes" },
  { "read_timeout_ms", TT_JSON_DURATION, FIELD (read_timeout_ms), .minimum = 10,
    .maximum = MAX_TIMEOUT_MS, .default_value = 10000, .unit = "ms" },
  { "request_timeout_ms", TT_JSON_DURATION, FIELD (request_timeout_ms), .minimum = 10,
    .maximum = MAX_TIMEOUT_MS, .default_value = 300000, .unit = "ms" },
  { "send_timeout_ms", TT_JSON_DURATION, FIELD (send_timeout_ms), .minimum = 10,
    .maximum = MAX_TIMEOUT_MS, .default_value = 60000, .unit = "ms" },
};

static const TtJsonField drain_fields[] = {
  { "announce_ms", TT_JSON_DURATION, FIELD (bounds.drain_announce_ms), .maximum = MAX_TIMEOUT_MS,
    .default_value = 5000, .unit = "ms" },
  { "limit_ms", TT_JSON_DURATION, FIELD (bounds.drain_limit_ms), .maximum = MAX_TIMEOUT_MS,
    .unit = "ms" },
  { "grace_ms", TT_JSON_DURATION, FIELD (bounds.drain_grace_ms), .maximum = MAX_TIMEOUT_MS,
    .unit = "ms" },
};

typedef struct
{
  const char *name;
  const TtJsonField *fields;
  size_t count;
  bool reloadable; ///< a running daemon applies changed values without a restart
} FieldTable;

static const FieldTable tables[] = {
  { "settings", top_fields, COUNT (top_fields) },
  { "caller", caller_fields, COUNT (caller_fields) },
  { "operator", operator_fields, COUNT (operator_fields) },
  { "metrics", metrics_fields, COUNT (metrics_fields) },
  { "peer", peer_fields, COUNT (peer_fields) },
  { "platform", platform_fields, COUNT (platform_fields) },
  { "curve", curve_fields, COUNT (curve_fields), .reloadable = true },
  { "limits", limits_fields, COUNT (limits_fields) },
  { "drain", drain_fields, COUNT (drain_fields), .reloadable = true },
  { "bounds", bounds_fields, COUNT (bounds_fields), .reloadable = true },
};

const TtJsonField *
tt_settings_fields (unsigned index, const char **name, size_t *count)
{
  if (index >= COUNT (tables))
    return NULL;
  *name = tables[index].name;
  *count = tables[index].count;
  return tables[index].fields;
}

static void
append_key (char *text, size_t size, const char *object, const char *key)
{
  size_t length = strlen (text);

  (void) snprintf (text + length, size - length, "%s%s.%s", length > 0 ? "," : "", object, key);
}

void
tt_settings_diff (const TtSettings *before, const TtSettings *after, bool reloadable, char *text,
                  size_t size)
{
  text[0] = '\0';
  for (size_t i = 0; i < COUNT (tables); i++)
    for (size_t k = 0; k < tables[i].count && tables[i].reloadable == reloadable; k++)
      {
        const TtJsonField *field = &tables[i].fields[k];

        if (memcmp ((const char *) before + field->offset, (const char *) after + field->offset,
                    field->size)
            != 0)
          append_key (text, size, tables[i].name, field->key);
      }
  if (reloadable
      && memcmp (before->curve.accepted_keys, after->curve.accepted_keys,
                 sizeof before->curve.accepted_keys)
             != 0)
    append_key (text, size, "curve", "accepted_keys");
  if (text[0] == '\0')
    (void) snprintf (text, size, "none");
}

/// Sets TT_E_INVALID with the key; preserves the error's peer (file name).
static int
reject (TtError *error, const char *key, const char *expected)
{
  char peer[TT_ERROR_PEER_MAX];

  (void) snprintf (peer, sizeof peer, "%s", error->peer);
  return tt_error_set (error, TT_E_INVALID, TT_STEP_SETTINGS, peer, "%s: expected %s", key,
                       expected);
}

/// True if @text is an IP address; 0.0.0.0 and :: count only if @wildcard is true.
static bool
is_ip_address (const char *text, bool wildcard)
{
  struct in_addr ipv4;
  struct in6_addr ipv6;

  if (inet_pton (AF_INET, text, &ipv4) == 1)
    return wildcard || ipv4.s_addr != 0;
  return inet_pton (AF_INET6, text, &ipv6) == 1 && (wildcard || !IN6_IS_ADDR_UNSPECIFIED (&ipv6));
}

/// True for http://IP:PORT, with an IPv6 address in brackets.
static bool
is_base_url (const char *url)
{
  char host[TT_URL_MAX];
  const char *port = strrchr (url, ':');
  char *end;
  unsigned long number;
  size_t length;

  if (strncmp (url, "http://", 7) != 0 || port == NULL || port < url + 7 || port[1] < '1'
      || port[1] > '9')
    return false;
  number = strtoul (port + 1, &end, 10);
  length = (size_t) (port - url) - 7;
  (void) snprintf (host, sizeof host, "%.*s", (int) length, url + 7);
  if (length > 2 && host[0] == '[' && host[length - 1] == ']')
    {
      host[length - 1] = '\0';
      memmove (host, host + 1, length - 1);
    }
  return *end == '\0' && number <= UINT16_MAX && is_ip_address (host, false);
}

/// True if @key is a CURVE key of 40 Z85 digits.
static bool
is_curve_key (const char *key)
{
  static const char digits[] = "0123456789abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ"
                               ".-:+=^!/*?&<>()[]{}@%$#";

  return strlen (key) == TT_CURVE_KEY_SIZE - 1 && strspn (key, digits) == TT_CURVE_KEY_SIZE - 1;
}

static int
read_curve (json_object *object, TtCurveKeys *curve, TtError *error)
{
  static const char expected[] = "an array of 1 to 8 public keys of 40 Z85 digits";
  json_object *array = NULL;
  size_t count = 0;

  if (!is_curve_key (curve->secret_key))
    return reject (error, "curve.secret_key", "40 Z85 digits");
  if (!is_curve_key (curve->public_key))
    return reject (error, "curve.public_key", "40 Z85 digits");
  if (json_object_object_get_ex (object, "accepted_keys", &array)
      && json_object_is_type (array, json_type_array))
    count = json_object_array_length (array);
  if (count < 1 || count > TT_CURVE_KEYS_MAX)
    return reject (error, "curve.accepted_keys", expected);
  for (size_t i = 0; i < count; i++)
    {
      json_object *value = json_object_array_get_idx (array, i);

      if (!json_object_is_type (value, json_type_string)
          || !is_curve_key (json_object_get_string (value)))
        return reject (error, "curve.accepted_keys", expected);
      memcpy (curve->accepted_keys[i], json_object_get_string (value), TT_CURVE_KEY_SIZE);
    }
  curve->accepted_count = (uint32_t) count;
  curve->enabled = true;
  return TT_OK;
}

/// Performs the checks that the field tables cannot express, such as address formats and
/// combinations of keys.
static int
check_settings (const TtSettings *settings, TtError *error)
{
  if (!is_ip_address (settings->caller.address, true))
    return reject (error, "caller.address", "an IP number");
  if (!is_ip_address (settings->operators.address, true))
    return reject (error, "operator.address", "an IP number");
  if (settings->metrics.address[0] != '\0' && !is_ip_address (settings->metrics.address, true))
    return reject (error, "metrics.address", "an IP number");
  if (!is_ip_address (settings->peer.address, false))
    return reject (error, "peer.address", "an IP number that other daemons can connect to");
  if (!is_base_url (settings->platform_url))
    return reject (error, "platform.url", "http://IP:PORT without a path");
  if ((settings->certificate_file[0] == '\0') != (settings->key_file[0] == '\0'))
    return reject (error, "caller", "certificate_file and key_file, or none of them");
  if (settings->descriptors > 0 && settings->descriptors < MIN_DESCRIPTORS)
    return reject (error, "limits.descriptors", "0, or 512 at least");
  return TT_OK;
}

/// Shortens the times of a shutdown to what fits before the process is killed.
static void
fit_drain_to_grace (TtBounds *bounds)
{
  uint32_t announce_ms = (uint32_t) (bounds->drain_grace_ms * GRACE_ANNOUNCE_FRACTION);
  uint32_t limit_ms = (uint32_t) (bounds->drain_grace_ms * GRACE_LIMIT_FRACTION);

  if (bounds->drain_grace_ms == 0)
    return;
  if (bounds->drain_announce_ms > announce_ms)
    bounds->drain_announce_ms = announce_ms;
  if (bounds->drain_limit_ms == 0 || bounds->drain_limit_ms > limit_ms)
    bounds->drain_limit_ms = limit_ms;
}

/// If the object has no port, splits an address of the form IP:PORT into the keys address and port.
static void
split_endpoint (json_object *object)
{
  json_object *value = NULL;
  char address[TT_ADDRESS_MAX];
  const char *text;
  const char *colon;

  if (json_object_object_get_ex (object, "port", NULL)
      || !json_object_object_get_ex (object, "address", &value)
      || !json_object_is_type (value, json_type_string))
    return;
  text = json_object_get_string (value);
  colon = strchr (text, ':');
  if (colon == NULL || colon != strrchr (text, ':') || (size_t) (colon - text) >= sizeof address
      || colon[1] < '0' || colon[1] > '9')
    return;
  (void) snprintf (address, sizeof address, "%.*s", (int) (colon - text), text);
  json_object_object_add (object, "port",
                          json_object_new_int64 ((int64_t) strtoul (colon + 1, NULL, 10)));
  json_object_object_add (object, "address", json_object_new_string (address));
}

/// Reads one nested object. If the object is absent, stores the default values of its keys; an
/// absent curve or metrics object stores nothing.
static int
read_nested (json_object *root, const FieldTable *table, TtSettings *settings, TtError *error)
{
  json_object *object = NULL;
  bool present = json_object_object_get_ex (root, table->name, &object);
  int code;

  if (!present && (table->fields == curve_fields || table->fields == metrics_fields))
    return TT_OK;
  if (!present)
    object = json_object_new_object ();
  if (table->fields == caller_fields || table->fields == operator_fields
      || table->fields == metrics_fields)
    split_endpoint (object);
  code = tt_json_read_fields (object, table->name, table->fields, table->count, settings, error);
  if (code == TT_OK && table->fields == curve_fields)
    code = read_curve (object, &settings->curve, error);
  if (!present)
    json_object_put (object);
  return code;
}

int
tt_settings_parse (const char *text, size_t size, const char *name, TtSettings *settings,
                   TtError *error)
{
  json_object *root;
  int code;

  memset (settings, 0, sizeof *settings);
  if (size > TT_SETTINGS_MAX_BYTES)
    return tt_error_set (error, TT_E_LIMIT, TT_STEP_SETTINGS, name, "expected at most %d bytes",
                         TT_SETTINGS_MAX_BYTES);
  root = tt_json_parse (text, size, name, TT_STEP_SETTINGS, error);
  if (root == NULL)
    return error->code;
  (void) tt_error_set (error, TT_OK, TT_STEP_SETTINGS, name, "%s", "");
  code = tt_json_read_fields (root, "", top_fields, COUNT (top_fields), settings, error);
  for (size_t i = 1; i < COUNT (tables) && code == TT_OK; i++)
    code = read_nested (root, &tables[i], settings, error);
  if (code == TT_OK)
    code = check_settings (settings, error);
  if (code == TT_OK)
    fit_drain_to_grace (&settings->bounds);
  json_object_put (root);
  return code;
}

int
tt_settings_load (const char *path, TtSettings *settings, TtError *error)
{
  FILE *file = fopen (path, "rbe");
  char *text = malloc (TT_SETTINGS_MAX_BYTES + 1);
  size_t size;
  int code;

  if (file == NULL || text == NULL)
    {
      code = tt_error_set (error, file == NULL ? TT_E_NOT_FOUND : TT_E_NO_MEMORY, TT_STEP_SETTINGS,
                           path, "cannot open the file: %s", strerror (errno));
      if (file != NULL)
        (void) fclose (file);
      free (text);
      return code;
    }
  size = fread (text, 1, TT_SETTINGS_MAX_BYTES + 1, file);
  if (ferror (file) != 0)
    code = tt_error_set (error, TT_E_NOT_FOUND, TT_STEP_SETTINGS, path, "cannot read the file");
  else
    code = tt_settings_parse (text, size, path, settings, error);
  (void) fclose (file);
  free (text);
  return code;
}
