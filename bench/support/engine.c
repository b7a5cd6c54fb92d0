/// Engine model of the simulation: queue, batch and prefix cache.
#include "support/sim.h"
#include "tarragontrack/board/hash.h"
#include <stdlib.h>

enum
{
  CACHE_BUCKETS = 1024
};

/// Cached tokens of one chat or one shared prefix in an engine's prefix cache.
typedef struct
{
  TtLink link;        ///< on SimEngine.cache
  TtLink bucket_link; ///< on SimEngine.cache_buckets
  uint64_t key;
  uint32_t tokens;
} SimCacheEntry;

static SimCacheEntry *
find_cache_entry (const SimEngine *engine, uint64_t key)
{
  TT_LIST_FOREACH (&engine->cache_buckets[key % CACHE_BUCKETS], it)
    {
      SimCacheEntry *entry = TT_CONTAINER_OF (it, SimCacheEntry, bucket_link);

      if (entry->key == key)
        return entry;
    }
  return NULL;
}

static void
remove_cache_entry (SimEngine *engine, SimCacheEntry *entry)
{
  engine->cache_used -= entry->tokens;
  tt_list_remove (&engine->cache, &entry->link);
  tt_list_remove (&engine->cache_buckets[entry->key % CACHE_BUCKETS], &entry->bucket_link);
  free (entry);
}

/// Inserts or refreshes a cache entry, then evicts the least recently used entries above the
/// capacity.
static void
put_cache_entry (Sim *sim, SimEngine *engine, uint64_t key, uint32_t tokens)
{
  SimCacheEntry *entry = find_cache_entry (engine, key);

  if (entry != NULL)
    remove_cache_entry (engine, entry);
  entry = calloc (1, sizeof *entry);
  if (entry == NULL)
    abort ();
  entry->key = key;
  entry->tokens = tokens;
  engine->cache_used += tokens;
  tt_list_append (&engine->cache, &entry->link);
  tt_list_append (&engine->cache_buckets[key % CACHE_BUCKETS], &entry->bucket_link);
  while (engine->cache_used > sim->config.cache_tokens && engine->cache.count > 1)
    remove_cache_entry (engine,
                        TT_CONTAINER_OF (tt_list_first (&engine->cache), SimCacheEntry, link));
}

static void
clear_cache (SimEngine *engine)
{
  TtLink *link;

  while ((link = tt_list_first (&engine->cache)) != NULL)
    remove_cache_entry (engine, TT_CONTAINER_OF (link, SimCacheEntry, link));
}

int
sim_engine_open (Sim *sim, SimEngine *engine)
{
  tt_list_init (&engine->running);
  tt_list_init (&engine->waiting);
  tt_list_init (&engine->cache);
  engine->up = true;
  engine->slowdown = 1.0;
  engine->cache_buckets = calloc (CACHE_BUCKETS, sizeof *engine->cache_buckets);
  engine->in_flight = calloc (sim->config.routers, sizeof *engine->in_flight);
  if (engine->cache_buckets == NULL || engine->in_flight == NULL)
    return -1;
  for (uint32_t i = 0; i < CACHE_BUCKETS; i++)
    tt_list_init (&engine->cache_buckets[i]);
  return 0;
}

void
sim_engine_close (SimEngine *engine)
{
  if (engine->cache_buckets != NULL)
    clear_cache (engine);
  free (engine->cache_buckets);
  free (engine->in_flight);
}

uint32_t
sim_engine_load (const SimEngine *engine)
{
  return engine->running.count + engine->waiting.count;
}

uint32_t
sim_engine_cached_tokens (const SimEngine *engine, const SimRequest *request)
{
  const SimCacheEntry *prefix = find_cache_entry (engine, request->chat->prefix_key);
  const SimCacheEntry *chat = find_cache_entry (engine, request->chat->key);
  uint32_t tokens = 0;

  // The cached blocks of a chat are usable only if those of its shared prefix are cached as well.
  if (prefix != NULL)
    tokens = prefix->tokens + (chat != NULL ? chat->tokens : 0);
  return tokens < request->prompt_tokens ? tokens : request->prompt_tokens;
}

/// Caches @tokens of a chat: its shared prefix under the prefix key, the rest under the chat's key.
static void
cache_prompt (Sim *sim, SimEngine *engine, const SimChat *chat, uint32_t tokens)
{
  put_cache_entry (sim, engine, chat->key, tokens - chat->prefix_tokens);
  put_cache_entry (sim, engine, chat->prefix_key, chat->prefix_tokens);
}

/// Moves waiting requests to the batch until it is full, and schedules their first tokens.
static void
start_waiting_requests (Sim *sim, SimEngine *engine)
{
  while (engine->running.count < sim->config.batch_limit && engine->waiting.count > 0)
    {
      SimRequest *request = TT_CONTAINER_OF (tt_list_pop (&engine->waiting), SimRequest, link);
      uint32_t prefill_tokens;

      tt_list_append (&engine->running, &request->link);
      request->started_us = sim->now_us;
      request->cached_tokens = sim_engine_cached_tokens (engine, request);
      // The tokens of a resumed response are prefilled together with the prompt.
      prefill_tokens = request->prompt_tokens - request->cached_tokens + request->response_tokens
                       - request->remaining_tokens;
      cache_prompt (sim, engine, request->chat, request->prompt_tokens);
      sim_push_event (
          sim,
          sim->now_us
              + (int64_t) ((prefill_tokens * sim->config.prefill_us + sim->config.decode_us)
                           * engine->slowdown),
          SIM_EVENT_FIRST_TOKEN, (uint32_t) (request - sim->requests), request->serial, NULL);
    }
}

void
sim_engine_submit (Sim *sim, SimEngine *engine, SimRequest *request)
{
  request->engine = engine;
  request->started_us = 0;
  engine->in_flight[request->router]++;
  tt_list_append (&engine->waiting, &request->link);
  if (sim->measuring && sim_engine_load (engine) > sim_load_bound (sim, engine->domain))
    sim->result.overload_placements++;
  start_waiting_requests (sim, engine);
}

void
sim_engine_cancel (Sim *sim, SimRequest *request)
{
  SimEngine *engine = request->engine;

  if (engine == NULL)
    return;
  tt_list_remove (request->started_us != 0 ? &engine->running : &engine->waiting, &request->link);
  engine->in_flight[request->router]--;
  request->engine = NULL;
  request->serial++;
  request->started_us = 0;
  start_waiting_requests (sim, engine);
}

/// Produces the first token or the next tokens of a response, and schedules the following ones or
/// the end.
static void
produce_tokens (Sim *sim, const SimEvent *event)
{
  SimRequest *request = &sim->requests[event->index];
  SimRequest *owner = request->owner != NULL ? request->owner : request;
  uint32_t step = sim->config.progress_tokens;
  uint32_t tokens = event->type == SIM_EVENT_FIRST_TOKEN ? 1 : step;
  bool last;

  if (owner->first_token_us == 0)
    owner->first_token_us = sim->now_us;
  if (tokens > request->remaining_tokens)
    tokens = request->remaining_tokens;
  request->remaining_tokens -= tokens;
  last = step == 0 || request->remaining_tokens <= step;
  sim_push_event (sim,
                  sim->now_us
                      + (int64_t) ((last ? request->remaining_tokens : step) * sim->config.decode_us
                                   * request->engine->slowdown),
                  last ? SIM_EVENT_DONE : SIM_EVENT_NEXT_TOKENS, event->index,
                  event->request_serial, NULL);
  if (sim->boards != NULL)
    sim_router_progress (sim, request, tokens);
}

void
sim_engine_handle_event (Sim *sim, const SimEvent *event)
{
  SimRequest *request = &sim->requests[event->index];
  SimEngine *engine = request->engine;

  if (request->serial != event->request_serial || engine == NULL)
    return;
  if (event->type == SIM_EVENT_FIRST_TOKEN || event->type == SIM_EVENT_NEXT_TOKENS)
    {
      produce_tokens (sim, event);
      return;
    }
  cache_prompt (sim, engine, request->chat, request->prompt_tokens + request->response_tokens);
  tt_list_remove (&engine->running, &request->link);
  engine->in_flight[request->router]--;
  start_waiting_requests (sim, engine);
  if (sim->boards != NULL)
    sim_router_attempt_done (sim, request, false);
  else
    sim_request_end (sim, request, TT_OUTCOME_COMPLETE);
}

void
sim_engine_set_available (Sim *sim, SimEngine *engine, bool up)
{
  TtLink *link;

  if (engine->up == up)
    return;
  engine->up = up;
  engine->epoch++;
  clear_cache (engine);
  sim_router_update_hosts (sim);
  if (up)
    return;
  while ((link = tt_list_first (engine->running.count > 0 ? &engine->running : &engine->waiting))
         != NULL)
    {
      SimRequest *request = TT_CONTAINER_OF (link, SimRequest, link);

      tt_list_remove (request->started_us != 0 ? &engine->running : &engine->waiting, link);
      engine->in_flight[request->router]--;
      request->engine = NULL;
      request->serial++;
      if (sim->boards != NULL)
        sim_router_attempt_done (sim, request, true);
      else
        sim_request_end (sim, request, TT_OUTCOME_CUT);
    }
}
