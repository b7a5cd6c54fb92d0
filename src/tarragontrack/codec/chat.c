#include "tarragontrack/codec/chat.h"
#include "tarragontrack/board/error.h"
#include "tarragontrack/board/hash.h"
#include "tarragontrack/codec/json.h"
#include <openssl/evp.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define CALLER_PEER_NAME "caller"
#define ROUTE_DIGITS 16 ///< hexadecimal digits of a route

/// Sets and returns TT_E_INVALID.
static int
reject (TtError *error, const char *what)
{
  return tt_error_set (error, TT_E_INVALID, TT_STEP_CALLER_READ, CALLER_PEER_NAME, "%s", what);
}

/// Hash of the lower-case hexadecimal SHA-256 of a bearer token, the format in which documents
/// store tokens.
static uint64_t
hash_token (const char *token)
{
  unsigned char digest[EVP_MAX_MD_SIZE];
  unsigned int length = 0;
  char text[2 * EVP_MAX_MD_SIZE + 1] = "";

  if (EVP_Digest (token, strlen (token), digest, &length, EVP_sha256 (), NULL) != 1)
    return 0;
  for (unsigned int i = 0; i < length; i++)
    (void) snprintf (text + (size_t) 2 * i, 3, "%02x", digest[i]);
  return tt_hash_string (text);
}

/// Copies a header value into @target of TT_NAME_MAX bytes; fails with the message @what if it does
/// not fit. An absent header is skipped.
static int
copy_header (char *target, const char *value, const char *what, TtError *error)
{
  if (value == NULL)
    return TT_OK;
  if (strlen (value) >= TT_NAME_MAX)
    return reject (error, what);
  (void) snprintf (target, TT_NAME_MAX, "%s", value);
  return TT_OK;
}

TtId128
tt_chat_idempotency_key (const char *account, const char *key)
{
  return tt_hash_id128 (tt_hash_string (account != NULL ? account : ""), key, strlen (key));
}

/// Parses a route as tt_chat_format_route() writes it. Any other text is no route: the request then
/// goes where a request without one goes.
static uint64_t
parse_route (const char *text)
{
  size_t length = strlen (text);

  if (length > ROUTE_DIGITS || strspn (text, "0123456789abcdefABCDEF") != length)
    return 0;
  return strtoull (text, NULL, 16);
}

/// Parses the headers that chat completions and plain service calls share.
static int
parse_headers (const TtCallerHeaders *headers, TtRequestSpec *spec, TtError *error)
{
  static const char bearer[] = "Bearer ";
  int code = copy_header (spec->account, headers->account,
                          "X-Client-Account: expected at most 47 bytes", error);

  if (code == TT_OK)
    code = copy_header (spec->kind, headers->work_kind, "X-Work-Kind: expected at most 47 bytes",
                        error);
  if (code < 0)
    return code;
  if (headers->authorization != NULL
      && strncmp (headers->authorization, bearer, sizeof bearer - 1) == 0)
    spec->account_key_hash = hash_token (headers->authorization + sizeof bearer - 1);
  if (headers->idempotency_key != NULL && headers->idempotency_key[0] != '\0')
    spec->idempotency_key = tt_chat_idempotency_key (spec->account, headers->idempotency_key);
  if (headers->chat_route != NULL)
    spec->route_hint = parse_route (headers->chat_route);
  if (headers->chat_id != NULL && headers->chat_id[0] != '\0')
    spec->chat_key
        = tt_hash_pair (tt_hash_string (spec->account), tt_hash_string (headers->chat_id));
  return TT_OK;
}

/// Content of a message as text: a string, or the JSON text of an array of parts.
static const char *
message_content (json_object *message)
{
  json_object *content = NULL;

  if (!json_object_object_get_ex (message, "content", &content) || content == NULL)
    return "";
  if (json_object_is_type (content, json_type_string))
    return json_object_get_string (content);
  return json_object_to_json_string_ext (content, JSON_C_TO_STRING_PLAIN);
}

/// Role of a message; "" if it has none.
static const char *
message_role (json_object *message)
{
  json_object *role = NULL;

  if (!json_object_is_type (message, json_type_object)
      || !json_object_object_get_ex (message, "role", &role)
      || !json_object_is_type (role, json_type_string))
    return "";
  return json_object_get_string (role);
}

/// Sets the prefix key from the first system prompt. Sets the chat key from the account, the system
/// prompts and the first user message, unless X-Chat-Id set it.
static int
parse_messages (json_object *root, TtRequestSpec *spec, TtError *error)
{
  json_object *messages = NULL;
  uint64_t system = 0;
  uint64_t user = 0;

  if (!json_object_object_get_ex (root, "messages", &messages)
      || !json_object_is_type (messages, json_type_array)
      || json_object_array_length (messages) == 0)
    return reject (error, "messages: expected an array with at least one message");
  for (size_t i = 0; i < json_object_array_length (messages) && user == 0; i++)
    {
      json_object *message = json_object_array_get_idx (messages, i);
      const char *role = message_role (message);

      if (role[0] == '\0')
        return reject (error, "messages: expected objects with a role");
      if (strcmp (role, "system") == 0 || strcmp (role, "developer") == 0)
        {
          const char *text = message_content (message);

          if (system == 0 && strlen (text) >= TT_CHAT_PREFIX_MIN_BYTES)
            spec->prefix_key = tt_hash_string (text);
          system = tt_hash_pair (system, tt_hash_string (text));
        }
      else if (strcmp (role, "user") == 0)
        user = tt_hash_string (message_content (message));
    }
  if (spec->chat_key == 0)
    spec->chat_key = tt_hash_pair (tt_hash_string (spec->account), tt_hash_pair (system, user));
  return TT_OK;
}

/// Parses the model name and the options of the body.
static int
parse_options (json_object *root, TtRequestSpec *spec, TtError *error)
{
  json_object *value = NULL;

  if (!json_object_object_get_ex (root, "model", &value)
      || !json_object_is_type (value, json_type_string) || json_object_get_string_len (value) < 1
      || json_object_get_string_len (value) >= TT_NAME_MAX)
    return reject (error, "model: expected a string of 1 to 47 bytes");
  (void) snprintf (spec->service, sizeof spec->service, "%s", json_object_get_string (value));
  if (json_object_object_get_ex (root, "stream", &value) && value != NULL)
    {
      if (!json_object_is_type (value, json_type_boolean))
        return reject (error, "stream: expected true or false");
      spec->stream = json_object_get_boolean (value) != 0;
    }
  if (json_object_object_get_ex (root, "max_completion_tokens", &value)
      || json_object_object_get_ex (root, "max_tokens", &value))
    {
      int64_t number = json_object_get_int64 (value);

      if (value != NULL
          && (!json_object_is_type (value, json_type_int) || number < 1 || number > INT32_MAX))
        return reject (error, "max_tokens: expected a whole number above 0");
      spec->max_tokens = (uint32_t) number;
    }
  return TT_OK;
}

int
tt_chat_parse (const char *body, size_t size, const TtCallerHeaders *headers, TtRequestSpec *spec,
               TtError *error)
{
  json_object *root;
  int code;

  memset (spec, 0, sizeof *spec);
  root = tt_json_parse (body, size, CALLER_PEER_NAME, TT_STEP_CALLER_READ, error);
  if (root == NULL)
    return error->code;
  code = json_object_is_type (root, json_type_object) ? parse_headers (headers, spec, error)
                                                      : reject (error, "expected an object");
  if (code == TT_OK)
    code = parse_options (root, spec, error);
  if (code == TT_OK)
    code = parse_messages (root, spec, error);
  json_object_put (root);
  spec->body_hash = tt_hash_bytes (body, size);
  spec->prompt_tokens = (uint32_t) (size / TT_CHAT_BYTES_PER_TOKEN) + 1;
  return code;
}

/// Length of @prefix if it matches @path up to a separator; 0 if it does not match.
static size_t
matched_prefix_length (const char *prefix, const char *path)
{
  size_t length = strlen (prefix);

  if (length == 0 || strncmp (prefix, path, length) != 0)
    return 0;
  if (prefix[length - 1] == '/' || path[length] == '\0' || path[length] == '/'
      || path[length] == '?')
    return length;
  return 0;
}

int
tt_chat_parse_plain_call (const TtConfigSection *documents, const char *method, const char *path,
                          const char *body, size_t size, const TtCallerHeaders *headers,
                          TtRequestSpec *spec, TtError *error)
{
  size_t best = 0;
  int code;

  memset (spec, 0, sizeof *spec);
  for (uint32_t i = 0; i < documents->slot_count; i++)
    {
      const TtDocument *document = documents->slots[i].document;

      for (uint32_t s = 0; document != NULL && s < document->service_count; s++)
        {
          size_t length = matched_prefix_length (document->services[s].path_prefix, path);

          if (length <= best)
            continue;
          best = length;
          (void) snprintf (spec->service, sizeof spec->service, "%s", document->services[s].name);
        }
    }
  if (best == 0)
    return tt_error_set (error, TT_E_NOT_FOUND, TT_STEP_CALLER_READ, CALLER_PEER_NAME,
                         "no document in force has a service for this path");
  code = parse_headers (headers, spec, error);
  spec->safe_method = strcmp (method, "GET") == 0 || strcmp (method, "HEAD") == 0;
  spec->body_hash = tt_hash_pair (tt_hash_pair (tt_hash_string (method), tt_hash_string (path)),
                                  tt_hash_bytes (body, size));
  if (spec->chat_key == 0)
    spec->chat_key = spec->body_hash;
  return code;
}

const char *
tt_chat_outcome_name (TtOutcome outcome)
{
  switch (outcome)
    {
    case TT_OUTCOME_COMPLETE:
    case TT_OUTCOME_RECORDED:
      return "complete";
    case TT_OUTCOME_NOT_RUN:
    case TT_OUTCOME_INVALID:
      return "not-run";
    case TT_OUTCOME_CUT:
      return "cut";
    default:
      return "unknown";
    }
}

/// Error type of an OpenAI-style error object for an HTTP status.
static const char *
error_type (unsigned status)
{
  if (status == 401 || status == 403)
    return "authentication_error";
  if (status == 429)
    return "rate_limit_error";
  return status < 500 ? "invalid_request_error" : "server_error";
}

size_t
tt_chat_format_error (char *buffer, size_t size, unsigned status, const char *request,
                      TtOutcome outcome, const char *message)
{
  json_object *root = json_object_new_object ();
  json_object *error = json_object_new_object ();
  int length;

  json_object_object_add (error, "message", json_object_new_string (message));
  json_object_object_add (error, "type", json_object_new_string (error_type (status)));
  json_object_object_add (error, "code", json_object_new_int ((int) status));
  json_object_object_add (error, "outcome",
                          json_object_new_string (tt_chat_outcome_name (outcome)));
  json_object_object_add (error, "request_id", json_object_new_string (request));
  json_object_object_add (root, "error", error);
  length = snprintf (buffer, size, "%s",
                     json_object_to_json_string_ext (root, JSON_C_TO_STRING_PLAIN));
  json_object_put (root);
  return length < 0 ? 0 : ((size_t) length < size ? (size_t) length : size - 1);
}

void
tt_chat_format_route (uint64_t backend_id, char *buffer)
{
  (void) snprintf (buffer, ROUTE_DIGITS + 1, "%016llx", (unsigned long long) backend_id);
}
