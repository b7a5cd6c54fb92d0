#include "tarragontrack/io/object_dialect.h"
#include "tarragontrack/board/error.h"
#include "tarragontrack/codec/object.h"
#include <stdio.h>
#include <string.h>

enum
{
  CALL_TIMEOUT_MS = 2000,
  WATCH_WAIT_MS = 4000,   ///< how long the platform may hold a watch
  WATCH_TIMEOUT_MS = 6000 ///< longer silence means a dead connection
};

/// Reads the object of a whole answer with status 200.
static int
read_object (const TtPlatformReply *reply, TtObject **object, TtError *error)
{
  // A PUT without a version took effect in an unknown way; the caller reads the object back.
  if (reply->version == 0)
    return tt_error_set (error, reply->op == TT_PLATFORM_PUT ? TT_E_TIMEOUT : TT_E_MALFORMED,
                         error->step, reply->key, "expected a version in ETag");
  if (reply->op == TT_PLATFORM_PUT)
    return TT_OK;
  if (tt_object_decode (reply->op == TT_PLATFORM_HOSTS ? TT_OBJECT_HOSTS_KEY : reply->key,
                        reply->data, reply->size, object, error)
      == TT_OK)
    return TT_OK;
  return TT_E_MALFORMED;
}

/// Code of an answer's status. Other statuses of 500 and above may come from a proxy after the
/// platform did the work, so that the effect of a PUT is unknown.
static int
code_of_status (const TtPlatformReply *reply)
{
  if (reply->status == 412 || (reply->status == 409 && reply->op == TT_PLATFORM_PUT))
    return TT_E_CONFLICT;
  if (reply->status == 404)
    return TT_E_NOT_FOUND;
  if (reply->status >= 500 && reply->op == TT_PLATFORM_PUT)
    return TT_E_TIMEOUT;
  return TT_E_UNAVAILABLE;
}

static int
read_answer (void *context, const TtPlatformReply *reply, TtPlatformEvent *event, TtError *error)
{
  TtObject *object = NULL;

  (void) context;
  if (reply->status == 304)
    event->unchanged = true;
  else if (reply->status == 200 || reply->status == 201 || reply->status == 204)
    event->code = read_object (reply, &object, error);
  else
    event->code = tt_error_set (error, code_of_status (reply), error->step, reply->key, "status %u",
                                reply->status);
  if (event->code == TT_E_NOT_FOUND)
    event->version = 0;
  event->object = object;
  return event->code;
}

static void
free_answer (void *context, TtPlatformEvent *event)
{
  (void) context;
  tt_object_free ((TtObject *) event->object);
  event->object = NULL;
}

/// Appends @key to @path; bytes that have a meaning in URLs are escaped.
static void
append_key (char *path, size_t size, const char *key)
{
  static const char safe[] = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789-._~/";
  size_t length = strlen (path);

  for (; *key != '\0' && length + 4 < size; key++)
    if (strchr (safe, *key) != NULL)
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
write_call (void *context, const TtPlatformAction *action, TtPlatformRequest *request,
            TtError *error)
{
  bool put = action->op == TT_PLATFORM_PUT;

  (void) context;
  write_path (action, request->path, sizeof request->path);
  request->method = put ? "PUT" : "GET";
  request->timeout_ms = action->op == TT_PLATFORM_WATCH ? WATCH_TIMEOUT_MS : CALL_TIMEOUT_MS;
  if (put || action->op == TT_PLATFORM_HOSTS)
    (void) snprintf (request->condition, sizeof request->condition, "%s: %llu",
                     put ? "If-Match" : "If-None-Match", (unsigned long long) action->version);
  return put ? tt_object_encode (action->object, action->key, &request->body, &request->body_size,
                                 error)
             : TT_OK;
}

TtPlatformDialect
tt_object_dialect (void)
{
  return (TtPlatformDialect){ .write_call = write_call,
                              .read_answer = read_answer,
                              .free_answer = free_answer };
}
