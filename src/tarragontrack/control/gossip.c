#include "tarragontrack/board/board.h"
#include "tarragontrack/board/hash.h"
#include "tarragontrack/control/member.h"
#include "tarragontrack/control/poison.h"
#include <string.h>

/// A daemon sends two messages per second and receives two on average; with 900 bytes each, that is
/// 3.6 KB/s, which leaves room for gateway and slot messages within the limit of 11 KB/s.
#define MESSAGE_BYTES 900
#define FANOUT 2
/// Receivers use a load only while the engine has no reachable slot owner, for up to 60 s. At the
/// target fleet size, four entries are enough for the engines of which a daemon is the slot owner
/// and for one or two forwarded loads.
#define LOADS_PER_MESSAGE 4
#define ACCOUNTS_PER_MESSAGE 6
/// With more failure domains than this, a gateway message has fewer client accounts, because a
/// gateway sends and receives one message per failure domain every two seconds.
#define MANY_DOMAINS_THRESHOLD 5
#define ACCOUNTS_PER_GATEWAY_MESSAGE 1
/// With two messages per second, the heartbeats of 33 daemons reach all others well within
/// TT_MEMBER_SUSPECT_AFTER_US. Full member entries alone were not enough: with 33 daemons, live
/// ones were suspected.
#define HEARTBEATS_PER_MESSAGE 32
#define HEARTBEAT_MAX_AGE_US (3 * TT_SECOND_US)
#define SUSPECTS_PER_MESSAGE 4
#define LEAVING_PER_MESSAGE 16
/// Loads received from the slot owner, and account counts received from the daemon counted or from
/// a gateway, are forwarded for this long, over one hop only.
#define FORWARD_MAX_AGE_US (2 * TT_SECOND_US)
/// The leaving state of a backend server is gossiped for this long after this daemon learned of it,
/// so that it cannot circulate forever.
#define LEAVING_FORWARD_US (10 * TT_SECOND_US)

// Encoded sizes in msgpack, in bytes, with random 64-bit ids.
enum
{
  FRAME_BYTES = 24,
  ENTRY_BYTES = 9 + 9 + 9 + 5 + 1 + 5 + 2 + 3 + 2,
  HEARTBEAT_BYTES = 5 + 1 + 3,
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
tt_gossip_message_bytes (const TtPeerMessage *message)
{
  const TtPeerGossip *gossip = &message->gossip;
  uint32_t bytes = FRAME_BYTES;

  if (message->type == TT_PEER_SLOT_REQUEST || message->type == TT_PEER_SLOT_GRANT)
    return bytes + message->share.slot_count * SLOT_BYTES;
  if (message->type == TT_PEER_DOCUMENT)
    return bytes + 64 + (uint32_t) strlen (message->document.team)
           + (uint32_t) strlen (message->document.author) + message->document.text_size;
  if (message->type != TT_PEER_GOSSIP)
    return bytes + 14;
  for (uint32_t i = 0; i < gossip->member_count; i++)
    bytes += entry_bytes (&gossip->members[i]);
  return bytes + gossip->heartbeat_count * HEARTBEAT_BYTES + gossip->load_count * LOAD_BYTES
         + gossip->account_count * ACCOUNT_BYTES + gossip->suspect_count * SUSPECT_BYTES
         + gossip->leaving_count * LEAVING_BYTES + gossip->domain_count * DOMAIN_BYTES;
}

/// Adds the loads of engines of which this daemon is the slot owner, then loads received from other
/// slot owners.
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
          int64_t received_us
              = section->load_received_us[backend - board->backends.backend_records];
          TtPeerLoad load = { backend->id, share->gossip_load, share->gossip_slot_limit };

          if (gossip->load_count == LOADS_PER_MESSAGE)
            return;
          position++;
          if ((share->owner_since_us != 0) != (own == 1))
            continue;
          if (own == 0 && (received_us == 0 || now_us - received_us > FORWARD_MAX_AGE_US))
            continue;
          // If the loads exceed one message, each message continues where the last one ended.
          if (total > LOADS_PER_MESSAGE && own == 1 && section->load_cursor > position)
            continue;
          if (own == 1)
            {
              load.load = 0;
              load.slot_limit = share->slot_limit;
              TT_LIST_FOREACH (&share->leases, l)
                {
                  load.load += TT_CONTAINER_OF (l, TtSlotLease, link)->slots;
                }
              section->load_cursor = position + 1;
            }
          gossip->loads[gossip->load_count++] = load;
        }
      if (own == 1 && gossip->load_count < LOADS_PER_MESSAGE)
        section->load_cursor = 0;
    }
}

/// True if an account has a fleet-wide limit; only such accounts need their counts gossiped.
static bool
has_fleet_limit (const TtClientAccount *account)
{
  return account->spec.max_in_flight > 0 || account->spec.requests_per_s > 0.0;
}

/// Adds this daemon's counts of client accounts, then recent counts received from the daemons
/// counted or from gateways (TtMemberAccount.from_owner).
static void
add_accounts (TtBoard *board, TtPeerGossip *gossip, int64_t now_us)
{
  TtMemberSection *section = &board->member;
  uint32_t position = 0;
  bool has_room = true;

  if (board->admit.accounts.count == 0)
    return;
  TT_LIST_FOREACH (&board->admit.accounts, it)
    {
      const TtClientAccount *account = TT_CONTAINER_OF (it, TtClientAccount, link);

      if (position++ < section->account_cursor)
        continue;
      if (gossip->account_count == ACCOUNTS_PER_MESSAGE)
        {
          has_room = false;
          break;
        }
      section->account_cursor = position;
      if (account->in_flight == 0 || !has_fleet_limit (account))
        continue;
      gossip->accounts[gossip->account_count++]
          = (TtPeerAccount){ account->spec.id, section->self->entry.id, account->in_flight };
    }
  if (!has_room)
    return;
  section->account_cursor = 0;
  for (uint32_t i = 0, start = (uint32_t) tt_rng_below (&board->rng, TT_MAX_MEMBER_ACCOUNTS);
       i < TT_MAX_MEMBER_ACCOUNTS && gossip->account_count < ACCOUNTS_PER_MESSAGE; i++)
    {
      const TtMemberAccount *account = &section->accounts[(start + i) % TT_MAX_MEMBER_ACCOUNTS];

      if (account->account_id != 0 && account->from_owner
          && now_us - account->received_us <= FORWARD_MAX_AGE_US)
        gossip->accounts[gossip->account_count++]
            = (TtPeerAccount){ account->account_id, account->member_id, account->in_flight };
    }
}

static void
add_suspects (TtBoard *board, TtPeerGossip *gossip, int64_t now_us)
{
  uint32_t *cursor = &board->member.suspect_cursor;
  uint32_t position = 0;

  // Cleared suspects take at most half of the entries, which leaves room for new suspects.
  gossip->suspect_count
      = tt_poison_copy_cleared (board, gossip->suspects, SUSPECTS_PER_MESSAGE / 2, now_us);
  if (board->poison.suspects.count == 0)
    return;
  TT_LIST_FOREACH (&board->poison.suspects, it)
    {
      const TtSuspect *suspect = TT_CONTAINER_OF (it, TtSuspect, link);

      if (gossip->suspect_count == SUSPECTS_PER_MESSAGE)
        return;
      // The most recent suspect is in every message; the others rotate.
      if (position++ != 0 && position <= *cursor)
        continue;
      *cursor = position;
      gossip->suspects[gossip->suspect_count++]
          = (TtPeerSuspect){ suspect->fingerprint, suspect->last_crash_id, suspect->strikes };
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
          && now_us - backend->roster.changed_us <= LEAVING_FORWARD_US)
        gossip->leaving[gossip->leaving_count++] = backend->id;
    }
}

/// Adds recent heartbeats of members of this daemon's failure domain, in rotation.
static void
add_heartbeats (TtBoard *board, TtPeerGossip *gossip, int64_t now_us)
{
  TtMemberSection *section = &board->member;
  uint32_t position = 0;

  TT_LIST_FOREACH (&section->all, it)
    {
      const TtMember *member = TT_CONTAINER_OF (it, TtMember, link);
      const TtMemberEntry *entry = &member->entry;

      if (member->self || entry->domain_id != board->domain_id || member->last_heartbeat_us == 0
          || now_us - member->last_heartbeat_us > HEARTBEAT_MAX_AGE_US)
        continue;
      if (position++ < section->heartbeat_cursor)
        continue;
      if (gossip->heartbeat_count == HEARTBEATS_PER_MESSAGE)
        return;
      section->heartbeat_cursor = position;
      gossip->heartbeats[gossip->heartbeat_count++]
          = (TtPeerHeartbeat){ (uint32_t) entry->id, (uint8_t) (entry->incarnation & 127),
                               entry->heartbeat };
    }
  section->heartbeat_cursor = 0;
}

/// Adds member entries, those transmitted least often first; entries of other failure domains only
/// for their first three transmissions.
static void
add_members (TtBoard *board, TtPeerMessage *message, uint32_t budget)
{
  TtPeerGossip *gossip = &message->gossip;
  uint32_t bytes = tt_gossip_message_bytes (message);

  for (uint32_t sent = 0; sent < 64 && gossip->member_count < TT_PEER_MAX_MEMBERS; sent++)
    TT_LIST_FOREACH (&board->member.all, it)
      {
        TtMember *member = TT_CONTAINER_OF (it, TtMember, link);

        if (member->self || member->last_heartbeat_us == 0 || member->transmissions != sent
            || gossip->member_count == TT_PEER_MAX_MEMBERS
            || (member->entry.domain_id != board->domain_id && sent > 2))
          continue;
        bytes += entry_bytes (&member->entry);
        if (bytes > budget)
          return;
        // Marks the entry, so that it is not added to this message again; see
        // count_transmissions().
        gossip->members[gossip->member_count++] = member->entry;
        member->transmissions = sent + 65;
      }
}

/// Counts a transmission for each entry marked by add_members() and moves it to the end of the
/// list.
static void
count_transmissions (TtBoard *board)
{
  TT_LIST_FOREACH (&board->member.all, it)
    {
      TtMember *member = TT_CONTAINER_OF (it, TtMember, link);

      if (member->transmissions < 65)
        continue;
      member->transmissions
          = member->transmissions - 65 + 1 < 63 ? member->transmissions - 65 + 1 : 32;
      tt_list_remove (&board->member.all, &member->link);
      tt_list_append (&board->member.all, &member->link);
    }
}

/// Starts a gossip message with this daemon's own entry; NULL if it cannot be sent.
static TtPeerMessage *
start_message (TtBoard *board, const TtMember *to)
{
  TtPeerMessage *message = tt_board_send_peer (board, to, TT_PEER_GOSSIP);

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
  add_heartbeats (board, &message->gossip, now_us);
  // Member entries fill the rest of the message, which is at least a third of it.
  add_members (board, message, MESSAGE_BYTES);
  count_transmissions (board);
}

void
tt_gossip_send_to_reporter (TtBoard *board)
{
  const TtMember *first = NULL;
  double best = -1.0;

  TT_LIST_FOREACH (&board->member.all, it)
    {
      const TtMember *member = TT_CONTAINER_OF (it, TtMember, link);
      double score;

      if (member->entry.domain_id != board->domain_id || !tt_member_is_live (member))
        continue;
      score = tt_hash_rendezvous_score (board->domain_id, member->entry.id, 1.0);
      if (score <= best)
        continue;
      best = score;
      first = member;
    }
  if (first != NULL && !first->self)
    (void) start_message (board, first);
}

void
tt_gossip_send_round (TtBoard *board, int64_t now_us)
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

/// Picks a receiver in another failure domain: one of its first two live members by rank, otherwise
/// a random listed one; NULL if there is none.
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
      score = tt_hash_rendezvous_score (domain_id, member->entry.id, 1.0);
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

/// In-flight requests of a client account in this daemon's failure domain: the fleet-wide count
/// without the counts of other failure domains.
static uint32_t
domain_in_flight (TtBoard *board, const TtClientAccount *account)
{
  const TtMemberAccount *bucket = tt_gossip_account_bucket (board, account->spec.id);
  uint32_t sum = account->fleet_in_flight;

  for (uint32_t i = 0; i < TT_GOSSIP_ACCOUNT_WAYS; i++)
    for (uint32_t d = 0; d < board->roster.domain_count; d++)
      if (bucket[i].account_id == account->spec.id
          && bucket[i].member_id == board->roster.domains[d].id && sum >= bucket[i].in_flight)
        sum -= bucket[i].in_flight;
  return sum;
}

/// Adds the in-flight counts of client accounts in this daemon's failure domain, under the domain's
/// id.
static void
add_domain_accounts (TtBoard *board, TtPeerGossip *gossip)
{
  uint32_t limit = board->roster.domain_count > MANY_DOMAINS_THRESHOLD
                       ? ACCOUNTS_PER_GATEWAY_MESSAGE
                       : ACCOUNTS_PER_MESSAGE;
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
      else if (account->fleet_in_flight > 0 && has_fleet_limit (account)
               && gossip->account_count < limit)
        gossip->accounts[gossip->account_count++]
            = (TtPeerAccount){ account->spec.id, board->domain_id,
                               domain_in_flight (board, account) };
    }
}

void
tt_gossip_send_to_gateways (TtBoard *board, int64_t now_us)
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
      add_domain_accounts (board, &message->gossip);
    }
}
