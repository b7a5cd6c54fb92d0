/// State of `claim`: claims of non-idempotent requests in the platform's object API.
#pragma once

#include "tarragontrack/board/hash.h"
#include "tarragontrack/board/list.h"
#include <stdbool.h>
#include <stdint.h>

enum
{
  TT_CLAIM_SHARDS = 4096,      ///< objects claims/SHARD
  TT_CLAIM_OUTCOME_MAX = 1024, ///< bytes of a recorded answer; longer ones are cut and marked
  /// Entries an object may hold; more are refused. Writing or reading a full object of 4,096
  /// entries held up the loop for 22 ms, most of the time between two tokens.
  TT_CLAIM_SHARD_ENTRIES = 1024,
  TT_CLAIM_SHARD_BYTES = 900000, ///< estimate up to which an object grows; its limit is 1 MB
  TT_CLAIM_QUERIES = 64          ///< open outcome queries of one daemon
};

typedef enum
{
  TT_CLAIM_ABSENT,
  TT_CLAIM_CLAIMED, ///< its attempt may have been dispatched
  TT_CLAIM_DONE,    ///< the outcome is recorded
  TT_CLAIM_NOT_RUN  ///< the owner never began to send; may be claimed again
} TtClaimState;

/// One entry of the object claims/SHARD.
typedef struct
{
  TtId128 key;     ///< hash of client account and idempotency key
  TtId128 attempt; ///< random number of the one dispatch that the claim allows
  uint64_t body_hash;
  TtClaimState state;
  int64_t written_s; ///< owner's wall clock, for retention only
  uint16_t status;   ///< HTTP status of the recorded answer
  bool outcome_cut;  ///< the answer was longer than TT_CLAIM_OUTCOME_MAX or was not kept
  uint32_t outcome_size;
  char *outcome; ///< owned by the entry's holder; NULL if empty
} TtClaimEntry;

typedef enum
{
  TT_CLAIM_STEP_NONE,     ///< the request needs no claim
  TT_CLAIM_STEP_WAITING,  ///< its claim waits for the shard's next read or write
  TT_CLAIM_STEP_WRITING,  ///< its claim is part of the open write
  TT_CLAIM_STEP_OWNED,    ///< may be dispatched
  TT_CLAIM_STEP_SETTLING, ///< its final state waits to be written
  TT_CLAIM_STEP_SETTLED
} TtClaimStep;

/// Claim of one request.
typedef struct
{
  TtLink link; ///< on TtClaimShard.waiting or TtClaimShard.writing
  TtClaimStep step;
  TtId128 attempt;
  bool unsettled;           ///< a write of the claim had no answer; its effect is unknown
  bool sent;                ///< set by `retry`: bytes of the request may have left
  uint32_t unsent_failures; ///< attempts that failed before a byte was sent
  TtClaimState final_state; ///< SETTLING: DONE or NOT_RUN
  uint16_t status;          ///< of the answer to record
  bool outcome_cut;
  uint32_t outcome_size;
  char *outcome; ///< owned; NULL if empty
} TtClaimRequest;
