/// Stand-in for the platform: versioned objects, watches and the host list over HTTP on 127.0.0.1.
///
/// GET, PUT /objects/KEY, GET /list?prefix=P, GET /hosts[?domain=D]; see io/platform_client.h.
/// POST /control/faults accepts any of these keys:
///   outage       "none"; "error" = status 503, "close" = connection closed, "silent" = no
///                response; in the last three, requests have no effect
///   lose_writes  the next N PUTs take effect, and the connection is closed without a response
///   lose_part    the fraction of PUTs, 0 to 1, whose response is lost in the same way
///   slow_ms      responses are delayed by N/2 to 3N/2 ms; writes take effect immediately
///   rate         calls per second, a watch counted once; the excess gets a 429. 0 = no limit
///   write_rate   the same limit for PUT requests alone
///   lose_watches the responses to the next N watches are lost: nothing more is sent there
///   era          responses have Store-Era: N, which rises with each /control/restore. 0 = they do
///   not
/// POST /control/hosts sets the host list. POST /control/lag {"domain": D, "lag_ms": N} sets the
/// delay with which readers in a failure domain see it. POST /control/save takes a snapshot of the
/// objects, and /control/restore restores it; with an era, it also closes all connections that
/// wait. GET /control/stats returns counters.
#include "common/platform_query.h"
#include "common/platform_responder.h"
#include <h2o/http1.h>
#include <json-c/json.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

enum
{
  MAX_OBJECT_BYTES = 1000000,
  MAX_WAIT_MS = 30000,
  DEFAULT_WAIT_MS = 10000,
  TICK_MS = 5,
  DEFAULT_RATE = 2000,      ///< calls per second that the platform sustains
  DEFAULT_WRITE_RATE = 400, ///< writes per second
  BACKLOG = 512
};

typedef enum
{
  OUTAGE_NONE,
  OUTAGE_ERROR,
  OUTAGE_CLOSE,
  OUTAGE_SILENT
} Outage;

/// Token bucket of a rate limit; it holds at most the tokens of one second.
typedef struct
{
  double rate; ///< tokens per second; 0 = no limit
  double tokens;
  uint64_t refilled_ms;
} TokenBucket;

typedef struct
{
  uint64_t calls;
  uint64_t writes;
  uint64_t conflicts;
  uint64_t limited;
  uint64_t lost;
} Stats;

typedef struct
{
  h2o_globalconf_t config;
  h2o_context_t context;
  h2o_accept_ctx_t accept;
  uv_tcp_t listener;
  uv_timer_t tick;
  PlatformStore store;
  PlatformResponder responder;
  uint64_t era; ///< 0 = responses state none
  Outage outage;
  long lose_writes;
  double lose_fraction;
  TokenBucket call_bucket; ///< limits all calls, including writes
  TokenBucket write_bucket;
  Stats stats;
} Platform;

static Platform platform;

static uint64_t
now_ms (void)
{
  return uv_now (platform.responder.loop);
}

static void
send_json (h2o_req_t *request, json_object *object)
{
  const char *text = json_object_to_json_string_ext (object, JSON_C_TO_STRING_PLAIN);

  platform_responder_send_now (request, 200, 0, text, strlen (text));
  json_object_put (object);
}

static bool
consume_token (TokenBucket *bucket)
{
  double refilled
      = bucket->tokens + (double) (now_ms () - bucket->refilled_ms) / 1000 * bucket->rate;

  bucket->tokens = refilled < bucket->rate ? refilled : bucket->rate;
  bucket->refilled_ms = now_ms ();
  if (bucket->rate <= 0)
    return true;
  if (bucket->tokens < 1)
    return false;
  bucket->tokens -= 1;
  return true;
}

static void
send_object (h2o_req_t *request, const char *key)
{
  const PlatformObject *object = platform_store_find (&platform.store, key);

  if (object == NULL)
    platform_responder_send (&platform.responder, request, 404, 0, NULL, 0);
  else
    platform_responder_send (&platform.responder, request, 200, object->version, object->text,
                             object->size);
}

static void
get_object (h2o_req_t *request, const char *key)
{
  const PlatformObject *object = platform_store_find (&platform.store, key);
  char text[32];
  uint64_t watched;
  uint64_t wait_ms = DEFAULT_WAIT_MS;

  if (!platform_query_value (request, "watch", text, sizeof text))
    {
      send_object (request, key);
      return;
    }
  watched = strtoull (text, NULL, 10);
  if ((object != NULL ? object->version : 0) != watched)
    {
      send_object (request, key);
      return;
    }
  if (platform_query_value (request, "wait_ms", text, sizeof text))
    wait_ms = strtoull (text, NULL, 10);
  platform_responder_hold_watch (&platform.responder, request, key, watched,
                                 wait_ms < MAX_WAIT_MS ? wait_ms : MAX_WAIT_MS);
}

static void
put_object (h2o_req_t *request, const char *key)
{
  uint64_t expected = platform_header_number (request, "if-match", UINT64_MAX);
  const PlatformObject *object;
  uint64_t version;

  if (expected == UINT64_MAX || request->entity.len > MAX_OBJECT_BYTES)
    {
      platform_responder_send (&platform.responder, request, expected == UINT64_MAX ? 428 : 413, 0,
                               NULL, 0);
      return;
    }
  if (!consume_token (&platform.write_bucket))
    {
      platform.stats.limited++;
      platform_responder_send (&platform.responder, request, 429, 0, NULL, 0);
      return;
    }
  version = platform_store_put (&platform.store, key, expected, request->entity.base,
                                request->entity.len);
  if (version == 0)
    {
      object = platform_store_find (&platform.store, key);
      platform.stats.conflicts++;
      platform_responder_send (&platform.responder, request, 412,
                               object != NULL ? object->version : 0, NULL, 0);
      return;
    }
  platform.stats.writes++;
  platform_responder_notify_watches (&platform.responder, &platform.store);
  if (platform.lose_writes > 0
      || (platform.lose_fraction > 0
          && tt_rng_unit (&platform.responder.rng) < platform.lose_fraction))
    {
      platform.lose_writes -= platform.lose_writes > 0;
      platform.stats.lost++;
      platform_responder_close_connection (request);
      return;
    }
  platform_responder_send (&platform.responder, request, expected == 0 ? 201 : 200, version, NULL,
                           0);
}

static void
get_list (h2o_req_t *request)
{
  json_object *root = json_object_new_object ();
  json_object *keys = json_object_new_array ();
  const char *text;
  char prefix[TT_KEY_MAX] = "";

  (void) platform_query_value (request, "prefix", prefix, sizeof prefix);
  json_object_object_add (root, "objects", keys);
  TT_LIST_FOREACH (&platform.store.objects, it)
    {
      const PlatformObject *object = TT_CONTAINER_OF (it, PlatformObject, link);
      json_object *entry;

      if (strncmp (object->key, prefix, strlen (prefix)) != 0)
        continue;
      entry = json_object_new_object ();
      json_object_object_add (entry, "key", json_object_new_string (object->key));
      json_object_object_add (entry, "version", json_object_new_uint64 (object->version));
      json_object_array_add (keys, entry);
    }
  text = json_object_to_json_string_ext (root, JSON_C_TO_STRING_PLAIN);
  platform_responder_send (&platform.responder, request, 200, 0, text, strlen (text));
  json_object_put (root);
}

static void
get_hosts (h2o_req_t *request)
{
  char domain[TT_NAME_MAX] = "";
  const PlatformHosts *hosts;

  (void) platform_query_value (request, "domain", domain, sizeof domain);
  hosts = platform_store_hosts (&platform.store, domain, now_ms ());
  if (hosts == NULL)
    platform_responder_send (&platform.responder, request, 404, 0, NULL, 0);
  else if (platform_header_number (request, "if-none-match", 0) == hosts->version)
    platform_responder_send (&platform.responder, request, 304, hosts->version, NULL, 0);
  else
    platform_responder_send (&platform.responder, request, 200, hosts->version, hosts->text,
                             strlen (hosts->text));
}

static void
set_faults (json_object *body)
{
  static const char *const outages[] = { "none", "error", "close", "silent" };

  json_object_object_foreach (body, key, value)
  {
    if (strcmp (key, "outage") == 0)
      {
        for (int i = 0; i < 4; i++)
          if (strcmp (json_object_get_string (value), outages[i]) == 0)
            platform.outage = (Outage) i;
      }
    else if (strcmp (key, "lose_writes") == 0)
      platform.lose_writes = (long) json_object_get_int64 (value);
    else if (strcmp (key, "lose_part") == 0)
      platform.lose_fraction = json_object_get_double (value);
    else if (strcmp (key, "slow_ms") == 0)
      platform.responder.delay_ms = (long) json_object_get_int64 (value);
    else if (strcmp (key, "rate") == 0)
      platform.call_bucket.rate = json_object_get_double (value);
    else if (strcmp (key, "write_rate") == 0)
      platform.write_bucket.rate = json_object_get_double (value);
    else if (strcmp (key, "lose_watches") == 0)
      platform.responder.lose_watches = (uint32_t) json_object_get_int64 (value);
    else if (strcmp (key, "era") == 0)
      platform.era = json_object_get_uint64 (value);
  }
}

static void
set_lag (json_object *body)
{
  json_object *domain = NULL;
  json_object *lag = NULL;

  (void) json_object_object_get_ex (body, "domain", &domain);
  (void) json_object_object_get_ex (body, "lag_ms", &lag);
  platform_store_set_lag (&platform.store, domain != NULL ? json_object_get_string (domain) : "",
                          json_object_get_uint64 (lag));
}

static json_object *
stats_to_json (void)
{
  json_object *root = json_object_new_object ();

  json_object_object_add (root, "calls", json_object_new_uint64 (platform.stats.calls));
  json_object_object_add (root, "writes", json_object_new_uint64 (platform.stats.writes));
  json_object_object_add (root, "conflicts", json_object_new_uint64 (platform.stats.conflicts));
  json_object_object_add (root, "limited", json_object_new_uint64 (platform.stats.limited));
  json_object_object_add (root, "lost", json_object_new_uint64 (platform.stats.lost));
  json_object_object_add (root, "pending", json_object_new_uint64 (platform.responder.held.count));
  json_object_object_add (root, "objects", json_object_new_uint64 (platform.store.objects.count));
  return root;
}

static void
handle_control (h2o_req_t *request, const char *command)
{
  h2o_iovec_t text = h2o_strdup (&request->pool, request->entity.base, request->entity.len);
  json_object *body = request->entity.len > 0 ? json_tokener_parse (text.base) : NULL;
  bool object = json_object_is_type (body, json_type_object);
  unsigned status = 204;

  if (strcmp (command, "stats") == 0)
    {
      send_json (request, stats_to_json ());
      json_object_put (body);
      return;
    }
  if (strcmp (command, "faults") == 0 && object)
    set_faults (body);
  else if (strcmp (command, "hosts") == 0 && object)
    platform_store_set_hosts (&platform.store, text.base, now_ms ());
  else if (strcmp (command, "lag") == 0 && object)
    set_lag (body);
  else if (strcmp (command, "save") == 0)
    platform_store_take_snapshot (&platform.store);
  else if (strcmp (command, "restore") == 0)
    {
      platform_store_restore_snapshot (&platform.store);
      if (platform.era > 0)
        {
          platform.era++;
          platform_responder_close_held (&platform.responder);
        }
      platform_responder_notify_watches (&platform.responder, &platform.store);
    }
  else
    status = 400;
  json_object_put (body);
  platform_responder_send_now (request, status, 0, NULL, 0);
}

/// Rejects a call during an outage or above the rate limit. RETURN true if it was rejected.
static bool
reject_call (h2o_req_t *request)
{
  platform.stats.calls++;
  if (platform.outage == OUTAGE_ERROR)
    platform_responder_send_now (request, 503, 0, NULL, 0);
  else if (platform.outage == OUTAGE_CLOSE)
    platform_responder_close_connection (request);
  else if (platform.outage == OUTAGE_SILENT)
    platform_responder_hold_silent (&platform.responder, request);
  else if (!consume_token (&platform.call_bucket))
    {
      platform.stats.limited++;
      platform_responder_send_now (request, 429, 0, NULL, 0);
    }
  else
    return false;
  return true;
}

static void
add_era (h2o_req_t *request)
{
  char text[24];
  int length = snprintf (text, sizeof text, "%llu", (unsigned long long) platform.era);
  h2o_iovec_t era = h2o_strdup (&request->pool, text, (size_t) length);

  if (platform.era > 0)
    h2o_add_header_by_str (&request->pool, &request->res.headers, H2O_STRLIT ("store-era"), 0, NULL,
                           era.base, era.len);
}

static int
on_request (h2o_handler_t *handler, h2o_req_t *request)
{
  char path[TT_KEY_MAX + 16];
  bool get = h2o_memis (request->method.base, request->method.len, H2O_STRLIT ("GET"));

  (void) handler;
  add_era (request);
  (void) snprintf (path, sizeof path, "%.*s", (int) request->path_normalized.len,
                   request->path_normalized.base);
  if (strncmp (path, "/control/", 9) == 0)
    handle_control (request, path + 9);
  else if (reject_call (request))
    ;
  else if (get && strcmp (path, "/hosts") == 0)
    get_hosts (request);
  else if (get && strcmp (path, "/list") == 0)
    get_list (request);
  else if (get && strncmp (path, "/objects/", 9) == 0)
    get_object (request, path + 9);
  else if (h2o_memis (request->method.base, request->method.len, H2O_STRLIT ("PUT"))
           && strncmp (path, "/objects/", 9) == 0)
    put_object (request, path + 9);
  else
    platform_responder_send_now (request, 400, 0, NULL, 0);
  return 0;
}

static void
on_tick (uv_timer_t *timer)
{
  (void) timer;
  platform_responder_send_due (&platform.responder);
}

static void
free_connection (uv_handle_t *handle)
{
  free (handle);
}

static void
on_connection (uv_stream_t *listener, int status)
{
  uv_tcp_t *tcp = calloc (1, sizeof *tcp);

  if (status < 0 || tcp == NULL || uv_tcp_init (listener->loop, tcp) != 0)
    {
      free (tcp);
      return;
    }
  if (uv_accept (listener, (uv_stream_t *) tcp) != 0)
    uv_close ((uv_handle_t *) tcp, free_connection);
  else
    h2o_accept (&platform.accept, h2o_uv_socket_create ((uv_stream_t *) tcp, free_connection));
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

/// Starts the HTTP server. RETURN false after printing an error.
static bool
start_server (uv_loop_t *loop, long port)
{
  struct sockaddr_in address;
  h2o_hostconf_t *host;
  int code;

  h2o_config_init (&platform.config);
  platform.config.max_request_entity_size = 2 * (size_t) MAX_OBJECT_BYTES;
  host
      = h2o_config_register_host (&platform.config, h2o_iovec_init (H2O_STRLIT ("default")), 65535);
  h2o_create_handler (h2o_config_register_path (host, "/", 0), sizeof (h2o_handler_t))->on_req
      = on_request;
  h2o_context_init (&platform.context, loop, &platform.config);
  platform.accept.ctx = &platform.context;
  platform.accept.hosts = platform.config.hosts;
  (void) uv_tcp_init (loop, &platform.listener);
  (void) uv_ip4_addr ("127.0.0.1", (int) port, &address);
  code = uv_tcp_bind (&platform.listener, (const struct sockaddr *) &address, 0);
  if (code == 0)
    code = uv_listen ((uv_stream_t *) &platform.listener, BACKLOG, on_connection);
  if (code != 0)
    (void) fprintf (stderr, "cannot listen at 127.0.0.1:%ld: %s\n", port, uv_strerror (code));
  return code == 0;
}

static bool
read_options (int argc, char **argv, long *port, long *seed, long *lifetime_s)
{
  for (int i = 1; i < argc; i += 2)
    {
      char *end = NULL;
      long value = i + 1 < argc ? strtol (argv[i + 1], &end, 10) : 0;

      if (end == NULL || *end != '\0')
        return false;
      if (strcmp (argv[i], "--port") == 0)
        *port = value;
      else if (strcmp (argv[i], "--seed") == 0)
        *seed = value;
      else if (strcmp (argv[i], "--lifetime") == 0)
        *lifetime_s = value;
      else
        return false;
    }
  return true;
}

int
main (int argc, char **argv)
{
  uv_loop_t *loop = uv_default_loop ();
  uv_timer_t lifetime;
  uv_signal_t terminate;
  long port = 8500;
  long seed = 1;
  long lifetime_s = 300;

  if (!read_options (argc, argv, &port, &seed, &lifetime_s))
    {
      (void) fprintf (stderr, "usage: standin_platform --port N --seed N --lifetime SECONDS\n");
      return 2;
    }
  (void) signal (SIGPIPE, SIG_IGN);
  platform_store_init (&platform.store);
  platform_responder_init (&platform.responder, loop, (uint64_t) seed);
  platform.call_bucket.rate = DEFAULT_RATE;
  platform.write_bucket.rate = DEFAULT_WRITE_RATE;
  if (!start_server (loop, port))
    return 1;
  (void) uv_timer_init (loop, &platform.tick);
  (void) uv_timer_start (&platform.tick, on_tick, TICK_MS, TICK_MS);
  (void) uv_timer_init (loop, &lifetime);
  (void) uv_timer_start (&lifetime, on_lifetime_end, (uint64_t) lifetime_s * 1000, 0);
  (void) uv_signal_init (loop, &terminate);
  (void) uv_signal_start (&terminate, on_signal, SIGTERM);
  (void) uv_run (loop, UV_RUN_DEFAULT);
  return 0;
}
