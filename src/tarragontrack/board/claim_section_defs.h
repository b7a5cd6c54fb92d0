/// Section of `claim` on the board: the claim shards with work of this daemon.
#pragma once

#include "tarragontrack/board/claim_defs.h"
#include "tarragontrack/board/list.h"
#include "tarragontrack/board/object_defs.h"
#include <stdbool.h>
#include <stdint.h>

/// A caller's query for a recorded outcome.
typedef struct
{
  TtLink link; ///< on TtClaimShard.queries or TtClaimSection.free_queries
  uint64_t request_id;
  TtId128 key;
  int64_t received_us;
} TtClaimQuery;

/// Local state of one object claims/SHARD. At most one platform call per shard is open.
typedef struct
{
  TtLink link; ///< on TtClaimSection.active
  uint32_t index;
  TtList waiting; ///< TtClaimRequest.link: claims and final states to write
  TtList writing; ///< TtClaimRequest.link: part of the open write
  TtList queries; ///< TtClaimQuery.link
  bool loaded;    ///< `entries` is the object's content at `version`
  uint64_t version;
  int64_t read_us; ///< when the response to the last read arrived
  TtClaimEntry *entries;
  uint32_t count;
  uint32_t capacity;
  uint64_t call;                 ///< open platform call; 0 = none
  uint32_t consecutive_failures; ///< failed calls without a successful one in between, except
                                 ///< version conflicts; determines the backoff
  int64_t next_try_us;
  int64_t last_used_us;
  TtObject *object; ///< content of the open write; NULL until the first one
} TtClaimShard;

/// A claim that the store has confirmed lately. After a return of the store from an older copy it
/// is written again.
typedef struct
{
  TtLink link;        ///< on TtClaimSection.records, the last confirmed one at the end
  TtClaimEntry entry; ///< without the recorded response
  int64_t confirmed_us;
  bool rewrite; ///< has yet to be written in the store's present era
} TtClaimRecord;

/// BOUNDS     TT_CLAIM_SHARDS shards, of which an idle one has no entries in memory;
///            TT_CLAIM_MAX_QUERIES open queries, further ones get the response "unknown"
typedef struct
{
  TtList active;
  TtClaimShard *shards;
  TtList free_queries;
  TtClaimQuery *queries;
  TtList records;         ///< TtClaimRecord.link
  uint32_t rewrite_count; ///< records with TtClaimRecord.rewrite
  uint64_t era;           ///< of the store, in which the shards were read and written
} TtClaimSection;
