/// Members and ranks, for other controllers; the parts of `member` that lie in gossip.c.
#pragma once

#include "tarragontrack/board/board_defs.h"

/// Daemons and failure domains counted for one client account; the oldest count is replaced.
#define TT_GOSSIP_ACCOUNT_WAYS 16
#define TT_MEMBER_SUSPECT_US (5 * TT_SECOND_US)
#define TT_MEMBER_GONE_US (15 * TT_SECOND_US)

/// Looks up a member by id; NULL if unknown.
TtMember *tt_member_find (TtBoard *board, uint64_t id);

/// True if the daemon was heard within TT_MEMBER_GONE_US and is not shutting down.
bool tt_member_is_live (const TtMember *member);

/// True if generation and epoch a are above generation and epoch b.
bool tt_member_newer (uint64_t generation_a, uint64_t epoch_a, uint64_t generation_b,
                      uint64_t epoch_b);

/// Takes in what gossip says of a daemon; older statements than the known one are ignored.
void tt_member_merge (TtBoard *board, const TtMemberEntry *entry, int64_t now_us);

/// Takes in that a known daemon was alive.
void tt_member_beat (TtBoard *board, const TtPeerBeat *beat, int64_t now_us);

/// Estimated bytes of a message on the wire: 24 for the frame and the sender, and its fields.
uint32_t tt_gossip_bytes (const TtPeerMessage *message);

/// Sends the messages of one round to members of the own failure domain.
void tt_gossip_round (TtBoard *board, int64_t now_us);

/// Sends this daemon's own entry to the first daemon of its failure domain by rank, the reporter.
void tt_gossip_tell_first (TtBoard *board);

/// Sends a summary to one gateway of each other failure domain.
void tt_gossip_gateways (TtBoard *board, int64_t now_us);

/// The TT_GOSSIP_ACCOUNT_WAYS records for counts of one client account.
TtMemberAccount *tt_gossip_accounts (TtBoard *board, uint64_t account_id);

/// Requests in flight of a client account at the other daemons, as far as gossip told of them.
uint32_t tt_gossip_account_sum (TtBoard *board, uint64_t account_id, int64_t now_us);

/// Takes in a gossip message.
void tt_gossip_read (TtBoard *board, const TtPeerMessage *message, int64_t now_us);
