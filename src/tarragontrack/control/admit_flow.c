#include "tarragontrack/board/board.h"
#include "tarragontrack/board/hash.h"
#include "tarragontrack/board/request.h"
#include "tarragontrack/control/admit.h"
#include <stdlib.h>

int
tt_admit_open_flows (TtBoard *board)
{
  TtAdmitSection *section = &board->admit;
  uint32_t count = board->config.max_requests + TT_MAX_IDLE_FLOWS;

  tt_list_init (&section->idle_flows);
  tt_list_init (&section->free_flows);
  for (int i = 0; i < TT_ACCOUNT_BUCKETS; i++)
    tt_list_init (&section->flow_buckets[i]);
  section->flow_records = calloc (count, sizeof *section->flow_records);
  if (section->flow_records == NULL)
    return TT_E_NO_MEMORY;
  for (uint32_t i = 0; i < count; i++)
    tt_list_append (&section->free_flows, &section->flow_records[i].link);
  return TT_OK;
}

void
tt_admit_close_flows (TtBoard *board)
{
  free (board->admit.flow_records);
}

/// Hash bucket of a flow.
static TtList *
flow_bucket (TtBoard *board, const TtPool *pool, const TtClientAccount *account, uint32_t priority)
{
  uint64_t key = tt_hash_pair (pool->id, account->spec.id + priority);

  return &board->admit.flow_buckets[key % TT_ACCOUNT_BUCKETS];
}

/// Frees an idle flow.
static void
free_flow (TtBoard *board, TtAdmitFlow *flow)
{
  tt_list_remove (flow_bucket (board, flow->pool, flow->account, flow->priority),
                  &flow->bucket_link);
  tt_list_remove (&board->admit.idle_flows, &flow->link);
  tt_list_append (&board->admit.free_flows, &flow->link);
}

void
tt_admit_free_idle_flows (TtBoard *board, const TtClientAccount *account)
{
  TT_LIST_FOREACH (&board->admit.idle_flows, it)
    {
      TtAdmitFlow *flow = TT_CONTAINER_OF (it, TtAdmitFlow, link);

      if (flow->account == account)
        free_flow (board, flow);
    }
}

/// Allocates a flow; replaces the flow that has been idle longest if none is free.
static TtAdmitFlow *
alloc_flow (TtBoard *board)
{
  TtAdmitSection *section = &board->admit;

  if (tt_list_first (&section->free_flows) == NULL)
    free_flow (board, TT_CONTAINER_OF (tt_list_first (&section->idle_flows), TtAdmitFlow, link));
  return TT_CONTAINER_OF (tt_list_pop (&section->free_flows), TtAdmitFlow, link);
}

/// Finds the flow of a request; creates it if there is none.
static TtAdmitFlow *
get_flow (TtBoard *board, const TtRequest *request)
{
  TtList *bucket = flow_bucket (board, request->pool, request->account, request->priority);
  TtAdmitFlow *flow;

  TT_LIST_FOREACH (bucket, it)
    {
      flow = TT_CONTAINER_OF (it, TtAdmitFlow, bucket_link);
      if (flow->pool == request->pool && flow->account == request->account
          && flow->priority == request->priority && flow->is_long == request->length.is_long)
        return flow;
    }
  flow = alloc_flow (board);
  *flow = (TtAdmitFlow){ .pool = request->pool,
                         .account = request->account,
                         .priority = request->priority,
                         .is_long = request->length.is_long };
  tt_link_init (&flow->link);
  tt_link_init (&flow->bucket_link);
  tt_list_init (&flow->requests);
  tt_list_append (bucket, &flow->bucket_link);
  return flow;
}

static double
flow_weight (const TtAdmitFlow *flow)
{
  return flow->account->spec.weight > 0.0 ? flow->account->spec.weight : 1.0;
}

/// Inserts a flow into its queue, ordered by start tag. Scans from both ends in lockstep, because a
/// flow that was just served belongs near the end and a new flow near the front.
static void
insert_flow (TtAdmitFlow *flow)
{
  TtList *queue = &flow->pool->admit.queues[flow->priority];
  TtLink *forward = queue->head.next;
  TtLink *backward = queue->head.prev;

  while (forward != &queue->head
         && TT_CONTAINER_OF (forward, TtAdmitFlow, link)->start_tag <= flow->start_tag
         && TT_CONTAINER_OF (backward, TtAdmitFlow, link)->start_tag > flow->start_tag)
    {
      forward = forward->next;
      backward = backward->prev;
    }
  if (forward == &queue->head
      || TT_CONTAINER_OF (forward, TtAdmitFlow, link)->start_tag > flow->start_tag)
    tt_list_insert_before (queue, forward, &flow->link);
  else
    tt_list_insert_before (queue, backward->next, &flow->link);
}

void
tt_admit_flow_append (TtBoard *board, TtRequest *request, double cost)
{
  TtAdmitPool *admit = &request->pool->admit;
  TtAdmitFlow *flow = get_flow (board, request);

  if (flow->requests.count == 0)
    {
      tt_list_remove (&board->admit.idle_flows, &flow->link);
      if (flow->start_tag < admit->virtual_time[flow->priority])
        flow->start_tag = admit->virtual_time[flow->priority];
      insert_flow (flow);
    }
  tt_list_append (&flow->requests, &request->admit.flow_link);
  request->admit.flow = flow;
  request->admit.cost = cost;
  flow->backlog_cost += cost;
  admit->queued_by_priority[flow->priority]++;
  admit->queued++;
  board->admit.queued++;
  flow->account->queued++;
}

void
tt_admit_flow_remove (TtBoard *board, TtRequest *request, bool served)
{
  TtAdmitPool *admit = &request->pool->admit;
  TtAdmitFlow *flow = request->admit.flow;

  tt_list_remove (&flow->requests, &request->admit.flow_link);
  request->admit.flow = NULL;
  flow->backlog_cost -= request->admit.cost;
  admit->queued_by_priority[flow->priority]--;
  admit->queued--;
  board->admit.queued--;
  flow->account->queued--;
  if (!served && flow->requests.count > 0)
    return;
  tt_list_remove (&admit->queues[flow->priority], &flow->link);
  if (served)
    {
      if (flow->start_tag > admit->virtual_time[flow->priority])
        admit->virtual_time[flow->priority] = flow->start_tag;
      flow->start_tag += request->admit.cost / flow_weight (flow);
    }
  if (flow->requests.count > 0)
    {
      insert_flow (flow);
      return;
    }
  flow->backlog_cost = 0.0;
  tt_list_append (&board->admit.idle_flows, &flow->link);
}

double
tt_admit_flow_finish_tag (const TtAdmitFlow *flow)
{
  return flow->start_tag + flow->backlog_cost / flow_weight (flow);
}

double
tt_admit_flow_requests_ahead (const TtAdmitFlow *flow)
{
  const TtList *queue = &flow->pool->admit.queues[flow->priority];
  double finish_tag = tt_admit_flow_finish_tag (flow);
  double ahead = flow->requests.count;

  TT_LIST_FOREACH (queue, it)
    {
      const TtAdmitFlow *other = TT_CONTAINER_OF (it, TtAdmitFlow, link);
      double fraction;

      if (other->start_tag >= finish_tag)
        break;
      if (other == flow)
        continue;
      fraction = (finish_tag - other->start_tag) * flow_weight (other) / other->backlog_cost;
      ahead += other->requests.count * (fraction < 1.0 ? fraction : 1.0);
    }
  return ahead - 1.0;
}
