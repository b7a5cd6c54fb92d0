#include "tarragontrack/board/backend.h"
#include "tarragontrack/board/board.h"
#include "tarragontrack/control/controllers.h"
#include "tarragontrack/control/keeper.h"
#include "tarragontrack/control/member.h"
#include "tarragontrack/control/share_ask.h"
#include "tarragontrack/control/slot.h"

/// While a request waits, an ASK without an answer is repeated sooner: the round trip inside a
/// failure domain is below a millisecond, so that the message was lost.
#define WANTED_RETRY_US (8 * TT_MILLISECOND_US)
/// Without an answer for this long, and without a loan, a keeper counts as unreachable.
#define ORPHAN_US (600 * TT_MILLISECOND_US)
/// A refused borrower asks again after this time, which doubles up to three times.
#define DENIED_US (300 * TT_MILLISECOND_US)
#define MAX_DENIED_SHIFT 3
/// ASK messages outside of renewals: a second and at once. At 15.5 requests a second and 33 daemons
/// in a failure domain, 20 a second made a tenth of the requests wait for the budget.
#define ASKS_PER_S 40.0
#define ASK_BURST 20.0

enum
{
  ASK_CREDIT = 4 ///< slots expected from a keeper that refused none so far
};

/// Renews this daemon's loan on a backend server that it keeps itself.
static void
lend_to_self (TtBoard *board, TtBackendServer *backend, int64_t now_us)
{
  TtLoanAsk ask = { .member_id = board->member.self->entry.id,
                    .incarnation = board->member.self->entry.incarnation,
                    .sequence = ++board->share.sequence,
                    .used = backend->attempts.count,
                    .wanted = tt_slot_wish (board, backend) };
  uint32_t granted;

  if (!tt_keeper_lend (board, backend, &ask, &granted, now_us))
    return;
  backend->share.lent = granted;
  backend->share.lent_until_us = now_us + TT_LOAN_PERIOD_US;
  backend->share.without_keeper = false;
}

/// Slots that the keeper of a usable backend server is likely to lend on request.
static uint32_t
count_credit (const TtBoard *board, const TtBackendServer *backend, int64_t now_us)
{
  if (tt_keeper_is_self (board, backend))
    return now_us < backend->share.lends_from_us ? 0 : tt_keeper_free (backend, now_us);
  if (!tt_slot_can_ask (backend, now_us))
    return 0;
  // Another failure domain is asked only when the own one has no engine left for the pool.
  if (backend->domain_id != board->domain_id && backend->pool->share.engines > 0)
    return 0;
  return backend->share.denials == 0 ? ASK_CREDIT : 1;
}

/// Counts attempts and slots of one backend server again and updates the sums of its pool.
static void
refresh_backend (TtBoard *board, TtBackendServer *backend, int64_t now_us)
{
  TtShareBackend *share = &backend->share;
  TtSharePool *pool = &backend->pool->share;
  bool local = backend->domain_id == board->domain_id;
  uint32_t cap = tt_slot_long_cap (board, backend);
  uint32_t idle = share->idle;

  pool->idle_slots -= share->idle;
  pool->free_slots -= share->free;
  pool->free_long_slots -= share->free_long;
  pool->used -= local ? share->used : 0;
  share->used = backend->attempts.count;
  share->long_used = 0;
  TT_LIST_FOREACH (&backend->attempts, it)
    share->long_used += TT_CONTAINER_OF (it, TtAttempt, backend_link)->request->length.is_long;
  pool->used += local ? share->used : 0;
  share->idle = 0;
  share->free = 0;
  share->free_long = 0;
  if (tt_slot_usable (backend))
    {
      if (tt_keeper_is_self (board, backend))
        lend_to_self (board, backend, now_us);
      share->idle = tt_slot_idle (backend, now_us);
      share->free = share->idle + count_credit (board, backend, now_us);
      share->free -= share->free < backend->place.waiting ? share->free : backend->place.waiting;
      if (cap > share->long_used)
        share->free_long
            = share->free < cap - share->long_used ? share->free : cap - share->long_used;
    }
  pool->idle_slots += share->idle;
  pool->free_slots += share->free;
  pool->free_long_slots += share->free_long;
  if (share->idle > idle)
    {
      board->share.version++;
      board->dirty |= backend->pool->admit.queued > 0;
    }
}

/// Answers for one backend server. What is lent as asked for is left out of the answer.
static void
answer_slot (TtBoard *board, const TtPeerMessage *ask, const TtPeerSlot *slot, TtPeerShare *answer,
             int64_t now_us)
{
  TtBackendServer *backend = tt_backend_find (board, slot->backend_id);
  TtPool *pool = backend == NULL ? tt_pool_find (board, slot->backend_id) : NULL;
  TtLoanAsk loan = { .member_id = ask->sender_id,
                     .incarnation = ask->sender_incarnation,
                     .sequence = ask->share.sequence,
                     .used = slot->used,
                     .wanted = slot->slots };
  TtPeerSlot lent = { .backend_id = slot->backend_id };

  if (pool != NULL)
    {
      tt_keeper_note_demand (board, pool, &loan, now_us);
      return;
    }
  // A period of 0 tells the borrower that this daemon is not the keeper.
  if (backend != NULL && backend->pool != NULL && tt_keeper_is_self (board, backend))
    {
      tt_keeper_return_spare (board, backend);
      if (!tt_keeper_lend (board, backend, &loan, &lent.slots, now_us))
        return;
      refresh_backend (board, backend, now_us);
      lent.period_ms = (uint32_t) (TT_LOAN_PERIOD_US / TT_MILLISECOND_US);
      if (lent.slots == slot->slots)
        return;
    }
  answer->slots[answer->slot_count++] = lent;
}

/// Answers a borrower. An ASK that is older than the last one gets no answer.
static void
answer_ask (TtBoard *board, const TtPeerMessage *ask, int64_t now_us)
{
  const TtMember *sender = tt_member_find (board, ask->sender_id);
  TtPeerMessage *answer;

  if (sender == NULL || !tt_keeper_is_new (board, ask))
    return;
  answer = tt_board_send (board, sender, TT_PEER_SHARE_LEND);
  if (answer == NULL)
    return;
  answer->share.sequence = ask->share.sequence;
  for (uint32_t i = 0; i < ask->share.slot_count && i < TT_PEER_SLOTS; i++)
    answer_slot (board, ask, &ask->share.slots[i], &answer->share, now_us);
}

/// Stops asking a keeper for a while.
static void
note_denial (TtShareBackend *share, int64_t now_us)
{
  share->denied_until_us = now_us + (DENIED_US << share->denials);
  if (share->denials < MAX_DENIED_SHIFT)
    share->denials++;
}

/// The answer's slot for a backend server; NULL if it was left out.
static const TtPeerSlot *
find_slot (const TtPeerShare *answer, uint64_t backend_id)
{
  for (uint32_t i = 0; i < answer->slot_count && i < TT_PEER_SLOTS; i++)
    if (answer->slots[i].backend_id == backend_id)
      return &answer->slots[i];
  return NULL;
}

/// Takes the keeper's answer for one backend server.
static void
take_slot (TtBackendServer *backend, const TtPeerSlot *slot, int64_t now_us)
{
  TtShareBackend *share = &backend->share;
  int64_t period_us = slot != NULL ? slot->period_ms * TT_MILLISECOND_US : TT_LOAN_PERIOD_US;

  share->ask_sequence = 0;
  if (period_us == 0)
    {
      note_denial (share, now_us);
      return;
    }
  if (period_us > TT_LOAN_PERIOD_US)
    period_us = TT_LOAN_PERIOD_US;
  share->unanswered_us = 0;
  share->without_keeper = false;
  share->lent = slot != NULL ? slot->slots : share->asked;
  share->lent_until_us = share->asked_us + period_us;
  if (share->lent >= share->asked)
    share->denials = 0;
  else if (share->lent <= backend->attempts.count)
    note_denial (share, now_us);
}

/// Takes the keeper's answer. Only the answer to the last ASK counts, and the loan runs from the
/// time at which that ASK was sent, so that late and repeated answers lengthen no loan.
static void
take_lend (TtBoard *board, const TtPeerMessage *message, int64_t now_us)
{
  TT_LIST_FOREACH (&board->backends.all, it)
    {
      TtBackendServer *backend = TT_CONTAINER_OF (it, TtBackendServer, link);

      if (message->share.sequence == 0 || backend->pool == NULL
          || backend->share.ask_sequence != message->share.sequence
          || backend->share.keeper_id != message->sender_id)
        continue;
      take_slot (backend, find_slot (&message->share, backend->id), now_us);
      refresh_backend (board, backend, now_us);
      board->share.version++;
    }
}

/// Ends the loan of a backend server whose time is over, or replaces it by the fallback.
static void
check_loan (TtBoard *board, TtBackendServer *backend, int64_t now_us)
{
  TtShareBackend *share = &backend->share;
  bool silent = share->unanswered_us != 0 && now_us - share->unanswered_us >= ORPHAN_US;

  // Engines of another failure domain have daemons of their own, which use them without asking this
  // one: without a keeper's loan they stay unused from here.
  if (tt_keeper_is_self (board, backend) || backend->domain_id != board->domain_id)
    share->without_keeper = false;
  else if (share->without_keeper
           || (now_us >= share->lent_until_us && (silent || share->keeper_id == 0)))
    {
      share->without_keeper = true;
      share->lent = tt_slot_fallback (board, backend, now_us);
      share->lent_until_us = now_us + 2 * TT_TICK_US;
    }
  else if (now_us >= share->lent_until_us)
    share->lent = 0;
}

/// Computes all sums again: backend servers come, leave and change their state between events.
static void
refresh_all (TtBoard *board, int64_t now_us)
{
  TT_LIST_FOREACH (&board->backends.pools, it)
    {
      TtPool *pool = TT_CONTAINER_OF (it, TtPool, link);

      (void) tt_keeper_update_room (board, pool, now_us);
      pool->share.idle_slots = 0;
      pool->share.free_slots = 0;
      pool->share.free_long_slots = 0;
      pool->share.used = 0;
      TT_LIST_FOREACH (&pool->backends, b)
        {
          TtBackendServer *backend = TT_CONTAINER_OF (b, TtBackendServer, pool_link);

          backend->share.idle = 0;
          backend->share.free = 0;
          backend->share.free_long = 0;
          backend->share.used = 0;
          check_loan (board, backend, now_us);
          refresh_backend (board, backend, now_us);
        }
    }
}

/// Renews loans that end soon and repeats what was not answered.
static void
renew_loans (TtBoard *board, int64_t now_us)
{
  TT_LIST_FOREACH (&board->backends.all, it)
    {
      TtBackendServer *backend = TT_CONTAINER_OF (it, TtBackendServer, link);
      TtShareBackend *share = &backend->share;
      bool returns = share->lent < share->reported && backend->attempts.count < share->reported;
      int64_t pause_us = (share->ask_sequence != 0 && !share->without_keeper) || returns
                             ? TT_SHARE_RETRY_US
                             : TT_SHARE_RENEW_US;

      if (backend->pool != NULL && !tt_keeper_is_self (board, backend) && share->keeper_id != 0
          && tt_share_has_interest (backend) && now_us - share->asked_us >= pause_us)
        tt_share_ask (board, share->keeper_id, now_us);
    }
}

/// Does what depends on time only, once in a tick also if the ticks are late.
static void
check_time (TtBoard *board, int64_t now_us)
{
  TtShareSection *section = &board->share;

  if (section->opened_us == 0)
    section->opened_us = now_us;
  section->asks += ASKS_PER_S * (double) (now_us - section->checked_us) / (double) TT_SECOND_US;
  if (section->asks > ASK_BURST)
    section->asks = ASK_BURST;
  section->checked_us = now_us;
  section->backends = board->backends.all.count + board->backends.pools.count;
  tt_keeper_elect (board, now_us);
  tt_keeper_expire (board, now_us);
  refresh_all (board, now_us);
  renew_loans (board, now_us);
}

static int
open_share (void *context, TtBoard *board)
{
  (void) context;
  return tt_keeper_open (board);
}

static void
close_share (void *context, TtBoard *board)
{
  (void) context;
  tt_keeper_close (board);
}

static void
on_event (void *context, TtBoard *board, const TtEvent *event, int64_t now_us)
{
  (void) context;
  if (now_us - board->share.checked_us >= TT_TICK_US)
    check_time (board, now_us);
  if (event->type != TT_EVENT_PEER)
    return;
  if (event->peer->type == TT_PEER_SHARE_ASK)
    answer_ask (board, event->peer, now_us);
  else if (event->peer->type == TT_PEER_SHARE_LEND)
    take_lend (board, event->peer, now_us);
  else if (event->peer->type == TT_PEER_LEAVE)
    tt_keeper_forget (board, event->peer->sender_id);
}

/// Lends to this daemon again where its demand changed the room.
static void
follow_demand (TtBoard *board, TtPool *pool, int64_t now_us)
{
  if (pool->share.demand == tt_slot_demand (pool) || !tt_keeper_update_room (board, pool, now_us))
    return;
  board->dirty = true;
  TT_LIST_FOREACH (&pool->backends, it)
    {
      TtBackendServer *backend = TT_CONTAINER_OF (it, TtBackendServer, pool_link);

      if (tt_keeper_is_self (board, backend))
        refresh_backend (board, backend, now_us);
    }
}

/// Lends to this daemon, or asks the keepers, where requests wait for a slot.
static void
serve_wanted (TtBoard *board, int64_t now_us)
{
  TT_LIST_FOREACH (&board->place.wanted, it)
    {
      TtBackendServer *backend = TT_CONTAINER_OF (it, TtBackendServer, place.wanted_link);

      if (backend->pool == NULL)
        continue;
      if (tt_keeper_is_self (board, backend))
        refresh_backend (board, backend, now_us);
      else if ((backend->share.ask_sequence == 0
                || now_us - backend->share.asked_us >= WANTED_RETRY_US)
               && board->share.asks >= 1.0 && tt_slot_can_ask (backend, now_us))
        {
          board->share.asks -= 1.0;
          tt_share_ask (board, backend->share.keeper_id, now_us);
        }
    }
}

static void
run (void *context, TtBoard *board, int64_t now_us)
{
  TtShareSection *section = &board->share;
  TtLink *link;

  (void) context;
  if (section->backends != board->backends.all.count + board->backends.pools.count)
    check_time (board, now_us);
  while ((link = tt_list_pop (&section->touched)) != NULL)
    {
      TtBackendServer *backend = TT_CONTAINER_OF (link, TtBackendServer, share.touched_link);

      if (backend->pool != NULL)
        refresh_backend (board, backend, now_us);
    }
  TT_LIST_FOREACH (&board->backends.pools, it)
    {
      TtPool *pool = TT_CONTAINER_OF (it, TtPool, link);

      // Only requests that found no slot make it worth to compute the room between two ticks.
      if (pool->place.waiting > 0 || pool->admit.queued > 0)
        follow_demand (board, pool, now_us);
    }
  serve_wanted (board, now_us);
}

TtController
tt_share_controller (void)
{
  return (TtController){
    .name = "share", .open = open_share, .close = close_share, .on_event = on_event, .run = run
  };
}
