#include "tarragontrack/control/feed.h"
#include "tarragontrack/board/board.h"
#include "tarragontrack/control/controllers.h"
#include "tarragontrack/control/evidence.h"
#include "tarragontrack/control/fleet.h"
#include "tarragontrack/control/own_entry.h"
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/// Backoff after a failed call: doubles with each consecutive failure up to a maximum. The maximum
/// is short because the configuration must be active within seconds after the store has recovered.
#define INITIAL_BACKOFF_US (100 * TT_MILLISECOND_US)
#define MAX_BACKOFF_US (400 * TT_MILLISECOND_US)
#define MAX_BACKOFF_DOUBLINGS 2

/// Time without a response after which a call is considered lost; the store client's own timeouts
/// are shorter.
#define CALL_TIMEOUT_US (30 * TT_SECOND_US)

/// Changes of backend servers are batched for this fraction (1 / BATCH_LEAVING_DIVISOR) of the time
/// during which a leaving backend server still serves requests. The rest of that time is reserved
/// for a slow response of the store, or for a failed call and its retry.
#define BATCH_LEAVING_DIVISOR 3

/// The loss of the store is logged after the calls of one kind have failed for this time.
#define STORE_LOST_AFTER_US (500 * TT_MILLISECOND_US)

static const char *const kind_names[] = {
  [TT_STORE_CONFIG] = "config", [TT_STORE_SERVERS] = "servers", [TT_STORE_DAEMONS] = "daemons"
};

/// True if the entries of a kind are watched after they were listed. The reader of a failure domain
/// watches configuration and backend servers for all of its daemons. Daemons learn of each other
/// from status messages.
static bool
is_watched (const TtBoard *board, TtStoreKind kind)
{
  return kind != TT_STORE_DAEMONS && board->reader.reads_store;
}

/// Sets the continuation token of a list; NULL = first page. Without memory for it, the list starts
/// anew.
static void
set_continue_after (TtFeedStream *stream, const char *name)
{
  free (stream->continue_after);
  stream->continue_after = name != NULL ? strdup (name) : NULL;
}

void
tt_feed_relist (TtFeedStream *stream, int64_t now_us)
{
  stream->revision = 0;
  set_continue_after (stream, NULL);
  stream->call_id = 0;
  stream->confirm_call_id = 0;
  stream->list_requested = false;
  stream->next_call_us = now_us;
}

void
tt_feed_request_list (TtBoard *board, TtStoreKind kind)
{
  TtFeedStream *stream = &board->feed.streams[kind];

  if (stream->call_id == 0 && !is_watched (board, kind))
    stream->list_requested = true;
}

static void
close_feed (void *context, TtBoard *board)
{
  (void) context;
  for (int kind = 0; kind < TT_STORE_KINDS; kind++)
    set_continue_after (&board->feed.streams[kind], NULL);
}

uint64_t
tt_feed_call_store (TtBoard *board, TtPlatformOp op, TtStoreKind kind, const TtFeedStream *stream,
                    bool waits)
{
  TtAction *action = tt_board_append_action (board, TT_ACTION_PLATFORM_CALL);

  if (action == NULL)
    return 0;
  tt_board_counter_add (board, TT_COUNT_PLATFORM_CALLS, 1);
  action->platform.call_id = tt_board_next_id (board);
  action->platform.op = op;
  action->platform.kind = kind;
  (void) snprintf (action->platform.key, sizeof action->platform.key, "%s", kind_names[kind]);
  if (stream != NULL)
    {
      action->platform.version = stream->revision;
      action->platform.answers_at_once = !waits;
      action->platform.continue_after = stream->continue_after;
    }
  return action->platform.call_id;
}

/// Logs the loss and the recovery of the store once, not separately for each kind of entries.
static void
log_store_state (TtBoard *board, int64_t now_us)
{
  TtFeedSection *section = &board->feed;
  bool lost = false;

  for (int kind = 0; kind < TT_STORE_KINDS; kind++)
    lost = lost
           || (section->streams[kind].failing_since_us != 0
               && now_us - section->streams[kind].failing_since_us >= STORE_LOST_AFTER_US);
  if (lost && !section->loss_logged)
    tt_board_log (
        board, TT_LOG_PLATFORM_LOST, "table=%llu servers_revision=%llu",
        (unsigned long long) (board->routes.table != NULL ? board->routes.table->version : 0),
        (unsigned long long) board->registry.point.revision);
  else if (!lost && section->loss_logged)
    {
      for (int kind = 0; kind < TT_STORE_KINDS; kind++)
        if (section->streams[kind].failing_since_us != 0)
          return;
      tt_board_log (board, TT_LOG_PLATFORM_BACK, "daemon=%s", board->config.name);
    }
  section->loss_logged = lost;
}

/// Records a failed call of a kind. @started_us: start of the call, or, if a waiting watch was cut,
/// the present time. @cut: the store closed the connection without a response.
static void
record_failure (TtBoard *board, TtFeedStream *stream, int64_t started_us, bool cut, int64_t now_us)
{
  tt_board_counter_add (board, TT_COUNT_PLATFORM_ERRORS, 1);
  tt_evidence_add_failure (board, started_us, cut, now_us);
  stream->failures++;
  if (stream->failing_since_us == 0)
    stream->failing_since_us = now_us;
}

/// Delay before a failed call is repeated, with jitter over half of it, so that the daemons do not
/// all repeat it at the same time.
static int64_t
backoff_us (TtBoard *board, uint32_t failures)
{
  uint32_t doublings = failures < MAX_BACKOFF_DOUBLINGS ? failures : MAX_BACKOFF_DOUBLINGS;
  int64_t delay_us = INITIAL_BACKOFF_US << doublings;

  if (delay_us > MAX_BACKOFF_US)
    delay_us = MAX_BACKOFF_US;
  return delay_us / 2 + (int64_t) tt_rng_below (&board->rng, (uint64_t) delay_us / 2 + 1);
}

/// Starts the watches of all kinds again after calls have failed: one that waits may have been lost
/// in the same outage.
static void
renew_watches (TtBoard *board, int64_t now_us)
{
  for (int kind = 0; kind < TT_STORE_KINDS; kind++)
    {
      TtFeedStream *stream = &board->feed.streams[kind];

      if (stream->call_id == 0 || !stream->watch_waits)
        continue;
      stream->call_id = 0;
      stream->next_call_us = now_us;
    }
}

/// Records the answer to a call of a kind that began at @started_us.
static void
record_success (TtBoard *board, TtFeedStream *stream, int64_t started_us, int64_t now_us)
{
  bool failed = stream->failing_since_us != 0;

  tt_evidence_add_answer (board, started_us);
  stream->failures = 0;
  stream->failing_since_us = 0;
  stream->responded_us = now_us;
  if (failed)
    renew_watches (board, now_us);
}

static void
handle_call_failure (TtBoard *board, TtFeedStream *stream, int code, int64_t now_us)
{
  bool cut = code == TT_E_CRASHED;
  // A watch that is cut was waiting at a store that served.
  int64_t started_us = cut && stream->failing_since_us == 0 ? now_us : stream->call_started_us;

  stream->call_id = 0;
  if (code == TT_E_STALE)
    {
      // The store has compacted the changes since this revision, so the list is read again.
      tt_feed_relist (stream, now_us);
      return;
    }
  // A watch from the same revision may meet the same unreadable change for ever; only a list shows
  // what it left.
  if (code == TT_E_MALFORMED)
    {
      stream->unreadable_answers++;
      tt_feed_relist (stream, now_us);
    }
  record_failure (board, stream, started_us, cut, now_us);
  stream->next_call_us = now_us
                         + backoff_us (board, stream->failures > stream->unreadable_answers
                                                  ? stream->failures
                                                  : stream->unreadable_answers);
}

/// Delay after changes of a kind before the next watch call. Entries change in groups, and every
/// call has a cost, so changes are batched. Configuration changes are not delayed, because they
/// must be active as soon as possible.
static int64_t
batch_delay_us (const TtBoard *board, TtStoreKind kind)
{
  return kind == TT_STORE_SERVERS
             ? board->config.bounds.leaving_ms * TT_MILLISECOND_US / BATCH_LEAVING_DIVISOR
             : 0;
}

/// Records that the copy of a kind was complete at @started_us, when a call began whose answer has
/// the store's @revision. If nothing has changed since the answers of another kind, its copy was
/// complete, too.
static void
confirm_copies (TtBoard *board, TtFeedStream *stream, uint64_t revision, int64_t started_us)
{
  stream->revision = revision;
  for (int kind = 0; kind < TT_STORE_KINDS; kind++)
    {
      TtFeedStream *other = &board->feed.streams[kind];

      if (other->revision >= revision && started_us > other->confirmed_us)
        other->confirmed_us = started_us;
    }
}

static void
handle_call_result (TtBoard *board, TtFeedStream *stream, const TtStoreEntries *entries,
                    int64_t now_us)
{
  stream->call_id = 0;
  stream->next_call_us = now_us;
  if (entries->count > 0 && !entries->has_more)
    stream->next_call_us += batch_delay_us (board, entries->kind);
  if (!entries->is_list)
    stream->unreadable_answers = 0;
  // A watch that has waited shows that the store serves when it ends, not when it began.
  record_success (board, stream, stream->watch_waits ? now_us : stream->call_started_us, now_us);
  if (entries->is_list && entries->has_more)
    {
      set_continue_after (stream, entries->continue_after);
      return;
    }
  set_continue_after (stream, NULL);
  stream->list_requested = false;
  if (stream->watch_waits)
    stream->revision = entries->revision;
  else
    confirm_copies (board, stream, entries->revision, stream->call_started_us);
}

/// Handles the answer to a call that confirms a copy beside a waiting watch.
static void
handle_confirm_result (TtBoard *board, TtFeedStream *stream, const TtPlatformEvent *event, int code,
                       int64_t now_us)
{
  const TtStoreEntries *entries = event->entries;
  uint64_t watch_revision;

  stream->confirm_call_id = 0;
  if (code == TT_E_STALE || code == TT_E_MALFORMED)
    tt_feed_relist (stream, now_us);
  if (code != TT_OK || entries == NULL)
    {
      if (code == TT_E_STALE)
        return;
      record_failure (board, stream, stream->confirm_started_us, code == TT_E_CRASHED, now_us);
      stream->next_confirm_us = now_us + backoff_us (board, stream->failures);
    }
  else
    {
      record_success (board, stream, stream->confirm_started_us, now_us);
      watch_revision = stream->revision;
      confirm_copies (board, stream, entries->revision, stream->confirm_started_us);
      if (entries->count == 0)
        {
          if (tt_evidence_confirms_first (board))
            tt_fleet_send_status_to_readers (board, now_us);
          return;
        }
      // The watch would have delivered this, so its answers are lost.
      tt_board_counter_add (board, TT_COUNT_WATCHES_LOST, 1);
      tt_board_log (board, TT_LOG_WATCH_LOST,
                    "kind=%s revision=%llu watch_revision=%llu waited_ms=%lld",
                    kind_names[entries->kind], (unsigned long long) entries->revision,
                    (unsigned long long) watch_revision,
                    (long long) ((now_us - stream->call_started_us) / TT_MILLISECOND_US));
      stream->call_id = 0;
      stream->next_call_us = now_us + batch_delay_us (board, entries->kind);
    }
}

/// False for a page of a list after which the list cannot be continued, because none of its entries
/// has a readable name.
static bool
has_continuation (const TtStoreEntries *entries)
{
  return !entries->is_list || !entries->has_more || entries->continue_after != NULL;
}

/// Handles the result of the list or watch call in flight of one kind.
static void
complete_stream_call (TtBoard *board, TtStoreKind kind, const TtPlatformEvent *event, int code,
                      int64_t now_us)
{
  TtFeedStream *stream = &board->feed.streams[kind];

  if (code != TT_OK && stream->revision != 0 && !is_watched (board, kind))
    {
      // A watch of a daemon that no longer reads, or a list that was requested once; it is not
      // repeated.
      stream->call_id = 0;
      stream->list_requested = false;
      set_continue_after (stream, NULL);
    }
  else if (code == TT_OK && event->entries != NULL && has_continuation (event->entries))
    {
      event->entries->is_first_page = event->entries->is_list && stream->continue_after == NULL;
      handle_call_result (board, stream, event->entries, now_us);
    }
  else
    handle_call_failure (board, stream, code, now_us);
}

/// Gives up what began in an earlier era: the positions of watches and the calls in flight.
static void
leave_era (TtBoard *board, int64_t now_us)
{
  for (int kind = 0; kind < TT_STORE_KINDS; kind++)
    if (is_watched (board, (TtStoreKind) kind))
      tt_feed_relist (&board->feed.streams[kind], now_us);
}

/// Judges the era of an answer. RETURN the code as which the answer is handled.
static int
check_era (TtBoard *board, const TtPlatformEvent *event, int64_t now_us)
{
  bool starts_list = event->op == TT_PLATFORM_LIST && event->entries != NULL;
  TtFeedStream *stream;

  if (event->code != TT_OK && event->code != TT_E_STALE)
    return event->code; // the era of a rejection proves nothing
  switch (tt_evidence_check_era (board, event->era, now_us))
    {
    case TT_ERA_CURRENT:
      return event->code;
    case TT_ERA_OLD:
      return event->code == TT_OK ? TT_E_UNAVAILABLE : event->code;
    case TT_ERA_NEW:
      break;
    }
  // The first page of a list holds in the new era; changes since a revision of the old one do not.
  stream = starts_list ? &board->feed.streams[event->entries->kind] : NULL;
  starts_list = starts_list && stream->call_id == event->call_id && stream->continue_after == NULL;
  leave_era (board, now_us);
  if (starts_list)
    stream->call_id = event->call_id;
  return starts_list || event->entries == NULL ? event->code : TT_E_STALE;
}

/// Handles the result of a call: the write of this daemon's entry, or the list, the watch or the
/// confirmation of one kind.
static void
complete_call (TtBoard *board, const TtEvent *event, int64_t now_us)
{
  TtFeedSection *section = &board->feed;
  const TtPlatformEvent *result = &event->platform;
  int code = check_era (board, result, now_us);
  bool known = false;

  if (section->own_write_call_id != 0 && result->call_id == section->own_write_call_id)
    tt_own_entry_handle_write (board, result, code, now_us);
  for (int kind = 0; kind < TT_STORE_KINDS && result->call_id != 0; kind++)
    {
      TtFeedStream *stream = &section->streams[kind];

      if (stream->call_id == result->call_id)
        complete_stream_call (board, (TtStoreKind) kind, result, code, now_us);
      else if (stream->confirm_call_id == result->call_id)
        handle_confirm_result (board, stream, result, code, now_us);
      else
        continue;
      known = true;
    }
  if (result->entries != NULL && result->call_id != 0 && (!known || code != TT_OK))
    {
      result->entries->discarded = true;
      tt_board_counter_add (board, TT_COUNT_ANSWERS_DISCARDED, 1);
      tt_board_log (
          board, TT_LOG_ANSWER_DISCARDED, "kind=%s revision=%llu era=%llu current_era=%llu",
          kind_names[result->entries->kind], (unsigned long long) result->entries->revision,
          (unsigned long long) result->era, (unsigned long long) board->evidence.era);
    }
  log_store_state (board, now_us);
}

static void
on_event (void *context, TtBoard *board, const TtEvent *event, int64_t now_us)
{
  const TtStoreEntries *entries = event->platform.entries;

  (void) context;
  if (event->type != TT_EVENT_PLATFORM_RESPONSE || event->platform.op == TT_PLATFORM_PEER)
    return;
  complete_call (board, event, now_us);
  if (entries != NULL && !entries->discarded && entries->kind == TT_STORE_DAEMONS)
    tt_own_entry_check (board, entries);
}

/// Starts the next list or watch of a kind, if it is due.
static void
run_stream (TtBoard *board, TtStoreKind kind, int64_t now_us)
{
  TtFeedStream *stream = &board->feed.streams[kind];
  bool lists = stream->revision == 0 || stream->list_requested;

  if (stream->call_id != 0 && now_us - stream->call_started_us > CALL_TIMEOUT_US)
    handle_call_failure (board, stream, TT_E_TIMEOUT, now_us);
  if (stream->call_id != 0 || now_us < stream->next_call_us
      || (!lists && !is_watched (board, kind)))
    return;
  // A watch waits only if it begins right after a response. The store may have fallen silent since
  // an older one: it would never respond to the watch, and its end would not show.
  stream->watch_waits = !lists && stream->failing_since_us == 0
                        && now_us - stream->responded_us < TT_TICK_INTERVAL_US;
  stream->call_id = tt_feed_call_store (board, lists ? TT_PLATFORM_LIST : TT_PLATFORM_WATCH_ENTRIES,
                                        kind, stream, stream->watch_waits);
  stream->call_started_us = now_us;
}

/// Confirms the copy that is known to be current for the longest time, if it is due. A watch that
/// waits proves nothing: its answer may have been lost.
static void
confirm_oldest_copy (TtBoard *board, int64_t now_us)
{
  TtFeedStream *oldest = NULL;
  TtStoreKind oldest_kind = TT_STORE_CONFIG;
  int64_t oldest_us = INT64_MAX;

  for (int kind = 0; kind < TT_STORE_KINDS; kind++)
    {
      TtFeedStream *stream = &board->feed.streams[kind];

      if (stream->confirm_call_id != 0 && now_us - stream->confirm_started_us > CALL_TIMEOUT_US)
        stream->confirm_call_id = 0;
      if (stream->confirm_call_id != 0)
        return;
      if (stream->call_id == 0 || !stream->watch_waits || now_us < stream->next_confirm_us
          || tt_evidence_confirmed_us (board, (TtStoreKind) kind) >= oldest_us
          || !tt_evidence_needs_confirmation (board, (TtStoreKind) kind, now_us))
        continue;
      oldest_us = tt_evidence_confirmed_us (board, (TtStoreKind) kind);
      oldest = stream;
      oldest_kind = (TtStoreKind) kind;
    }
  if (oldest == NULL)
    return;
  oldest->confirm_call_id
      = tt_feed_call_store (board, TT_PLATFORM_WATCH_ENTRIES, oldest_kind, oldest, false);
  oldest->confirm_started_us = now_us;
}

static void
run (void *context, TtBoard *board, int64_t now_us)
{
  (void) context;
  for (int kind = 0; kind < TT_STORE_KINDS; kind++)
    run_stream (board, (TtStoreKind) kind, now_us);
  if (board->reader.reads_store)
    confirm_oldest_copy (board, now_us);
  tt_own_entry_run (board, now_us);
}

TtController
tt_feed_controller (void)
{
  return (TtController){ .name = "feed", .close = close_feed, .on_event = on_event, .run = run };
}
