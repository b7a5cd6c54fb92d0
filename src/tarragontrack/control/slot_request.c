#include "tarragontrack/control/slot_request.h"
#include "tarragontrack/board/board.h"
#include "tarragontrack/control/member.h"
#include "tarragontrack/control/slot.h"

/// A slot request that is sent because callers' requests wait also renews the leases older than
/// this. Renewing all leases each time took half of the bytes of a message to a slot owner of many
/// engines.
#define EARLY_RENEW_US (800 * TT_MILLISECOND_US)

bool
tt_slot_request_is_needed (const TtBackendServer *backend)
{
  return backend->attempts.count > 0 || backend->place.waiting_requests > 0
         || backend->share.leased_slots > 0;
}

/// True if a message to the slot owner must include this backend server.
static bool
is_request_due (const TtBackendServer *backend, int64_t now_us)
{
  const TtShareBackend *share = &backend->share;

  if (!tt_slot_request_is_needed (backend))
    return false;
  return backend->place.waiting_requests > 0 || share->request_sequence != 0
         || (share->leased_slots < share->reported_used
             && backend->attempts.count < share->reported_used)
         || now_us - share->requested_us >= EARLY_RENEW_US;
}

/// Adds one backend server to a slot request message.
static void
add_slot (TtBoard *board, TtPeerSlotMessage *message, TtBackendServer *backend, int64_t now_us)
{
  TtShareBackend *share = &backend->share;
  int64_t elapsed_us = now_us - share->requested_us;

  if (elapsed_us >= TT_SLOT_REQUEST_RETRY_US)
    {
      double opened_per_renewal
          = share->opened_since_renewal * (double) TT_SLOT_REQUEST_RENEW_US / (double) elapsed_us;

      share->opened_per_renewal += 0.3 * (opened_per_renewal - share->opened_per_renewal);
      share->opened_since_renewal = 0;
    }
  share->requested_slots = tt_slot_desired (board, backend);
  share->reported_used = backend->attempts.count;
  share->requested_us = now_us;
  share->request_sequence = message->sequence;
  if (share->unanswered_us == 0)
    share->unanswered_us = now_us;
  message->slots[message->slot_count++] = (TtPeerSlot){ .backend_id = backend->id,
                                                        .used = backend->attempts.count,
                                                        .slots = share->requested_slots };
}

/// Adds an entry with the pool's id and this daemon's demand, from which the slot owner computes
/// the mean load.
static void
add_demand (TtPeerSlotMessage *message, const TtPool *pool)
{
  message->slots[message->slot_count++]
      = (TtPeerSlot){ .backend_id = pool->id,
                      .used = tt_slot_demand (pool),
                      .slots = 1 + (uint32_t) pool->admit.offered_load };
}

/// Adds the due entries of one pool at one slot owner to @message, or to a new message if @message
/// is NULL or full.
///
/// RETURN     the last message that was written to, or NULL
static TtPeerMessage *
add_pool (TtBoard *board, TtPool *pool, const TtMember *owner, TtPeerMessage *message,
          int64_t now_us)
{
  bool demand_added = false;

  TT_LIST_FOREACH (&pool->backends, it)
    {
      TtBackendServer *backend = TT_CONTAINER_OF (it, TtBackendServer, pool_link);

      if (backend->share.owner_id != owner->entry.id || !is_request_due (backend, now_us))
        continue;
      if (message == NULL || message->share.slot_count + 2 > TT_PEER_MAX_SLOTS)
        {
          message = tt_board_send_peer (board, owner, TT_PEER_SLOT_REQUEST);
          if (message == NULL)
            return NULL;
          message->share.sequence = ++board->share.sequence;
          demand_added = false;
        }
      if (!demand_added && backend->domain_id == board->domain_id)
        {
          add_demand (&message->share, pool);
          demand_added = true;
        }
      add_slot (board, &message->share, backend, now_us);
    }
  return message;
}

void
tt_slot_request_send (TtBoard *board, uint64_t owner_id, int64_t now_us)
{
  const TtMember *owner = tt_member_find (board, owner_id);
  TtPeerMessage *message = NULL;

  if (owner == NULL)
    return;
  TT_LIST_FOREACH (&board->backends.pools, it)
    {
      message = add_pool (board, TT_CONTAINER_OF (it, TtPool, link), owner, message, now_us);
    }
}
