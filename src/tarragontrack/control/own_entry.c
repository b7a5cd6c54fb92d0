/// This daemon's entry in the platform's store, by which daemons that start find the others.
#include "tarragontrack/control/own_entry.h"
#include "tarragontrack/board/board.h"
#include "tarragontrack/board/error_defs.h"
#include "tarragontrack/control/feed.h"
#include "tarragontrack/control/fleet.h"
#include <string.h>

/// Delay before a failed write of this daemon's entry is retried.
#define RETRY_US TT_SECOND_US

/// Mean time between the writes of the whole fleet after the store has returned from a copy.
#define RENEWAL_INTERVAL_US (100 * TT_MILLISECOND_US)

/// Highest era in which the store's entries are known here, from the store or from the copy of
/// another daemon.
static uint64_t
known_era (const TtBoard *board)
{
  return board->evidence.era > board->registry.point.era ? board->evidence.era
                                                         : board->registry.point.era;
}

/// Schedules a write of the entry in a new era, in which it may be missing. The daemons learn of
/// the era at the same time, and write at random times.
static void
renew_in_new_era (TtBoard *board, int64_t now_us)
{
  TtFeedSection *section = &board->feed;
  uint64_t spread_us = tt_fleet_size (board) * (uint64_t) RENEWAL_INTERVAL_US;

  if (!section->own_entry_current || section->own_entry_era >= known_era (board))
    return;
  section->own_entry_current = false;
  section->own_entry_renewed = true;
  section->own_write_next_us = now_us + (int64_t) tt_rng_below (&board->rng, spread_us);
}

void
tt_own_entry_handle_write (TtBoard *board, const TtPlatformEvent *event, int code, int64_t now_us)
{
  TtFeedSection *section = &board->feed;
  TtFeedStream *daemons = &section->streams[TT_STORE_DAEMONS];

  section->own_write_call_id = 0;
  section->own_write_next_us = now_us + RETRY_US;
  section->own_entry_current = code == TT_OK;
  if (code == TT_E_CONFLICT)
    section->own_entry_exists = true;
  if (code == TT_E_NOT_FOUND)
    section->own_entry_exists = false;
  if (code == TT_E_CONFLICT || code == TT_E_NOT_FOUND)
    section->own_write_next_us = now_us;
  if (code != TT_OK)
    return;
  section->own_entry_era = event->era;
  // The daemons are listed again after the entry was written. Of two daemons that start together,
  // at least one then lists the other, which it tells its own address by a status message. One that
  // has run before a new era knows the others.
  if (!section->own_entry_renewed)
    {
      daemons->revision = 0;
      daemons->next_call_us = now_us;
    }
  section->own_entry_renewed = false;
}

void
tt_own_entry_check (TtBoard *board, const TtStoreEntries *entries)
{
  TtFeedSection *section = &board->feed;

  if (entries->is_list && entries->is_first_page)
    section->own_entry_listed = false;
  for (uint32_t i = 0; i < entries->count; i++)
    {
      const TtStoreEntry *entry = &entries->entries[i];

      if (strcmp (entry->name, board->config.name) != 0)
        continue;
      section->own_entry_listed = true;
      section->own_entry_era = entries->era;
      section->own_entry_exists = !entry->removed;
      section->own_entry_current = !entry->removed && entry->valid
                                   && entry->daemon.port == board->config.peer_port
                                   && strcmp (entry->daemon.address, board->config.address) == 0;
    }
  if (entries->is_list && !entries->has_more && !section->own_entry_listed)
    {
      section->own_entry_exists = false;
      section->own_entry_current = false;
    }
}

void
tt_own_entry_run (TtBoard *board, int64_t now_us)
{
  TtFeedSection *section = &board->feed;

  renew_in_new_era (board, now_us);
  if (section->own_write_call_id == 0 && !section->own_entry_current
      && section->streams[TT_STORE_DAEMONS].revision != 0 && now_us >= section->own_write_next_us)
    section->own_write_call_id = tt_feed_call_store (
        board, section->own_entry_exists ? TT_PLATFORM_REPLACE : TT_PLATFORM_CREATE,
        TT_STORE_DAEMONS, NULL, false);
}
