#include "tarragontrack/control/slot.h"
#include "tarragontrack/board/backend.h"
#include "tarragontrack/board/hash.h"
#include "tarragontrack/control/progress.h"
#include "tarragontrack/control/slot_owner.h"
#include <math.h>

/// Maximum age of a gossiped slot limit that is used for the fallback.
#define GOSSIP_MAX_AGE_US (60 * TT_SECOND_US)

enum
{
  QUEUED_SLOTS_MAX = 4 ///< maximum number of slots requested of one engine for queued requests
};

bool
tt_slot_is_usable (const TtBackendServer *backend)
{
  return backend->roster.state == TT_BACKEND_LIVE && !backend->health.ejected;
}

uint32_t
tt_slot_idle (const TtBackendServer *backend, int64_t now_us)
{
  const TtShareBackend *share = &backend->share;
  uint32_t limit = tt_backend_concurrency_limit (backend, now_us);
  uint32_t slots = share->leased_slots < limit ? share->leased_slots : limit;

  if (now_us >= share->lease_expires_us || slots <= backend->attempts.count)
    return 0;
  return slots - backend->attempts.count;
}

bool
tt_slot_can_request (const TtBackendServer *backend, int64_t now_us)
{
  if (backend->attempts.count >= tt_backend_concurrency_limit (backend, now_us))
    return false;
  if (backend->share.owner_since_us != 0)
    return backend->share.free_slots > 0;
  return !backend->share.uses_fallback && backend->share.owner_id != 0
         && now_us >= backend->share.denied_until_us;
}

uint32_t
tt_slot_long_limit (const TtBoard *board, const TtBackendServer *backend)
{
  uint32_t members = board->member.live_in_domain > 0 ? board->member.live_in_domain : 1;
  double share = backend->pool->spec.long_share * backend->batch_limit / members;
  uint32_t whole_slots = (uint32_t) share;
  uint64_t draw = tt_hash_pair (board->member.self->entry.id, backend->id);

  return (double) (draw >> 11) * 0x1.0p-53 < share - whole_slots ? whole_slots + 1 : whole_slots;
}

uint32_t
tt_slot_fallback_limit (const TtBoard *board, const TtBackendServer *backend, int64_t now_us)
{
  uint32_t members = board->member.live_in_domain > 0 ? board->member.live_in_domain : 1;
  double domain_load = backend->pool->share.mean_load * members;
  double slot_limit = ceil (backend->pool->spec.load_multiple * domain_load) + 1.0;

  if (backend->share.gossip_us != 0 && now_us - backend->share.gossip_us < GOSSIP_MAX_AGE_US)
    slot_limit = backend->share.gossip_slot_limit;
  if (slot_limit > backend->batch_limit || backend->pool->spec.type == TT_SERVICE_PLAIN)
    slot_limit = backend->batch_limit;
  return (uint32_t) slot_limit / members;
}

bool
tt_slot_was_tried (const TtRequest *request, const TtBackendServer *backend)
{
  const TtRetryRequest *retry = &request->retry;

  for (uint32_t i = 0; i < retry->tried_count && i < TT_RETRY_MAX_TRIED; i++)
    if (retry->tried[i] == backend->id)
      return true;
  return false;
}

bool
tt_slot_failed_last (const TtRequest *request, const TtBackendServer *backend)
{
  const TtRetryRequest *retry = &request->retry;

  return retry->tried_count > 0
         && retry->tried[(retry->tried_count - 1) % TT_RETRY_MAX_TRIED] == backend->id;
}

bool
tt_slot_has_untried (const TtRequest *request)
{
  if (request->retry.tried_count == 0)
    return true;
  TT_LIST_FOREACH (&request->pool->backends, it)
    {
      const TtBackendServer *backend = TT_CONTAINER_OF (it, TtBackendServer, pool_link);

      if (tt_slot_is_usable (backend) && !tt_slot_was_tried (request, backend))
        return true;
    }
  return false;
}

uint32_t
tt_slot_demand (const TtPool *pool)
{
  return pool->share.used + pool->admit.queued + pool->place.waiting_requests;
}

uint32_t
tt_slot_desired (const TtBoard *board, const TtBackendServer *backend)
{
  const TtPool *pool = backend->pool;
  uint32_t desired = backend->attempts.count + backend->place.waiting_requests;
  uint32_t queued_part = 0;

  if (pool->admit.queued > 0 && pool->share.engines > 0)
    queued_part = (pool->admit.queued + pool->share.engines - 1) / pool->share.engines;
  desired += queued_part < QUEUED_SLOTS_MAX ? queued_part : QUEUED_SLOTS_MAX;
  if (tt_slot_owner_is_self (board, backend))
    return desired + 1;
  // Opened and closed attempts largely cancel out, so the need grows with the square root of the
  // number of opened attempts.
  return desired + (uint32_t) (0.5 + sqrt (backend->share.opened_per_renewal) / 2.0);
}
