#include "tarragontrack/board/backend.h"
#include "tarragontrack/board/board.h"
#include "tarragontrack/control/member.h"
#include "tarragontrack/control/roster.h"

/// A forwarded value replaces a stored value only if the stored one was received at least this long
/// ago.
#define FORWARDED_REPLACE_AGE_US (3 * TT_SECOND_US)
/// Account counts expire this long after receipt, plus ACCOUNT_EXPIRY_MEMBER_US for each live
/// daemon of the failure domain: with more daemons, the gossip of a given one arrives less often.
#define ACCOUNT_EXPIRY_US (3 * TT_SECOND_US)
#define ACCOUNT_EXPIRY_MEMBER_US (TT_SECOND_US / 2)

TtMemberAccount *
tt_gossip_account_bucket (TtBoard *board, uint64_t account_id)
{
  uint32_t buckets = TT_MAX_MEMBER_ACCOUNTS / TT_GOSSIP_ACCOUNT_WAYS;

  return &board->member.accounts[account_id % buckets * TT_GOSSIP_ACCOUNT_WAYS];
}

/// Stores the in-flight count of a client account at another daemon or in another failure domain.
static void
store_account (TtBoard *board, const TtPeerAccount *account, bool from_owner, int64_t now_us)
{
  TtMemberAccount *bucket = tt_gossip_account_bucket (board, account->account_id);
  TtMemberAccount *record = bucket;

  if (account->account_id == 0 || account->member_id == board->member.self->entry.id
      || account->member_id == board->domain_id)
    return;
  for (uint32_t i = 0; i < TT_GOSSIP_ACCOUNT_WAYS; i++)
    {
      if (bucket[i].account_id == account->account_id && bucket[i].member_id == account->member_id)
        {
          record = &bucket[i];
          if (!from_owner && now_us - record->received_us < FORWARDED_REPLACE_AGE_US)
            return;
          break;
        }
      if (bucket[i].received_us < record->received_us)
        record = &bucket[i];
    }
  *record = (TtMemberAccount){ account->account_id, account->member_id, account->in_flight, now_us,
                               from_owner };
}

uint32_t
tt_gossip_account_in_flight (TtBoard *board, uint64_t account_id, int64_t now_us)
{
  int64_t expiry_us = ACCOUNT_EXPIRY_US + ACCOUNT_EXPIRY_MEMBER_US * board->member.live_in_domain;
  const TtMemberAccount *bucket = tt_gossip_account_bucket (board, account_id);
  uint32_t sum = 0;

  for (uint32_t i = 0; i < TT_GOSSIP_ACCOUNT_WAYS; i++)
    if (bucket[i].account_id == account_id && now_us - bucket[i].received_us <= expiry_us)
      sum += bucket[i].in_flight;
  return sum;
}

static void
store_load (TtBoard *board, const TtPeerLoad *load, uint64_t sender_id, int64_t now_us)
{
  TtBackendServer *backend = tt_backend_find (board, load->backend_id);
  bool from_owner;

  if (backend == NULL || backend->share.owner_since_us != 0)
    return;
  from_owner = backend->share.owner_id == sender_id;
  if (!from_owner && backend->share.gossip_us != 0
      && now_us - backend->share.gossip_us < FORWARDED_REPLACE_AGE_US)
    return;
  backend->share.gossip_load = load->load;
  backend->share.gossip_slot_limit = load->slot_limit;
  backend->share.gossip_us = now_us;
  if (from_owner)
    board->member.load_received_us[backend - board->backends.backend_records] = now_us;
}

static void
store_domain (TtBoard *board, const TtPeerDomain *domain, int64_t now_us)
{
  TtMemberSection *section = &board->member;
  uint32_t d = 0;

  while (d < section->domain_count && section->domains[d].domain_id != domain->domain_id)
    d++;
  if (d == TT_MAX_DOMAINS || domain->domain_id == board->domain_id)
    return;
  if (d == section->domain_count)
    section->domain_count++;
  section->domains[d] = (TtMemberDomain){ domain->domain_id, domain->generation, domain->epoch,
                                          domain->members, now_us };
}

void
tt_gossip_receive (TtBoard *board, const TtPeerMessage *message, int64_t now_us)
{
  const TtPeerGossip *gossip = &message->gossip;
  TtMemberSection *section = &board->member;

  if (message->sender_id == section->self->entry.id)
    return;
  for (uint32_t i = 0; i < gossip->member_count && i < TT_PEER_MAX_MEMBERS; i++)
    tt_member_merge (board, &gossip->members[i], now_us);
  for (uint32_t i = 0; i < gossip->heartbeat_count && i < TT_PEER_MAX_HEARTBEATS; i++)
    tt_member_apply_heartbeat (board, &gossip->heartbeats[i], now_us);
  for (uint32_t i = 0; i < gossip->load_count && i < TT_PEER_MAX_LOADS; i++)
    store_load (board, &gossip->loads[i], message->sender_id, now_us);
  for (uint32_t i = 0; i < gossip->account_count && i < TT_PEER_MAX_ACCOUNTS; i++)
    store_account (board, &gossip->accounts[i],
                   gossip->accounts[i].member_id == message->sender_id || gossip->domain_count > 0,
                   now_us);
  for (uint32_t i = 0; i < gossip->leaving_count && i < TT_PEER_MAX_SLOTS; i++)
    {
      TtBackendServer *backend = tt_backend_find (board, gossip->leaving[i]);

      if (backend != NULL)
        tt_roster_mark_leaving (board, backend, false, now_us);
    }
  for (uint32_t i = 0; i < gossip->domain_count && i < TT_PEER_MAX_DOMAINS; i++)
    store_domain (board, &gossip->domains[i], now_us);
}
