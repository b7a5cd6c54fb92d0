#include "tarragontrack/control/registry.h"
#include "tarragontrack/board/backend.h"
#include "tarragontrack/board/board.h"
#include "tarragontrack/control/controllers.h"
#include "tarragontrack/control/evidence.h"
#include "tarragontrack/control/notice.h"
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/// Report intervals without a report after which the store drops an entry.
#define INTERVALS_TO_LAPSE 3

static int
open_registry (void *context, TtBoard *board)
{
  (void) context;
  tt_list_init (&board->registry.departures);
  return tt_backend_open (board);
}

static void
close_registry (void *context, TtBoard *board)
{
  TtLink *link;

  (void) context;
  while ((link = tt_list_pop (&board->registry.departures)) != NULL)
    free (TT_CONTAINER_OF (link, TtDeparture, link));
  tt_backend_close (board);
}

static TtDeparture *
find_departure (const TtBoard *board, const TtBackendServer *backend)
{
  TT_LIST_FOREACH (&board->registry.departures, it)
    {
      TtDeparture *departure = TT_CONTAINER_OF (it, TtDeparture, link);

      if (departure->backend_id == backend->id
          && departure->process_start_ms == backend->registry.process_start_ms)
        return departure;
    }
  return NULL;
}

static void
forget_departure (TtBoard *board, TtDeparture *departure)
{
  if (departure == NULL)
    return;
  tt_list_remove (&board->registry.departures, &departure->link);
  free (departure);
}

/// Remembers the process of a backend server whose entry was removed. A copy of the store from
/// before that may show the entry again.
static void
record_departure (TtBoard *board, const TtBackendServer *backend)
{
  TtList *departures = &board->registry.departures;
  TtDeparture *departure;

  forget_departure (board, find_departure (board, backend));
  if (departures->count == TT_MAX_DEPARTURES)
    departure = TT_CONTAINER_OF (tt_list_pop (departures), TtDeparture, link);
  else
    departure = malloc (sizeof *departure);
  if (departure == NULL)
    return;
  *departure = (TtDeparture){ .backend_id = backend->id,
                              .process_start_ms = backend->registry.process_start_ms,
                              .point = backend->registry.point };
  tt_link_init (&departure->link);
  tt_list_append (departures, &departure->link);
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
  if (state == TT_BACKEND_GONE)
    record_departure (board, backend);
  backend->roster.state = state;
  backend->roster.changed_us = now_us;
  tt_board_log (board, event, "backend=%s service=%s address=%s:%u era=%llu revision=%llu cause=%s",
                backend->name, backend->pool != NULL ? backend->pool->spec.name : "",
                backend->address, backend->port, (unsigned long long) backend->registry.point.era,
                (unsigned long long) backend->registry.point.revision, cause);
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

/// True if an entry shows a process in a state that it had before it left: the store has returned
/// from a copy that is older than that.
static bool
precedes_departure (const TtBoard *board, const TtBackendServer *backend, TtStorePoint point)
{
  const TtDeparture *departure = find_departure (board, backend);

  return departure != NULL && point.era > departure->point.era
         && point.revision <= departure->point.revision;
}

/// Time at which the store has dropped the entry of a process that no longer reports, if it showed
/// that entry in a new era.
static int64_t
expiry_in_new_era_us (const TtBoard *board, int64_t now_us)
{
  const TtBounds *bounds = &board->config.bounds;

  return now_us
         + (bounds->settle_ms + INTERVALS_TO_LAPSE * (int64_t) bounds->report_ms)
               * TT_MILLISECOND_US;
}

/// Decides until when a process that is listed as live counts as leaving, because it was known to
/// leave, or to have left, before the store returned from an older copy. Within an era, the newest
/// entry decides.
static void
update_hold (TtBoard *board, TtBackendServer *backend, TtStorePoint point, bool same_process,
             int64_t now_us)
{
  TtRegistryBackend *registry = &backend->registry;

  if (same_process && registry->held_until_us != 0
      && tt_evidence_compare (point, registry->point) == 0)
    return;
  if (precedes_departure (board, backend, point))
    registry->held_until_us = expiry_in_new_era_us (board, now_us);
  else if (same_process && backend->roster.state == TT_BACKEND_LEAVING
           && point.era > registry->point.era)
    registry->held_until_us = INT64_MAX;
  else
    {
      registry->held_until_us = 0;
      forget_departure (board, find_departure (board, backend));
    }
}

static void
move_to_pool (TtBackendServer *backend, TtPool *pool)
{
  if (backend->pool == pool)
    return;
  if (backend->pool != NULL)
    tt_list_remove (&backend->pool->backends, &backend->pool_link);
  backend->pool = pool;
  backend->service_id = pool->id;
  tt_list_append (&pool->backends, &backend->pool_link);
}

/// Applies the entry of a backend server from the store or from another daemon's copy.
static void
apply_server (TtBoard *board, const TtStoreEntry *entry, TtStorePoint point, bool from_peer,
              int64_t now_us)
{
  uint64_t id = tt_hash_string (entry->name);
  TtBackendServer *backend = tt_backend_find (board, id);
  TtPool *pool = find_or_create_pool (board, entry->server.service);
  bool same_process;

  if (pool == NULL)
    return;
  if (backend == NULL)
    backend = tt_backend_new (board, id, entry->name);
  if (backend == NULL)
    return;
  if (tt_evidence_compare (point, backend->registry.point) < 0)
    return; // another daemon's copy may be older
  same_process = backend->registry.process_start_ms == entry->server.process_start_ms;
  if (!same_process)
    reset_process_state (backend);
  (void) snprintf (backend->address, sizeof backend->address, "%s", entry->server.address);
  backend->port = entry->server.port;
  backend->domain_id = entry->server.domain_id;
  backend->registry.process_start_ms = entry->server.process_start_ms;
  backend->notice.unavailable_until_us
      = tt_notice_unavailable_until_us (board, id, entry->server.process_start_ms);
  if (entry->server.leaving)
    backend->registry.held_until_us = 0;
  else
    update_hold (board, backend, point, same_process, now_us);
  backend->registry.point = point;
  backend->registry.slots = entry->server.slots;
  backend->registry.missing_since_us = 0;
  backend->weight = 1.0;
  move_to_pool (backend, pool);
  if (entry->server.leaving)
    set_state (board, backend, TT_BACKEND_LEAVING, from_peer ? "copy" : "entry", now_us);
  else if (tt_notice_is_leaving (board, id, entry->server.process_start_ms))
    set_state (board, backend, TT_BACKEND_LEAVING, "answer", now_us);
  else if (backend->registry.held_until_us != 0)
    set_state (board, backend, TT_BACKEND_LEAVING, "left in an earlier era", now_us);
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

uint32_t
tt_registry_lapse_ms (const TtBoard *board, bool is_list, int64_t now_us)
{
  int64_t end_us = tt_evidence_lapse_end_us (board, now_us);

  if (is_list && board->registry.lapse_until_us > end_us)
    end_us = board->registry.lapse_until_us;
  return end_us > now_us ? (uint32_t) ((end_us - now_us) / TT_MILLISECOND_US) : 0;
}

/// Marks a backend server as gone; if its entry may have lapsed, only records when the entry was
/// first missing.
static void
remove_server (TtBoard *board, TtBackendServer *backend, const char *cause, int64_t now_us)
{
  const TtEvidenceSection *evidence = &board->evidence;

  if (!board->registry.keeps_missing || backend->roster.state != TT_BACKEND_LIVE)
    {
      set_state (board, backend, TT_BACKEND_GONE, cause, now_us);
      return;
    }
  if (backend->registry.missing_since_us != 0)
    return;
  backend->registry.missing_since_us = now_us;
  tt_board_log (board, TT_LOG_BACKEND_MISSING,
                "backend=%s cause=%s wait_ms=%lld steady_ms_ago=%lld failed_ms_ago=%lld era=%llu",
                backend->name, cause,
                (long long) ((board->registry.lapse_until_us - now_us) / TT_MILLISECOND_US),
                (long long) ((now_us - evidence->steady_us) / TT_MILLISECOND_US),
                (long long) ((now_us - evidence->failed_us) / TT_MILLISECOND_US),
                (unsigned long long) evidence->era);
}

/// Applies one entry of a list or of changes.
static void
apply_entry (TtBoard *board, const TtStoreEntries *entries, const TtStoreEntry *entry,
             int64_t now_us)
{
  TtRegistrySection *section = &board->registry;
  TtStorePoint point = { .era = entries->era, .revision = entry->revision };
  TtBackendServer *backend;

  if (tt_evidence_compare (point, section->change) > 0)
    section->change = point;
  // Skips a delayed store event that is not newer than the adopted copy: the entry may have
  // been removed since.
  if (!entries->is_list && !entry->removed && tt_evidence_compare (point, section->peer_copy) <= 0)
    return;
  if (!entry->removed && entry->valid)
    apply_server (board, entry, point, entries->from_peer, now_us);
  backend = tt_backend_find (board, tt_hash_string (entry->name));
  if (backend == NULL)
    return;
  backend->registry.listed = true;
  if (tt_evidence_compare (point, backend->registry.point) < 0)
    return; // a newer state of the entry is known
  if (entry->removed)
    remove_server (board, backend, "removed", now_us);
  else if (!entry->valid)
    set_state (board, backend, TT_BACKEND_GONE, "unreadable entry", now_us);
}

static void
apply_entries (TtBoard *board, const TtStoreEntries *entries, int64_t now_us)
{
  TtRegistrySection *section = &board->registry;
  TtStorePoint point = { .era = entries->era, .revision = entries->revision };

  if (entries->is_list && entries->is_first_page)
    TT_LIST_FOREACH (&board->backends.all, it)
      TT_CONTAINER_OF (it, TtBackendServer, link)->registry.listed = false;
  for (uint32_t i = 0; i < entries->count; i++)
    apply_entry (board, entries, &entries->entries[i], now_us);
  if (!entries->is_list)
    {
      if (entries->count > 0 && tt_evidence_compare (point, section->point) > 0)
        section->point = point;
      return;
    }
  if (entries->has_more)
    return;
  if (entries->from_peer)
    section->peer_copy = point;
  section->point = point;
  section->complete = true;
  TT_LIST_FOREACH (&board->backends.all, it)
    {
      TtBackendServer *backend = TT_CONTAINER_OF (it, TtBackendServer, link);

      if (!backend->registry.listed)
        remove_server (board, backend, "not listed", now_us);
    }
}

/// True if entries apply to this daemon's list. Another daemon's copy is adopted only if it is
/// newer, and its changes only if none is missing between them and this daemon's list. What the
/// store says is refused only if it is of an earlier era than the list, or consists of changes of a
/// later one.
static bool
is_applicable (const TtBoard *board, const TtStoreEntries *entries)
{
  const TtRegistrySection *section = &board->registry;
  TtStorePoint point = { .era = entries->era, .revision = entries->revision };

  if (!entries->from_peer)
    return entries->is_list ? point.era >= section->point.era : point.era == section->point.era;
  if (tt_evidence_compare (point, section->point) <= 0)
    return false;
  return entries->is_list
         || (section->complete && point.era == section->point.era
             && entries->base_revision <= section->point.revision);
}

static void
on_event (void *context, TtBoard *board, const TtEvent *event, int64_t now_us)
{
  const TtStoreEntries *entries = event->platform.entries;
  TtRegistrySection *section = &board->registry;
  int64_t lapse_end_us;

  (void) context;
  if (event->type != TT_EVENT_PLATFORM_RESPONSE || entries == NULL || entries->discarded
      || entries->kind != TT_STORE_SERVERS || !is_applicable (board, entries))
    return;
  // Who read the store knows whether entries may have lapsed.
  lapse_end_us = !entries->from_peer     ? tt_evidence_lapse_end_us (board, now_us)
                 : entries->lapse_ms > 0 ? now_us + entries->lapse_ms * TT_MILLISECOND_US
                                         : 0;
  section->keeps_missing = lapse_end_us != 0;
  if (lapse_end_us > section->lapse_until_us)
    section->lapse_until_us = lapse_end_us;
  section->base = section->point;
  apply_entries (board, entries, now_us);
}

/// Ends the wait for entries that may have lapsed, and the hold of processes that left in an
/// earlier era but are listed for longer than the store lists a process that does not report.
static void
end_waits (TtBoard *board, TtBackendServer *backend, int64_t now_us)
{
  TtRegistryBackend *registry = &backend->registry;

  if (registry->missing_since_us != 0 && now_us >= board->registry.lapse_until_us)
    {
      registry->missing_since_us = 0;
      set_state (board, backend, TT_BACKEND_GONE, "lapsed", now_us);
    }
  if (registry->held_until_us != 0 && now_us >= registry->held_until_us)
    {
      registry->held_until_us = 0;
      forget_departure (board, find_departure (board, backend));
      set_state (board, backend, TT_BACKEND_LIVE, "still listed", now_us);
    }
}

static void
run (void *context, TtBoard *board, int64_t now_us)
{
  int64_t lapse_end_us = tt_evidence_lapse_end_us (board, now_us);

  (void) context;
  // Calls that go on failing extend the wait that has begun.
  if (board->registry.lapse_until_us > now_us && lapse_end_us > board->registry.lapse_until_us)
    board->registry.lapse_until_us = lapse_end_us;
  if (board->notice.leaving_changed)
    apply_notices (board, now_us);
  TT_LIST_FOREACH (&board->backends.all, it)
    {
      TtBackendServer *backend = TT_CONTAINER_OF (it, TtBackendServer, link);

      end_waits (board, backend, now_us);
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
