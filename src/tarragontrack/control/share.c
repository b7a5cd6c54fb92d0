#include "tarragontrack/board/backend.h"
#include "tarragontrack/board/board.h"
#include "tarragontrack/control/controllers.h"
#include "tarragontrack/control/member.h"
#include "tarragontrack/control/slot.h"
#include "tarragontrack/control/slot_owner.h"
#include "tarragontrack/control/slot_request.h"

/// Retransmission timeout of a slot request while a caller's request waits for the slot. The round
/// trip inside a failure domain is below a millisecond, so a message without a response by then was
/// lost.
#define WAITING_RETRY_US (8 * TT_MILLISECOND_US)
/// A slot owner that has not responded for this long counts as unreachable once the lease has
/// expired.
#define OWNER_TIMEOUT_US (600 * TT_MILLISECOND_US)
/// Backoff of a lessee after a denied slot request; doubles up to MAX_BACKOFF_SHIFT times.
#define DENIED_BACKOFF_US (300 * TT_MILLISECOND_US)
#define MAX_BACKOFF_SHIFT 3
/// Rate and burst of the slot requests outside of renewals. At 15.5 requests per second and 33
/// daemons in a failure domain, a limit of 20 per second delayed a tenth of the callers' requests.
#define REQUESTS_PER_S 40.0
#define REQUEST_BURST 20.0

enum
{
  EXPECTED_GRANT_SLOTS = 4 ///< slots expected from a slot owner that has not denied a request
};

/// Renews this daemon's lease on a backend server that it owns itself.
static void
renew_own_lease (TtBoard *board, TtBackendServer *backend, int64_t now_us)
{
  TtSlotLeaseRequest request = { .member_id = board->member.self->entry.id,
                                 .incarnation = board->member.self->entry.incarnation,
                                 .sequence = ++board->share.sequence,
                                 .used = backend->attempts.count,
                                 .requested_total = tt_slot_desired (board, backend) };
  uint32_t granted;

  if (!tt_slot_owner_grant (board, backend, &request, &granted, now_us))
    return;
  backend->share.leased_slots = granted;
  backend->share.lease_expires_us = now_us + TT_SLOT_LEASE_PERIOD_US;
  backend->share.uses_fallback = false;
}

/// Estimates the slots that the slot owner of a usable backend server will grant on request.
static uint32_t
estimate_grantable (const TtBoard *board, const TtBackendServer *backend, int64_t now_us)
{
  if (tt_slot_owner_is_self (board, backend))
    return now_us < backend->share.grants_from_us ? 0 : tt_slot_owner_unleased (backend, now_us);
  if (!tt_slot_can_request (backend, now_us))
    return 0;
  // Slots of another failure domain are requested only if the local one has no usable engine of the
  // pool.
  if (backend->domain_id != board->domain_id && backend->pool->share.engines > 0)
    return 0;
  return backend->share.denials == 0 ? EXPECTED_GRANT_SLOTS : 1;
}

/// Recounts the attempts and slots of one backend server and updates the totals of its pool.
static void
recount_backend (TtBoard *board, TtBackendServer *backend, int64_t now_us)
{
  TtShareBackend *share = &backend->share;
  TtSharePool *pool = &backend->pool->share;
  bool local = backend->domain_id == board->domain_id;
  uint32_t long_limit = tt_slot_long_limit (board, backend);
  uint32_t old_idle = share->idle_slots;

  pool->idle_slots -= share->idle_slots;
  pool->free_slots -= share->free_slots;
  pool->free_long_slots -= share->free_long_slots;
  pool->used -= local ? share->used : 0;
  share->used = backend->attempts.count;
  share->long_used = 0;
  TT_LIST_FOREACH (&backend->attempts, it)
    share->long_used += TT_CONTAINER_OF (it, TtAttempt, backend_link)->request->length.is_long;
  pool->used += local ? share->used : 0;
  share->idle_slots = 0;
  share->free_slots = 0;
  share->free_long_slots = 0;
  if (tt_slot_is_usable (backend))
    {
      if (tt_slot_owner_is_self (board, backend))
        renew_own_lease (board, backend, now_us);
      share->idle_slots = tt_slot_idle (backend, now_us);
      share->free_slots = share->idle_slots + estimate_grantable (board, backend, now_us);
      share->free_slots -= share->free_slots < backend->place.waiting_requests
                               ? share->free_slots
                               : backend->place.waiting_requests;
      if (long_limit > share->long_used)
        share->free_long_slots = share->free_slots < long_limit - share->long_used
                                     ? share->free_slots
                                     : long_limit - share->long_used;
    }
  pool->idle_slots += share->idle_slots;
  pool->free_slots += share->free_slots;
  pool->free_long_slots += share->free_long_slots;
  if (share->idle_slots > old_idle)
    {
      board->share.version++;
      board->dirty |= backend->pool->admit.queued > 0;
    }
}

/// Handles one entry of a slot request: a pool's demand or a backend server's slots. The
/// response omits entries that were granted in full.
static void
handle_request_entry (TtBoard *board, const TtPeerMessage *request, const TtPeerSlot *slot,
                      TtPeerSlotMessage *response, int64_t now_us)
{
  TtBackendServer *backend = tt_backend_find (board, slot->backend_id);
  TtPool *pool = backend == NULL ? tt_pool_find (board, slot->backend_id) : NULL;
  TtSlotLeaseRequest lease_request = { .member_id = request->sender_id,
                                       .incarnation = request->sender_incarnation,
                                       .sequence = request->share.sequence,
                                       .used = slot->used,
                                       .requested_total = slot->slots };
  TtPeerSlot grant = { .backend_id = slot->backend_id };

  if (pool != NULL)
    {
      tt_slot_owner_record_demand (board, pool, &lease_request, now_us);
      return;
    }
  // A period of 0 indicates to the lessee that this daemon is not the slot owner.
  if (backend != NULL && backend->pool != NULL && tt_slot_owner_is_self (board, backend))
    {
      tt_slot_owner_release_spare (board, backend);
      if (!tt_slot_owner_grant (board, backend, &lease_request, &grant.slots, now_us))
        return;
      recount_backend (board, backend, now_us);
      grant.lease_period_ms = (uint32_t) (TT_SLOT_LEASE_PERIOD_US / TT_MILLISECOND_US);
      if (grant.slots == slot->slots)
        return;
    }
  response->slots[response->slot_count++] = grant;
}

/// Responds to a slot request. An outdated request is discarded without a response.
static void
handle_request (TtBoard *board, const TtPeerMessage *request, int64_t now_us)
{
  const TtMember *sender = tt_member_find (board, request->sender_id);
  TtPeerMessage *response;

  if (sender == NULL || !tt_slot_owner_is_newer (board, request))
    return;
  response = tt_board_send_peer (board, sender, TT_PEER_SLOT_GRANT);
  if (response == NULL)
    return;
  response->share.sequence = request->share.sequence;
  for (uint32_t i = 0; i < request->share.slot_count && i < TT_PEER_MAX_SLOTS; i++)
    handle_request_entry (board, request, &request->share.slots[i], &response->share, now_us);
}

/// Starts the backoff after a denied slot request.
static void
start_backoff (TtShareBackend *share, int64_t now_us)
{
  share->denied_until_us = now_us + (DENIED_BACKOFF_US << share->denials);
  if (share->denials < MAX_BACKOFF_SHIFT)
    share->denials++;
}

/// Finds the response's entry for a backend server; NULL if the response omits it.
static const TtPeerSlot *
find_slot (const TtPeerSlotMessage *response, uint64_t backend_id)
{
  for (uint32_t i = 0; i < response->slot_count && i < TT_PEER_MAX_SLOTS; i++)
    if (response->slots[i].backend_id == backend_id)
      return &response->slots[i];
  return NULL;
}

/// Applies the slot owner's response for one backend server.
///
/// ARGUMENTS  slot: NULL if the slots were granted in full
static void
apply_grant (TtBackendServer *backend, const TtPeerSlot *slot, int64_t now_us)
{
  TtShareBackend *share = &backend->share;
  int64_t period_us
      = slot != NULL ? slot->lease_period_ms * TT_MILLISECOND_US : TT_SLOT_LEASE_PERIOD_US;

  share->request_sequence = 0;
  if (period_us == 0)
    {
      start_backoff (share, now_us);
      return;
    }
  if (period_us > TT_SLOT_LEASE_PERIOD_US)
    period_us = TT_SLOT_LEASE_PERIOD_US;
  share->unanswered_us = 0;
  share->uses_fallback = false;
  share->leased_slots = slot != NULL ? slot->slots : share->requested_slots;
  share->lease_expires_us = share->requested_us + period_us;
  if (share->leased_slots >= share->requested_slots)
    share->denials = 0;
  else if (share->leased_slots <= backend->attempts.count)
    start_backoff (share, now_us);
}

/// Applies a slot owner's response. Only the response to the last request is accepted, and the
/// lease starts at the time at which that request was sent, so that delayed and duplicate responses
/// do not extend a lease.
static void
handle_grant (TtBoard *board, const TtPeerMessage *message, int64_t now_us)
{
  TT_LIST_FOREACH (&board->backends.all, it)
    {
      TtBackendServer *backend = TT_CONTAINER_OF (it, TtBackendServer, link);

      if (message->share.sequence == 0 || backend->pool == NULL
          || backend->share.request_sequence != message->share.sequence
          || backend->share.owner_id != message->sender_id)
        continue;
      apply_grant (backend, find_slot (&message->share, backend->id), now_us);
      recount_backend (board, backend, now_us);
      board->share.version++;
    }
}

/// Ends an expired lease, or replaces it by the fallback if the slot owner is unreachable.
static void
check_lease (TtBoard *board, TtBackendServer *backend, int64_t now_us)
{
  TtShareBackend *share = &backend->share;
  bool owner_timed_out
      = share->unanswered_us != 0 && now_us - share->unanswered_us >= OWNER_TIMEOUT_US;

  // The engines of another failure domain are used by the daemons of that domain, without
  // coordination with this one. Without a lease from the slot owner, this daemon doesn't use them.
  if (tt_slot_owner_is_self (board, backend) || backend->domain_id != board->domain_id)
    share->uses_fallback = false;
  else if (share->uses_fallback
           || (now_us >= share->lease_expires_us && (owner_timed_out || share->owner_id == 0)))
    {
      share->uses_fallback = true;
      share->leased_slots = tt_slot_fallback_limit (board, backend, now_us);
      share->lease_expires_us = now_us + 2 * TT_TICK_INTERVAL_US;
    }
  else if (now_us >= share->lease_expires_us)
    share->leased_slots = 0;
}

/// Recomputes all totals, because backend servers are added, removed and change state between
/// events.
static void
recount_all (TtBoard *board, int64_t now_us)
{
  TT_LIST_FOREACH (&board->backends.pools, it)
    {
      TtPool *pool = TT_CONTAINER_OF (it, TtPool, link);

      (void) tt_slot_owner_update_limit (board, pool, now_us);
      pool->share.idle_slots = 0;
      pool->share.free_slots = 0;
      pool->share.free_long_slots = 0;
      pool->share.used = 0;
      TT_LIST_FOREACH (&pool->backends, b)
        {
          TtBackendServer *backend = TT_CONTAINER_OF (b, TtBackendServer, pool_link);

          backend->share.idle_slots = 0;
          backend->share.free_slots = 0;
          backend->share.free_long_slots = 0;
          backend->share.used = 0;
          check_lease (board, backend, now_us);
          recount_backend (board, backend, now_us);
        }
    }
}

/// Renews leases that expire soon, retries unanswered slot requests and reports slots that are no
/// longer used.
static void
renew_leases (TtBoard *board, int64_t now_us)
{
  TT_LIST_FOREACH (&board->backends.all, it)
    {
      TtBackendServer *backend = TT_CONTAINER_OF (it, TtBackendServer, link);
      TtShareBackend *share = &backend->share;
      bool returns_slots = share->leased_slots < share->reported_used
                           && backend->attempts.count < share->reported_used;
      int64_t interval_us = (share->request_sequence != 0 && !share->uses_fallback) || returns_slots
                                ? TT_SLOT_REQUEST_RETRY_US
                                : TT_SLOT_REQUEST_RENEW_US;

      if (backend->pool != NULL && !tt_slot_owner_is_self (board, backend) && share->owner_id != 0
          && tt_slot_request_is_needed (backend) && now_us - share->requested_us >= interval_us)
        tt_slot_request_send (board, share->owner_id, now_us);
    }
}

/// Runs the time-based checks. Called at most once per tick period, on any event, so that a late
/// tick does not delay them; also when backend servers or pools were added or removed.
static void
run_periodic (TtBoard *board, int64_t now_us)
{
  TtShareSection *section = &board->share;

  if (section->started_us == 0)
    section->started_us = now_us;
  section->request_tokens
      += REQUESTS_PER_S * (double) (now_us - section->checked_us) / (double) TT_SECOND_US;
  if (section->request_tokens > REQUEST_BURST)
    section->request_tokens = REQUEST_BURST;
  section->checked_us = now_us;
  section->backend_pool_count = board->backends.all.count + board->backends.pools.count;
  tt_slot_owner_elect (board, now_us);
  tt_slot_owner_expire (board, now_us);
  recount_all (board, now_us);
  renew_leases (board, now_us);
}

static int
open_share (void *context, TtBoard *board)
{
  (void) context;
  return tt_slot_owner_open (board);
}

static void
close_share (void *context, TtBoard *board)
{
  (void) context;
  tt_slot_owner_close (board);
}

static void
on_event (void *context, TtBoard *board, const TtEvent *event, int64_t now_us)
{
  (void) context;
  if (now_us - board->share.checked_us >= TT_TICK_INTERVAL_US)
    run_periodic (board, now_us);
  if (event->type != TT_EVENT_PEER_MESSAGE)
    return;
  if (event->peer->type == TT_PEER_SLOT_REQUEST)
    handle_request (board, event->peer, now_us);
  else if (event->peer->type == TT_PEER_SLOT_GRANT)
    handle_grant (board, event->peer, now_us);
  else if (event->peer->type == TT_PEER_LEAVE)
    tt_slot_owner_remove_member (board, event->peer->sender_id);
}

/// Renews this daemon's leases on its own backend servers if its demand changed the slot limit.
static void
update_own_leases (TtBoard *board, TtPool *pool, int64_t now_us)
{
  if (pool->share.demand_at_update == tt_slot_demand (pool)
      || !tt_slot_owner_update_limit (board, pool, now_us))
    return;
  board->dirty = true;
  TT_LIST_FOREACH (&pool->backends, it)
    {
      TtBackendServer *backend = TT_CONTAINER_OF (it, TtBackendServer, pool_link);

      if (tt_slot_owner_is_self (board, backend))
        recount_backend (board, backend, now_us);
    }
}

/// Obtains slots of the backend servers for which requests wait: grants them if this daemon is the
/// slot owner, else requests them from the slot owner.
static void
serve_waiting (TtBoard *board, int64_t now_us)
{
  TT_LIST_FOREACH (&board->place.awaited_backends, it)
    {
      TtBackendServer *backend = TT_CONTAINER_OF (it, TtBackendServer, place.awaited_link);

      if (backend->pool == NULL)
        continue;
      if (tt_slot_owner_is_self (board, backend))
        recount_backend (board, backend, now_us);
      else if ((backend->share.request_sequence == 0
                || now_us - backend->share.requested_us >= WAITING_RETRY_US)
               && board->share.request_tokens >= 1.0 && tt_slot_can_request (backend, now_us))
        {
          board->share.request_tokens -= 1.0;
          tt_slot_request_send (board, backend->share.owner_id, now_us);
        }
    }
}

static void
run (void *context, TtBoard *board, int64_t now_us)
{
  TtShareSection *section = &board->share;
  TtLink *link;

  (void) context;
  if (section->backend_pool_count != board->backends.all.count + board->backends.pools.count)
    run_periodic (board, now_us);
  while ((link = tt_list_pop (&section->changed_backends)) != NULL)
    {
      TtBackendServer *backend = TT_CONTAINER_OF (link, TtBackendServer, share.changed_link);

      if (backend->pool != NULL)
        recount_backend (board, backend, now_us);
    }
  TT_LIST_FOREACH (&board->backends.pools, it)
    {
      TtPool *pool = TT_CONTAINER_OF (it, TtPool, link);

      // Between two ticks the slot limit is recomputed only for pools with requests that wait for a
      // slot or are queued.
      if (pool->place.waiting_requests > 0 || pool->admit.queued > 0)
        update_own_leases (board, pool, now_us);
    }
  serve_waiting (board, now_us);
}

TtController
tt_share_controller (void)
{
  return (TtController){
    .name = "share", .open = open_share, .close = close_share, .on_event = on_event, .run = run
  };
}
