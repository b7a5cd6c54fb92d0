#include "tarragontrack/control/claim_era.h"
#include "tarragontrack/board/board.h"
#include "tarragontrack/board/request.h"
#include "tarragontrack/control/claim_shard.h"
#include "tarragontrack/control/evidence.h"
#include <stdlib.h>

/// Claims are remembered for this time; a copy of the store is not expected to be older.
#define RECORD_RETENTION_US (60 * TT_SECOND_US)
#define MAX_RECORDS 4096 ///< the oldest one is replaced

/// For this time in a new era, a key without an entry may have a claim that its owner has yet to
/// write again. Each daemon calls the platform at least every 9 s and learns of the era by that.
#define REWRITE_LIMIT_US (12 * TT_SECOND_US)
/// The rewrites of one daemon begin within this time after it has learned of the era.
#define REWRITE_SPREAD_US TT_SECOND_US

static TtClaimRecord *
find_record (const TtBoard *board, TtId128 key)
{
  TT_LIST_FOREACH (&board->claim.records, it)
    {
      TtClaimRecord *record = TT_CONTAINER_OF (it, TtClaimRecord, link);

      if (tt_id128_equal (record->entry.key, key))
        return record;
    }
  return NULL;
}

static void
set_rewrite (TtBoard *board, TtClaimRecord *record, bool rewrite)
{
  if (record->rewrite == rewrite)
    return;
  record->rewrite = rewrite;
  board->claim.rewrite_count += rewrite ? 1U : -1U;
}

static void
forget_old_records (TtBoard *board, int64_t now_us)
{
  TtList *records = &board->claim.records;

  while (records->count > 0)
    {
      TtClaimRecord *oldest = TT_CONTAINER_OF (tt_list_first (records), TtClaimRecord, link);

      if (records->count < MAX_RECORDS
          && (oldest->rewrite || now_us - oldest->confirmed_us < RECORD_RETENTION_US))
        return;
      set_rewrite (board, oldest, false);
      tt_list_remove (records, &oldest->link);
      free (oldest);
    }
}

void
tt_claim_era_record (TtBoard *board, const TtRequest *request, int64_t now_us)
{
  const TtClaimRequest *claim = &request->claim;
  bool settled = claim->step == TT_CLAIM_STEP_SETTLING;
  TtClaimRecord *record = find_record (board, request->spec.idempotency_key);

  if (board->evidence.era == 0)
    return;
  forget_old_records (board, now_us);
  if (record != NULL)
    {
      set_rewrite (board, record, false);
      tt_list_remove (&board->claim.records, &record->link);
    }
  else
    record = calloc (1, sizeof *record);
  if (record == NULL)
    return;
  tt_link_init (&record->link);
  // The recorded response is not kept twice.
  record->entry = (TtClaimEntry){ .key = request->spec.idempotency_key,
                                  .attempt = claim->attempt,
                                  .body_hash = request->spec.body_hash,
                                  .state = settled ? claim->final_state : TT_CLAIM_CLAIMED,
                                  .written_s = board->wall_clock_s,
                                  .status = settled ? claim->status : 0,
                                  .outcome_truncated = settled };
  record->confirmed_us = now_us;
  tt_list_append (&board->claim.records, &record->link);
}

void
tt_claim_era_check (TtBoard *board, int64_t now_us)
{
  TtClaimSection *section = &board->claim;

  if (section->era == board->evidence.era)
    return;
  section->era = board->evidence.era;
  TT_LIST_FOREACH (&section->active, it)
    {
      TtClaimShard *shard = TT_CONTAINER_OF (it, TtClaimShard, link);

      tt_claim_shard_give_up_call (shard);
      shard->next_try_us = now_us;
    }
  TT_LIST_FOREACH (&section->records, it)
    {
      TtClaimRecord *record = TT_CONTAINER_OF (it, TtClaimRecord, link);
      TtClaimShard *shard;

      if (now_us - record->confirmed_us >= RECORD_RETENTION_US)
        continue;
      set_rewrite (board, record, true);
      shard = tt_claim_shard_activate (board, record->entry.key, now_us);
      if (shard->waiting.count == 0)
        shard->next_try_us = now_us + (int64_t) tt_rng_below (&board->rng, REWRITE_SPREAD_US);
    }
}

bool
tt_claim_era_proves_absence (const TtBoard *board, int64_t now_us)
{
  return tt_evidence_era_age_us (board, now_us) >= REWRITE_LIMIT_US;
}

static bool
is_in_shard (const TtClaimRecord *record, const TtClaimShard *shard)
{
  return record->entry.key.low % TT_CLAIM_SHARDS == shard->index;
}

bool
tt_claim_era_has_rewrites (const TtBoard *board, const TtClaimShard *shard)
{
  if (board->claim.rewrite_count == 0)
    return false;
  TT_LIST_FOREACH (&board->claim.records, it)
    {
      const TtClaimRecord *record = TT_CONTAINER_OF (it, TtClaimRecord, link);

      if (record->rewrite && is_in_shard (record, shard))
        return true;
    }
  return false;
}

bool
tt_claim_era_add_rewrites (TtBoard *board, TtClaimShard *shard)
{
  bool added = false;

  if (board->claim.rewrite_count == 0)
    return false;
  TT_LIST_FOREACH (&board->claim.records, it)
    {
      TtClaimRecord *record = TT_CONTAINER_OF (it, TtClaimRecord, link);
      const TtClaimEntry *entry;

      if (!record->rewrite || !is_in_shard (record, shard))
        continue;
      entry = tt_claim_shard_find (shard, record->entry.key);
      // An entry of the same attempt may be older than the record; one of another attempt is newer.
      if (entry != NULL
          && (entry->state == record->entry.state
              || !tt_id128_equal (entry->attempt, record->entry.attempt)))
        set_rewrite (board, record, false);
      else
        added = tt_claim_shard_put (shard, &record->entry) == TT_OK || added;
    }
  return added;
}

void
tt_claim_era_confirm_rewrites (TtBoard *board, const TtClaimShard *shard)
{
  TT_LIST_FOREACH (&board->claim.records, it)
    {
      TtClaimRecord *record = TT_CONTAINER_OF (it, TtClaimRecord, link);

      if (record->rewrite && is_in_shard (record, shard))
        set_rewrite (board, record, false);
    }
}

void
tt_claim_era_close (TtBoard *board)
{
  TtLink *link;

  while ((link = tt_list_pop (&board->claim.records)) != NULL)
    free (TT_CONTAINER_OF (link, TtClaimRecord, link));
}
