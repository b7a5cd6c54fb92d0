#include "tarragontrack/control/registry.h"
#include "tarragontrack/board/backend.h"
#include "tarragontrack/board/board.h"
#include "tarragontrack/control/controllers.h"
#include "tarragontrack/control/feed.h"
#include "tarragontrack/control/notice.h"
#include <stdio.h>
#include <string.h>

/// The wait for lapsed entries ends this long before the settling time does, which leaves time for
/// a request that is in flight at that moment; see may_have_lapsed().
#define SETTLE_MARGIN_US (100 * TT_MILLISECOND_US)

static int
open_registry (void *context, TtBoard *board)
{
  (void) context;
  return tt_backend_open (board);
}

static void
close_registry (void *context, TtBoard *board)
{
  (void) context;
  tt_backend_close (board);
}

static void
set_state (TtBoard *board, TtBackendServer *backend, TtBackendState state, const char *cause,
           int64_t now_us)
{
  TtLogEvent event = state == TT_BACKEND_LIVE      ? TT_LOG_BACKEND_LIVE
                     : state == TT_BACKEND_LEAVING ? TT_LOG_BACKEND_LEAVING
                                                   : TT_LOG_BACKEND_GONE;

  if (backend->roster.state == state && backend->roster.changed_us != 0)
    return;
  backend->roster.state = state;
  backend->roster.changed_us = now_us;
  tt_board_log (board, event, "backend=%s service=%s address=%s:%u revision=%llu cause=%s",
                backend->name, backend->pool != NULL ? backend->pool->spec.name : "",
                backend->address, backend->port, (unsigned long long) backend->registry.revision,
                cause);
}

/// Returns the pool of a service; creates it if the configuration doesn't have the service yet.
static TtPool *
find_or_create_pool (TtBoard *board, const char *service)
{
  uint64_t id = tt_hash_string (service);
  TtPool *pool = tt_pool_find (board, id);

  if (pool != NULL)
    return pool;
  pool = tt_pool_new (board, id, service);
  if (pool != NULL)
    pool->spec.type = TT_SERVICE_PLAIN;
  return pool;
}

/// Resets the state that belongs to an earlier process with the same id.
static void
reset_process_state (TtBackendServer *backend)
{
  memset (&backend->breaker, 0, sizeof backend->breaker);
  memset (&backend->dispatch, 0, sizeof backend->dispatch);
  memset (&backend->recovery, 0, sizeof backend->recovery);
}

/// Applies the entry of a backend server from the store or from another daemon's copy.
static void
apply_server (TtBoard *board, const TtStoreEntry *entry, bool from_peer, int64_t now_us)
{
  uint64_t id = tt_hash_string (entry->name);
  TtBackendServer *backend = tt_backend_find (board, id);
  TtPool *pool = find_or_create_pool (board, entry->server.service);

  if (pool == NULL)
    return;
  if (backend == NULL)
    backend = tt_backend_new (board, id, entry->name);
  if (backend == NULL)
    return;
  if (entry->revision < backend->registry.revision)
    return; // another daemon's copy may be older
  if (backend->registry.process_start_ms != entry->server.process_start_ms)
    reset_process_state (backend);
  (void) snprintf (backend->address, sizeof backend->address, "%s", entry->server.address);
  backend->port = entry->server.port;
  backend->domain_id = entry->server.domain_id;
  backend->registry.process_start_ms = entry->server.process_start_ms;
  backend->notice.unavailable_until_us
      = tt_notice_unavailable_until_us (board, id, entry->server.process_start_ms);
  backend->registry.revision = entry->revision;
  backend->registry.slots = entry->server.slots;
  backend->registry.missing_since_us = 0;
  backend->weight = 1.0;
  if (backend->pool != pool)
    {
      if (backend->pool != NULL)
        tt_list_remove (&backend->pool->backends, &backend->pool_link);
      backend->pool = pool;
      backend->service_id = pool->id;
      tt_list_append (&pool->backends, &backend->pool_link);
    }
  if (entry->server.leaving)
    set_state (board, backend, TT_BACKEND_LEAVING, from_peer ? "copy" : "entry", now_us);
  else if (tt_notice_is_leaving (board, id, entry->server.process_start_ms))
    set_state (board, backend, TT_BACKEND_LEAVING, "answer", now_us);
  else
    set_state (board, backend, TT_BACKEND_LIVE, from_peer ? "copy" : "entry", now_us);
}

/// Marks the backend servers as leaving whose current process said so in a response.
static void
apply_notices (TtBoard *board, int64_t now_us)
{
  board->notice.leaving_changed = false;
  TT_LIST_FOREACH (&board->backends.all, it)
    {
      TtBackendServer *backend = TT_CONTAINER_OF (it, TtBackendServer, link);

      if (backend->roster.state == TT_BACKEND_LIVE
          && tt_notice_is_leaving (board, backend->id, backend->registry.process_start_ms))
        set_state (board, backend, TT_BACKEND_LEAVING, "answer", now_us);
    }
}

/// Part of the settling time after the last failed call of which SETTLE_MARGIN_US is left out.
static int64_t
lapse_time_us (const TtBoard *board)
{
  return board->config.bounds.settle_ms * TT_MILLISECOND_US - SETTLE_MARGIN_US;
}

uint32_t
tt_registry_lapse_ms (const TtBoard *board, int64_t now_us)
{
  const TtFeedStream *stream = &board->feed.streams[TT_STORE_SERVERS];
  int64_t end_us = board->registry.lapse_until_us;

  if (tt_feed_is_outage (board, stream, now_us))
    end_us = now_us + lapse_time_us (board);
  else if (stream->last_failed_call_us != 0
           && stream->last_failed_call_us + lapse_time_us (board) > end_us)
    end_us = stream->last_failed_call_us + lapse_time_us (board);
  return end_us > now_us ? (uint32_t) ((end_us - now_us) / TT_MILLISECOND_US) : 0;
}

/// True while entries may be missing only because the store was unavailable: the backend servers
/// register again within about two seconds after the store is available again. One settling time
/// after that moment, a missing entry must count as gone. The time is counted from the start of the
/// last failed call, because that call began while the store was still unavailable. While calls
/// fail that are no outage yet, the next call decides.
static bool
may_have_lapsed (const TtBoard *board, int64_t now_us)
{
  return tt_registry_lapse_ms (board, now_us) > 0
         || board->feed.streams[TT_STORE_SERVERS].failing_since_us != 0;
}

/// Marks a backend server as gone; if its entry may have lapsed, only records when the entry was
/// first missing.
static void
remove_server (TtBoard *board, TtBackendServer *backend, const char *cause, int64_t now_us)
{
  if (may_have_lapsed (board, now_us) && backend->roster.state == TT_BACKEND_LIVE)
    {
      if (backend->registry.missing_since_us == 0)
        backend->registry.missing_since_us = now_us;
      return;
    }
  set_state (board, backend, TT_BACKEND_GONE, cause, now_us);
}

static void
apply_entries (TtBoard *board, const TtStoreEntries *entries, int64_t now_us)
{
  if (entries->is_list && entries->is_first_page)
    TT_LIST_FOREACH (&board->backends.all, it)
      TT_CONTAINER_OF (it, TtBackendServer, link)->registry.listed = false;
  for (uint32_t i = 0; i < entries->count; i++)
    {
      const TtStoreEntry *entry = &entries->entries[i];
      TtBackendServer *backend;

      if (entry->revision > board->registry.change_revision)
        board->registry.change_revision = entry->revision;
      // Skips a delayed store event that is not newer than the adopted copy: the entry may have
      // been removed since.
      if (!entries->is_list && !entry->removed
          && entry->revision <= board->registry.peer_copy_revision)
        continue;
      if (!entry->removed && entry->valid)
        apply_server (board, entry, entries->from_peer, now_us);
      backend = tt_backend_find (board, tt_hash_string (entry->name));
      if (backend == NULL)
        continue;
      backend->registry.listed = true;
      if (entry->revision < backend->registry.revision)
        continue; // a newer revision of the entry is known
      if (entry->removed)
        remove_server (board, backend, "removed", now_us);
      else if (!entry->valid)
        set_state (board, backend, TT_BACKEND_GONE, "unreadable entry", now_us);
    }
  if (!entries->is_list)
    {
      if (entries->count > 0 && entries->revision > board->registry.revision)
        board->registry.revision = entries->revision;
      return;
    }
  if (entries->has_more)
    return;
  if (entries->from_peer)
    board->registry.peer_copy_revision = entries->revision;
  board->registry.revision = entries->revision;
  board->registry.complete = true;
  TT_LIST_FOREACH (&board->backends.all, it)
    {
      TtBackendServer *backend = TT_CONTAINER_OF (it, TtBackendServer, link);

      if (!backend->registry.listed)
        remove_server (board, backend, "not listed", now_us);
    }
}

static void
on_event (void *context, TtBoard *board, const TtEvent *event, int64_t now_us)
{
  const TtStoreEntries *entries = event->platform.entries;

  (void) context;
  if (event->type != TT_EVENT_PLATFORM_RESPONSE || entries == NULL
      || entries->kind != TT_STORE_SERVERS)
    return;
  // Another daemon's copy is adopted only if it is newer, and its changes only if none is missing
  // between them and this daemon's list.
  if (entries->from_peer
      && (entries->revision <= board->registry.revision
          || (!entries->is_list
              && (!board->registry.complete || entries->base_revision > board->registry.revision))))
    return;
  if (entries->from_peer && entries->lapse_ms > 0)
    board->registry.lapse_until_us = now_us + entries->lapse_ms * TT_MILLISECOND_US;
  board->registry.base_revision = board->registry.revision;
  apply_entries (board, entries, now_us);
}

static void
run (void *context, TtBoard *board, int64_t now_us)
{
  (void) context;
  if (board->notice.leaving_changed)
    apply_notices (board, now_us);
  TT_LIST_FOREACH (&board->backends.all, it)
    {
      TtBackendServer *backend = TT_CONTAINER_OF (it, TtBackendServer, link);

      if (backend->registry.missing_since_us != 0 && !may_have_lapsed (board, now_us))
        {
          backend->registry.missing_since_us = 0;
          set_state (board, backend, TT_BACKEND_GONE, "lapsed", now_us);
        }
      if (backend->roster.state == TT_BACKEND_GONE && backend->attempts.count == 0)
        tt_backend_free (board, backend);
    }
}

TtController
tt_registry_controller (void)
{
  return (TtController){ .name = "registry",
                         .open = open_registry,
                         .close = close_registry,
                         .on_event = on_event,
                         .run = run };
}
