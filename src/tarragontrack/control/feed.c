#include "tarragontrack/board/board.h"
#include "tarragontrack/control/controllers.h"
#include <stdio.h>
#include <string.h>

/// Pause after a failed call; it doubles with each further failure up to the longest one. The
/// configuration has to be in force within seconds of a return of the store.
#define RETRY_FIRST_US (100 * TT_MILLISECOND_US)
#define RETRY_LONGEST_US (400 * TT_MILLISECOND_US)
#define RETRY_DOUBLINGS 2

/// A call without an event for this long has been lost; the client's own time limits are shorter.
#define CALL_LIMIT_US (30 * TT_SECOND_US)

/// Part of the time for which a leaving backend server serves, in which changes of entries are
/// gathered. The rest is for a slow answer of the store, or for a failed call and the next one.
#define GATHER_PART 3

/// Pause after changes of daemons' entries before they are followed again. Those that start
/// together write theirs within about this time.
#define GATHER_DAEMONS_US TT_SECOND_US

/// Pause before this daemon's entry is written again after a failure.
#define OWN_RETRY_US TT_SECOND_US

/// Calls of one kind that fail for this long count as a loss of the store, which is logged.
#define LOSS_US (500 * TT_MILLISECOND_US)

static const char *const kind_names[] = {
  [TT_STORE_CONFIG] = "config", [TT_STORE_SERVERS] = "servers", [TT_STORE_DAEMONS] = "daemons"
};

/// Appends a call of one kind.
static uint64_t
call_store (TtBoard *board, TtPlatformOp op, TtStoreKind kind, const TtFeedStream *stream)
{
  TtAction *action = tt_board_act (board, TT_ACTION_PLATFORM);

  if (action == NULL)
    return 0;
  tt_board_count (board, TT_COUNT_PLATFORM_CALLS, 1);
  action->platform.call_id = tt_board_next_id (board);
  action->platform.op = op;
  action->platform.kind = kind;
  (void) snprintf (action->platform.key, sizeof action->platform.key, "%s", kind_names[kind]);
  if (stream != NULL)
    {
      action->platform.version = stream->revision;
      memcpy (action->platform.after, stream->after, sizeof action->platform.after);
    }
  return action->platform.call_id;
}

/// Logs a loss of the store, or its return, once for all kinds.
static void
log_contact (TtBoard *board, int64_t now_us)
{
  TtFeedSection *section = &board->feed;
  bool lost = false;

  for (int kind = 0; kind < TT_STORE_KINDS; kind++)
    lost = lost
           || (section->streams[kind].lost_us != 0
               && now_us - section->streams[kind].lost_us >= LOSS_US);
  if (lost && !section->lost)
    tt_board_log (
        board, TT_LOG_PLATFORM_LOST, "table=%llu servers_revision=%llu",
        (unsigned long long) (board->routes.table != NULL ? board->routes.table->version : 0),
        (unsigned long long) board->registry.revision);
  else if (!lost && section->lost)
    {
      for (int kind = 0; kind < TT_STORE_KINDS; kind++)
        if (section->streams[kind].lost_us != 0)
          return;
      tt_board_log (board, TT_LOG_PLATFORM_BACK, "daemon=%s", board->config.name);
    }
  section->lost = lost;
}

static void
note_failure (TtBoard *board, TtFeedStream *stream, int code, int64_t now_us)
{
  uint32_t doublings = stream->failures < RETRY_DOUBLINGS ? stream->failures : RETRY_DOUBLINGS;
  int64_t pause_us = RETRY_FIRST_US << doublings;

  stream->call = 0;
  if (code == TT_E_STALE)
    {
      // The changes since the revision are gone: everything is read again.
      stream->revision = 0;
      stream->after[0] = '\0';
      stream->next_us = now_us;
      return;
    }
  tt_board_count (board, TT_COUNT_PLATFORM_ERRORS, 1);
  stream->failures++;
  stream->failed_us = stream->call_us;
  if (stream->lost_us == 0)
    stream->lost_us = now_us;
  if (pause_us > RETRY_LONGEST_US)
    pause_us = RETRY_LONGEST_US;
  // Spread over half the pause, so that daemons do not ask all at once.
  stream->next_us
      = now_us + pause_us / 2 + (int64_t) tt_rng_below (&board->rng, (uint64_t) pause_us / 2 + 1);
}

/// Pause after changes of a kind before it is followed again. Entries change in groups, and each
/// call has its price; none is made for the configuration, whose changes have to be in force
/// soonest.
static int64_t
gather_us (const TtBoard *board, TtStoreKind kind)
{
  if (kind == TT_STORE_SERVERS)
    return board->config.bounds.leaving_ms * TT_MILLISECOND_US / GATHER_PART;
  return kind == TT_STORE_DAEMONS ? GATHER_DAEMONS_US : 0;
}

static void
note_answer (const TtBoard *board, TtFeedStream *stream, const TtStoreEntries *entries,
             int64_t now_us)
{
  stream->call = 0;
  stream->failures = 0;
  stream->next_us = now_us;
  if (entries->count > 0 && !entries->more)
    stream->next_us += gather_us (board, entries->kind);
  stream->lost_us = 0;
  if (entries->whole && entries->more)
    {
      memcpy (stream->after, entries->next, sizeof stream->after);
      return;
    }
  stream->after[0] = '\0';
  stream->revision = entries->revision;
}

/// The store's answer to a write of this daemon's entry.
static void
note_own (TtFeedSection *section, int code, int64_t now_us)
{
  section->own_call = 0;
  section->own_next_us = now_us + OWN_RETRY_US;
  section->own_known = code == TT_OK;
  if (code == TT_E_CONFLICT)
    section->own_exists = true;
  if (code == TT_E_NOT_FOUND)
    section->own_exists = false;
  if (code == TT_E_CONFLICT || code == TT_E_NOT_FOUND)
    section->own_next_us = now_us;
}

/// Passes the end of a call on to what waits for it: the own entry, or one kind's stream.
static void
end_call (TtBoard *board, const TtEvent *event, int64_t now_us)
{
  TtFeedSection *section = &board->feed;

  if (section->own_call != 0 && event->platform.call_id == section->own_call)
    note_own (section, event->platform.code, now_us);
  for (int kind = 0; kind < TT_STORE_KINDS; kind++)
    {
      TtFeedStream *stream = &section->streams[kind];

      if (stream->call == 0 || stream->call != event->platform.call_id)
        continue;
      if (event->platform.code == TT_OK && event->platform.entries != NULL)
        {
          event->platform.entries->first
              = event->platform.entries->whole && stream->after[0] == '\0';
          note_answer (board, stream, event->platform.entries, now_us);
        }
      else
        note_failure (board, stream, event->platform.code, now_us);
    }
  log_contact (board, now_us);
}

/// Looks whether the list of daemons holds this daemon's entry as it should be.
static void
check_own (TtBoard *board, const TtEvent *event)
{
  TtFeedSection *section = &board->feed;
  const TtStoreEntries *entries = event->platform.entries;

  if (entries == NULL || entries->from_peer || entries->kind != TT_STORE_DAEMONS)
    return;
  for (uint32_t i = 0; i < entries->count; i++)
    {
      const TtStoreEntry *entry = &entries->entries[i];

      if (strcmp (entry->name, board->config.name) != 0)
        continue;
      section->own_exists = !entry->removed;
      section->own_known = !entry->removed && entry->readable
                           && entry->daemon.port == board->config.peer_port
                           && strcmp (entry->daemon.address, board->config.address) == 0;
    }
}

static void
on_event (void *context, TtBoard *board, const TtEvent *event, int64_t now_us)
{
  (void) context;
  if (event->type != TT_EVENT_PLATFORM)
    return;
  end_call (board, event, now_us);
  check_own (board, event);
}

static void
run (void *context, TtBoard *board, int64_t now_us)
{
  TtFeedSection *section = &board->feed;
  const TtFeedStream *daemons = &section->streams[TT_STORE_DAEMONS];

  (void) context;
  for (int kind = 0; kind < TT_STORE_KINDS; kind++)
    {
      TtFeedStream *stream = &section->streams[kind];

      if (stream->call != 0 && now_us - stream->call_us > CALL_LIMIT_US)
        note_failure (board, stream, TT_E_TIMEOUT, now_us);
      if (stream->call != 0 || now_us < stream->next_us)
        continue;
      stream->call
          = call_store (board, stream->revision == 0 ? TT_PLATFORM_LIST : TT_PLATFORM_FOLLOW,
                        (TtStoreKind) kind, stream);
      stream->call_us = now_us;
    }
  if (section->own_call == 0 && !section->own_known && daemons->revision != 0
      && now_us >= section->own_next_us)
    section->own_call
        = call_store (board, section->own_exists ? TT_PLATFORM_REPLACE : TT_PLATFORM_CREATE,
                      TT_STORE_DAEMONS, NULL);
}

TtController
tt_feed_controller (void)
{
  return (TtController){ .name = "feed", .on_event = on_event, .run = run };
}
