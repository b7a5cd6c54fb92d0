/// Entries of one claim shard: look-up, changes and retention. No messages.
#pragma once

#include "tarragontrack/board/board_defs.h"

/// Shard of a key, put on the list of active shards.
TtClaimShard *tt_claim_shard_activate (TtBoard *board, TtId128 key, int64_t now_us);

/// Entry of a key, or NULL.
TtClaimEntry *tt_claim_shard_find (TtClaimShard *shard, TtId128 key);

/// tt_claim_shard_load - replaces the entries by a copy of the object's
///
/// ARGUMENTS  object: NULL if the object does not exist
/// RETURN     0 or TT_E_NO_MEMORY; the shard is unknown then
int tt_claim_shard_load (TtClaimShard *shard, const TtClaimsObject *object, uint64_t version,
                         int64_t now_us);

/// Frees the entries; the shard is unknown afterwards.
void tt_claim_shard_drop (TtClaimShard *shard);

/// tt_claim_shard_claim - enters CLAIMED for a request whose key is absent or NOT_RUN
///
/// RETURN     0, TT_E_LIMIT if the shard holds TT_CLAIM_SHARD_ENTRIES, or TT_E_NO_MEMORY
int tt_claim_shard_claim (TtClaimShard *shard, const TtRequest *request, int64_t wall_s);

/// Enters the final state of a request, if the entry is still its own claim or the key is absent.
/// The recorded answer moves from the request to the entry. Errors as above.
int tt_claim_shard_settle (TtClaimShard *shard, TtRequest *request, int64_t wall_s);

/// Drops recorded answers and entries whose retention has ended.
void tt_claim_shard_prune (TtClaimShard *shard, int64_t wall_s);
