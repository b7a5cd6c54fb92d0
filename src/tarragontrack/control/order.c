#include "tarragontrack/board/backend.h"
#include "tarragontrack/board/board.h"
#include "tarragontrack/control/controllers.h"
#include "tarragontrack/control/lease.h"
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define CHECK_PERIOD_US (1 * TT_SECOND_US)
/// Interval at which an order is resent until the engine reports the wanted role.
#define ORDER_RESEND_PERIOD_US (5 * TT_SECOND_US)
/// Maximum time that an order sent by a former lease holder takes to reach an engine.
#define ORDER_MAX_DELAY_US (10 * TT_SECOND_US)
/// Minimum interval between two loads of a model's weights, required by the weight store.
#define LOAD_MIN_INTERVAL_US (60 * TT_SECOND_US)
/// An engine is put on standby only after the utilization was below STANDBY_BELOW_UTILIZATION for
/// this long.
#define STANDBY_DELAY_US (300 * TT_SECOND_US)
/// Utilization of the serving engines above which one more engine loads the model, and below which
/// one is put on standby. The wide gap prevents a swing of demand from loading and unloading
/// weights repeatedly.
#define LOAD_ABOVE_UTILIZATION 0.85
#define STANDBY_BELOW_UTILIZATION 0.30
#define ROLE_SERVE "serve"
#define ROLE_STANDBY "standby"

static int
open_orders (void *context, TtBoard *board)
{
  (void) context;
  board->order.models = calloc (TT_MAX_LEASES, sizeof *board->order.models);
  return board->order.models != NULL ? TT_OK : TT_E_NO_MEMORY;
}

static void
close_orders (void *context, TtBoard *board)
{
  (void) context;
  free (board->order.models);
}

/// Returns the record of a model, adding it if necessary; NULL if TT_MAX_LEASES records are in use.
static TtOrderModel *
find_or_add_model (TtBoard *board, const char *name)
{
  TtOrderSection *section = &board->order;
  TtOrderModel *model;

  for (uint32_t i = 0; i < section->count; i++)
    if (strcmp (section->models[i].model, name) == 0)
      return &section->models[i];
  if (section->count == TT_MAX_LEASES)
    return NULL;
  model = &section->models[section->count++];
  memset (model, 0, sizeof *model);
  (void) snprintf (model->model, sizeof model->model, "%s", name);
  return model;
}

static bool
roles_equal (const TtEngineRole *first, const TtEngineRole *second)
{
  return strcmp (first->model, second->model) == 0 && strcmp (first->adapter, second->adapter) == 0
         && strcmp (first->version, second->version) == 0
         && strcmp (first->role, second->role) == 0;
}

/// Returns the wanted role of an engine; NULL if none is set.
static TtWantedRole *
find_wanted_role (TtOrderModel *model, uint64_t backend_id)
{
  for (uint32_t i = 0; i < model->count; i++)
    if (model->wanted[i].backend_id == backend_id)
      return &model->wanted[i];
  return NULL;
}

/// Sets the wanted state of an engine: the state that it reports, with another role.
static void
set_wanted_role (TtOrderModel *model, const TtBackendServer *backend, const char *role)
{
  TtWantedRole *wanted = find_wanted_role (model, backend->id);

  if (wanted == NULL && model->count == TT_ORDER_MAX_ENGINES)
    return;
  if (wanted == NULL)
    wanted = &model->wanted[model->count++];
  wanted->backend_id = backend->id;
  wanted->role = backend->order.observed;
  (void) snprintf (wanted->role.model, sizeof wanted->role.model, "%s", model->model);
  (void) snprintf (wanted->role.role, sizeof wanted->role.role, "%s", role);
  model->write_pending = true;
}

/// Compares demand with the capacity of the serving engines, and changes the role of at most one
/// engine.
static void
adjust_roles (TtBoard *board, TtPool *pool, TtOrderModel *model, int64_t now_us)
{
  uint32_t replicas = pool->spec.min_replicas > 0 ? pool->spec.min_replicas : 1;
  TtBackendServer *standby = NULL;
  TtBackendServer *least_busy = NULL;
  uint32_t serving = 0;
  uint32_t loaded = 0;
  double capacity = 0.0;
  double load = pool->admit.queued;

  (void) board;
  TT_LIST_FOREACH (&pool->backends, it)
    {
      TtBackendServer *backend = TT_CONTAINER_OF (it, TtBackendServer, pool_link);
      const TtWantedRole *wanted = find_wanted_role (model, backend->id);
      const char *role = wanted != NULL ? wanted->role.role : backend->order.observed.role;

      if (backend->roster.state != TT_BACKEND_LIVE || backend->order.observed_us == 0)
        continue;
      if (strcmp (role, ROLE_STANDBY) == 0)
        {
          if (standby == NULL || backend->weight > standby->weight)
            standby = backend;
          continue;
        }
      serving++;
      // An engine counts as loaded only if it reports so; an order in transit does not count.
      if (strcmp (backend->order.observed.role, ROLE_STANDBY) != 0)
        {
          loaded++;
          if (least_busy == NULL || backend->reported_running < least_busy->reported_running)
            least_busy = backend;
        }
      capacity += backend->batch_limit;
      load += backend->reported_running + backend->reported_waiting;
    }
  if (load > LOAD_ABOVE_UTILIZATION * capacity || serving < replicas)
    {
      model->next_standby_us = now_us + STANDBY_DELAY_US;
      if (standby == NULL || now_us < model->next_load_us)
        return;
      model->next_load_us = now_us + LOAD_MIN_INTERVAL_US;
      set_wanted_role (model, standby, ROLE_SERVE);
    }
  else if (load >= STANDBY_BELOW_UTILIZATION * capacity)
    model->next_standby_us = now_us + STANDBY_DELAY_US;
  else if (now_us >= model->next_standby_us && least_busy != NULL && loaded > replicas
           && serving > replicas)
    {
      model->next_standby_us = now_us + STANDBY_DELAY_US;
      set_wanted_role (model, least_busy, ROLE_STANDBY);
    }
}

/// Sends orders to the engines whose reported role differs from the wanted one.
static void
send_orders (TtBoard *board, TtPool *pool, TtOrderModel *model, const TtLease *lease,
             int64_t now_us)
{
  TT_LIST_FOREACH (&pool->backends, it)
    {
      TtBackendServer *backend = TT_CONTAINER_OF (it, TtBackendServer, pool_link);
      TtOrderBackend *order = &backend->order;
      const TtWantedRole *wanted = find_wanted_role (model, backend->id);
      TtAction *action;

      if (wanted == NULL)
        continue;
      order->wanted = wanted->role;
      order->pending = !roles_equal (&order->wanted, &order->observed);
      if (!order->pending
          || (order->last_order_us != 0 && now_us - order->last_order_us < ORDER_RESEND_PERIOD_US))
        continue;
      // An engine that does not check fencing tokens would execute a late order of the former
      // holder, so no order is sent to it until no such order can arrive.
      if (!backend->supports_fencing
          && now_us - lease->acquired_us
                 < lease->duration_us + TT_LEASE_MARGIN_US + ORDER_MAX_DELAY_US)
        continue;
      action = tt_board_append_action (board, TT_ACTION_ORDER);
      if (action == NULL)
        return;
      action->order = (TtOrderAction){ .backend_id = backend->id,
                                       .fencing_token = lease->fencing_token,
                                       .role = order->wanted };
      order->last_order_us = now_us;
      tt_board_counter_add (board, TT_COUNT_ORDERS, 1);
      tt_board_log (board, TT_LOG_ORDER_SENT, "backend=%s role=%s fencing=%llu", backend->name,
                    order->wanted.role, (unsigned long long) lease->fencing_token);
    }
}

/// Reads or writes the object orders/MODEL.
static void
start_object_call (TtBoard *board, TtOrderModel *model, bool write, uint64_t fencing_token)
{
  char key[TT_KEY_MAX];

  (void) snprintf (key, sizeof key, "orders/%s", model->model);
  model->call_is_write = write;
  model->object.type = TT_OBJECT_ORDERS;
  model->object.orders = (TtOrdersObject){ .fencing_token = fencing_token,
                                           .wanted = model->wanted,
                                           .count = model->count };
  model->call = tt_board_call_platform (board, write ? TT_PLATFORM_PUT : TT_PLATFORM_GET, key,
                                        write ? model->version : 0, write ? &model->object : NULL);
}

/// Reads the model's object, adjusts the roles and sends orders while the model's lease is held.
static void
run_model (TtBoard *board, TtPool *pool, int64_t now_us)
{
  TtOrderModel *model = find_or_add_model (board, pool->spec.name);
  char role[TT_NAME_MAX + 8];
  const TtLease *lease;
  bool has_reports = false;

  if (model == NULL)
    return;
  TT_LIST_FOREACH (&pool->backends, it)
    {
      if (TT_CONTAINER_OF (it, TtBackendServer, pool_link)->order.observed_us != 0)
        has_reports = true;
    }
  // The name of a lease's role is shorter than TT_NAME_MAX; a model whose role would have a longer
  // name gets no orders.
  if ((size_t) snprintf (role, sizeof role, "order-%s", pool->spec.name) >= TT_NAME_MAX)
    return;
  lease = tt_lease_set_candidate (board, role, has_reports && board->member.rank == 0);
  if (!tt_lease_held (lease, now_us))
    {
      model->loaded = false;
      model->call = 0;
      return;
    }
  if (model->fencing_token != lease->fencing_token)
    {
      model->fencing_token = lease->fencing_token;
      model->loaded = false;
      model->call = 0;
      model->next_standby_us = now_us + STANDBY_DELAY_US;
    }
  if (model->call != 0)
    return;
  if (!model->loaded)
    {
      start_object_call (board, model, false, 0);
      return;
    }
  if (!model->write_pending)
    adjust_roles (board, pool, model, now_us);
  if (model->write_pending)
    start_object_call (board, model, true, lease->fencing_token);
  else
    send_orders (board, pool, model, lease, now_us);
}

/// Processes the response to a read or write of orders/MODEL.
static void
handle_object_response (TtOrderModel *model, const TtPlatformEvent *response)
{
  model->call = 0;
  if (model->call_is_write)
    {
      // After a conflict or a lost response the object is read again, and its content becomes the
      // wanted roles.
      model->loaded = response->code == TT_OK;
      model->write_pending = false;
      model->version = response->version;
      return;
    }
  if (response->code != TT_OK && response->code != TT_E_NOT_FOUND)
    return;
  model->loaded = true;
  model->write_pending = false;
  model->version = response->code == TT_OK ? response->version : 0;
  model->count = 0;
  if (response->object == NULL || response->object->type != TT_OBJECT_ORDERS)
    return;
  for (uint32_t i = 0; i < response->object->orders.count && i < TT_ORDER_MAX_ENGINES; i++)
    model->wanted[model->count++] = response->object->orders.wanted[i];
}

/// Processes the role that an engine reports.
static void
handle_load_report (TtBoard *board, const TtLoadEvent *load, int64_t now_us)
{
  TtBackendServer *backend = tt_backend_find (board, load->backend_id);

  if (backend == NULL)
    return;
  backend->order.observed = load->role;
  if (load->role.role[0] != '\0')
    backend->order.observed_us = now_us;
  if (backend->order.pending && roles_equal (&backend->order.wanted, &load->role))
    {
      backend->order.pending = false;
      tt_board_log (board, TT_LOG_ORDER_CONFIRMED, "backend=%s role=%s", backend->name,
                    load->role.role);
    }
}

static void
on_event (void *context, TtBoard *board, const TtEvent *event, int64_t now_us)
{
  (void) context;
  if (event->type == TT_EVENT_LOAD_REPORT)
    handle_load_report (board, &event->load, now_us);
  else if (event->type == TT_EVENT_ORDER_RESPONSE && event->order.rejected)
    {
      tt_board_counter_add (board, TT_COUNT_ORDERS_REFUSED, 1);
      tt_board_log (board, TT_LOG_ORDER_REFUSED, "backend=%llx fencing=%llu",
                    (unsigned long long) event->order.backend_id,
                    (unsigned long long) event->order.fencing_token);
    }
  else if (event->type == TT_EVENT_PLATFORM_RESPONSE)
    for (uint32_t i = 0; i < board->order.count; i++)
      if (board->order.models[i].call != 0
          && board->order.models[i].call == event->platform.call_id)
        handle_object_response (&board->order.models[i], &event->platform);
}

static void
run (void *context, TtBoard *board, int64_t now_us)
{
  (void) context;
  if (now_us < board->order.next_check_us)
    return;
  board->order.next_check_us = now_us + CHECK_PERIOD_US;
  TT_LIST_FOREACH (&board->backends.pools, it)
    {
      TtPool *pool = TT_CONTAINER_OF (it, TtPool, link);

      if (pool->spec.type == TT_SERVICE_MODEL && pool->team_id != 0)
        run_model (board, pool, now_us);
    }
}

TtController
tt_order_controller (void)
{
  return (TtController){
    .name = "order", .open = open_orders, .close = close_orders, .on_event = on_event, .run = run
  };
}
