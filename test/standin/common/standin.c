#include "standin.h"
#include <h2o.h>
#include <signal.h>
#include <stdio.h>
#include <string.h>

#define MAX_BODY (4 << 20)
#define MAX_HEADER 65536
#define MAX_CONNECTIONS 1024
#define READ_TIMEOUT_MS 60000

bool
standin_parse_options (int argc, char **argv, const StandinOption *options, size_t count)
{
  for (int i = 1; i < argc; i += 2)
    {
      const StandinOption *found = NULL;
      char *end = NULL;
      long value = i + 1 < argc ? strtol (argv[i + 1], &end, 10) : 0;

      for (size_t o = 0; o < count; o++)
        if (strncmp (argv[i], "--", 2) == 0 && strcmp (argv[i] + 2, options[o].name) == 0)
          found = &options[o];
      if (found == NULL || end == NULL || *end != '\0')
        {
          for (size_t o = 0; o < count; o++)
            (void) fprintf (stderr, "  --%s NUMBER  %s (%ld)\n", options[o].name, options[o].help,
                            *options[o].value);
          return false;
        }
      *found->value = value;
    }
  return true;
}

int
standin_listen (Standin *standin, long port, void *context,
                void (*on_request) (void *context, h2o_req_t *request))
{
  TtHttpServerOptions options = { .address = "127.0.0.1",
                                  .port = (uint16_t) port,
                                  .max_connections = MAX_CONNECTIONS,
                                  .max_body_bytes = MAX_BODY,
                                  .max_header_bytes = MAX_HEADER,
                                  .read_timeout_ms = READ_TIMEOUT_MS,
                                  .context = context,
                                  .on_request = on_request };
  TtError error;

  (void) signal (SIGPIPE, SIG_IGN);
  standin->loop = uv_default_loop ();
  standin->server = tt_http_server_new (standin->loop, &options, &error);
  if (standin->server != NULL)
    return 0;
  (void) fprintf (stderr, "cannot listen: %s\n", error.detail);
  return 1;
}

static void
on_lifetime_end (uv_timer_t *timer)
{
  uv_stop (timer->loop);
}

static void
on_signal (uv_signal_t *handle, int number)
{
  (void) number;
  uv_stop (handle->loop);
}

int
standin_serve (Standin *standin, long lifetime_s)
{
  uv_timer_t lifetime;
  uv_signal_t terminate;
  uv_signal_t interrupt;

  (void) uv_timer_init (standin->loop, &lifetime);
  (void) uv_timer_start (&lifetime, on_lifetime_end, (uint64_t) lifetime_s * 1000, 0);
  (void) uv_signal_init (standin->loop, &terminate);
  (void) uv_signal_start (&terminate, on_signal, SIGTERM);
  (void) uv_signal_init (standin->loop, &interrupt);
  (void) uv_signal_start (&interrupt, on_signal, SIGINT);
  (void) uv_run (standin->loop, UV_RUN_DEFAULT);
  return 0;
}

void
standin_echo_attempt_id (h2o_req_t *request)
{
  const char *attempt_id = tt_http_server_get_header (request, "x-attempt-id");

  if (attempt_id != NULL)
    tt_http_server_add_header (request, "x-attempt-id", attempt_id);
}

void
standin_send_json (h2o_req_t *request, unsigned status, json_object *object)
{
  const char *text = json_object_to_json_string_ext (object, JSON_C_TO_STRING_PLAIN);

  standin_echo_attempt_id (request);
  tt_http_server_send_response (request, status, "application/json", text, strlen (text));
  json_object_put (object);
}

void
standin_close_connection (h2o_req_t *request)
{
  h2o_socket_t *socket = request->conn->callbacks->get_socket (request->conn);

  if (socket != NULL)
    (void) shutdown (h2o_socket_get_fd (socket), SHUT_RDWR);
}

bool
standin_request_matches (h2o_req_t *request, const char *method, const char *prefix)
{
  size_t length = strlen (prefix);

  return h2o_memis (request->method.base, request->method.len, method, strlen (method))
         && request->path.len >= length && memcmp (request->path.base, prefix, length) == 0;
}

json_object *
standin_parse_body (h2o_req_t *request)
{
  h2o_iovec_t copy;

  if (request->entity.len == 0)
    return NULL;
  copy = h2o_strdup (&request->pool, request->entity.base, request->entity.len);
  return json_tokener_parse (copy.base);
}

long
standin_json_integer (json_object *object, const char *key, long fallback)
{
  json_object *value = NULL;

  if (!json_object_is_type (object, json_type_object)
      || !json_object_object_get_ex (object, key, &value) || value == NULL)
    return fallback;
  return (long) json_object_get_int64 (value);
}
