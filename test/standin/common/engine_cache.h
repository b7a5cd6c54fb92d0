/// Prefix cache of the engine stand-in: an LRU cache of limited size, and its event log. Some
/// events are deliberately not published, so that readers must cope with gaps.
#pragma once

#include "tarragontrack/board/list.h"
#include <json-c/json.h>
#include <stdint.h>

enum
{
  ENGINE_CACHE_EVENTS = 256 ///< capacity of the event log; older events are overwritten
};

typedef struct
{
  TtLink link;   ///< on EngineCache.prefixes, most recently used first
  uint64_t hash; ///< of all messages of the chat up to and including this one
  uint64_t chat;
  uint32_t tokens; ///< of this message alone
} EngineCachedPrefix;

typedef struct
{
  uint64_t number;
  uint64_t chat;
  bool stored; ///< false = evicted
} EngineCacheEvent;

typedef struct
{
  TtList prefixes;
  uint64_t used_tokens;
  uint64_t max_tokens;
  EngineCacheEvent events[ENGINE_CACHE_EVENTS];
  uint64_t event_count;
  unsigned event_gap; ///< events whose number is divisible by this are not published; 0 = none
} EngineCache;

/// Initializes an empty cache.
void engine_cache_init (EngineCache *cache, uint64_t max_tokens, unsigned event_gap);

/// Empties the cache without recording events, as a process crash does.
void engine_cache_clear (EngineCache *cache);

/// Looks up the messages of a chat and stores those that are missing.
///
/// RETURN     number of prompt tokens that were already cached; @prompt_tokens is set to the total
uint32_t engine_cache_lookup (EngineCache *cache, uint64_t chat, json_object *messages,
                              uint32_t *prompt_tokens);

/// RETURN the published events after number @since; @next is set to the number of the last event,
/// published or not.
json_object *engine_cache_events (const EngineCache *cache, uint64_t since, uint64_t *next);

/// Exports the prefixes of a chat for another engine. RETURN a JSON array.
json_object *engine_cache_export (const EngineCache *cache, uint64_t chat);

/// Stores prefixes that another engine exported.
void engine_cache_import (EngineCache *cache, uint64_t chat, json_object *prefixes);
