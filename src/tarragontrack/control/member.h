/// Membership queries for other controllers, and the gossip functions of the `member` controller
/// (gossip.c and gossip_receive.c).
#pragma once

#include "tarragontrack/board/board_defs.h"

/// Records in a hash bucket of client accounts. Each holds the count of one account at one daemon
/// or failure domain; the oldest one is replaced.
#define TT_GOSSIP_ACCOUNT_WAYS 16
#define TT_MEMBER_SUSPECT_AFTER_US (5 * TT_SECOND_US)
#define TT_MEMBER_GONE_AFTER_US (15 * TT_SECOND_US)

/// Looks up a member by id; NULL if unknown.
TtMember *tt_member_find (TtBoard *board, uint64_t id);

/// True for this daemon, and for a member that sent a heartbeat, is not gone and is not shutting
/// down.
bool tt_member_is_live (const TtMember *member);

/// True if (generation_a, epoch_a) is newer than (generation_b, epoch_b).
bool tt_member_epoch_newer (uint64_t generation_a, uint64_t epoch_a, uint64_t generation_b,
                            uint64_t epoch_b);

/// Merges a gossiped member entry; entries older than the known one are ignored.
void tt_member_merge (TtBoard *board, const TtMemberEntry *entry, int64_t now_us);

/// Applies a compact heartbeat to the known member that it matches.
void tt_member_apply_heartbeat (TtBoard *board, const TtPeerHeartbeat *heartbeat, int64_t now_us);

/// Estimated size of a message on the wire in bytes: 24 for the frame and the sender, plus its
/// fields.
uint32_t tt_gossip_message_bytes (const TtPeerMessage *message);

/// Sends one gossip round to randomly chosen members of this daemon's failure domain.
void tt_gossip_send_round (TtBoard *board, int64_t now_us);

/// Sends this daemon's own entry to the reporter, the first live member of the failure domain by
/// rank.
void tt_gossip_send_to_reporter (TtBoard *board);

/// Sends a summary of this daemon's failure domain to one gateway of each other failure domain.
void tt_gossip_send_to_gateways (TtBoard *board, int64_t now_us);

/// Returns the hash bucket of a client account, with TT_GOSSIP_ACCOUNT_WAYS records.
TtMemberAccount *tt_gossip_account_bucket (TtBoard *board, uint64_t account_id);

/// Sum of the unexpired gossiped in-flight counts of a client account at other daemons and in other
/// failure domains.
uint32_t tt_gossip_account_in_flight (TtBoard *board, uint64_t account_id, int64_t now_us);

/// Applies a received gossip message.
void tt_gossip_receive (TtBoard *board, const TtPeerMessage *message, int64_t now_us);
