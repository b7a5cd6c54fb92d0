#include "tarragontrack/io/object_dialect.h"
#include "tarragontrack/board/error.h"
#include "tarragontrack/codec/object.h"
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

enum
{
  PATH_MAX_BYTES = 3 * TT_KEY_MAX + 128, ///< of an encoded path with its query
  CALL_TIMEOUT_MS = 2000,
  WATCH_WAIT_MS = 4000,   ///< longest time for which the platform may hold a watch request
  WATCH_TIMEOUT_MS = 6000 ///< without a response for longer, the connection is considered lost
};

/// Decodes the object of a complete, successful response.
static int
decode_object (const TtPlatformResponse *response, TtObject **object, TtError *error)
{
  // Without a version in the response, the effect of a PUT is unknown; the controller reads the
  // object again.
  if (response->version == 0)
    return tt_error_set (error, response->op == TT_PLATFORM_PUT ? TT_E_TIMEOUT : TT_E_MALFORMED,
                         error->step, response->key, "expected a version in ETag");
  if (response->op == TT_PLATFORM_PUT)
    return TT_OK;
  if (tt_object_decode (response->op == TT_PLATFORM_HOSTS ? TT_OBJECT_HOSTS_KEY : response->key,
                        response->data, response->size, object, error)
      == TT_OK)
    return TT_OK;
  return TT_E_MALFORMED;
}

/// Maps an HTTP status to an error code. Statuses of 500 and above may come from a proxy after the
/// platform executed the request, so the effect of a PUT is unknown.
static int
status_to_error (const TtPlatformResponse *response)
{
  if (response->status == 412 || (response->status == 409 && response->op == TT_PLATFORM_PUT))
    return TT_E_CONFLICT;
  if (response->status == 404)
    return TT_E_NOT_FOUND;
  if (response->status >= 500 && response->op == TT_PLATFORM_PUT)
    return TT_E_TIMEOUT;
  return TT_E_UNAVAILABLE;
}

static int
decode_response (void *context, const TtPlatformResponse *response, TtPlatformEvent *event,
                 TtError *error)
{
  TtObject *object = NULL;

  (void) context;
  if (response->status == 304)
    event->unchanged = true;
  else if (response->status == 200 || response->status == 201 || response->status == 204)
    event->code = decode_object (response, &object, error);
  else
    event->code = tt_error_set (error, status_to_error (response), error->step, response->key,
                                "status %u", response->status);
  if (event->code == TT_E_NOT_FOUND)
    event->version = 0;
  event->object = object;
  return event->code;
}

static void
free_response (void *context, TtPlatformEvent *event)
{
  (void) context;
  tt_object_free ((TtObject *) event->object);
  event->object = NULL;
}

/// Appends @key to @path and percent-encodes bytes that are reserved in URLs.
static void
append_key (char *path, size_t size, const char *key)
{
  static const char unreserved[]
      = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789-._~/";
  size_t length = strlen (path);

  for (; *key != '\0' && length + 4 < size; key++)
    if (strchr (unreserved, *key) != NULL)
      {
        path[length++] = *key;
        path[length] = '\0';
      }
    else
      length += (size_t) snprintf (path + length, size - length, "%%%02X", (unsigned char) *key);
}

static void
write_path (const TtPlatformAction *action, char *path, size_t size)
{
  (void) snprintf (path, size, "%s", action->op == TT_PLATFORM_HOSTS ? "/hosts" : "/objects/");
  if (action->op == TT_PLATFORM_HOSTS)
    {
      if (action->key[0] == '\0')
        return;
      (void) snprintf (path + strlen (path), size - strlen (path), "?domain=");
      append_key (path, size, action->key);
      return;
    }
  append_key (path, size, action->key);
  if (action->op == TT_PLATFORM_WATCH)
    {
      size_t length = strlen (path);

      (void) snprintf (path + length, size - length, "?watch=%llu&wait_ms=%d",
                       (unsigned long long) action->version, WATCH_WAIT_MS);
    }
}

static int
encode_request (void *context, const TtPlatformAction *action, TtPlatformRequest *request,
                TtError *error)
{
  bool is_put = action->op == TT_PLATFORM_PUT;

  (void) context;
  request->path = malloc (PATH_MAX_BYTES);
  if (request->path == NULL)
    return tt_error_set (error, TT_E_NO_MEMORY, TT_STEP_PLATFORM_READ, action->key, "path");
  write_path (action, request->path, PATH_MAX_BYTES);
  request->method = is_put ? "PUT" : "GET";
  request->timeout_ms = action->op == TT_PLATFORM_WATCH ? WATCH_TIMEOUT_MS : CALL_TIMEOUT_MS;
  if (is_put || action->op == TT_PLATFORM_HOSTS)
    (void) snprintf (request->condition_header, sizeof request->condition_header, "%s: %llu",
                     is_put ? "If-Match" : "If-None-Match", (unsigned long long) action->version);
  return is_put ? tt_object_encode (action->object, action->key, &request->body,
                                    &request->body_size, error)
                : TT_OK;
}

TtPlatformDialect
tt_object_dialect (void)
{
  return (TtPlatformDialect){ .era_header = "Store-Era",
                              .encode_request = encode_request,
                              .decode_response = decode_response,
                              .free_response = free_response };
}
