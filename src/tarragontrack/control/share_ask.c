#include "tarragontrack/control/share_ask.h"
#include "tarragontrack/board/board.h"
#include "tarragontrack/control/member.h"
#include "tarragontrack/control/slot.h"

/// An ASK for waiting requests renews the loans that are older than this with it. To renew all of
/// them each time took half of the bytes of an ASK to the keeper of many engines.
#define RENEW_WITH_US (800 * TT_MILLISECOND_US)

bool
tt_share_has_interest (const TtBackendServer *backend)
{
  return backend->attempts.count > 0 || backend->place.waiting > 0 || backend->share.lent > 0;
}

/// True if an ASK to its keeper has to name this backend server.
static bool
is_ask_due (const TtBackendServer *backend, int64_t now_us)
{
  const TtShareBackend *share = &backend->share;

  if (!tt_share_has_interest (backend))
    return false;
  return backend->place.waiting > 0 || share->ask_sequence != 0
         || (share->lent < share->reported && backend->attempts.count < share->reported)
         || now_us - share->asked_us >= RENEW_WITH_US;
}

/// Adds one backend server to an ASK.
static void
add_slot (TtBoard *board, TtPeerShare *message, TtBackendServer *backend, int64_t now_us)
{
  TtShareBackend *share = &backend->share;
  int64_t elapsed_us = now_us - share->asked_us;

  if (elapsed_us >= TT_SHARE_RETRY_US)
    {
      double uses = share->opened * (double) TT_SHARE_RENEW_US / (double) elapsed_us;

      share->uses += 0.3 * (uses - share->uses);
      share->opened = 0;
    }
  share->asked = tt_slot_wish (board, backend);
  share->reported = backend->attempts.count;
  share->asked_us = now_us;
  share->ask_sequence = message->sequence;
  if (share->unanswered_us == 0)
    share->unanswered_us = now_us;
  message->slots[message->slot_count++] = (TtPeerSlot){ .backend_id = backend->id,
                                                        .used = backend->attempts.count,
                                                        .slots = share->asked };
}

/// Adds a pool's id and this daemon's demand, from which the keeper computes the mean.
static void
add_demand (TtPeerShare *message, const TtPool *pool)
{
  message->slots[message->slot_count++]
      = (TtPeerSlot){ .backend_id = pool->id,
                      .used = tt_slot_demand (pool),
                      .slots = 1 + (uint32_t) pool->admit.offered };
}

/// Adds what is due of one pool at one keeper to @message, or to a new one when it is NULL or full.
///
/// RETURN     the message that was written to last, or NULL
static TtPeerMessage *
ask_pool (TtBoard *board, TtPool *pool, const TtMember *keeper, TtPeerMessage *message,
          int64_t now_us)
{
  bool told = false;

  TT_LIST_FOREACH (&pool->backends, it)
    {
      TtBackendServer *backend = TT_CONTAINER_OF (it, TtBackendServer, pool_link);

      if (backend->share.keeper_id != keeper->entry.id || !is_ask_due (backend, now_us))
        continue;
      if (message == NULL || message->share.slot_count + 2 > TT_PEER_SLOTS)
        {
          message = tt_board_send (board, keeper, TT_PEER_SHARE_ASK);
          if (message == NULL)
            return NULL;
          message->share.sequence = ++board->share.sequence;
          told = false;
        }
      if (!told && backend->domain_id == board->domain_id)
        {
          add_demand (&message->share, pool);
          told = true;
        }
      add_slot (board, &message->share, backend, now_us);
    }
  return message;
}

void
tt_share_ask (TtBoard *board, uint64_t keeper_id, int64_t now_us)
{
  const TtMember *keeper = tt_member_find (board, keeper_id);
  TtPeerMessage *message = NULL;

  if (keeper == NULL)
    return;
  TT_LIST_FOREACH (&board->backends.pools, it)
    {
      message = ask_pool (board, TT_CONTAINER_OF (it, TtPool, link), keeper, message, now_us);
    }
}
