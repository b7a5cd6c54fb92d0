/// Evidence for what a daemon believes of the platform's store.
///
/// Every belief that comes from the store (copies of its entries, positions of watches, whether it
/// serves, whether entries may have lapsed) holds only within an era and only as long as evidence
/// supports it. The comparisons of eras, revisions and ages are made here and nowhere else. See
/// docs/decisions/store-beliefs.md.
#pragma once

#include "tarragontrack/board/board_defs.h"

/// What an answer of the store says about the era.
typedef enum
{
  TT_ERA_CURRENT,
  TT_ERA_NEW, ///< the store has returned from an older copy
  TT_ERA_OLD  ///< the answer was given before the store returned from an older copy
} TtEraVerdict;

/// tt_evidence_compare - compares two points in the history of the store
///
/// RETURN     below, equal to or above 0 if @first is older than, equal to or newer than @second.
///            The era counts first, because a revision of an earlier era may since have been given
///            to other content.
int tt_evidence_compare (TtStorePoint first, TtStorePoint second);

/// tt_evidence_check_era - judges the era of an answer to this daemon, and records a new one
///
/// NOTES      eras that other daemons report are not recorded: a wrong one would make this daemon
///            discard all answers of the store
TtEraVerdict tt_evidence_check_era (TtBoard *board, uint64_t era, int64_t now_us);

/// True if the era of an answer is the highest one known. An answer of an earlier era proves
/// nothing about the present one: what it confirms may be lost.
bool tt_evidence_is_of_current_era (const TtBoard *board, const TtPlatformEvent *event);

/// tt_evidence_era_age_us - for how long this daemon has known the store's era
///
/// RETURN     INT64_MAX if the store states no era. A free lease or key in the store is proof only
/// of
///            what was written in this era, so who takes it waits as long as a holder of an earlier
///            era may act.
int64_t tt_evidence_era_age_us (const TtBoard *board, int64_t now_us);

/// Fencing tokens of this era are above it, those of earlier eras are not.
uint64_t tt_evidence_fencing_floor (const TtBoard *board);

/// Records that the store answered a call of this daemon that began at @started_us.
void tt_evidence_add_answer (TtBoard *board, int64_t started_us);

/// tt_evidence_add_report - records what another daemon confirmed
///
/// NOTES      it proves that the store served. It also proves that this daemon's copies were
///            complete, if they have all that the other daemon had.
void tt_evidence_add_report (TtBoard *board, const TtConfirmation *confirmation, int64_t now_us);

/// What this daemon tells others about its own copies. What others reported is not passed on: it
/// would seem younger with each message.
TtConfirmation tt_evidence_confirmation (const TtBoard *board, int64_t now_us);

/// tt_evidence_add_failure - records that a call of this daemon failed
///
/// ARGUMENTS  cut: the connection was closed without an answer. That alone, as the cut of a waiting
///            watch, shows no outage before the store has not served for a report interval.
void tt_evidence_add_failure (TtBoard *board, int64_t started_us, bool cut, int64_t now_us);

/// tt_evidence_lapse_end_us - until when an entry that is missing now may only have lapsed
///
/// Backend servers report in each report interval, and an entry lapses after three of them without
/// a report. If the store was seen to serve for a whole interval, all of them reported within it,
/// and no entry lapses in the next two.
///
/// RETURN     the time at which a backend server that is alive has registered again; 0 if the entry
///            was removed because the backend server has left
int64_t tt_evidence_lapse_end_us (const TtBoard *board, int64_t now_us);

/// Time within which a change in the store must be in force everywhere.
int64_t tt_evidence_change_limit_us (const TtBoard *board);

/// Latest time at which the copy of a kind is known to have been complete.
int64_t tt_evidence_confirmed_us (const TtBoard *board, TtStoreKind kind);

/// tt_evidence_needs_confirmation - whether a copy is so old that a call has to confirm it
///
/// NOTES      of all daemons that read the store, the one with the lowest id does so first. Its
///            statement confirms the copies of the others, if nothing has changed.
bool tt_evidence_needs_confirmation (const TtBoard *board, TtStoreKind kind, int64_t now_us);

/// True if this daemon reads the store and none with a lower id does.
bool tt_evidence_confirms_first (const TtBoard *board);

/// tt_evidence_is_unconfirmed - whether a copy is too old to pass for current
///
/// ARGUMENTS  stream: a kind that this daemon watches
/// RETURN     true if a call that should return at once has no answer for so long that another
///            daemon has to read in time for the changes that this one may miss
bool tt_evidence_is_unconfirmed (const TtBoard *board, const TtFeedStream *stream, int64_t now_us);
