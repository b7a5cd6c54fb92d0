/// Entries of one claim shard: lookup, changes and retention. Sends no messages.
#pragma once

#include "tarragontrack/board/board_defs.h"

/// Returns the shard of a key and adds it to the list of active shards if it is not on it.
TtClaimShard *tt_claim_shard_activate (TtBoard *board, TtId128 key, int64_t now_us);

/// Returns the entry of a key, or NULL.
TtClaimEntry *tt_claim_shard_find (TtClaimShard *shard, TtId128 key);

/// tt_claim_shard_load - replaces the shard's entries by a copy of the object's entries
///
/// ARGUMENTS  object: NULL if the object does not exist
/// RETURN     0, or TT_E_NO_MEMORY; TtClaimShard.loaded is false after a failure
int tt_claim_shard_load (TtClaimShard *shard, const TtClaimsObject *object, uint64_t version,
                         int64_t now_us);

/// Frees the entries; TtClaimShard.loaded is false afterwards.
void tt_claim_shard_clear (TtClaimShard *shard);

/// tt_claim_shard_claim - sets the state CLAIMED for a request whose key is absent or NOT_RUN
///
/// RETURN     0, TT_E_LIMIT if the shard holds TT_CLAIM_SHARD_MAX_ENTRIES, or TT_E_NO_MEMORY
int tt_claim_shard_claim (TtClaimShard *shard, const TtRequest *request, int64_t wall_clock_s);

/// Sets the final state of a request, if the entry is still the request's own claim or the key is
/// absent. The response to record is copied from the request to the entry.
///
/// RETURN     as tt_claim_shard_claim()
int tt_claim_shard_settle (TtClaimShard *shard, TtRequest *request, int64_t wall_clock_s);

/// Sets the entry of a key to another one that has no recorded response. RETURN 0, TT_E_LIMIT or
/// TT_E_NO_MEMORY
int tt_claim_shard_put (TtClaimShard *shard, const TtClaimEntry *entry);

/// Forgets the call in flight, whose effect is unknown, and the loaded entries. The claims that it
/// was to write wait again.
void tt_claim_shard_give_up_call (TtClaimShard *shard);

/// Moves the claims of a failed or unconfirmed write back to the waiting list, in their order.
void tt_claim_shard_requeue_writes (TtClaimShard *shard, bool effect_unknown);

/// Removes recorded responses and entries whose retention has expired.
void tt_claim_shard_prune (TtClaimShard *shard, int64_t wall_clock_s);
