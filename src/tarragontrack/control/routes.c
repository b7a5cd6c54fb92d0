#include "tarragontrack/board/backend.h"
#include "tarragontrack/board/board.h"
#include "tarragontrack/board/error.h"
#include "tarragontrack/board/name.h"
#include "tarragontrack/board/request.h"
#include "tarragontrack/board/route.h"
#include "tarragontrack/control/budget.h"
#include "tarragontrack/control/controllers.h"
#include "tarragontrack/control/drain.h"
#include "tarragontrack/control/retry_after.h"
#include <stdlib.h>
#include <string.h>

static void
close_routes (void *context, TtBoard *board)
{
  (void) context;
  tt_route_table_free (board->routes.table);
  tt_route_table_free (board->routes.previous_table);
}

/// Creates the pools of a table's services.
static void
create_pools (TtBoard *board, const TtRouteTable *table)
{
  TT_LIST_FOREACH (&board->backends.pools, it)
    TT_CONTAINER_OF (it, TtPool, link)->configured = false;
  for (uint32_t i = 0; i < table->service_count; i++)
    {
      const TtRouteService *service = &table->services[i];
      TtPool *pool = tt_pool_find (board, service->id);

      if (pool == NULL)
        pool = tt_pool_new (board, service->id, service->name);
      if (pool == NULL)
        continue;
      pool->configured = true;
      pool->spec.type = service->engine ? TT_SERVICE_MODEL : TT_SERVICE_PLAIN;
    }
}

/// Activates a table unless the active one has the same or a newer version.
static void
apply_table (TtBoard *board, TtStoreEntry *entry, const TtStoreEntries *entries)
{
  TtRouteSection *section = &board->routes;

  if (section->table != NULL && entry->table->version <= section->table->version)
    {
      if (!entries->from_peer)
        section->from_peer = false;
      return;
    }
  tt_route_table_free (section->previous_table);
  section->previous_table = section->table;
  section->table = entry->table;
  entry->table = NULL;
  section->from_peer = entries->from_peer;
  create_pools (board, section->table);
  tt_board_counter_add (board, TT_COUNT_CONFIG_APPLIED, 1);
  tt_board_log (board, TT_LOG_DOCUMENT_IN_FORCE, "version=%llu revision=%llu routes=%u source=%s",
                (unsigned long long) section->table->version, (unsigned long long) entry->revision,
                section->table->route_count, entries->from_peer ? "daemon" : "store");
}

static void
apply_entries (TtBoard *board, const TtStoreEntries *entries)
{
  for (uint32_t i = 0; i < entries->count; i++)
    {
      TtStoreEntry *entry = &entries->entries[i];

      if (entry->removed)
        continue;
      if (entry->valid && entry->table != NULL)
        apply_table (board, entry, entries);
      else if (entry->table == NULL && !entry->valid)
        {
          tt_board_counter_add (board, TT_COUNT_CONFIG_REFUSED, 1);
          tt_board_log (board, TT_LOG_DOCUMENT_REFUSED, "name=%s revision=%llu", entry->name,
                        (unsigned long long) entry->revision);
        }
    }
}

/// Rejects a request that never ran.
static void
reject (TtBoard *board, TtRequest *request, uint32_t status, uint32_t retry_ms, const char *reason)
{
  TtError error = { 0 };

  (void) tt_error_set (&error, status == 503 ? TT_E_UNAVAILABLE : TT_E_NOT_FOUND, TT_STEP_ADMIT,
                       request->spec.service, "%s", reason);
  (void) tt_request_finish (board, request, status == 503 ? TT_OUTCOME_NOT_RUN : TT_OUTCOME_INVALID,
                            status, retry_ms, &error);
}

/// Selects one of the services over which a route splits its requests. The choice depends on a hash
/// of the request's external id, so that each service receives requests in proportion to its
/// weight.
static const TtRouteTarget *
select_target (const TtRoute *route, uint64_t request_hash)
{
  uint64_t total = 0;
  uint64_t offset;

  for (uint32_t i = 0; i < route->target_count; i++)
    total += route->targets[i].weight;
  if (total == 0)
    return &route->targets[0];
  offset = tt_hash_pair (request_hash, route->host_hash) % total;
  for (uint32_t i = 0; i < route->target_count; i++)
    {
      if (offset < route->targets[i].weight)
        return &route->targets[i];
      offset -= route->targets[i].weight;
    }
  return &route->targets[0];
}

/// Copies the route's settings to the request.
static void
apply_route (TtRequest *request, const TtRouteTable *table, const TtRoute *route,
             const TtRouteAccount *account)
{
  uint32_t limit_ms = route->timeout_ms;

  if (request->spec.response_timeout_ms > 0
      && (limit_ms == 0 || request->spec.response_timeout_ms < limit_ms))
    limit_ms = request->spec.response_timeout_ms;
  request->route
      = (TtRouteRequest){ .stream = route->stream,
                          .affinity = route->affinity,
                          .retry = route->retry,
                          .max_attempts = route->max_attempts > 0 ? route->max_attempts : 1,
                          .goal_ms = route->goal_ms,
                          .event_gap_ms = route->event_gap_ms,
                          .table_version = table->version };
  request->route.deadline_us
      = limit_ms > 0 ? request->arrived_us + limit_ms * TT_MILLISECOND_US : INT64_MAX;
  request->start_deadline_us = request->route.deadline_us;
  request->spec.stream = route->stream;
  request->idempotent = route->retry != TT_ROUTE_RETRY_NEVER;
  request->priority = route->priority;
  request->recovery.last_event_id = request->spec.last_event_id;
  if (account == NULL)
    return;
  request->route.account_id = account->id;
  request->route.account = strdup (account->name);
  tt_name_abbreviate (request->spec.account, account->name);
  if (account->has_priority)
    request->priority = account->priority;
}

static void
route_request (TtBoard *board, TtRequest *request, int64_t now_us)
{
  const TtRouteTable *table = board->routes.table;
  const TtRouteAccount *account = NULL;
  const TtRouteTarget *target;
  const TtRoute *route;

  if (tt_drain_rejects_requests (board, now_us))
    {
      reject (board, request, 503, tt_retry_after_elsewhere_ms (), "this daemon shuts down");
      return;
    }
  if (table == NULL)
    {
      reject (board, request, 503, tt_retry_after_news_ms (board, now_us),
              "no configuration is known yet");
      return;
    }
  route = tt_route_find (table, request->spec.host, request->spec.path);
  if (route == NULL)
    {
      reject (board, request, 404, 0, "no route has this host and path");
      return;
    }
  if (!tt_id128_is_zero (request->spec.bearer_key_hash))
    account = tt_route_find_account (table, request->spec.bearer_key_hash);
  if (table->requires_key && !route->keyless && account == NULL)
    {
      reject (board, request, 401, 0, "no client account has this key");
      return;
    }
  if (account != NULL && account->name == NULL)
    {
      reject (board, request, 503, 0, "the name of the client account cannot be sent in a header");
      return;
    }
  apply_route (request, table, route, account);
  if (account != NULL && request->route.account == NULL)
    {
      reject (board, request, 503, tt_retry_after_record_ms (board), "out of memory");
      return;
    }
  target = select_target (route, tt_hash_string (request->spec.external_id));
  tt_name_abbreviate (request->spec.service, target->service);
  tt_request_set_pool (request, tt_pool_find (board, target->service_id));
  if (request->pool == NULL)
    reject (board, request, 503, tt_retry_after_news_ms (board, now_us),
            "the service has no backend servers");
  else
    tt_budget_count_request (&request->pool->budget, &board->config, now_us);
}

/// Rejects a request for which no request record is free.
static void
reject_without_record (TtBoard *board, const TtRequestSpec *spec)
{
  TtAction *action = tt_board_append_action (board, TT_ACTION_REPLY);

  tt_board_counter_add (board, TT_COUNT_POOL_FULL, 1);
  tt_board_counter_add (board, TT_COUNT_NOT_RUN, 1);
  tt_board_log (board, TT_LOG_REQUEST_SHED, "request=%s outcome=not_run open=%u", spec->external_id,
                board->config.max_requests);
  if (action == NULL)
    return;
  action->reply = (TtReplyAction){ .request_id = spec->request_id,
                                   .outcome = TT_OUTCOME_NOT_RUN,
                                   .status = 503,
                                   .retry_after_ms = tt_retry_after_record_ms (board) };
  (void) tt_error_set (&action->reply.error, TT_E_LIMIT, TT_STEP_ADMIT, "",
                       "too many requests at this daemon");
}

static void
on_event (void *context, TtBoard *board, const TtEvent *event, int64_t now_us)
{
  TtRequest *request;

  (void) context;
  if (event->type == TT_EVENT_PLATFORM_RESPONSE && event->platform.entries != NULL
      && !event->platform.entries->discarded && event->platform.entries->kind == TT_STORE_CONFIG)
    apply_entries (board, event->platform.entries);
  if (event->type != TT_EVENT_REQUEST)
    return;
  tt_board_counter_add (board, TT_COUNT_REQUESTS, 1);
  request = tt_request_new (board, event->request, now_us);
  if (request != NULL)
    route_request (board, request, now_us);
  else
    reject_without_record (board, event->request);
}

static void
run (void *context, TtBoard *board, int64_t now_us)
{
  (void) context, (void) now_us;
  if (board->routes.table != NULL
      && board->backends.pools.count > board->routes.table->service_count)
    tt_pool_free_unused (board);
}

TtController
tt_routes_controller (void)
{
  return (
      TtController){ .name = "routes", .close = close_routes, .on_event = on_event, .run = run };
}
