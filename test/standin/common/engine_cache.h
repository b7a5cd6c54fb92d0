/// Prefix cache of the engine stand-in: least recently used prefixes in limited memory, and the
/// cache events, which have gaps.
#pragma once

#include "tarragontrack/board/list.h"
#include <json-c/json.h>
#include <stdint.h>

enum
{
  CACHE_EVENTS = 256 ///< events kept; older ones are lost
};

typedef struct
{
  TtLink link;   ///< on EngineCache.prefixes, most recently used first
  uint64_t hash; ///< of all messages up to this one
  uint64_t chat;
  uint32_t tokens; ///< of this message
} CachedPrefix;

typedef struct
{
  uint64_t number;
  uint64_t chat;
  bool stored;
} CacheEvent;

typedef struct
{
  TtList prefixes;
  uint64_t used_tokens;
  uint64_t max_tokens;
  CacheEvent events[CACHE_EVENTS];
  uint64_t event_count;
  unsigned gap; ///< each event whose number is divisible by this is not published; 0 = none
} EngineCache;

/// Starts with an empty cache.
void engine_cache_init (EngineCache *cache, uint64_t max_tokens, unsigned gap);

/// Empties the cache without events, as a crash does.
void engine_cache_clear (EngineCache *cache);

/// Looks up the messages of a chat and stores them.
///
/// RETURN     tokens that were cached; @prompt_tokens is set to the tokens in all
uint32_t engine_cache_use (EngineCache *cache, uint64_t chat, json_object *messages,
                           uint32_t *prompt_tokens);

/// Events after number @since, and the number of the last one in @next.
json_object *engine_cache_events (const EngineCache *cache, uint64_t since, uint64_t *next);

/// Prefixes of a chat, for another engine. RETURN an array.
json_object *engine_cache_export (const EngineCache *cache, uint64_t chat);

/// Stores exported prefixes.
void engine_cache_import (EngineCache *cache, uint64_t chat, json_object *prefixes);
