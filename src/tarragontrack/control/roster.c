#include "tarragontrack/control/roster.h"
#include "tarragontrack/board/backend.h"
#include "tarragontrack/board/board.h"
#include "tarragontrack/board/hash.h"
#include "tarragontrack/control/controllers.h"
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/// Shortest polling period of the host list of this daemon's failure domain.
#define DOMAIN_POLL_PERIOD_US (2 * TT_SECOND_US)
/// In a failure domain with more daemons than this, each polls the list less often than every
/// DOMAIN_POLL_PERIOD_US, because gossip propagates the leaving state between them.
#define DOMAIN_POLL_BASE_MEMBERS 4
#define DOMAIN_POLL_PERIOD_MAX_US (8 * TT_SECOND_US)
#define FLEET_POLL_PERIOD_US (30 * TT_SECOND_US)
/// The first daemons of a failure domain by rank poll the fleet-wide list more often, because a
/// failure domain that is partitioned from the platform learns of leaving backend servers from
/// them.
#define FLEET_POLLERS 2
#define FLEET_POLLER_PERIOD_US (2 * TT_SECOND_US)
/// A backend server missing from the lists is kept until it has been missing, and has sent no load
/// report, for this long.
#define MISSING_GRACE_US (10 * TT_SECOND_US)
/// Time during which a stale list cannot undo the leaving state.
#define LEAVING_HOLD_US (60 * TT_SECOND_US)
/// Period of the scan of all backend servers, which would otherwise cost time in every step.
#define SCAN_PERIOD_US (200 * TT_MILLISECOND_US)
#define DAMPING_BASE_US (5 * TT_SECOND_US)
#define DAMPING_MAX_US (600 * TT_SECOND_US)
/// The flap count is reset after this long without a flap; a gone backend server's record is freed
/// after the same time.
#define DAMPING_WINDOW_US (600 * TT_SECOND_US)

/// Allocates the records of backend servers and pools.
static int
open_roster (void *context, TtBoard *board)
{
  (void) context;
  return tt_backend_open (board);
}

static void
close_roster (void *context, TtBoard *board)
{
  (void) context;
  tt_backend_close (board);
}

/// Links backend servers to the pool of their service.
static void
attach_backends (TtBoard *board)
{
  TT_LIST_FOREACH (&board->backends.all, it)
    {
      TtBackendServer *backend = TT_CONTAINER_OF (it, TtBackendServer, link);

      if (backend->pool != NULL)
        continue;
      backend->pool = tt_pool_find (board, backend->service_id);
      if (backend->pool != NULL)
        tt_list_append (&backend->pool->backends, &backend->pool_link);
    }
}

/// Creates or updates the pool of each service in the documents in force. A pool whose service is
/// in no document any more gets team 0. If two teams define the same service, the team with the
/// lower id owns it, so that all daemons agree.
static void
update_pools (TtBoard *board)
{
  TT_LIST_FOREACH (&board->backends.pools, it)
    {
      TT_CONTAINER_OF (it, TtPool, link)->team_id = 0;
    }
  for (uint32_t i = 0; i < board->team_config.slot_count; i++)
    {
      const TtDocument *document = board->team_config.slots[i].document;

      for (uint32_t s = 0; document != NULL && s < document->service_count; s++)
        {
          TtPool *pool = tt_pool_find (board, document->services[s].id);

          if (pool == NULL)
            pool = tt_pool_new (board, document->services[s].id, document->services[s].name);
          if (pool == NULL || (pool->team_id != 0 && pool->team_id < document->team_id))
            continue;
          pool->spec = document->services[s];
          pool->team_id = document->team_id;
        }
    }
  attach_backends (board);
}

static void
set_state (TtBoard *board, TtBackendServer *backend, TtBackendState state, int64_t now_us)
{
  static const TtLogEvent events[]
      = { TT_LOG_BACKEND_LIVE, TT_LOG_BACKEND_DAMPED, TT_LOG_BACKEND_LEAVING, TT_LOG_BACKEND_GONE };

  if (backend->roster.state == state)
    return;
  backend->roster.state = state;
  backend->roster.changed_us = now_us;
  board->dirty = true;
  tt_board_log (board, events[state], "backend=%s flaps=%u", backend->name, backend->roster.flaps);
}

/// Returns a gone or leaving backend server to service, through the damped state.
static void
start_damping (TtBoard *board, TtBackendServer *backend, int64_t now_us)
{
  TtRosterBackend *roster = &backend->roster;
  int64_t damping = DAMPING_BASE_US;

  if (now_us - roster->last_flap_us > DAMPING_WINDOW_US)
    roster->flaps = 0;
  for (uint32_t i = 0; i < roster->flaps && damping < DAMPING_MAX_US; i++)
    damping *= 2;
  roster->flaps++;
  roster->last_flap_us = now_us;
  roster->hold_until_us = now_us + (damping < DAMPING_MAX_US ? damping : DAMPING_MAX_US);
  set_state (board, backend, TT_BACKEND_DAMPED, now_us);
}

void
tt_roster_mark_leaving (TtBoard *board, TtBackendServer *backend, bool by_list, int64_t now_us)
{
  TtRosterBackend *roster = &backend->roster;

  if (roster->state == TT_BACKEND_GONE)
    return;
  // Gossip doesn't extend a hold, or daemons would extend each other's forever.
  if (by_list || roster->state != TT_BACKEND_LEAVING)
    roster->hold_until_us = now_us + LEAVING_HOLD_US;
  if (roster->state != TT_BACKEND_LEAVING)
    board->roster.last_leaving_us = now_us;
  set_state (board, backend, TT_BACKEND_LEAVING, now_us);
}

/// Allocates the record of a newly listed backend server; replaces the one that has been gone
/// longest if none is free.
static TtBackendServer *
new_backend (TtBoard *board, const TtHostEntry *host, uint64_t id, int64_t now_us)
{
  TtBackendServer *backend;
  TtBackendServer *oldest = NULL;

  if (board->backends.free_backends.count == 0)
    {
      TT_LIST_FOREACH (&board->backends.all, it)
        {
          TtBackendServer *other = TT_CONTAINER_OF (it, TtBackendServer, link);

          if (other->roster.state == TT_BACKEND_GONE && other->attempts.count == 0
              && (oldest == NULL || other->roster.changed_us < oldest->roster.changed_us))
            oldest = other;
        }
      if (oldest != NULL)
        tt_backend_free (board, oldest);
    }
  backend = tt_backend_new (board, id, host->name);
  if (backend == NULL)
    return NULL;
  backend->roster.changed_us = now_us;
  backend->roster.last_flap_us = now_us;
  tt_board_log (board, TT_LOG_BACKEND_LIVE, "backend=%s domain=%s", host->name, host->domain);
  return backend;
}

/// Adds or updates a backend server from its host list entry.
static void
update_backend (TtBoard *board, const TtHostEntry *host, int64_t now_us)
{
  uint64_t id = tt_hash_string (host->name);
  uint64_t service_id = tt_hash_string (host->service);
  TtBackendServer *backend = tt_backend_find (board, id);

  if (backend == NULL)
    backend = new_backend (board, host, id, now_us);
  if (backend == NULL)
    return;
  if (backend->service_id != service_id && backend->pool != NULL)
    {
      tt_list_remove (&backend->pool->backends, &backend->pool_link);
      backend->pool = NULL;
    }
  (void) snprintf (backend->address, sizeof backend->address, "%s", host->address);
  backend->port = host->port;
  backend->domain_id = tt_hash_string (host->domain);
  backend->service_id = service_id;
  backend->weight = host->weight;
  backend->batch_limit = host->batch_limit;
  backend->supports_fencing = host->supports_fencing;
  backend->roster.missing_since_us = 0;
  backend->roster.leaving_on_list = host->leaving;
  if (host->leaving)
    tt_roster_mark_leaving (board, backend, true, now_us);
}

/// Counts the entry hosts of each failure domain on the fleet-wide list.
static void
update_domains (TtBoard *board, const TtHostsObject *list)
{
  TtRosterSection *section = &board->roster;

  for (uint32_t i = 0; i < section->domain_count; i++)
    section->domains[i].entry_hosts = 0;
  for (uint32_t i = 0; i < list->count; i++)
    {
      const TtHostEntry *host = &list->hosts[i];
      uint64_t id = tt_hash_string (host->domain);
      uint32_t d = 0;

      if (!host->entry_host || host->leaving)
        continue;
      while (d < section->domain_count && section->domains[d].id != id)
        d++;
      if (d == TT_MAX_DOMAINS)
        {
          tt_board_counter_add (board, TT_COUNT_POOL_FULL, 1);
          continue;
        }
      if (d == section->domain_count)
        {
          section->domains[section->domain_count++].id = id;
          (void) snprintf (section->domains[d].name, TT_NAME_MAX, "%s", host->domain);
        }
      section->domains[d].entry_hosts++;
    }
}

/// Applies a host list of this daemon's failure domain or of the whole fleet.
static void
apply_list (TtBoard *board, const TtHostsObject *list, bool fleet, int64_t now_us)
{
  TT_LIST_FOREACH (&board->backends.all, it)
    {
      TtBackendServer *backend = TT_CONTAINER_OF (it, TtBackendServer, link);

      if (backend->roster.missing_since_us == 0
          && (fleet || backend->domain_id == board->domain_id))
        backend->roster.missing_since_us = now_us;
    }
  for (uint32_t i = 0; i < list->count; i++)
    if (!list->hosts[i].entry_host)
      update_backend (board, &list->hosts[i], now_us);
  if (fleet)
    update_domains (board, list);
  attach_backends (board);
}

/// Ends expired holds and damping, and drops backend servers that stay missing.
static void
expire_states (TtBoard *board, int64_t now_us)
{
  TT_LIST_FOREACH (&board->backends.all, it)
    {
      TtBackendServer *backend = TT_CONTAINER_OF (it, TtBackendServer, link);
      TtRosterBackend *roster = &backend->roster;

      // The list without the leaving mark may have arrived during the hold; an unchanged list is
      // not delivered again.
      if ((roster->state == TT_BACKEND_LEAVING || roster->state == TT_BACKEND_GONE)
          && !roster->leaving_on_list && roster->missing_since_us == 0
          && now_us >= roster->hold_until_us)
        start_damping (board, backend, now_us);
      if (roster->state == TT_BACKEND_DAMPED && now_us >= roster->hold_until_us)
        set_state (board, backend, TT_BACKEND_LIVE, now_us);
      // A backend server that still reports its load exists, even if a stale list lacks it.
      if (roster->missing_since_us != 0 && roster->state != TT_BACKEND_GONE
          && now_us - roster->missing_since_us >= MISSING_GRACE_US
          && (roster->last_load_report_us == 0
              || now_us - roster->last_load_report_us >= MISSING_GRACE_US))
        set_state (board, backend, TT_BACKEND_GONE, now_us);
      if (roster->state == TT_BACKEND_GONE && backend->attempts.count == 0
          && now_us - roster->changed_us >= DAMPING_WINDOW_US)
        tt_backend_free (board, backend);
    }
}

/// Polls the host lists when due: the one of this daemon's failure domain often, the fleet-wide one
/// rarely.
static void
poll_lists (TtBoard *board, int64_t now_us)
{
  TtRosterSection *section = &board->roster;

  if (now_us >= section->next_domain_poll_us)
    {
      int64_t period_us = DOMAIN_POLL_PERIOD_US;

      if (board->member.live_in_domain > DOMAIN_POLL_BASE_MEMBERS)
        period_us = DOMAIN_POLL_PERIOD_US * board->member.live_in_domain / DOMAIN_POLL_BASE_MEMBERS;
      if (period_us > DOMAIN_POLL_PERIOD_MAX_US)
        period_us = DOMAIN_POLL_PERIOD_MAX_US;
      section->next_domain_poll_us
          = now_us + period_us * 3 / 4
            + (int64_t) tt_rng_below (&board->rng, (uint64_t) period_us / 2);
      section->domain_call_id = tt_board_call_platform (
          board, TT_PLATFORM_HOSTS, board->config.domain, section->domain_list_version, NULL);
    }
  if (now_us >= section->next_fleet_poll_us)
    {
      int64_t period_us
          = board->member.rank < FLEET_POLLERS ? FLEET_POLLER_PERIOD_US : FLEET_POLL_PERIOD_US;

      section->next_fleet_poll_us
          = now_us + period_us * 3 / 4
            + (int64_t) tt_rng_below (&board->rng, (uint64_t) period_us / 4);
      section->fleet_call_id = tt_board_call_platform (board, TT_PLATFORM_HOSTS, "",
                                                       section->fleet_list_version, NULL);
    }
}

/// Handles the response to a host list call.
static void
handle_list_response (TtBoard *board, const TtPlatformEvent *response, int64_t now_us)
{
  TtRosterSection *section = &board->roster;
  bool fleet = response->call_id == section->fleet_call_id;

  if (!fleet && response->call_id != section->domain_call_id)
    return;
  if (response->object != NULL)
    {
      if (fleet)
        section->fleet_list_version = response->version;
      else
        section->domain_list_version = response->version;
      apply_list (board, &response->object->hosts, fleet, now_us);
      return;
    }
  // The list is unchanged, so it still marks the same backend servers as leaving; their hold starts
  // again.
  TT_LIST_FOREACH (&board->backends.all, it)
    {
      TtBackendServer *backend = TT_CONTAINER_OF (it, TtBackendServer, link);

      if (backend->roster.leaving_on_list && backend->roster.state == TT_BACKEND_LEAVING)
        backend->roster.hold_until_us = now_us + LEAVING_HOLD_US;
    }
}

static void
on_event (void *context, TtBoard *board, const TtEvent *event, int64_t now_us)
{
  const TtPlatformEvent *response = &event->platform;
  TtBackendServer *backend = NULL;

  (void) context;
  if (event->type == TT_EVENT_TICK)
    {
      if (now_us >= board->roster.next_scan_us)
        {
          board->roster.next_scan_us = now_us + SCAN_PERIOD_US;
          expire_states (board, now_us);
        }
      poll_lists (board, now_us);
    }
  else if (event->type == TT_EVENT_LOAD_REPORT)
    backend = tt_backend_find (board, event->load.backend_id);
  else if (event->type == TT_EVENT_PLATFORM_RESPONSE && response->op == TT_PLATFORM_HOSTS
           && response->code == TT_OK)
    handle_list_response (board, response, now_us);
  if (backend != NULL)
    backend->roster.last_load_report_us = now_us;
}

static void
run (void *context, TtBoard *board, int64_t now_us)
{
  (void) context;
  (void) now_us;
  if (board->team_config.documents_changed)
    update_pools (board);
}

TtController
tt_roster_controller (void)
{
  return (TtController){
    .name = "roster", .open = open_roster, .close = close_roster, .on_event = on_event, .run = run
  };
}
