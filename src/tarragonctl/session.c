#include "session.h"
#include "tarragontrack/board/error.h"
#include "tarragontrack/codec/digest.h"
#include "tarragontrack/io/http_client.h"
#include "tarragontrack/io/object_dialect.h"
#include "tarragontrack/io/platform_client.h"
#include <stdio.h>
#include <string.h>
#include <uv.h>

#define CONNECT_TIMEOUT_MS 1000
#define TOTAL_TIMEOUT_MS 10000
#define MAX_RESPONSE_BYTES 16777216UL

struct CtlSession
{
  uv_loop_t loop;
  TtHttpClient *http;
  TtPlatformClient *platform;
  char *daemon;
  // State of the pending call.
  bool pending;
  int code;
  CtlPlatformCallback on_response;
  void *context;
  GString *body;
  unsigned status;
};

/// Receives a platform response and completes the pending call.
static void
on_platform_response (void *context, const TtEvent *event)
{
  CtlSession *session = context;

  session->pending = false;
  session->code = event->platform.code;
  if (session->on_response != NULL)
    session->on_response (session->context, &event->platform);
}

CtlSession *
ctl_session_new (const CtlOptions *options)
{
  CtlSession *session = g_new0 (CtlSession, 1);
  TtPlatformClientOptions platform = { .url = options->platform,
                                       .max_response_bytes = MAX_RESPONSE_BYTES,
                                       .dialect = tt_object_dialect (),
                                       .context = session,
                                       .on_event = on_platform_response };

  (void) uv_loop_init (&session->loop);
  session->daemon = g_strdup (options->daemon);
  session->body = g_string_new (NULL);
  session->http = tt_http_client_new (&session->loop);
  if (session->http != NULL && options->platform != NULL)
    session->platform = tt_platform_client_new (&session->loop, session->http, &platform);
  return session;
}

void
ctl_session_free (CtlSession *session)
{
  if (session->platform != NULL)
    tt_platform_client_free (session->platform);
  tt_http_client_free (session->http);
  (void) uv_run (&session->loop, UV_RUN_DEFAULT);
  (void) uv_loop_close (&session->loop);
  (void) g_string_free (session->body, TRUE);
  g_free (session->daemon);
  g_free (session);
}

/// Runs the loop until the pending call has completed.
static void
wait_for_call (CtlSession *session)
{
  while (session->pending)
    if (uv_run (&session->loop, UV_RUN_ONCE) == 0 && session->pending)
      {
        session->pending = false;
        session->code = TT_E_INTERNAL;
      }
}

int
ctl_session_call (CtlSession *session, TtPlatformOp op, const char *key, uint64_t version,
                  const TtObject *object, CtlPlatformCallback on_response, void *context)
{
  TtPlatformAction action = { .call_id = 1, .op = op, .version = version, .object = object };

  (void) g_strlcpy (action.key, key, sizeof action.key);
  session->on_response = on_response;
  session->context = context;
  session->pending = true;
  tt_platform_client_call (session->platform, &action);
  wait_for_call (session);
  return session->code;
}

static void
on_headers (void *context, TtHttpCall *call, unsigned status)
{
  CtlSession *session = context;

  (void) call;
  session->status = status;
}

static void
on_data (void *context, const char *data, size_t size)
{
  CtlSession *session = context;

  if (session->body->len + size <= MAX_RESPONSE_BYTES)
    (void) g_string_append_len (session->body, data, (gssize) size);
}

static void
on_end (void *context, const TtError *error)
{
  CtlSession *session = context;

  session->pending = false;
  session->code = error->code;
}

int
ctl_session_get (CtlSession *session, const char *path, char **body)
{
  char *url = g_strconcat (session->daemon, path, NULL);
  TtHttpRequest request = { .method = "GET",
                            .url = url,
                            .peer = session->daemon,
                            .connect_timeout_ms = CONNECT_TIMEOUT_MS,
                            .total_timeout_ms = TOTAL_TIMEOUT_MS,
                            // The daemon may have closed an idle connection between two samples.
                            .fresh_connection = true,
                            .context = session,
                            .on_headers = on_headers,
                            .on_data = on_data,
                            .on_end = on_end };

  (void) g_string_truncate (session->body, 0);
  session->pending = true;
  session->status = 0;
  if (tt_http_client_start (session->http, &request) == NULL)
    session->pending = false;
  wait_for_call (session);
  g_free (url);
  *body = g_strdup (session->body->str);
  return session->code < 0 ? session->code : (int) session->status;
}

CtlExit
ctl_session_print_error (const char *peer, int code)
{
  (void) fprintf (stderr, "tarragonctl: %s: %s\n", peer, tt_error_name (code));
  if (code == TT_E_TIMEOUT)
    return CTL_EXIT_EFFECT_UNKNOWN;
  return code == TT_E_CONFLICT ? CTL_EXIT_CONFLICT : CTL_EXIT_UNREACHABLE;
}

void
ctl_session_format_document_key (const TtDigest *hash, char key[TT_KEY_MAX])
{
  char text[TT_DIGEST_TEXT_SIZE];

  tt_digest_format (hash, text);
  (void) snprintf (key, TT_KEY_MAX, "documents/%s", text);
}
