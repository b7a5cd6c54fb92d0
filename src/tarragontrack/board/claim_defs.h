/// State of `claim`: claims of non-idempotent requests in the platform's object API.
#pragma once

#include "tarragontrack/board/hash.h"
#include "tarragontrack/board/list.h"
#include <stdbool.h>
#include <stdint.h>

enum
{
  TT_CLAIM_SHARDS = 4096,            ///< objects claims/SHARD
  TT_CLAIM_OUTCOME_MAX_BYTES = 1024, ///< longer responses are truncated and marked
  /// Maximum entries per object; further claims are rejected. Writing or reading an object of 4,096
  /// entries blocked the event loop for 22 ms, most of the interval between two tokens.
  TT_CLAIM_SHARD_MAX_ENTRIES = 1024,
  /// Limit of an object's estimated size; the platform's limit is 1 MB.
  TT_CLAIM_SHARD_MAX_BYTES = 900000,
  TT_CLAIM_MAX_QUERIES = 64 ///< maximum open outcome queries of one daemon
};

typedef enum
{
  TT_CLAIM_ABSENT,
  TT_CLAIM_CLAIMED, ///< the claim's attempt may have been dispatched
  TT_CLAIM_DONE,    ///< the outcome is recorded
  TT_CLAIM_NOT_RUN  ///< no byte of the request was sent; the key may be claimed again
} TtClaimState;

/// One entry of the object claims/SHARD.
typedef struct
{
  TtId128 key;     ///< hash of client account and idempotency key
  TtId128 attempt; ///< random id of the single execution that the claim permits
  uint64_t body_hash;
  TtClaimState state;
  int64_t written_s;      ///< wall clock of the daemon that wrote the entry, for retention only
  uint16_t status;        ///< HTTP status of the recorded response
  bool outcome_truncated; ///< the response was longer than TT_CLAIM_OUTCOME_MAX_BYTES, or it is
                          ///< not stored
  uint32_t outcome_size;
  char *outcome; ///< freed by the owner of the entry; NULL if empty
} TtClaimEntry;

typedef enum
{
  TT_CLAIM_STEP_NONE,     ///< the request needs no claim, or has none yet
  TT_CLAIM_STEP_WAITING,  ///< the claim waits for the shard's next read or write
  TT_CLAIM_STEP_WRITING,  ///< the claim is part of the open write
  TT_CLAIM_STEP_OWNED,    ///< the request owns the claim and may be dispatched
  TT_CLAIM_STEP_SETTLING, ///< the claim's final state is not written yet
  TT_CLAIM_STEP_SETTLED   ///< nothing is left to write for the claim
} TtClaimStep;

/// Claim of one request.
typedef struct
{
  TtLink link; ///< on TtClaimShard.waiting or TtClaimShard.writing
  TtClaimStep step;
  TtId128 attempt;
  bool write_uncertain; ///< a write of the claim got no response; whether it took effect is unknown
  bool bytes_possibly_sent; ///< set by `retry`: bytes of the request may have been sent
  uint32_t unsent_failures; ///< attempts that failed before a byte was sent
  TtClaimState final_state; ///< DONE or NOT_RUN; valid in TT_CLAIM_STEP_SETTLING
  uint16_t status;          ///< HTTP status of the response to record
  bool outcome_truncated;
  uint32_t outcome_size;
  char *outcome; ///< owned; NULL if empty
} TtClaimRequest;
