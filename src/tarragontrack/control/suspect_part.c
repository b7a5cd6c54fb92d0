#include "tarragontrack/control/suspect_part.h"
#include "tarragontrack/board/board.h"
#include "tarragontrack/board/error_defs.h"
#include <stdlib.h>

/// Crashes within this time count as one.
#define SAME_MOMENT_US (100 * TT_MILLISECOND_US)

/// Strikes of this age no longer count.
#define STRIKE_VALID_US (600 * TT_SECOND_US)

int
tt_suspect_part_open (TtQuarantineSection *section)
{
  tt_list_init (&section->suspects);
  tt_list_init (&section->free);
  for (int i = 0; i < TT_SUSPECT_PART_BUCKETS; i++)
    tt_list_init (&section->buckets[i]);
  section->pool = calloc (TT_MAX_SUSPECT_PARTS, sizeof *section->pool);
  if (section->pool == NULL)
    return TT_E_NO_MEMORY;
  for (uint32_t i = 0; i < TT_MAX_SUSPECT_PARTS; i++)
    tt_list_append (&section->free, &section->pool[i].link);
  return TT_OK;
}

void
tt_suspect_part_close (TtQuarantineSection *section)
{
  free (section->pool);
}

TtSuspectPart *
tt_suspect_part_find (const TtBoard *board, uint64_t key)
{
  TT_LIST_FOREACH (&board->quarantine.buckets[key % TT_SUSPECT_PART_BUCKETS], it)
    {
      TtSuspectPart *part = TT_CONTAINER_OF (it, TtSuspectPart, bucket_link);

      if (part->key == key)
        return part;
    }
  return NULL;
}

void
tt_suspect_part_free (TtQuarantineSection *section, TtSuspectPart *part)
{
  section->quarantined_count -= part->quarantined ? 1 : 0;
  part->quarantined = false;
  tt_list_remove (&section->suspects, &part->link);
  tt_list_remove (&section->buckets[part->key % TT_SUSPECT_PART_BUCKETS], &part->bucket_link);
  tt_list_append (&section->free, &part->link);
}

/// Frees the suspect that was struck least recently, if possible one that is not quarantined.
static void
replace_oldest (TtBoard *board)
{
  TtQuarantineSection *section = &board->quarantine;
  TtSuspectPart *oldest = TT_CONTAINER_OF (section->suspects.head.prev, TtSuspectPart, link);

  TT_LIST_FOREACH (&section->suspects, it)
    {
      TtSuspectPart *part = TT_CONTAINER_OF (it, TtSuspectPart, link);

      if (!part->quarantined)
        oldest = part;
    }
  tt_suspect_part_free (section, oldest);
  tt_board_counter_add (board, TT_COUNT_POOL_FULL, 1);
}

static TtSuspectPart *
new_suspect (TtBoard *board, uint64_t key)
{
  TtQuarantineSection *section = &board->quarantine;
  TtSuspectPart *part;

  if (tt_list_first (&section->free) == NULL)
    replace_oldest (board);
  part = TT_CONTAINER_OF (tt_list_pop (&section->free), TtSuspectPart, link);
  *part = (TtSuspectPart){ .key = key };
  tt_link_init (&part->link);
  tt_link_init (&part->bucket_link);
  tt_list_prepend (&section->suspects, &part->link);
  tt_list_append (&section->buckets[key % TT_SUSPECT_PART_BUCKETS], &part->bucket_link);
  return part;
}

/// True if a strike counts as the crash @crash_id at @at_us.
static bool
is_same_crash (const TtPartStrike *strike, uint64_t crash_id, int64_t at_us)
{
  int64_t difference_us = strike->at_us - at_us;

  return strike->crash_id == crash_id
         || (difference_us < SAME_MOMENT_US && difference_us > -SAME_MOMENT_US);
}

static bool
has_crash (const TtSuspectPart *part, uint64_t crash_id, int64_t at_us)
{
  for (uint32_t i = 0; i < part->strike_count; i++)
    if (is_same_crash (&part->strikes[i], crash_id, at_us))
      return true;
  return false;
}

/// Removes the strike at an index.
static void
remove_strike (TtSuspectPart *part, uint32_t index)
{
  part->strike_count--;
  for (uint32_t i = index; i < part->strike_count; i++)
    part->strikes[i] = part->strikes[i + 1];
}

static bool
succeeded_since (const TtQuarantineSection *section, uint64_t key, int64_t at_us)
{
  for (uint32_t i = 0; i < TT_MAX_CLEARED_PARTS; i++)
    if (section->cleared[i].key == key && section->cleared[i].succeeded_us >= at_us)
      return true;
  return false;
}

TtSuspectPart *
tt_suspect_part_strike (TtBoard *board, uint64_t key, uint64_t crash_id, int64_t at_us)
{
  TtQuarantineSection *section = &board->quarantine;
  TtSuspectPart *part = tt_suspect_part_find (board, key);
  uint32_t index;

  if (succeeded_since (section, key, at_us) || (part != NULL && has_crash (part, crash_id, at_us)))
    return NULL;
  if (part == NULL)
    part = new_suspect (board, key);
  while (part->strike_count > 0
         && (part->strike_count == TT_MAX_PART_STRIKES
             || at_us - part->strikes[0].at_us > STRIKE_VALID_US))
    remove_strike (part, 0);
  for (index = part->strike_count; index > 0 && part->strikes[index - 1].at_us > at_us; index--)
    part->strikes[index] = part->strikes[index - 1];
  part->strikes[index] = (TtPartStrike){ .crash_id = crash_id, .at_us = at_us };
  part->strike_count++;
  tt_list_remove (&section->suspects, &part->link);
  tt_list_prepend (&section->suspects, &part->link);
  return part;
}

uint32_t
tt_suspect_part_count_shared (const TtSuspectPart *cause, const TtSuspectPart *other)
{
  uint32_t count = 0;

  for (uint32_t i = 0; i < other->strike_count; i++)
    count += has_crash (cause, other->strikes[i].crash_id, other->strikes[i].at_us);
  return count;
}

void
tt_suspect_part_remove_shared (const TtSuspectPart *cause, TtSuspectPart *other)
{
  for (uint32_t i = other->strike_count; i > 0; i--)
    if (has_crash (cause, other->strikes[i - 1].crash_id, other->strikes[i - 1].at_us))
      remove_strike (other, i - 1);
}

void
tt_suspect_part_record_success (TtQuarantineSection *section, uint64_t key, int64_t succeeded_us,
                                bool seen_here)
{
  TtClearedPart *cleared = NULL;

  for (uint32_t i = 0; i < TT_MAX_CLEARED_PARTS && cleared == NULL; i++)
    if (section->cleared[i].key == key)
      cleared = &section->cleared[i];
  if (cleared == NULL)
    {
      cleared = &section->cleared[section->next_cleared];
      section->next_cleared = (section->next_cleared + 1) % TT_MAX_CLEARED_PARTS;
      *cleared = (TtClearedPart){ .key = key };
    }
  if (succeeded_us < cleared->succeeded_us)
    return;
  cleared->succeeded_us = succeeded_us;
  cleared->seen_here = seen_here;
}

uint32_t
tt_suspect_part_age_ms (int64_t at_us, int64_t now_us)
{
  int64_t age_ms = (now_us - at_us) / TT_MILLISECOND_US;

  return age_ms < TT_PEER_MAX_PART_AGE_MS ? (uint32_t) age_ms : TT_PEER_MAX_PART_AGE_MS;
}

void
tt_suspect_part_to_peer (const TtSuspectPart *part, TtPeerPart *peer, int64_t now_us)
{
  *peer = (TtPeerPart){ .key = part->key, .strike_count = part->strike_count };
  for (uint32_t i = 0; i < part->strike_count; i++)
    {
      peer->crash_ids[i] = part->strikes[i].crash_id;
      peer->ages_ms[i] = tt_suspect_part_age_ms (part->strikes[i].at_us, now_us);
    }
}
