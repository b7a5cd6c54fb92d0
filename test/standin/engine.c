/// Stand-in for a model engine: continuous batching, resumable streams, a prefix cache of limited
/// size, delayed load reports, orders, KV cache export and import, and fault injection by
/// POST /control.
#include "common/engine_job.h"
#include "common/standin.h"
#include "tarragontrack/board/hash.h"
#include <stdio.h>
#include <string.h>

#define CHAT_PATH "/v1/chat/completions"
#define STATUS_CONFLICT 409

/// Sends the load as sampled at the last report, and the cache events after a given number.
static void
send_load (Engine *engine, h2o_req_t *request)
{
  static const char *const keys[] = { "model", "adapter", "version", "role" };
  char path[64] = "";
  json_object *root = json_object_new_object ();
  json_object *value = NULL;
  const char *since;
  uint64_t next;

  (void) snprintf (path, sizeof path, "%.*s", (int) request->path.len, request->path.base);
  since = strstr (path, "since=");
  json_object_object_add (root, "running", json_object_new_int64 (engine->reported_running));
  json_object_object_add (root, "waiting", json_object_new_int64 (engine->reported_waiting));
  json_object_object_add (root, "served", json_object_new_uint64 (engine->served_requests));
  json_object_object_add (root, "generated", json_object_new_uint64 (engine->generated_tokens));
  for (size_t i = 0; i < sizeof keys / sizeof keys[0]; i++)
    if (json_object_object_get_ex (engine->role, keys[i], &value))
      json_object_object_add (root, keys[i], json_object_get (value));
  json_object_object_add (root, "events",
                          engine_cache_events (&engine->cache,
                                               since != NULL ? strtoull (since + 6, NULL, 10) : 0,
                                               &next));
  json_object_object_add (root, "next", json_object_new_uint64 (next));
  standin_send_json (request, 200, root);
}

/// Handles an order: accepts it, or rejects it if its fencing token is outdated.
static void
handle_order (Engine *engine, h2o_req_t *request)
{
  json_object *body = standin_parse_body (request);
  uint64_t fencing_token = (uint64_t) standin_json_integer (body, "fencing", 0);

  if (body == NULL || (engine->check_fencing != 0 && fencing_token < engine->last_fencing_token))
    {
      json_object_put (body);
      standin_send_json (request, STATUS_CONFLICT, json_object_new_object ());
      return;
    }
  if (fencing_token > engine->last_fencing_token)
    engine->last_fencing_token = fencing_token;
  json_object_put (engine->pending_role);
  engine->pending_role = body;
  engine->pending_role_due_ms = uv_now (engine->standin.loop) + (uint64_t) engine->load_lag_ms;
  standin_send_json (request, 200, json_object_new_object ());
}

/// Sets the faults given in the request body.
static void
handle_control (Engine *engine, h2o_req_t *request)
{
  json_object *body = standin_parse_body (request);
  long crash_ms = standin_json_integer (body, "crash_ms", 0);

  engine->slow_factor = standin_json_integer (body, "slow", engine->slow_factor);
  engine->truncate_after_tokens
      = standin_json_integer (body, "cut_after", engine->truncate_after_tokens);
  engine->wrong_id_responses = standin_json_integer (body, "wrong_id", engine->wrong_id_responses);
  engine->token_ms = standin_json_integer (body, "token_ms", engine->token_ms);
  if (standin_json_integer (body, "silent", 0) != 0)
    engine->silent_before_ms = uv_now (engine->standin.loop);
  json_object_put (body);
  standin_send_json (request, 200, json_object_new_object ());
  if (crash_ms > 0)
    engine_crash (engine, crash_ms);
}

/// Exports (GET /kv/CHAT) or imports (PUT /kv/CHAT) the cached prefixes of a chat.
static void
transfer_cache (Engine *engine, h2o_req_t *request)
{
  char path[64] = "";
  uint64_t chat;

  (void) snprintf (path, sizeof path, "%.*s", (int) request->path.len, request->path.base);
  chat = strtoull (path + 4, NULL, 16);
  if (standin_request_matches (request, "PUT", "/"))
    {
      json_object *body = standin_parse_body (request);

      engine_cache_import (&engine->cache, chat, body);
      json_object_put (body);
      standin_send_json (request, 200, json_object_new_object ());
      return;
    }
  standin_send_json (request, 200, engine_cache_export (&engine->cache, chat));
}

static void
on_request (void *context, h2o_req_t *request)
{
  Engine *engine = context;

  if (standin_request_matches (request, "POST", "/control"))
    handle_control (engine, request);
  else if (uv_now (engine->standin.loop) < engine->down_until_ms)
    {
      standin_close_connection (request);
      tt_http_server_send_response (request, 503, "text/plain", "", 0);
    }
  else if (standin_request_matches (request, "POST", CHAT_PATH))
    engine_job_add (engine, request);
  else if (standin_request_matches (request, "GET", "/load"))
    send_load (engine, request);
  else if (standin_request_matches (request, "POST", "/order"))
    handle_order (engine, request);
  else if (standin_request_matches (request, "GET", "/kv/")
           || standin_request_matches (request, "PUT", "/kv/"))
    transfer_cache (engine, request);
  else
    standin_send_json (request, 404, json_object_new_object ());
}

static void
on_tick (uv_timer_t *timer)
{
  Engine *engine = timer->data;

  if (engine->pending_role != NULL && uv_now (timer->loop) >= engine->pending_role_due_ms)
    {
      json_object_put (engine->role);
      engine->role = engine->pending_role;
      engine->pending_role = NULL;
    }
  engine_job_run_due (engine);
}

static void
on_load_report (uv_timer_t *timer)
{
  Engine *engine = timer->data;

  engine->reported_running = engine->running.count;
  engine->reported_waiting = engine->waiting.count;
}

int
main (int argc, char **argv)
{
  long port = 0;
  long lifetime_s = 60;
  long cache_tokens = 100000;
  long event_gap = 7;
  Engine engine = { .batch_limit = 8,
                    .token_ms = 10,
                    .prefill_us = 50,
                    .max_tokens = 16,
                    .load_lag_ms = 500,
                    .check_fencing = 1,
                    .slow_factor = 1 };
  const StandinOption options[] = {
    { "port", &port, "port on 127.0.0.1" },
    { "lifetime", &lifetime_s, "seconds until the process exits" },
    { "batch", &engine.batch_limit, "maximum number of concurrently running requests" },
    { "token-ms", &engine.token_ms, "time per generated token" },
    { "prefill-us", &engine.prefill_us, "time per uncached prompt token" },
    { "max-tokens", &engine.max_tokens, "tokens of a response if the request sets no limit" },
    { "cache-tokens", &cache_tokens, "capacity of the prefix cache in tokens" },
    { "load-lag-ms", &engine.load_lag_ms, "maximum age of load reports, and delay of orders" },
    { "event-gap", &event_gap,
      "cache events whose number is divisible by this are dropped; 0 = none" },
    { "fencing", &engine.check_fencing, "1 = rejects orders with an outdated fencing token" },
  };

  if (!standin_parse_options (argc, argv, options, sizeof options / sizeof options[0]))
    return 1;
  engine_cache_init (&engine.cache, (uint64_t) cache_tokens, (unsigned) event_gap);
  tt_list_init (&engine.running);
  tt_list_init (&engine.waiting);
  if (standin_listen (&engine.standin, port, &engine, on_request) != 0)
    return 1;
  engine.role = json_tokener_parse ("{\"model\":\"\",\"role\":\"serve\"}");
  (void) uv_timer_init (engine.standin.loop, &engine.tick);
  (void) uv_timer_init (engine.standin.loop, &engine.report);
  engine.tick.data = &engine;
  engine.report.data = &engine;
  (void) uv_timer_start (&engine.tick, on_tick, 1, 1);
  (void) uv_timer_start (&engine.report, on_load_report, (uint64_t) engine.load_lag_ms,
                         (uint64_t) engine.load_lag_ms);
  return standin_serve (&engine.standin, lifetime_s);
}
