#include "tarragontrack/control/slot_owner.h"
#include "tarragontrack/board/backend.h"
#include "tarragontrack/board/board.h"
#include "tarragontrack/board/hash.h"
#include "tarragontrack/control/member.h"
#include <math.h>
#include <stdlib.h>

/// A daemon that started more recently than this may not know all members yet, so it cannot assume
/// that a backend server it sees for the first time had no slot owner before.
#define MEMBERSHIP_SETTLE_US (5 * TT_SECOND_US)
/// Period after which the rounding of fair shares is randomized again. With a fixed rounding, one
/// of five daemons had a sixth fewer slots than its fair share for a whole minute.
#define ROUNDING_PERIOD_US (4 * TT_SECOND_US)

int
tt_slot_owner_open (TtBoard *board)
{
  TtShareSection *section = &board->share;

  section->max_leases = TT_MAX_SLOT_LEASES;
  section->lease_records = calloc (section->max_leases, sizeof *section->lease_records);
  section->demand_records = calloc (TT_MAX_SHARE_DEMANDS, sizeof *section->demand_records);
  if (section->lease_records == NULL || section->demand_records == NULL)
    return TT_E_NO_MEMORY;
  for (uint32_t i = 0; i < section->max_leases; i++)
    tt_list_append (&section->free_leases, &section->lease_records[i].link);
  for (uint32_t i = 0; i < TT_MAX_SHARE_DEMANDS; i++)
    tt_list_append (&section->free_demands, &section->demand_records[i].link);
  return TT_OK;
}

void
tt_slot_owner_close (TtBoard *board)
{
  free (board->share.lease_records);
  free (board->share.demand_records);
}

bool
tt_slot_owner_is_self (const TtBoard *board, const TtBackendServer *backend)
{
  return backend->share.owner_id == board->member.self->entry.id;
}

/// True if a daemon is eligible as slot owner. A daemon that is known only from a host list is
/// eligible until this daemon has run long enough to have received a message from it; otherwise a
/// failed host on the list would own engines whose slots no daemon leases out.
static bool
is_eligible (const TtBoard *board, const TtMember *member, int64_t now_us)
{
  if (member->entry.state != TT_MEMBER_ALIVE)
    return false;
  return member->self || member->last_heartbeat_us != 0
         || now_us - board->share.started_us < TT_MEMBER_GONE_AFTER_US;
}

/// Checksum of the eligible members, independent of their order.
static uint64_t
checksum_members (const TtBoard *board, int64_t now_us)
{
  uint64_t sum = 1;

  TT_LIST_FOREACH (&board->member.all, it)
    {
      const TtMember *member = TT_CONTAINER_OF (it, TtMember, link);

      if (is_eligible (board, member, now_us))
        sum += tt_hash_pair (member->entry.id, member->entry.domain_id);
    }
  return sum;
}

/// Elects the eligible member of the backend server's failure domain with the highest rendezvous
/// hash; 0 if none is known.
static uint64_t
elect_owner (const TtBoard *board, const TtBackendServer *backend, int64_t now_us)
{
  uint64_t best = 0;
  uint64_t best_hash = 0;

  TT_LIST_FOREACH (&board->member.all, it)
    {
      const TtMember *member = TT_CONTAINER_OF (it, TtMember, link);
      uint64_t hash;

      if (member->entry.domain_id != backend->domain_id || !is_eligible (board, member, now_us))
        continue;
      hash = tt_hash_pair (member->entry.id, backend->id);
      if (hash > best_hash)
        {
          best = member->entry.id;
          best_hash = hash;
        }
    }
  // Without an eligible member, e.g. while the last daemon of the failure domain leaves, this
  // daemon owns its domain's backend servers, so that it can still serve its queue.
  if (best == 0 && backend->domain_id == board->domain_id)
    best = board->member.self->entry.id;
  return best;
}

static void
free_leases (TtBoard *board, TtBackendServer *backend)
{
  TtLink *link;

  while ((link = tt_list_pop (&backend->share.leases)) != NULL)
    tt_list_append (&board->share.free_leases, link);
}

/// Sets the slot owner of a backend server and resets the state of this daemon's slot requests.
static void
set_owner (TtBoard *board, TtBackendServer *backend, uint64_t owner_id, int64_t now_us)
{
  TtShareBackend *share = &backend->share;
  bool first_seen = share->owner_id == 0;
  bool membership_settled = now_us - board->share.started_us >= MEMBERSHIP_SETTLE_US;

  share->owner_id = owner_id;
  share->request_sequence = 0;
  share->unanswered_us = 0;
  share->denied_until_us = 0;
  share->denials = 0;
  if (!tt_slot_owner_is_self (board, backend))
    {
      share->owner_since_us = 0;
      free_leases (board, backend);
      return;
    }
  share->owner_since_us = now_us;
  // Leases of a previous slot owner expire one lease period after its last grant.
  share->grants_from_us = board->member.live_in_domain <= 1 || (first_seen && membership_settled)
                              ? now_us
                              : now_us + TT_SLOT_LEASE_PERIOD_US;
}

void
tt_slot_owner_elect (TtBoard *board, int64_t now_us)
{
  uint64_t members = checksum_members (board, now_us);
  bool changed = members != board->share.members_checksum;

  board->share.members_checksum = members;
  TT_LIST_FOREACH (&board->backends.all, it)
    {
      TtBackendServer *backend = TT_CONTAINER_OF (it, TtBackendServer, link);
      uint64_t owner_id;

      if (!changed && backend->share.owner_id != 0)
        continue;
      owner_id = elect_owner (board, backend, now_us);
      if (owner_id != 0 && owner_id != backend->share.owner_id)
        set_owner (board, backend, owner_id, now_us);
      else if (owner_id == 0)
        backend->share.owner_id = 0;
    }
}

/// Running and waiting requests of the pool, summed over the daemons of the failure domain.
static double
sum_requests (const TtPool *pool, int64_t now_us)
{
  double requests = pool->share.used + pool->admit.queued + pool->place.waiting_requests;

  TT_LIST_FOREACH (&pool->share.demands, it)
    {
      const TtShareDemand *demand = TT_CONTAINER_OF (it, TtShareDemand, link);

      if (demand->expires_us > now_us)
        requests += demand->requests;
    }
  return requests;
}

bool
tt_slot_owner_update_limit (TtBoard *board, TtPool *pool, int64_t now_us)
{
  double requests = sum_requests (pool, now_us);
  uint32_t engines = 0;
  bool changed = false;

  TT_LIST_FOREACH (&pool->backends, it)
    {
      const TtBackendServer *backend = TT_CONTAINER_OF (it, TtBackendServer, pool_link);

      engines += backend->domain_id == board->domain_id && backend->roster.state == TT_BACKEND_LIVE
                 && !backend->health.ejected;
    }
  pool->share.engines = engines;
  pool->share.mean_load = engines > 0 ? requests / engines : 0.0;
  pool->share.demand_at_update
      = pool->share.used + pool->admit.queued + pool->place.waiting_requests;
  TT_LIST_FOREACH (&pool->backends, it)
    {
      TtBackendServer *backend = TT_CONTAINER_OF (it, TtBackendServer, pool_link);
      // The load bound is one request higher than this limit. The margin covers requests that
      // finish and lower the mean: without it up to 0.5 % of the samples exceeded the bound.
      double limit = ceil (pool->spec.load_multiple * pool->share.mean_load);

      // The load bound is at least two as soon as one request runs.
      limit = limit < 2.0 ? 2.0 : limit;
      if (pool->spec.type == TT_SERVICE_PLAIN || limit > backend->batch_limit)
        limit = backend->batch_limit;
      limit = limit < 1.0 ? 1.0 : limit;
      changed
          |= backend->share.owner_since_us != 0 && backend->share.slot_limit != (uint32_t) limit;
      backend->share.slot_limit = (uint32_t) limit;
    }
  return changed;
}

/// Slots leased to all daemons except @member_id.
static uint32_t
leased_to_others (const TtBackendServer *backend, uint64_t member_id, int64_t now_us)
{
  uint32_t slots = 0;

  TT_LIST_FOREACH (&backend->share.leases, it)
    {
      const TtSlotLease *lease = TT_CONTAINER_OF (it, TtSlotLease, link);

      if (lease->member_id != member_id && lease->expires_us > now_us)
        slots += lease->slots;
    }
  return slots;
}

uint32_t
tt_slot_owner_unleased (const TtBackendServer *backend, int64_t now_us)
{
  uint32_t leased = leased_to_others (backend, 0, now_us);

  return leased < backend->share.slot_limit ? backend->share.slot_limit - leased : 0;
}

/// Finds or creates the lessee's lease; NULL if TtShareSection.max_leases are in use.
static TtSlotLease *
get_lease (TtBoard *board, TtBackendServer *backend, uint64_t member_id)
{
  TtLink *link;
  TtSlotLease *lease;

  TT_LIST_FOREACH (&backend->share.leases, it)
    {
      lease = TT_CONTAINER_OF (it, TtSlotLease, link);
      if (lease->member_id == member_id)
        return lease;
    }
  link = tt_list_pop (&board->share.free_leases);
  if (link == NULL)
    {
      tt_board_counter_add (board, TT_COUNT_POOL_FULL, 1);
      return NULL;
    }
  lease = TT_CONTAINER_OF (link, TtSlotLease, link);
  *lease = (TtSlotLease){ .member_id = member_id };
  tt_list_append (&backend->share.leases, &lease->link);
  return lease;
}

bool
tt_slot_owner_is_newer (TtBoard *board, const TtPeerMessage *request)
{
  for (uint32_t i = 0; i < request->share.slot_count && i < TT_PEER_MAX_SLOTS; i++)
    {
      TtBackendServer *backend = tt_backend_find (board, request->share.slots[i].backend_id);

      if (backend == NULL)
        continue;
      TT_LIST_FOREACH (&backend->share.leases, it)
        {
          const TtSlotLease *lease = TT_CONTAINER_OF (it, TtSlotLease, link);

          if (lease->member_id == request->sender_id
              && (request->sender_incarnation < lease->incarnation
                  || (request->sender_incarnation == lease->incarnation
                      && request->share.sequence <= lease->sequence)))
            return false;
        }
    }
  return true;
}

/// Fair share of the backend server's slots, in proportion to the load offered to the lessee; the
/// slot limit if the lessee's demand is unknown. Fractions are rounded up or down pseudo-randomly,
/// independently in each ROUNDING_PERIOD_US, so that the mean over time and engines is exact.
static uint32_t
fair_share (const TtBoard *board, const TtBackendServer *backend, uint64_t member_id,
            int64_t now_us)
{
  const TtPool *pool = backend->pool;
  double local = member_id == board->member.self->entry.id ? 1.0 + pool->admit.offered_load : 0.0;
  double total = 1.0 + pool->admit.offered_load;
  uint64_t period = (uint64_t) (now_us / ROUNDING_PERIOD_US);
  uint64_t hash = tt_hash_pair (tt_hash_pair (member_id, backend->id), period);
  double draw = (double) (hash >> 11) * 0x1.0p-53;

  TT_LIST_FOREACH (&pool->share.demands, it)
    {
      const TtShareDemand *demand = TT_CONTAINER_OF (it, TtShareDemand, link);

      if (demand->expires_us <= now_us)
        continue;
      total += demand->offered_load;
      if (demand->member_id == member_id)
        local = demand->offered_load;
    }
  return local > 0.0 ? (uint32_t) (backend->share.slot_limit * local / total + draw)
                     : backend->share.slot_limit;
}

/// Sum over the other lessees of the requested slots that they lack to reach their fair shares.
static uint32_t
sum_shortfalls (const TtBoard *board, const TtBackendServer *backend, uint64_t member_id,
                int64_t now_us)
{
  uint32_t shortfall = 0;

  TT_LIST_FOREACH (&backend->share.leases, it)
    {
      const TtSlotLease *lease = TT_CONTAINER_OF (it, TtSlotLease, link);
      uint32_t fair_slots;

      if (lease->member_id == member_id || lease->expires_us <= now_us || lease->unmet == 0)
        continue;
      fair_slots = fair_share (board, backend, lease->member_id, now_us);
      if (fair_slots > lease->slots)
        shortfall
            += fair_slots - lease->slots < lease->unmet ? fair_slots - lease->slots : lease->unmet;
    }
  return shortfall;
}

void
tt_slot_owner_release_spare (TtBoard *board, TtBackendServer *backend)
{
  uint32_t needed = backend->attempts.count + backend->place.waiting_requests;

  TT_LIST_FOREACH (&backend->share.leases, it)
    {
      TtSlotLease *lease = TT_CONTAINER_OF (it, TtSlotLease, link);

      if (lease->member_id == board->member.self->entry.id && lease->slots > needed)
        lease->slots = needed;
    }
  if (backend->share.leased_slots > needed)
    backend->share.leased_slots = needed;
}

bool
tt_slot_owner_grant (TtBoard *board, TtBackendServer *backend, const TtSlotLeaseRequest *request,
                     uint32_t *granted, int64_t now_us)
{
  TtSlotLease *lease = get_lease (board, backend, request->member_id);
  uint32_t leased_others;
  uint32_t extra;
  uint32_t fair_slots = fair_share (board, backend, request->member_id, now_us);
  uint32_t excess;

  *granted = 0;
  if (lease == NULL)
    return true;
  if (request->incarnation < lease->incarnation
      || (request->incarnation == lease->incarnation && request->sequence <= lease->sequence))
    return false;
  leased_others = leased_to_others (backend, request->member_id, now_us);
  extra = leased_others + request->used < backend->share.slot_limit
              ? backend->share.slot_limit - leased_others - request->used
              : 0;
  excess = request->used > fair_slots ? request->used - fair_slots : 0;
  // Overload (more requests than slots): a lessee gets slots beyond its fair share only if the
  // other lessees do not need them to reach theirs.
  if (backend->pool->share.mean_load > backend->share.slot_limit)
    {
      uint32_t shortfall = fair_slots > request->used ? fair_slots - request->used : 0;
      uint32_t others_shortfall = sum_shortfalls (board, backend, request->member_id, now_us);
      uint32_t spare = extra > others_shortfall ? extra - others_shortfall : 0;

      excess = excess < others_shortfall ? excess : others_shortfall;
      if (extra > shortfall)
        extra = spare > shortfall ? spare : shortfall;
    }
  else
    {
      excess = excess > 1 ? 1 : 0;
      // A lessee gets at most half of the remaining slots, so that a surge at one daemon leaves
      // slots for the others.
      if (extra > 1 && leased_others > 0)
        extra = (extra + 1) / 2;
    }
  if (now_us < backend->share.grants_from_us)
    extra = 0;
  if (request->requested_total < request->used + extra)
    extra = request->requested_total > request->used ? request->requested_total - request->used : 0;
  lease->incarnation = request->incarnation;
  lease->sequence = request->sequence;
  lease->slots = request->used + extra;
  lease->expires_us = now_us + TT_SLOT_LEASE_PERIOD_US;
  lease->unmet
      = request->requested_total > lease->slots ? request->requested_total - lease->slots : 0;
  *granted = lease->slots;
  // If all slots are in use, renewals alone would never move a slot to another lessee, so grant
  // fewer. The withdrawn slots count as leased until the lessee reports that their requests ended.
  if (leased_others + request->used >= backend->share.slot_limit)
    *granted -= excess;
  return true;
}

void
tt_slot_owner_record_demand (TtBoard *board, TtPool *pool, const TtSlotLeaseRequest *request,
                             int64_t now_us)
{
  TtShareDemand *demand = NULL;

  TT_LIST_FOREACH (&pool->share.demands, it)
    if (TT_CONTAINER_OF (it, TtShareDemand, link)->member_id == request->member_id)
      demand = TT_CONTAINER_OF (it, TtShareDemand, link);
  if (demand == NULL)
    {
      TtLink *link = tt_list_pop (&board->share.free_demands);

      if (link == NULL)
        return;
      demand = TT_CONTAINER_OF (link, TtShareDemand, link);
      *demand = (TtShareDemand){ .member_id = request->member_id };
      tt_list_append (&pool->share.demands, &demand->link);
    }
  else if (request->sequence <= demand->sequence && demand->expires_us > now_us)
    return;
  demand->sequence = request->sequence;
  demand->requests = request->used;
  demand->offered_load = request->requested_total;
  demand->expires_us = now_us + TT_SLOT_LEASE_PERIOD_US;
  (void) tt_slot_owner_update_limit (board, pool, now_us);
}

void
tt_slot_owner_expire (TtBoard *board, int64_t now_us)
{
  TT_LIST_FOREACH (&board->backends.all, it)
    {
      TtBackendServer *backend = TT_CONTAINER_OF (it, TtBackendServer, link);

      TT_LIST_FOREACH (&backend->share.leases, lease_link)
        if (TT_CONTAINER_OF (lease_link, TtSlotLease, link)->expires_us + TT_SLOT_LEASE_PERIOD_US
            <= now_us)
          {
            // The slots are free after one lease period. The record is kept for a second period, so
            // that a delayed request is still recognized as outdated.
            tt_list_remove (&backend->share.leases, lease_link);
            tt_list_append (&board->share.free_leases, lease_link);
          }
    }
  TT_LIST_FOREACH (&board->backends.pools, it)
    {
      TtPool *pool = TT_CONTAINER_OF (it, TtPool, link);

      TT_LIST_FOREACH (&pool->share.demands, demand_link)
        if (TT_CONTAINER_OF (demand_link, TtShareDemand, link)->expires_us <= now_us)
          {
            tt_list_remove (&pool->share.demands, demand_link);
            tt_list_append (&board->share.free_demands, demand_link);
          }
    }
}

void
tt_slot_owner_remove_member (TtBoard *board, uint64_t member_id)
{
  TT_LIST_FOREACH (&board->backends.all, it)
    {
      TtBackendServer *backend = TT_CONTAINER_OF (it, TtBackendServer, link);

      TT_LIST_FOREACH (&backend->share.leases, lease_link)
        if (TT_CONTAINER_OF (lease_link, TtSlotLease, link)->member_id == member_id)
          TT_CONTAINER_OF (lease_link, TtSlotLease, link)->expires_us = 0;
    }
  TT_LIST_FOREACH (&board->backends.pools, it)
    {
      TtPool *pool = TT_CONTAINER_OF (it, TtPool, link);

      TT_LIST_FOREACH (&pool->share.demands, demand_link)
        if (TT_CONTAINER_OF (demand_link, TtShareDemand, link)->member_id == member_id)
          TT_CONTAINER_OF (demand_link, TtShareDemand, link)->expires_us = 0;
    }
}
