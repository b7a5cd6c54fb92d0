#include "tarragontrack/platform/dialect.h"
#include "tarragontrack/board/backend.h"
#include "tarragontrack/board/error.h"
#include "tarragontrack/board/request.h"
#include "tarragontrack/io/header.h"
#include "tarragontrack/platform/event_stream.h"
#include "tarragontrack/platform/names.h"
#include "tarragontrack/platform/number.h"
#include "tarragontrack/platform/table.h"
#include <ctype.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>

enum
{
  STATUS_BAD_REQUEST = 400,
  STATUS_MISDIRECTED = 421,
  STATUS_TOO_MANY = 429,
  STATUS_UNAVAILABLE = 503,
  MAX_URGENCY = 9, ///< largest value of TT_WIRE_URGENCY
  NUMBER_TEXT_BYTES = 24,
  MIN_LOAD_NUMBERS = 3, ///< of TT_WIRE_LOAD; the fourth is optional
  MAX_LOAD_NUMBERS = 4,
  MAX_LOAD = 1000000 ///< requests; a TT_WIRE_LOAD above it is ignored
};

/// Hop-by-hop headers, and headers that are set separately for each HTTP message. They are neither
/// forwarded nor relayed.
static const char *const per_message_headers[]
    = { "connection", "keep-alive", "proxy-connection", "proxy-authenticate", "transfer-encoding",
        "te",         "trailer",    "upgrade",          "content-length",     "expect",
        "host" };

/// Headers of an attempt that only this system may set, and the header with the caller's key. The
/// values that a caller sends are not forwarded.
static const char *const reserved_headers[]
    = { TT_WIRE_AUTHORIZATION,    TT_WIRE_REMAINING_MS,    TT_WIRE_ACCOUNT,
        TT_WIRE_EXPECTED_BACKEND, TT_WIRE_URGENCY,         TT_WIRE_HOLD,
        TT_WIRE_PIN_MS,           TT_WIRE_KV_BACKUP,       TT_WIRE_KV_FROM,
        TT_WIRE_KV_FETCH,         TT_WIRE_EXPECTED_VERSION };

static bool
is_listed (const char *const *list, size_t count, const char *name)
{
  for (size_t i = 0; i < count; i++)
    if (strcmp (list[i], name) == 0)
      return true;
  return false;
}

#define IS_LISTED(list, name) is_listed (list, sizeof (list) / sizeof *(list), name)

/// Key of a prompt part by its id alone, whatever precedes it: the number if the id is a
/// hexadecimal one, so that logs show it as it was sent, or else a hash.
static uint64_t
part_key (const char *id, size_t length)
{
  char *end;
  uint64_t number;

  if (length == 0 || length > 16)
    return tt_hash_bytes (id, length);
  for (size_t i = 0; i < length; i++) // strtoull() would also accept a sign or "0x"
    if (!isxdigit ((unsigned char) id[i]))
      return tt_hash_bytes (id, length);
  number = strtoull (id, &end, 16);
  return end == id + length && number != 0 ? number : tt_hash_bytes (id, length);
}

/// Adds a shared part, unless the prompt contains it already.
static void
add_part (TtRequestSpec *spec, uint64_t key)
{
  for (uint32_t i = 0; i < spec->part_count; i++)
    if (spec->part_keys[i] == key)
      return;
  if (spec->part_count < TT_MAX_PROMPT_PARTS)
    spec->part_keys[spec->part_count++] = key;
}

/// Adds the number that fills [text, end) to a sum of tokens; adds nothing if there is none.
static uint32_t
add_tokens (uint32_t sum, const char *text, const char *end)
{
  const char *number_end;
  uint32_t number = tt_number_parse_u32 (text, &number_end);

  if (number_end != end)
    return sum;
  return number < UINT32_MAX - sum ? sum + number : UINT32_MAX;
}

/// Parses "ID:TOKENS,ID:TOKENS,...". The last part belongs to this request only, the others are
/// shared.
static void
parse_prompt_parts (const char *text, TtRequestSpec *spec)
{
  uint64_t key = 0;
  uint64_t previous_part = 0;
  uint32_t tokens = 0;

  while (*text != '\0')
    {
      size_t length = strcspn (text, ",");
      const char *colon = memchr (text, ':', length);
      size_t id_length = colon != NULL ? (size_t) (colon - text) : length;

      // The parts before this one are a shared prefix, because this part follows them.
      spec->prefix_key = key;
      if (spec->first_part_key == 0)
        spec->first_part_key = key;
      spec->shared_tokens = tokens;
      if (key != 0)
        add_part (spec, previous_part);
      previous_part = part_key (text, id_length);
      key = tt_hash_pair (key, tt_hash_bytes (text, id_length));
      if (colon != NULL)
        tokens = add_tokens (tokens, colon + 1, text + length);
      text += length + (text[length] == ',' ? 1 : 0);
    }
  spec->chat_key = key;
}

/// Parses the token counts "PROMPT,RESPONSE". Anything else counts as absent.
static void
parse_token_counts (const char *text, TtRequestSpec *spec)
{
  const char *prompt_end;
  const char *end;
  uint32_t prompt = tt_number_parse_u32 (text, &prompt_end);
  uint32_t response;

  if (prompt_end == text || *prompt_end != ',')
    return;
  response = tt_number_parse_u32 (prompt_end + 1, &end);
  if (end == prompt_end + 1 || *end != '\0' || prompt == UINT32_MAX || response == UINT32_MAX)
    return;
  spec->prompt_tokens = prompt;
  spec->max_tokens = response;
}

/// Finds the value of a header. RETURN NULL if it is absent or ambiguous.
static const char *
find_single (const TtHeaders *headers, const char *name)
{
  return tt_header_is_ambiguous (headers, name) ? NULL : tt_header_find (headers, name);
}

/// Parses a header with a whole number. Any other value counts as absent: a part of it would be a
/// number that the caller did not send, and a refusal would deny what the backend server may
/// accept.
static uint32_t
parse_whole (const TtHeaders *headers, const char *name)
{
  const char *text = find_single (headers, name);
  const char *end;
  uint32_t number = text != NULL ? tt_number_parse_u32 (text, &end) : 0;

  return text != NULL && end != text && *end == '\0' && number != UINT32_MAX ? number : 0;
}

static int
parse_request (void *context, const TtBoard *board, TtCallerCall *call, TtEvent *event,
               TtError *error)
{
  static const char bearer[] = "Bearer ";
  TtRequestSpec *spec = &call->spec;
  const char *authorization = find_single (&call->headers, TT_WIRE_AUTHORIZATION);
  const char *parts = find_single (&call->headers, TT_WIRE_PREFIX_HASHES);
  const char *token_counts = find_single (&call->headers, TT_WIRE_TOKEN_COUNTS);
  const char *id = tt_header_find (&call->headers, TT_WIRE_REQUEST_ID);

  (void) context, (void) board, (void) error;
  spec->host = call->host;
  spec->path = call->path;
  if (authorization != NULL && strncasecmp (authorization, bearer, sizeof bearer - 1) == 0)
    {
      const char *key = authorization + sizeof bearer - 1;

      spec->bearer_key_hash = tt_table_key_hash (key, strlen (key));
    }
  if (parts != NULL)
    parse_prompt_parts (parts, spec);
  if (token_counts != NULL)
    parse_token_counts (token_counts, spec);
  spec->response_timeout_ms = parse_whole (&call->headers, TT_WIRE_REMAINING_MS);
  spec->last_event_id = parse_whole (&call->headers, TT_WIRE_LAST_EVENT_ID);
  if (id != NULL)
    (void) snprintf (spec->external_id, sizeof spec->external_id, "%s", id);
  spec->body_hash
      = tt_hash_pair (tt_hash_string (call->path), tt_hash_bytes (call->body, call->body_size));
  event->type = TT_EVENT_REQUEST;
  event->request = spec;
  return TT_OK;
}

static void
write_response_headers (void *context, const TtCallerCall *call, const TtResponseHead *head,
                        TtAddHeader add, void *target)
{
  (void) context, (void) call;
  for (size_t i = 0; i < head->headers.count; i++)
    add (target, head->headers.entries[i].name, head->headers.entries[i].value);
}

static size_t
write_local_reply (void *context, const TtCallerCall *call, const TtReplyAction *reply,
                   TtAddHeader add, void *target, char *body, size_t size)
{
  const char *reason
      = reply->error.detail[0] != '\0' ? reply->error.detail : tt_error_name (reply->error.code);
  char text[NUMBER_TEXT_BYTES];
  int length;

  (void) context, (void) call;
  add (target, "content-type", "application/json");
  if (reply->retry_after_ms > 0)
    {
      (void) snprintf (text, sizeof text, "%u.%03u", reply->retry_after_ms / 1000,
                       reply->retry_after_ms % 1000);
      add (target, TT_WIRE_RETRY_AFTER, text);
    }
  length = snprintf (body, size, "{\"Error\":\"%s\"}", reason);
  return length < 0 ? 0 : (size_t) length < size ? (size_t) length : size - 1;
}

static void
write_attempt_headers (void *context, TtBoard *board, const TtAttemptAction *action,
                       const TtCallerCall *call, TtAddHeader add, void *target)
{
  const TtBackendServer *backend = tt_backend_find (board, action->backend_id);
  const TtRequest *request = tt_request_find (board, action->request_id);
  const TtBackendServer *source;
  char text[NUMBER_TEXT_BYTES];

  (void) context;
  if (call->host[0] != '\0')
    add (target, "host", call->host);
  for (size_t i = 0; i < call->headers.count; i++)
    {
      const TtHeader *header = &call->headers.entries[i];

      if (IS_LISTED (per_message_headers, header->name)
          || IS_LISTED (reserved_headers, header->name)
          || (action->last_event_id > 0 && strcmp (header->name, TT_WIRE_LAST_EVENT_ID) == 0))
        continue;
      add (target, header->name, header->value);
    }
  if (action->remaining_ms > 0)
    {
      (void) snprintf (text, sizeof text, "%u", action->remaining_ms);
      add (target, TT_WIRE_REMAINING_MS, text);
    }
  if (action->last_event_id > 0)
    {
      (void) snprintf (text, sizeof text, "%u", action->last_event_id);
      add (target, TT_WIRE_LAST_EVENT_ID, text);
    }
  if (backend != NULL)
    add (target, TT_WIRE_EXPECTED_BACKEND, backend->name);
  if (request == NULL)
    return;
  if (request->route.account != NULL)
    add (target, TT_WIRE_ACCOUNT, request->route.account);
  source = tt_backend_find (board, request->dispatch.prefix_source_id);
  if (source != NULL)
    {
      char address[TT_ADDRESS_MAX + 8];

      (void) snprintf (address, sizeof address, "%s:%u", source->address, source->port);
      add (target, TT_WIRE_KV_FETCH, address);
    }
  if (request->route.affinity)
    {
      (void) snprintf (text, sizeof text, "%u",
                       action->priority < MAX_URGENCY ? action->priority : MAX_URGENCY);
      add (target, TT_WIRE_URGENCY, text);
    }
}

/// Parses TT_WIRE_LOAD: running requests, waiting requests, slots and, if it is stated, the pace.
/// Another form says nothing.
static void
parse_load (const char *text, TtLoadSample *load)
{
  uint32_t numbers[MAX_LOAD_NUMBERS];
  size_t count = 0;

  while (text != NULL && count < MAX_LOAD_NUMBERS)
    {
      const char *at = text;

      numbers[count] = tt_number_parse_u32 (text, &at);
      if (at == text || (*at != ',' && *at != '\0'))
        return;
      count++;
      text = *at == ',' ? at + 1 : NULL;
    }
  if (text != NULL || count < MIN_LOAD_NUMBERS || numbers[0] > MAX_LOAD || numbers[1] > MAX_LOAD)
    return;
  *load = (TtLoadSample){ .known = true, .running = numbers[0], .waiting = numbers[1] };
}

/// True if a response states that the backend server did not run the request: status 421, or
/// TT_WIRE_NOT_EXECUTED beside one of the statuses for which it is defined. Its values are not
/// defined, so any but an empty one and "0" counts. If the header is believed by mistake, a request
/// that must not be repeated runs twice, which nothing can undo. If it is ignored by mistake, its
/// caller is told that the outcome is unknown. Hence it is ignored beside other statuses.
static bool
states_not_executed (const char *value, unsigned status)
{
  if (status == STATUS_MISDIRECTED)
    return true;
  return value != NULL && value[0] != '\0' && strcmp (value, "0") != 0
         && (status == STATUS_BAD_REQUEST || status == STATUS_TOO_MANY
             || status == STATUS_UNAVAILABLE);
}

/// Checks the form of a response's head. RETURN NULL, or the reason why it must not be relayed.
static const char *
find_head_fault (const TtResponseInfo *info, bool success, TtFindHeader find, void *source)
{
  if (success && find (source, TT_WIRE_SIGNATURE) == NULL)
    return "a success without the backend server's signature";
  // Requests ask for no coding, so the body would be that of another program.
  if (find (source, "content-encoding") != NULL)
    return "an answer with a content encoding";
  // Without its type, the body would be relayed unchecked.
  if (success && info->stream_requested && !info->event_stream)
    return "expected a stream of events";
  return NULL;
}

static int
parse_response_head (void *context, const TtCallerCall *call, TtId128 token, TtFindHeader find,
                     void *source, TtResponseInfo *info, const char **reason)
{
  const char *sent = tt_header_find (&call->headers, TT_WIRE_REQUEST_ID);
  const char *echoed = find (source, TT_WIRE_REQUEST_ID);
  const char *retry_after = find (source, TT_WIRE_RETRY_AFTER);
  const char *leaving = find (source, TT_WIRE_LEAVING);
  bool success = info->status >= 200 && info->status < 300;
  const char *fault;

  (void) context, (void) token;
  if (echoed != NULL && sent != NULL && strcmp (echoed, sent) != 0)
    {
      *reason = "the answer carries another request's id";
      return TT_E_STALE;
    }
  info->event_stream = success && info->stream_requested
                       && tt_header_is_event_stream (find (source, "content-type"));
  fault = find_head_fault (info, success, find, source);
  if (fault != NULL)
    {
      *reason = fault;
      return TT_E_MALFORMED;
    }
  info->leaving = leaving != NULL && strcmp (leaving, "1") == 0;
  info->not_executed = states_not_executed (find (source, TT_WIRE_NOT_EXECUTED), info->status);
  info->unavailable_ms = info->status == STATUS_UNAVAILABLE && retry_after != NULL
                             ? tt_number_parse_seconds (retry_after)
                             : 0;
  parse_load (find (source, TT_WIRE_LOAD), &info->load);
  return TT_OK;
}

static bool
relays_header (void *context, const char *name)
{
  // The HTTP server sets its own date and server headers.
  static const char *const replaced[] = { "date", "server" };

  (void) context;
  return !IS_LISTED (per_message_headers, name) && !IS_LISTED (replaced, name);
}

TtDialect
tt_platform_dialect (void)
{
  return (TtDialect){ .closes_incomplete_streams = true,
                      .close_ends_response = true,
                      .connection_per_attempt = true,
                      .parse_request = parse_request,
                      .write_response_headers = write_response_headers,
                      .write_local_reply = write_local_reply,
                      .write_attempt_headers = write_attempt_headers,
                      .parse_response_head = parse_response_head,
                      .relays_header = relays_header,
                      .scan = tt_event_stream_scan };
}
