#include "tarragontrack/board/board.h"
#include "tarragontrack/board/hash.h"
#include "tarragontrack/control/member.h"
#include "tarragontrack/control/poison.h"
#include <string.h>

/// Two messages a second are sent and, on average, two are received; with 900 bytes each, that
/// is 3.6 KB/s, which leaves room for gateways and shares within 11 KB/s.
#define MESSAGE_BYTES 900
#define FANOUT 2
/// Loads are used only without a keeper, up to 60 s later: those that a daemon keeps itself at the
/// target size, and one or two to pass on.
#define LOADS_PER_MESSAGE 4
#define ACCOUNTS_PER_MESSAGE 6
/// Sums of client accounts in a gateway's message while there are more failure domains than
/// MANY_DOMAINS: a gateway sends and receives one message for each of them in two seconds.
#define MANY_DOMAINS 5
#define SUMS_FEW 1
/// With two messages a second, a beat of each of 33 daemons reaches the others well within
/// TT_MEMBER_SUSPECT_US; whole entries alone do not: at 33 daemons live ones were suspected.
#define BEATS_PER_MESSAGE 32
#define BEAT_AGE_US (3 * TT_SECOND_US)
#define SUSPECTS_PER_MESSAGE 4
#define LEAVING_PER_MESSAGE 16
/// Loads and account counts told by their owner itself within this time are passed on once.
#define PASS_ON_US (2 * TT_SECOND_US)
/// "Leaving" is passed on this long after it was learnt, so that an entry cannot circulate.
#define LEAVING_PASS_US (10 * TT_SECOND_US)

// Bytes of the fields in msgpack with numbers of 64 random bits.
enum
{
  FRAME_BYTES = 24,
  ENTRY_BYTES = 9 + 9 + 9 + 5 + 1 + 5 + 2 + 3 + 2,
  BEAT_BYTES = 5 + 1 + 3,
  LOAD_BYTES = 9 + 3 + 3 + 1,
  ACCOUNT_BYTES = 9 + 9 + 3 + 1,
  SUSPECT_BYTES = 9 + 9 + 2 + 1,
  LEAVING_BYTES = 9,
  DOMAIN_BYTES = 9 + 2 + 5 + 2 + 1,
  SLOT_BYTES = 9 + 2 + 2 + 3 + 1
};

static uint32_t
entry_bytes (const TtMemberEntry *entry)
{
  return ENTRY_BYTES + (uint32_t) strlen (entry->address);
}

uint32_t
tt_gossip_bytes (const TtPeerMessage *message)
{
  const TtPeerGossip *gossip = &message->gossip;
  uint32_t bytes = FRAME_BYTES;

  if (message->type == TT_PEER_SHARE_ASK || message->type == TT_PEER_SHARE_LEND)
    return bytes + message->share.slot_count * SLOT_BYTES;
  if (message->type == TT_PEER_DOCUMENT)
    return bytes + 64 + (uint32_t) strlen (message->document.team)
           + (uint32_t) strlen (message->document.author) + message->document.text_size;
  if (message->type != TT_PEER_GOSSIP)
    return bytes + 14;
  for (uint32_t i = 0; i < gossip->member_count; i++)
    bytes += entry_bytes (&gossip->members[i]);
  return bytes + gossip->beat_count * BEAT_BYTES + gossip->load_count * LOAD_BYTES
         + gossip->account_count * ACCOUNT_BYTES + gossip->suspect_count * SUSPECT_BYTES
         + gossip->leaving_count * LEAVING_BYTES + gossip->domain_count * DOMAIN_BYTES;
}

/// Adds the loads of engines that this daemon keeps, then those it was told by their keepers.
static void
add_loads (TtBoard *board, TtPeerGossip *gossip, int64_t now_us)
{
  TtMemberSection *section = &board->member;
  uint32_t total = board->backends.all.count;
  uint32_t position = 0;

  for (int own = 1; own >= 0; own--)
    {
      position = 0;
      TT_LIST_FOREACH (&board->backends.all, it)
        {
          TtBackendServer *backend = TT_CONTAINER_OF (it, TtBackendServer, link);
          const TtShareBackend *share = &backend->share;
          int64_t heard_us = section->load_heard_us[backend - board->backends.backend_records];
          TtPeerLoad load = { backend->id, share->seen_load, share->seen_room };

          if (gossip->load_count == LOADS_PER_MESSAGE)
            return;
          position++;
          if ((share->keeper_since_us != 0) != (own == 1))
            continue;
          if (own == 0 && (heard_us == 0 || now_us - heard_us > PASS_ON_US))
            continue;
          // Over one message's room, start further on each time.
          if (total > LOADS_PER_MESSAGE && own == 1 && section->load_cursor > position)
            continue;
          if (own == 1)
            {
              load.load = 0;
              load.room = share->room;
              TT_LIST_FOREACH (&share->loans, l)
                {
                  load.load += TT_CONTAINER_OF (l, TtLoan, link)->slots;
                }
              section->load_cursor = position + 1;
            }
          gossip->loads[gossip->load_count++] = load;
        }
      if (own == 1 && gossip->load_count < LOADS_PER_MESSAGE)
        section->load_cursor = 0;
    }
}

/// Counts are needed only for accounts whose limits hold for the fleet.
static bool
has_limit (const TtClientAccount *account)
{
  return account->spec.max_in_flight > 0 || account->spec.requests_per_s > 0.0;
}

/// Adds own counts of client accounts, then those that other daemons told of themselves.
static void
add_accounts (TtBoard *board, TtPeerGossip *gossip, int64_t now_us)
{
  TtMemberSection *section = &board->member;
  uint32_t position = 0;
  bool rest = true;

  if (board->admit.accounts.count == 0)
    return;
  TT_LIST_FOREACH (&board->admit.accounts, it)
    {
      const TtClientAccount *account = TT_CONTAINER_OF (it, TtClientAccount, link);

      if (position++ < section->account_cursor)
        continue;
      if (gossip->account_count == ACCOUNTS_PER_MESSAGE)
        {
          rest = false;
          break;
        }
      section->account_cursor = position;
      if (account->in_flight == 0 || !has_limit (account))
        continue;
      gossip->accounts[gossip->account_count++]
          = (TtPeerAccount){ account->spec.id, section->self->entry.id, account->in_flight };
    }
  if (!rest)
    return;
  section->account_cursor = 0;
  for (uint32_t i = 0, start = (uint32_t) tt_rng_below (&board->rng, TT_MEMBER_ACCOUNTS);
       i < TT_MEMBER_ACCOUNTS && gossip->account_count < ACCOUNTS_PER_MESSAGE; i++)
    {
      const TtMemberAccount *account = &section->accounts[(start + i) % TT_MEMBER_ACCOUNTS];

      if (account->account_id != 0 && account->direct && now_us - account->heard_us <= PASS_ON_US)
        gossip->accounts[gossip->account_count++]
            = (TtPeerAccount){ account->account_id, account->member_id, account->in_flight };
    }
}

static void
add_suspects (TtBoard *board, TtPeerGossip *gossip, int64_t now_us)
{
  uint32_t *cursor = &board->member.suspect_cursor;
  uint32_t position = 0;

  // Half of the places at most, so that new suspects are told, too.
  gossip->suspect_count
      = tt_poison_cleared (board, gossip->suspects, SUSPECTS_PER_MESSAGE / 2, now_us);
  if (board->poison.suspects.count == 0)
    return;
  TT_LIST_FOREACH (&board->poison.suspects, it)
    {
      const TtSuspect *suspect = TT_CONTAINER_OF (it, TtSuspect, link);

      if (gossip->suspect_count == SUSPECTS_PER_MESSAGE)
        return;
      // The most recent one is in every message, the others take turns.
      if (position++ != 0 && position <= *cursor)
        continue;
      *cursor = position;
      gossip->suspects[gossip->suspect_count++]
          = (TtPeerSuspect){ suspect->fingerprint, suspect->last_backend_id, suspect->strikes };
    }
  *cursor = 0;
}

static void
add_leaving (TtBoard *board, TtPeerGossip *gossip, int64_t now_us)
{
  TT_LIST_FOREACH (&board->backends.all, it)
    {
      const TtBackendServer *backend = TT_CONTAINER_OF (it, TtBackendServer, link);

      if (gossip->leaving_count == LEAVING_PER_MESSAGE)
        return;
      if (backend->roster.state == TT_BACKEND_LEAVING
          && now_us - backend->roster.changed_us <= LEAVING_PASS_US)
        gossip->leaving[gossip->leaving_count++] = backend->id;
    }
}

/// Adds beats of daemons of the own failure domain that were heard lately, in turns.
static void
add_beats (TtBoard *board, TtPeerGossip *gossip, int64_t now_us)
{
  TtMemberSection *section = &board->member;
  uint32_t position = 0;

  TT_LIST_FOREACH (&section->all, it)
    {
      const TtMember *member = TT_CONTAINER_OF (it, TtMember, link);
      const TtMemberEntry *entry = &member->entry;

      if (member->self || entry->domain_id != board->domain_id || member->heard_us == 0
          || now_us - member->heard_us > BEAT_AGE_US)
        continue;
      if (position++ < section->beat_cursor)
        continue;
      if (gossip->beat_count == BEATS_PER_MESSAGE)
        return;
      section->beat_cursor = position;
      gossip->beats[gossip->beat_count++]
          = (TtPeerBeat){ (uint32_t) entry->id, (uint8_t) (entry->incarnation & 127),
                          entry->heartbeat };
    }
  section->beat_cursor = 0;
}

/// Adds member entries of the own failure domain, those carried least often first.
static void
add_members (TtBoard *board, TtPeerMessage *message, uint32_t budget)
{
  TtPeerGossip *gossip = &message->gossip;
  uint32_t bytes = tt_gossip_bytes (message);

  for (uint32_t carried = 0; carried < 64 && gossip->member_count < TT_PEER_MEMBERS; carried++)
    TT_LIST_FOREACH (&board->member.all, it)
      {
        TtMember *member = TT_CONTAINER_OF (it, TtMember, link);

        if (member->self || member->heard_us == 0 || member->carried != carried
            || gossip->member_count == TT_PEER_MEMBERS
            || (member->entry.domain_id != board->domain_id && carried > 2))
          continue;
        bytes += entry_bytes (&member->entry);
        if (bytes > budget)
          return;
        // Marked below, so that the entry is not added again in this message.
        gossip->members[gossip->member_count++] = member->entry;
        member->carried = carried + 65;
      }
}

/// Ends the marks of add_members(): entries carried by the message go behind the others.
static void
mark_carried (TtBoard *board)
{
  TT_LIST_FOREACH (&board->member.all, it)
    {
      TtMember *member = TT_CONTAINER_OF (it, TtMember, link);

      if (member->carried < 65)
        continue;
      member->carried = member->carried - 65 + 1 < 63 ? member->carried - 65 + 1 : 32;
      tt_list_remove (&board->member.all, &member->link);
      tt_list_append (&board->member.all, &member->link);
    }
}

/// A message with this daemon's own entry.
static TtPeerMessage *
start_message (TtBoard *board, const TtMember *to)
{
  TtPeerMessage *message = tt_board_send (board, to, TT_PEER_GOSSIP);

  if (message != NULL)
    message->gossip.members[message->gossip.member_count++] = board->member.self->entry;
  return message;
}

static void
send_gossip (TtBoard *board, const TtMember *to, int64_t now_us)
{
  TtPeerMessage *message = start_message (board, to);

  if (message == NULL)
    return;
  add_leaving (board, &message->gossip, now_us);
  add_loads (board, &message->gossip, now_us);
  add_accounts (board, &message->gossip, now_us);
  add_suspects (board, &message->gossip, now_us);
  add_beats (board, &message->gossip, now_us);
  // What the others leave over goes to member entries; at least a third of a message remains.
  add_members (board, message, MESSAGE_BYTES);
  mark_carried (board);
}

void
tt_gossip_tell_first (TtBoard *board)
{
  const TtMember *first = NULL;
  double best = -1.0;

  TT_LIST_FOREACH (&board->member.all, it)
    {
      const TtMember *member = TT_CONTAINER_OF (it, TtMember, link);
      double score;

      if (member->entry.domain_id != board->domain_id || !tt_member_is_live (member))
        continue;
      score = tt_hash_score (board->domain_id, member->entry.id, 1.0);
      if (score <= best)
        continue;
      best = score;
      first = member;
    }
  if (first != NULL && !first->self)
    (void) start_message (board, first);
}

void
tt_gossip_round (TtBoard *board, int64_t now_us)
{
  const TtMember *chosen[FANOUT] = { 0 };
  uint32_t candidates = 0;

  TT_LIST_FOREACH (&board->member.all, it)
    {
      const TtMember *member = TT_CONTAINER_OF (it, TtMember, link);
      bool reachable
          = member->entry.address[0] != '\0' && (tt_member_is_live (member) || member->listed);

      if (member->self || member->entry.domain_id != board->domain_id || !reachable)
        continue;
      candidates++;
      // Reservoir sampling: each candidate is chosen with equal probability.
      if (candidates <= FANOUT)
        chosen[candidates - 1] = member;
      else
        {
          uint64_t slot = tt_rng_below (&board->rng, candidates);

          if (slot < FANOUT)
            chosen[slot] = member;
        }
    }
  for (uint32_t i = 0; i < FANOUT; i++)
    if (chosen[i] != NULL)
      send_gossip (board, chosen[i], now_us);
}

/// One daemon of another failure domain: one of the first two heard of by rank, or else any that a
/// host list names.
static const TtMember *
pick_gateway (TtBoard *board, uint64_t domain_id)
{
  const TtMember *best[2] = { 0 };
  const TtMember *listed = NULL;
  double scores[2] = { -1.0, -1.0 };
  uint32_t candidates = 0;

  TT_LIST_FOREACH (&board->member.all, it)
    {
      const TtMember *member = TT_CONTAINER_OF (it, TtMember, link);
      double score;

      if (member->entry.domain_id != domain_id || member->entry.address[0] == '\0')
        continue;
      if (member->listed && tt_rng_below (&board->rng, ++candidates) == 0)
        listed = member;
      if (!tt_member_is_live (member))
        continue;
      score = tt_hash_score (domain_id, member->entry.id, 1.0);
      if (score > scores[0])
        {
          best[1] = best[0];
          scores[1] = scores[0];
          best[0] = member;
          scores[0] = score;
        }
      else if (score > scores[1])
        {
          best[1] = member;
          scores[1] = score;
        }
    }
  if (best[0] == NULL)
    return listed;
  return best[1] != NULL && tt_rng_below (&board->rng, 2) == 1 ? best[1] : best[0];
}

/// Requests in flight of a client account at the daemons of the own failure domain.
static uint32_t
domain_sum (TtBoard *board, const TtClientAccount *account)
{
  const TtMemberAccount *bucket = tt_gossip_accounts (board, account->spec.id);
  uint32_t sum = account->fleet_in_flight;

  for (uint32_t i = 0; i < TT_GOSSIP_ACCOUNT_WAYS; i++)
    for (uint32_t d = 0; d < board->roster.domain_count; d++)
      if (bucket[i].account_id == account->spec.id
          && bucket[i].member_id == board->roster.domains[d].id && sum >= bucket[i].in_flight)
        sum -= bucket[i].in_flight;
  return sum;
}

/// Adds the sums of client accounts over the own failure domain, under the domain's id.
static void
add_sums (TtBoard *board, TtPeerGossip *gossip)
{
  uint32_t limit = board->roster.domain_count > MANY_DOMAINS ? SUMS_FEW : ACCOUNTS_PER_MESSAGE;
  uint32_t skip = 0;

  if (board->admit.accounts.count == 0)
    return;
  if (board->admit.accounts.count > limit)
    skip = (uint32_t) tt_rng_below (&board->rng, board->admit.accounts.count);
  TT_LIST_FOREACH (&board->admit.accounts, it)
    {
      const TtClientAccount *account = TT_CONTAINER_OF (it, TtClientAccount, link);

      if (skip > 0)
        skip--;
      else if (account->fleet_in_flight > 0 && has_limit (account) && gossip->account_count < limit)
        gossip->accounts[gossip->account_count++]
            = (TtPeerAccount){ account->spec.id, board->domain_id, domain_sum (board, account) };
    }
}

void
tt_gossip_gateways (TtBoard *board, int64_t now_us)
{
  TtMemberSection *section = &board->member;

  for (uint32_t d = 0; d < board->roster.domain_count; d++)
    {
      const TtRosterDomain *domain = &board->roster.domains[d];
      const TtMember *to;
      TtPeerMessage *message;

      if (domain->id == board->domain_id)
        continue;
      to = pick_gateway (board, domain->id);
      message = to != NULL ? start_message (board, to) : NULL;
      if (message == NULL)
        continue;
      message->gossip.domains[message->gossip.domain_count++]
          = (TtPeerDomain){ board->domain_id, section->lowest_generation, section->lowest_epoch,
                            section->live_in_domain };
      add_leaving (board, &message->gossip, now_us);
      add_sums (board, &message->gossip);
    }
}
