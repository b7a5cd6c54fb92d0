/// Table of the engines that cache shared prompt prefixes. The daemons exchange changes of the
/// table, so that all of them route a prompt to the same engine.
#pragma once

#include "tarragontrack/board/board_defs.h"

/// Allocates the table. RETURN 0 or TT_E_NO_MEMORY.
int tt_prefix_table_open (TtDispatchSection *section);

/// Engine that caches the prompt prefix; NULL if none is known or the engine accepts no new
/// requests.
TtBackendServer *tt_prefix_table_find (TtBoard *board, uint64_t key, int64_t now_us);

/// Engine whose memory may hold the prompt prefix; NULL if none is known, it accepts no requests or
/// its circuit breaker is not closed.
TtBackendServer *tt_prefix_table_copy_source (TtBoard *board, uint64_t key, int64_t now_us);

/// Records that an engine caches the prompt prefix from now on.
void tt_prefix_table_set (TtBoard *board, uint64_t key, const TtBackendServer *backend,
                          int64_t now_us);

/// tt_prefix_table_merge - merges an entry that another daemon advertised
///
/// Two daemons may choose an engine concurrently. The engine with the higher rendezvous score for
/// the prefix wins on every daemon. A known engine that accepts no new requests is replaced in
/// any case.
///
/// ARGUMENTS  advertise: list a change of the table in tt_prefix_table_pop_changes() again
void tt_prefix_table_merge (TtBoard *board, const TtStatusPrefixHolder *advertised, bool advertise,
                            int64_t now_us);

/// tt_prefix_table_pop_changes - lists changes that have not been advertised yet, and marks them
/// as advertised
///
/// RETURN     number of entries written to @entries, TT_MAX_STATUS_HOLDERS at most
uint32_t tt_prefix_table_pop_changes (TtBoard *board, TtStatusPrefixHolder *entries);

/// tt_prefix_table_next_entries - lists the next entries of the table, round-robin, for daemons
/// that missed an advertisement
///
/// RETURN     number of entries written to @entries, TT_MAX_STATUS_HOLDERS at most
uint32_t tt_prefix_table_next_entries (TtBoard *board, TtStatusPrefixHolder *entries);
