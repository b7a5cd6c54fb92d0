/// Load pattern: each change in the store is read by all daemons, so that the calls grow with the
/// product of daemons and changes, and meet the store's rate in a storm of configurations. One
/// daemon of each failure domain reads; the calls then grow with the changes alone.
///
/// Nothing depends on there being exactly one reader. A daemon that hears none starts to read, and
/// two that read at the same time only cost calls. All times are fractions of the time within which
/// a change must reach all daemons, also if the reader fails just before it would have passed it
/// on.
#include "tarragontrack/control/reader.h"
#include "tarragontrack/board/backend.h"
#include "tarragontrack/board/board.h"
#include "tarragontrack/board/store.h"
#include "tarragontrack/control/controllers.h"
#include "tarragontrack/control/evidence.h"
#include "tarragontrack/control/feed.h"
#include "tarragontrack/control/fleet.h"
#include "tarragontrack/control/registry.h"
#include <stdlib.h>
#include <string.h>

/// A reader that was not heard for 1 / SILENCE_DIVISOR of that time is given up.
#define SILENCE_DIVISOR 4
/// Status messages that a reader sends in that period of silence.
#define HEARTBEATS_PER_SILENCE 4
/// Failing calls make a reader unhealthy after this part of the period of silence. Followers that
/// replaced it after a single rejected call would all meet the same short disturbance.
#define FAILING_DIVISOR 2
/// A watch that did not deliver, for this part of the period of silence, a change that another
/// daemon knows is considered lost: the store may be silent to some daemons while it serves others.
#define MISSED_CHANGE_DIVISOR 4
/// The daemon of rank n starts to read n + 1 steps after no reader is heard, so that the message of
/// the first one arrives before the next one starts. Later ranks start together.
#define STEPS_PER_SILENCE 8
#define MAX_STEPS 4

static const TtStoreKind watched_kinds[] = { TT_STORE_CONFIG, TT_STORE_SERVERS };

static int64_t
silence_us (const TtBoard *board)
{
  return tt_evidence_change_limit_us (board) / SILENCE_DIVISOR;
}

/// True if calls fail or are not answered: the copy that this daemon passes on may be out of date.
static bool
calls_fail (const TtBoard *board, int64_t now_us)
{
  for (size_t i = 0; i < sizeof watched_kinds / sizeof watched_kinds[0]; i++)
    {
      const TtFeedStream *stream = &board->feed.streams[watched_kinds[i]];

      if ((stream->failing_since_us != 0
           && now_us - stream->failing_since_us >= silence_us (board) / FAILING_DIVISOR)
          || tt_evidence_is_unconfirmed (board, stream, now_us))
        return true;
    }
  return false;
}

bool
tt_reader_is_healthy (const TtBoard *board)
{
  const TtReaderSection *section = &board->reader;

  return section->reads_store && section->listed && !section->misses_changes
         && board->drain.state == TT_DRAIN_SERVING && !calls_fail (board, section->last_run_us);
}

bool
tt_reader_is_source (const TtBoard *board, const TtDaemon *daemon, int64_t now_us)
{
  return daemon->alive && daemon->reads_store && daemon->domain_id == board->domain_id
         && now_us - daemon->last_status_us <= silence_us (board);
}

const TtDaemon *
tt_reader_find (const TtBoard *board, int64_t now_us)
{
  const TtDaemon *first = NULL;

  TT_LIST_FOREACH (&board->fleet.daemons, it)
    {
      const TtDaemon *daemon = TT_CONTAINER_OF (it, TtDaemon, link);

      if (tt_reader_is_source (board, daemon, now_us) && (first == NULL || daemon->id < first->id))
        first = daemon;
    }
  return first;
}

/// Number of live daemons of the failure domain with a lower id.
static uint32_t
rank (const TtBoard *board)
{
  uint64_t own_id = tt_hash_string (board->config.name);
  uint32_t lower = 0;

  TT_LIST_FOREACH (&board->fleet.daemons, it)
    {
      const TtDaemon *daemon = TT_CONTAINER_OF (it, TtDaemon, link);

      if (daemon->alive && daemon->domain_id == board->domain_id && daemon->id < own_id)
        lower++;
    }
  return lower;
}

/// Lists all watched kinds again. The copy received from another daemon may be older than what the
/// store holds.
static void
relist (TtBoard *board, int64_t now_us)
{
  for (size_t i = 0; i < sizeof watched_kinds / sizeof watched_kinds[0]; i++)
    tt_feed_relist (&board->feed.streams[watched_kinds[i]], now_us);
  board->reader.listed = false;
}

static void
start_reading (TtBoard *board, int64_t now_us)
{
  TtReaderSection *section = &board->reader;

  tt_board_log (board, TT_LOG_READER_STARTED, "daemon=%s rank=%u silent_ms=%lld",
                board->config.name, rank (board),
                (long long) ((now_us - section->missing_since_us) / TT_MILLISECOND_US));
  section->reads_store = true;
  section->superfluous_since_us = 0;
  section->behind_since_us = 0;
  section->misses_changes = false;
  relist (board, now_us);
  board->dirty = true; // `feed` runs before this controller
}

static void
stop_reading (TtBoard *board, const char *cause)
{
  TtReaderSection *section = &board->reader;

  tt_board_log (board, TT_LOG_READER_STOPPED, "daemon=%s cause=%s", board->config.name, cause);
  section->reads_store = false;
  section->missing_since_us = 0;
  section->next_heartbeat_us = 0;
  for (size_t i = 0; i < sizeof watched_kinds / sizeof watched_kinds[0]; i++)
    board->feed.streams[watched_kinds[i]].failing_since_us = 0;
}

/// Starts to read if no reader of the failure domain is heard.
static void
start_if_needed (TtBoard *board, int64_t now_us)
{
  TtReaderSection *section = &board->reader;
  uint32_t steps = rank (board) + 1;
  int64_t wait_us;

  for (size_t i = 0; i < sizeof watched_kinds / sizeof watched_kinds[0]; i++)
    if (board->feed.streams[watched_kinds[i]].revision == 0)
      return; // the first list of each kind is read by every daemon
  if (tt_reader_find (board, now_us) != NULL)
    {
      section->missing_since_us = 0;
      section->heard = true;
      return;
    }
  if (section->missing_since_us == 0)
    section->missing_since_us = now_us;
  if (steps > MAX_STEPS || board->drain.state != TT_DRAIN_SERVING)
    steps = MAX_STEPS;
  wait_us = steps * silence_us (board) / STEPS_PER_SILENCE;
  // Daemons that start together do not know each other's ranks before they hear from each other.
  if (!section->heard)
    wait_us += silence_us (board);
  if (now_us - section->missing_since_us >= wait_us)
    start_reading (board, now_us);
}

/// Stops to read if another daemon reads in its place. Of two healthy readers, the one with the
/// lower id goes on.
static void
stop_if_superfluous (TtBoard *board, int64_t now_us)
{
  TtReaderSection *section = &board->reader;
  const TtDaemon *other = tt_reader_find (board, now_us);
  bool draining = board->drain.state != TT_DRAIN_SERVING;

  if (other == NULL
      || (tt_reader_is_healthy (board) && other->id > tt_hash_string (board->config.name)))
    {
      section->superfluous_since_us = 0;
      return;
    }
  if (section->superfluous_since_us == 0)
    section->superfluous_since_us = now_us;
  if (now_us - section->superfluous_since_us >= silence_us (board))
    stop_reading (board, draining ? "shutdown" : "another_reader");
}

/// True if another daemon knows a change of a kind that this daemon does not.
static bool
is_behind (const TtBoard *board, TtStoreKind kind)
{
  uint64_t version = board->routes.table != NULL ? board->routes.table->version : 0;

  TT_LIST_FOREACH (&board->fleet.daemons, it)
    {
      const TtDaemon *daemon = TT_CONTAINER_OF (it, TtDaemon, link);

      if (daemon->alive
          && (kind == TT_STORE_CONFIG
                  ? daemon->table_version > version
                  : tt_evidence_compare (daemon->change, board->registry.point) > 0))
        return true;
    }
  return false;
}

/// Detects watches that no longer deliver although their connections are open. While no watch is in
/// flight, because changes are batched, being behind is no sign of that.
static void
check_missed_changes (TtBoard *board, int64_t now_us)
{
  TtReaderSection *section = &board->reader;
  bool behind = false;

  for (size_t i = 0; i < sizeof watched_kinds / sizeof watched_kinds[0]; i++)
    behind = behind
             || (board->feed.streams[watched_kinds[i]].call_id != 0
                 && is_behind (board, watched_kinds[i]));
  if (!behind)
    {
      section->behind_since_us = 0;
      section->misses_changes = false;
      return;
    }
  if (section->behind_since_us == 0)
    section->behind_since_us = now_us;
  if (section->misses_changes
      || now_us - section->behind_since_us < silence_us (board) / MISSED_CHANGE_DIVISOR)
    return;
  section->misses_changes = true;
  relist (board, now_us);
}

/// Detects that the host was suspended: what the watches deliver then is of unknown age.
static void
check_suspension (TtBoard *board, int64_t now_us)
{
  TtReaderSection *section = &board->reader;

  if (section->last_run_us != 0 && now_us - section->last_run_us > silence_us (board))
    {
      section->missing_since_us = 0;
      if (section->reads_store)
        relist (board, now_us);
    }
  section->last_run_us = now_us;
}

static void
update_listed (TtBoard *board)
{
  for (size_t i = 0; i < sizeof watched_kinds / sizeof watched_kinds[0]; i++)
    if (board->feed.streams[watched_kinds[i]].revision == 0)
      return;
  board->reader.listed = true;
}

/// Tells the failure domain at each change of the role and, while this daemon reads, regularly.
static void
announce (TtBoard *board, int64_t now_us)
{
  TtReaderSection *section = &board->reader;
  bool healthy = tt_reader_is_healthy (board);

  if (healthy == section->announced && (!healthy || now_us < section->next_heartbeat_us))
    return;
  // The collectors of other failure domains learn of a change at once, too.
  tt_fleet_send_status (board, healthy == section->announced, now_us);
  section->announced = healthy;
  section->next_heartbeat_us = now_us + silence_us (board) / HEARTBEATS_PER_SILENCE;
}

static void
relay_table (TtBoard *board, const TtDaemon *daemon)
{
  const TtRouteTable *table = board->routes.table;
  TtPeerMessage *message
      = tt_fleet_new_message (board, daemon->address, daemon->port, TT_PEER_TABLE);

  if (message == NULL)
    return;
  message->table.text = table->text;
  message->table.text_size = (uint32_t) table->text_size;
}

static void
relay_changes (TtBoard *board, const TtDaemon *daemon, const TtStoreEntries *changes,
               int64_t now_us)
{
  TtStoreEntry *entries = tt_store_servers_copy (changes->entries, changes->count);
  TtPeerMessage *message
      = entries != NULL
            ? tt_fleet_new_message (board, daemon->address, daemon->port, TT_PEER_SERVER_CHANGES)
            : NULL;

  if (message == NULL)
    {
      free (entries); // the daemon fetches the list when it sees the newer revision
      return;
    }
  message->servers = (TtStoreEntries){ .kind = TT_STORE_SERVERS,
                                       .entries = entries,
                                       .count = changes->count,
                                       .era = changes->era,
                                       .revision = changes->revision,
                                       .base_revision = board->registry.base.revision,
                                       .lapse_ms = tt_registry_lapse_ms (board, false, now_us) };
}

/// Passes on to the failure domain what the store has delivered.
static void
relay_response (TtBoard *board, const TtStoreEntries *entries, int64_t now_us)
{
  TtReaderSection *section = &board->reader;
  const TtRouteTable *table = board->routes.table;
  bool new_table = entries->kind == TT_STORE_CONFIG && table != NULL && table->text != NULL
                   && table->version > section->relayed_version;
  bool changes = entries->kind == TT_STORE_SERVERS && !entries->is_list && entries->count > 0;

  if (new_table)
    section->relayed_version = table->version;
  TT_LIST_FOREACH (&board->fleet.daemons, it)
    {
      const TtDaemon *daemon = TT_CONTAINER_OF (it, TtDaemon, link);

      if (!daemon->alive || daemon->domain_id != board->domain_id)
        continue;
      if (new_table && daemon->table_version < table->version)
        relay_table (board, daemon);
      if (changes)
        relay_changes (board, daemon, entries, now_us);
    }
}

static void
on_event (void *context, TtBoard *board, const TtEvent *event, int64_t now_us)
{
  const TtStoreEntries *entries = event->platform.entries;

  (void) context;
  if (event->type == TT_EVENT_PLATFORM_RESPONSE && entries != NULL && !entries->from_peer
      && !entries->discarded && board->reader.reads_store)
    relay_response (board, entries, now_us);
}

static void
run (void *context, TtBoard *board, int64_t now_us)
{
  (void) context;
  // The loops over all daemons are too costly for each event.
  if (now_us - board->reader.last_run_us < TT_TICK_INTERVAL_US / 2)
    return;
  check_suspension (board, now_us);
  if (board->reader.reads_store)
    {
      check_missed_changes (board, now_us);
      update_listed (board);
      stop_if_superfluous (board, now_us);
    }
  else
    start_if_needed (board, now_us);
  announce (board, now_us);
}

TtController
tt_reader_controller (void)
{
  return (TtController){ .name = "reader", .on_event = on_event, .run = run };
}
