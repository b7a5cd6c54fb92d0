#include "tarragontrack/board/backend.h"
#include "tarragontrack/board/board.h"
#include "tarragontrack/board/hash.h"
#include "tarragontrack/control/controllers.h"
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define POLL_PERIOD_US (2 * TT_SECOND_US)

/// Allocates the records of backend servers and pools.
static int
open_roster (void *context, TtBoard *board)
{
  TtBackendSection *section = &board->backends;

  (void) context;
  section->backend_records = calloc (TT_MAX_BACKENDS, sizeof *section->backend_records);
  section->pool_records = calloc (TT_MAX_SERVICES, sizeof *section->pool_records);
  if (section->backend_records == NULL || section->pool_records == NULL)
    return TT_E_NO_MEMORY;
  for (uint32_t i = 0; i < TT_MAX_BACKENDS; i++)
    tt_list_append (&section->free_backends, &section->backend_records[i].link);
  for (uint32_t i = 0; i < TT_MAX_SERVICES; i++)
    tt_list_append (&section->free_pools, &section->pool_records[i].link);
  return TT_OK;
}

static void
close_roster (void *context, TtBoard *board)
{
  (void) context;
  free (board->backends.backend_records);
  free (board->backends.pool_records);
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

/// Makes or updates the pool of each service in the documents in force.
static void
update_pools (TtBoard *board)
{
  for (uint32_t i = 0; i < board->configuration.slot_count; i++)
    {
      const TtDocument *document = board->configuration.slots[i].document;

      for (uint32_t s = 0; document != NULL && s < document->service_count; s++)
        {
          TtPool *pool = tt_pool_find (board, document->services[s].id);

          if (pool == NULL)
            pool = tt_pool_new (board, document->services[s].id);
          if (pool == NULL)
            continue;
          pool->spec = document->services[s];
          pool->team_id = document->team_id;
        }
    }
  attach_backends (board);
}

/// Enters one backend server of the host list, or updates it.
static void
update_backend (TtBoard *board, const TtHostEntry *host, int64_t now_us)
{
  uint64_t id = tt_hash_string (host->name);
  TtBackendServer *backend = tt_backend_find (board, id);

  if (backend == NULL)
    {
      backend = tt_backend_new (board, id);
      if (backend == NULL)
        return;
      (void) snprintf (backend->name, sizeof backend->name, "%s", host->name);
      backend->roster.changed_us = now_us;
      tt_board_log (board, TT_LOG_BACKEND_LIVE, "backend=%s domain=%s", host->name, host->domain);
    }
  (void) snprintf (backend->address, sizeof backend->address, "%s", host->address);
  backend->port = host->port;
  backend->domain_id = tt_hash_string (host->domain);
  backend->service_id = tt_hash_string (host->service);
  backend->weight = host->weight;
  backend->batch_limit = host->batch_limit;
  backend->fencing = host->fencing;
  backend->roster.state = host->leaving ? TT_BACKEND_LEAVING : TT_BACKEND_LIVE;
}

static void
on_event (void *context, TtBoard *board, const TtEvent *event, int64_t now_us)
{
  TtRosterSection *section = &board->roster;

  (void) context;
  if (event->type == TT_EVENT_TICK && now_us >= section->next_poll_us)
    {
      section->next_poll_us = now_us + POLL_PERIOD_US;
      section->poll_call = tt_board_call (board, TT_PLATFORM_HOSTS, board->config.domain,
                                          section->hosts_version, NULL);
    }
  if (event->type != TT_EVENT_PLATFORM || event->platform.call_id != section->poll_call
      || event->platform.object == NULL)
    return;
  section->hosts_version = event->platform.version;
  for (uint32_t i = 0; i < event->platform.object->hosts.count; i++)
    if (!event->platform.object->hosts.hosts[i].entry_host)
      update_backend (board, &event->platform.object->hosts.hosts[i], now_us);
  attach_backends (board);
}

static void
run (void *context, TtBoard *board, int64_t now_us)
{
  (void) context;
  (void) now_us;
  if (board->configuration.changed)
    update_pools (board);
}

TtController
tt_roster_controller (void)
{
  return (TtController){
    .name = "roster", .open = open_roster, .close = close_roster, .on_event = on_event, .run = run
  };
}
