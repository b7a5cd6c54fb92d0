/// Section of `claim` on the board: the claim shards this daemon has work for.
#pragma once

#include "tarragontrack/board/claim_defs.h"
#include "tarragontrack/board/list.h"
#include <stdbool.h>
#include <stdint.h>

/// A shard with requests that wait for it.
typedef struct
{
  TtLink link; ///< on TtClaimSection.active
  uint32_t index;
  TtList waiting; ///< TtClaimRequest.link
  TtList writing; ///< part of the open update
  uint64_t version;
  bool known; ///< `entries` is the object's content at `version`
  TtClaimEntry *entries;
  uint32_t count;
  uint32_t capacity;
  uint64_t call; ///< open platform call; 0 = none
  bool call_is_write;
  int64_t next_try_us;
  int64_t used_us;
} TtClaimShard;

/// BOUNDS     TT_CLAIM_SHARDS shards; the entries of the least recently used ones are dropped
typedef struct
{
  TtList active;
  TtClaimShard *shards;
} TtClaimSection;
