/// Records of suspect parts of prompts, for control/quarantine.c.
#pragma once

#include "tarragontrack/board/board_defs.h"

/// Allocates the records. RETURN 0 or TT_E_NO_MEMORY.
int tt_suspect_part_open (TtQuarantineSection *section);

/// Frees the records.
void tt_suspect_part_close (TtQuarantineSection *section);

/// Looks up a suspect; NULL if the part is none.
TtSuspectPart *tt_suspect_part_find (const TtBoard *board, uint64_t key);

/// Frees the record of a suspect.
void tt_suspect_part_free (TtQuarantineSection *section, TtSuspectPart *part);

/// tt_suspect_part_strike - adds a strike to a part, which becomes a suspect if it is none
///
/// Crashes at almost the same moment are counted once, because connections can also be lost all at
/// the same time.
///
/// RETURN     the suspect; NULL if the crash is known, or the part succeeded after it
TtSuspectPart *tt_suspect_part_strike (TtBoard *board, uint64_t key, uint64_t crash_id,
                                       int64_t at_us);

/// Number of strikes of @other that a strike of @cause explains: the same crash, or one at almost
/// the same moment.
uint32_t tt_suspect_part_count_shared (const TtSuspectPart *cause, const TtSuspectPart *other);

/// Removes these strikes from @other.
void tt_suspect_part_remove_shared (const TtSuspectPart *cause, TtSuspectPart *other);

/// Records that a request with the part succeeded. Strikes before that do not count.
void tt_suspect_part_record_success (TtQuarantineSection *section, uint64_t key,
                                     int64_t succeeded_us, bool seen_here);

/// Age of a strike or success as it is sent to other daemons.
uint32_t tt_suspect_part_age_ms (int64_t at_us, int64_t now_us);

/// Writes a suspect as it is sent to other daemons.
void tt_suspect_part_to_peer (const TtSuspectPart *part, TtPeerPart *peer, int64_t now_us);
