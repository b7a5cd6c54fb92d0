#include "engine_cache.h"
#include "tarragontrack/board/hash.h"
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define BYTES_PER_TOKEN 4
#define HEX_SIZE 17

void
engine_cache_init (EngineCache *cache, uint64_t max_tokens, unsigned event_gap)
{
  memset (cache, 0, sizeof *cache);
  tt_list_init (&cache->prefixes);
  cache->max_tokens = max_tokens;
  cache->event_gap = event_gap;
}

static void
record_event (EngineCache *cache, uint64_t chat, bool stored)
{
  uint64_t number = ++cache->event_count;

  cache->events[number % ENGINE_CACHE_EVENTS]
      = (EngineCacheEvent){ .number = number, .chat = chat, .stored = stored };
}

static void
evict_prefix (EngineCache *cache, EngineCachedPrefix *prefix)
{
  tt_list_remove (&cache->prefixes, &prefix->link);
  cache->used_tokens -= prefix->tokens;
  free (prefix);
}

void
engine_cache_clear (EngineCache *cache)
{
  TtLink *link;

  while ((link = tt_list_first (&cache->prefixes)) != NULL)
    evict_prefix (cache, TT_CONTAINER_OF (link, EngineCachedPrefix, link));
}

/// Finds a prefix and marks it as the most recently used one.
static EngineCachedPrefix *
find_prefix (EngineCache *cache, uint64_t hash)
{
  TT_LIST_FOREACH (&cache->prefixes, it)
    {
      EngineCachedPrefix *prefix = TT_CONTAINER_OF (it, EngineCachedPrefix, link);

      if (prefix->hash != hash)
        continue;
      tt_list_remove (&cache->prefixes, it);
      tt_list_prepend (&cache->prefixes, it);
      return prefix;
    }
  return NULL;
}

static void
store_prefix (EngineCache *cache, uint64_t chat, uint64_t hash, uint32_t tokens)
{
  EngineCachedPrefix *prefix = calloc (1, sizeof *prefix);

  prefix->hash = hash;
  prefix->chat = chat;
  prefix->tokens = tokens;
  tt_list_prepend (&cache->prefixes, &prefix->link);
  cache->used_tokens += tokens;
  while (cache->used_tokens > cache->max_tokens && cache->prefixes.count > 1)
    {
      EngineCachedPrefix *oldest
          = TT_CONTAINER_OF (cache->prefixes.head.prev, EngineCachedPrefix, link);

      record_event (cache, oldest->chat, false);
      evict_prefix (cache, oldest);
    }
}

uint32_t
engine_cache_lookup (EngineCache *cache, uint64_t chat, json_object *messages,
                     uint32_t *prompt_tokens)
{
  size_t count
      = json_object_is_type (messages, json_type_array) ? json_object_array_length (messages) : 0;
  uint32_t cached = 0;
  uint64_t hash = 0;
  bool hit = true;

  *prompt_tokens = 0;
  for (size_t i = 0; i < count; i++)
    {
      const char *text = json_object_to_json_string_ext (json_object_array_get_idx (messages, i),
                                                         JSON_C_TO_STRING_PLAIN);
      uint32_t tokens = (uint32_t) (strlen (text) / BYTES_PER_TOKEN) + 1;

      hash = tt_hash_pair (hash, tt_hash_string (text));
      *prompt_tokens += tokens;
      hit = hit && find_prefix (cache, hash) != NULL;
      if (hit)
        cached += tokens;
      else
        store_prefix (cache, chat, hash, tokens);
    }
  record_event (cache, chat, true);
  return cached;
}

json_object *
engine_cache_events (const EngineCache *cache, uint64_t since, uint64_t *next)
{
  json_object *array = json_object_new_array ();
  uint64_t first
      = cache->event_count > ENGINE_CACHE_EVENTS ? cache->event_count - ENGINE_CACHE_EVENTS + 1 : 1;

  for (uint64_t number = since + 1 > first ? since + 1 : first; number <= cache->event_count;
       number++)
    {
      const EngineCacheEvent *event = &cache->events[number % ENGINE_CACHE_EVENTS];
      json_object *entry;
      char text[HEX_SIZE];

      if (cache->event_gap > 0 && number % cache->event_gap == 0)
        continue;
      entry = json_object_new_object ();
      (void) snprintf (text, sizeof text, "%016llx", (unsigned long long) event->chat);
      json_object_object_add (entry, "chat", json_object_new_string (text));
      json_object_object_add (entry, "stored", json_object_new_boolean (event->stored));
      json_object_array_add (array, entry);
    }
  *next = cache->event_count;
  return array;
}

json_object *
engine_cache_export (const EngineCache *cache, uint64_t chat)
{
  json_object *array = json_object_new_array ();

  TT_LIST_FOREACH (&cache->prefixes, it)
    {
      const EngineCachedPrefix *prefix = TT_CONTAINER_OF (it, EngineCachedPrefix, link);
      json_object *entry;

      if (prefix->chat != chat)
        continue;
      entry = json_object_new_array ();
      json_object_array_add (entry, json_object_new_uint64 (prefix->hash));
      json_object_array_add (entry, json_object_new_uint64 (prefix->tokens));
      json_object_array_add (array, entry);
    }
  return array;
}

void
engine_cache_import (EngineCache *cache, uint64_t chat, json_object *prefixes)
{
  size_t count
      = json_object_is_type (prefixes, json_type_array) ? json_object_array_length (prefixes) : 0;

  for (size_t i = 0; i < count; i++)
    {
      json_object *entry = json_object_array_get_idx (prefixes, i);
      uint64_t hash = json_object_get_uint64 (json_object_array_get_idx (entry, 0));

      if (find_prefix (cache, hash) == NULL)
        store_prefix (cache, chat, hash,
                      (uint32_t) json_object_get_uint64 (json_object_array_get_idx (entry, 1)));
    }
}
