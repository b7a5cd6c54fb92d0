/// Internal interface of `claim`: claims that the store has lost by returning from an older copy.
///
/// A key without an entry proves nothing in a new era: its claim may have been written in the
/// seconds that the store lost. The daemons write the claims again that they own or have settled
/// lately. Meanwhile no key without an entry is claimed. See docs/decisions/at-most-once.md.
#pragma once

#include "tarragontrack/board/board_defs.h"

/// Remembers the claim of a request as it was confirmed by the store.
void tt_claim_era_record (TtBoard *board, const TtRequest *request, int64_t now_us);

/// Gives up what was read or sent in an earlier era, and schedules the claims that are written
/// again.
void tt_claim_era_check (TtBoard *board, int64_t now_us);

/// True if a key without an entry has no claim.
bool tt_claim_era_proves_absence (const TtBoard *board, int64_t now_us);

/// True if a shard has claims to write again.
bool tt_claim_era_has_rewrites (const TtBoard *board, const TtClaimShard *shard);

/// Adds the claims to write again to the loaded entries of a shard. RETURN true if it must be
/// written.
bool tt_claim_era_add_rewrites (TtBoard *board, TtClaimShard *shard);

/// Ends the rewrites of a shard that the store has confirmed.
void tt_claim_era_confirm_rewrites (TtBoard *board, const TtClaimShard *shard);

/// Frees all that is remembered.
void tt_claim_era_close (TtBoard *board);
