#include "tarragontrack/control/keeper.h"
#include "tarragontrack/board/backend.h"
#include "tarragontrack/board/board.h"
#include "tarragontrack/board/hash.h"
#include "tarragontrack/control/member.h"
#include <math.h>
#include <stdlib.h>

/// A daemon that started less than this before may not know all members yet, so it cannot tell
/// that a backend server it sees for the first time had no keeper before.
#define MATURE_US (5 * TT_SECOND_US)
/// Period of the rounding of fair parts. With a fixed rounding one of five daemons had a sixth
/// fewer slots than its part for a whole minute.
#define ROUNDING_US (4 * TT_SECOND_US)

int
tt_keeper_open (TtBoard *board)
{
  TtShareSection *section = &board->share;

  section->max_loans = TT_MAX_LOANS;
  section->loans = calloc (section->max_loans, sizeof *section->loans);
  section->demands = calloc (TT_MAX_DEMANDS, sizeof *section->demands);
  if (section->loans == NULL || section->demands == NULL)
    return TT_E_NO_MEMORY;
  for (uint32_t i = 0; i < section->max_loans; i++)
    tt_list_append (&section->free_loans, &section->loans[i].link);
  for (uint32_t i = 0; i < TT_MAX_DEMANDS; i++)
    tt_list_append (&section->free_demands, &section->demands[i].link);
  return TT_OK;
}

void
tt_keeper_close (TtBoard *board)
{
  free (board->share.loans);
  free (board->share.demands);
}

bool
tt_keeper_is_self (const TtBoard *board, const TtBackendServer *backend)
{
  return backend->share.keeper_id == board->member.self->entry.id;
}

/// True if a daemon may be a keeper. One that only a host list names counts until this daemon has
/// run long enough to have heard it: else a dead host on the list would keep engines that nobody
/// lends.
static bool
is_candidate (const TtBoard *board, const TtMember *member, int64_t now_us)
{
  if (member->entry.state != TT_MEMBER_ALIVE)
    return false;
  return member->self || member->heard_us != 0
         || now_us - board->share.opened_us < TT_MEMBER_GONE_US;
}

/// Checksum of the live members; independent of their order.
static uint64_t
sum_members (const TtBoard *board, int64_t now_us)
{
  uint64_t sum = 1;

  TT_LIST_FOREACH (&board->member.all, it)
    {
      const TtMember *member = TT_CONTAINER_OF (it, TtMember, link);

      if (is_candidate (board, member, now_us))
        sum += tt_hash_pair (member->entry.id, member->entry.domain_id);
    }
  return sum;
}

/// Live member of the backend server's failure domain that ranks first; 0 if none is known.
static uint64_t
elect_one (const TtBoard *board, const TtBackendServer *backend, int64_t now_us)
{
  uint64_t best = 0;
  uint64_t best_hash = 0;

  TT_LIST_FOREACH (&board->member.all, it)
    {
      const TtMember *member = TT_CONTAINER_OF (it, TtMember, link);
      uint64_t hash;

      if (member->entry.domain_id != backend->domain_id || !is_candidate (board, member, now_us))
        continue;
      hash = tt_hash_pair (member->entry.id, backend->id);
      if (hash > best_hash)
        {
          best = member->entry.id;
          best_hash = hash;
        }
    }
  // A daemon that leaves as the last of its domain still serves its queue.
  if (best == 0 && backend->domain_id == board->domain_id)
    best = board->member.self->entry.id;
  return best;
}

static void
drop_loans (TtBoard *board, TtBackendServer *backend)
{
  TtLink *link;

  while ((link = tt_list_pop (&backend->share.loans)) != NULL)
    tt_list_append (&board->share.free_loans, link);
}

/// Makes a daemon the keeper of a backend server.
static void
set_keeper (TtBoard *board, TtBackendServer *backend, uint64_t keeper_id, int64_t now_us)
{
  TtShareBackend *share = &backend->share;
  bool first_seen = share->keeper_id == 0;
  bool mature = now_us - board->share.opened_us >= MATURE_US;

  share->keeper_id = keeper_id;
  share->ask_sequence = 0;
  share->unanswered_us = 0;
  share->denied_until_us = 0;
  share->denials = 0;
  if (!tt_keeper_is_self (board, backend))
    {
      share->keeper_since_us = 0;
      drop_loans (board, backend);
      return;
    }
  share->keeper_since_us = now_us;
  // Loans of an earlier keeper end one period after its last LEND.
  share->lends_from_us = board->member.live_in_domain <= 1 || (first_seen && mature)
                             ? now_us
                             : now_us + TT_LOAN_PERIOD_US;
}

void
tt_keeper_elect (TtBoard *board, int64_t now_us)
{
  uint64_t members = sum_members (board, now_us);
  bool changed = members != board->share.members;

  board->share.members = members;
  TT_LIST_FOREACH (&board->backends.all, it)
    {
      TtBackendServer *backend = TT_CONTAINER_OF (it, TtBackendServer, link);
      uint64_t keeper_id;

      if (!changed && backend->share.keeper_id != 0)
        continue;
      keeper_id = elect_one (board, backend, now_us);
      if (keeper_id != 0 && keeper_id != backend->share.keeper_id)
        set_keeper (board, backend, keeper_id, now_us);
      else if (keeper_id == 0)
        backend->share.keeper_id = 0;
    }
}

/// Requests that run on or wait for the pool, of all daemons of the failure domain.
static double
sum_requests (const TtPool *pool, int64_t now_us)
{
  double requests = pool->share.used + pool->admit.queued + pool->place.waiting;

  TT_LIST_FOREACH (&pool->share.demands, it)
    {
      const TtShareDemand *demand = TT_CONTAINER_OF (it, TtShareDemand, link);

      if (demand->expires_us > now_us)
        requests += demand->requests;
    }
  return requests;
}

bool
tt_keeper_update_room (TtBoard *board, TtPool *pool, int64_t now_us)
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
  pool->share.demand = pool->share.used + pool->admit.queued + pool->place.waiting;
  TT_LIST_FOREACH (&pool->backends, it)
    {
      TtBackendServer *backend = TT_CONTAINER_OF (it, TtBackendServer, pool_link);
      // The bound is one request higher. That request is the reserve for requests that end and
      // lower the mean: without it up to 0.5 % of the samples were above the bound.
      double room = ceil (pool->spec.load_multiple * pool->share.mean_load);

      // As soon as one request runs the bound is at least two.
      room = room < 2.0 ? 2.0 : room;
      if (pool->spec.type == TT_SERVICE_PLAIN || room > backend->batch_limit)
        room = backend->batch_limit;
      room = room < 1.0 ? 1.0 : room;
      changed |= backend->share.keeper_since_us != 0 && backend->share.room != (uint32_t) room;
      backend->share.room = (uint32_t) room;
    }
  return changed;
}

/// Slots lent to all daemons but one.
static uint32_t
lent_to_others (const TtBackendServer *backend, uint64_t member_id, int64_t now_us)
{
  uint32_t slots = 0;

  TT_LIST_FOREACH (&backend->share.loans, it)
    {
      const TtLoan *loan = TT_CONTAINER_OF (it, TtLoan, link);

      if (loan->member_id != member_id && loan->expires_us > now_us)
        slots += loan->slots;
    }
  return slots;
}

uint32_t
tt_keeper_free (const TtBackendServer *backend, int64_t now_us)
{
  uint32_t lent = lent_to_others (backend, 0, now_us);

  return lent < backend->share.room ? backend->share.room - lent : 0;
}

/// The borrower's loan, or a new one; NULL if max_loans are in use.
static TtLoan *
loan_of (TtBoard *board, TtBackendServer *backend, uint64_t member_id)
{
  TtLink *link;
  TtLoan *loan;

  TT_LIST_FOREACH (&backend->share.loans, it)
    {
      loan = TT_CONTAINER_OF (it, TtLoan, link);
      if (loan->member_id == member_id)
        return loan;
    }
  link = tt_list_pop (&board->share.free_loans);
  if (link == NULL)
    {
      tt_board_count (board, TT_COUNT_POOL_FULL, 1);
      return NULL;
    }
  loan = TT_CONTAINER_OF (link, TtLoan, link);
  *loan = (TtLoan){ .member_id = member_id };
  tt_list_append (&backend->share.loans, &loan->link);
  return loan;
}

bool
tt_keeper_is_new (TtBoard *board, const TtPeerMessage *ask)
{
  for (uint32_t i = 0; i < ask->share.slot_count && i < TT_PEER_SLOTS; i++)
    {
      TtBackendServer *backend = tt_backend_find (board, ask->share.slots[i].backend_id);

      if (backend == NULL)
        continue;
      TT_LIST_FOREACH (&backend->share.loans, it)
        {
          const TtLoan *loan = TT_CONTAINER_OF (it, TtLoan, link);

          if (loan->member_id == ask->sender_id
              && (ask->sender_incarnation < loan->incarnation
                  || (ask->sender_incarnation == loan->incarnation
                      && ask->share.sequence <= loan->sequence)))
            return false;
        }
    }
  return true;
}

/// Slots of the backend server in proportion to the work that the borrower's callers offer.
/// Fractions are rounded up or down, anew in each period, so that the mean over time and engines is
/// exact.
static uint32_t
fair_part (const TtBoard *board, const TtBackendServer *backend, uint64_t member_id, int64_t now_us)
{
  const TtPool *pool = backend->pool;
  double own = member_id == board->member.self->entry.id ? 1.0 + pool->admit.offered : 0.0;
  double all = 1.0 + pool->admit.offered;
  uint64_t period = (uint64_t) (now_us / ROUNDING_US);
  uint64_t hash = tt_hash_pair (tt_hash_pair (member_id, backend->id), period);
  double draw = (double) (hash >> 11) * 0x1.0p-53;

  TT_LIST_FOREACH (&pool->share.demands, it)
    {
      const TtShareDemand *demand = TT_CONTAINER_OF (it, TtShareDemand, link);

      if (demand->expires_us <= now_us)
        continue;
      all += demand->offered;
      if (demand->member_id == member_id)
        own = demand->offered;
    }
  return own > 0.0 ? (uint32_t) (backend->share.room * own / all + draw) : backend->share.room;
}

/// Slots that the other borrowers want and lack of their fair part.
static uint32_t
count_lacking (const TtBoard *board, const TtBackendServer *backend, uint64_t member_id,
               int64_t now_us)
{
  uint32_t lacking = 0;

  TT_LIST_FOREACH (&backend->share.loans, it)
    {
      const TtLoan *loan = TT_CONTAINER_OF (it, TtLoan, link);
      uint32_t part;

      if (loan->member_id == member_id || loan->expires_us <= now_us || loan->unmet == 0)
        continue;
      part = fair_part (board, backend, loan->member_id, now_us);
      if (part > loan->slots)
        lacking += part - loan->slots < loan->unmet ? part - loan->slots : loan->unmet;
    }
  return lacking;
}

void
tt_keeper_return_spare (TtBoard *board, TtBackendServer *backend)
{
  uint32_t needed = backend->attempts.count + backend->place.waiting;

  TT_LIST_FOREACH (&backend->share.loans, it)
    {
      TtLoan *loan = TT_CONTAINER_OF (it, TtLoan, link);

      if (loan->member_id == board->member.self->entry.id && loan->slots > needed)
        loan->slots = needed;
    }
  if (backend->share.lent > needed)
    backend->share.lent = needed;
}

bool
tt_keeper_lend (TtBoard *board, TtBackendServer *backend, const TtLoanAsk *ask, uint32_t *granted,
                int64_t now_us)
{
  TtLoan *loan = loan_of (board, backend, ask->member_id);
  uint32_t others;
  uint32_t extra;
  uint32_t part = fair_part (board, backend, ask->member_id, now_us);
  uint32_t over;

  *granted = 0;
  if (loan == NULL)
    return true;
  if (ask->incarnation < loan->incarnation
      || (ask->incarnation == loan->incarnation && ask->sequence <= loan->sequence))
    return false;
  others = lent_to_others (backend, ask->member_id, now_us);
  extra = others + ask->used < backend->share.room ? backend->share.room - others - ask->used : 0;
  over = ask->used > part ? ask->used - part : 0;
  // More requests than slots: beyond its fair part a borrower gets only what no other one lacks.
  if (backend->pool->share.mean_load > backend->share.room)
    {
      uint32_t below = part > ask->used ? part - ask->used : 0;
      uint32_t lacking = count_lacking (board, backend, ask->member_id, now_us);
      uint32_t spare = extra > lacking ? extra - lacking : 0;

      over = over < lacking ? over : lacking;
      if (extra > below)
        extra = spare > below ? spare : below;
    }
  else
    {
      over = over > 1 ? 1 : 0;
      // One borrower gets at most half of what is left, so that a surge at one daemon leaves slots
      // for the others.
      if (extra > 1 && others > 0)
        extra = (extra + 1) / 2;
    }
  if (now_us < backend->share.lends_from_us)
    extra = 0;
  if (ask->wanted < ask->used + extra)
    extra = ask->wanted > ask->used ? ask->wanted - ask->used : 0;
  loan->incarnation = ask->incarnation;
  loan->sequence = ask->sequence;
  loan->slots = ask->used + extra;
  loan->expires_us = now_us + TT_LOAN_PERIOD_US;
  loan->unmet = ask->wanted > loan->slots ? ask->wanted - loan->slots : 0;
  *granted = loan->slots;
  // With all slots in use a borrower would keep what it once got. The slots are still counted as
  // lent until the borrower reports that the requests in them have ended.
  if (others + ask->used >= backend->share.room)
    *granted -= over;
  return true;
}

void
tt_keeper_note_demand (TtBoard *board, TtPool *pool, const TtLoanAsk *ask, int64_t now_us)
{
  TtShareDemand *demand = NULL;

  TT_LIST_FOREACH (&pool->share.demands, it)
    if (TT_CONTAINER_OF (it, TtShareDemand, link)->member_id == ask->member_id)
      demand = TT_CONTAINER_OF (it, TtShareDemand, link);
  if (demand == NULL)
    {
      TtLink *link = tt_list_pop (&board->share.free_demands);

      if (link == NULL)
        return;
      demand = TT_CONTAINER_OF (link, TtShareDemand, link);
      *demand = (TtShareDemand){ .member_id = ask->member_id };
      tt_list_append (&pool->share.demands, &demand->link);
    }
  else if (ask->sequence <= demand->sequence && demand->expires_us > now_us)
    return;
  demand->sequence = ask->sequence;
  demand->requests = ask->used;
  demand->offered = ask->wanted;
  demand->expires_us = now_us + TT_LOAN_PERIOD_US;
  (void) tt_keeper_update_room (board, pool, now_us);
}

void
tt_keeper_expire (TtBoard *board, int64_t now_us)
{
  TT_LIST_FOREACH (&board->backends.all, it)
    {
      TtBackendServer *backend = TT_CONTAINER_OF (it, TtBackendServer, link);

      TT_LIST_FOREACH (&backend->share.loans, l)
        if (TT_CONTAINER_OF (l, TtLoan, link)->expires_us + TT_LOAN_PERIOD_US <= now_us)
          {
            // The record is kept for a second period, so that an ASK that was delayed is still
            // seen as old; its slots are free after the first.
            tt_list_remove (&backend->share.loans, l);
            tt_list_append (&board->share.free_loans, l);
          }
    }
  TT_LIST_FOREACH (&board->backends.pools, it)
    {
      TtPool *pool = TT_CONTAINER_OF (it, TtPool, link);

      TT_LIST_FOREACH (&pool->share.demands, d)
        if (TT_CONTAINER_OF (d, TtShareDemand, link)->expires_us <= now_us)
          {
            tt_list_remove (&pool->share.demands, d);
            tt_list_append (&board->share.free_demands, d);
          }
    }
}

void
tt_keeper_forget (TtBoard *board, uint64_t member_id)
{
  TT_LIST_FOREACH (&board->backends.all, it)
    {
      TtBackendServer *backend = TT_CONTAINER_OF (it, TtBackendServer, link);

      TT_LIST_FOREACH (&backend->share.loans, l)
        if (TT_CONTAINER_OF (l, TtLoan, link)->member_id == member_id)
          TT_CONTAINER_OF (l, TtLoan, link)->expires_us = 0;
    }
  TT_LIST_FOREACH (&board->backends.pools, it)
    {
      TtPool *pool = TT_CONTAINER_OF (it, TtPool, link);

      TT_LIST_FOREACH (&pool->share.demands, d)
        if (TT_CONTAINER_OF (d, TtShareDemand, link)->member_id == member_id)
          TT_CONTAINER_OF (d, TtShareDemand, link)->expires_us = 0;
    }
}
