#include "tarragontrack/control/member.h"
#include "tarragontrack/board/board.h"
#include "tarragontrack/board/hash.h"
#include "tarragontrack/control/controllers.h"
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/// Period of the scan of all members, which would otherwise cost time in every step.
#define SCAN_PERIOD_US (200 * TT_MILLISECOND_US)
#define ROUND_PERIOD_US (1 * TT_SECOND_US)
#define GATEWAY_PERIOD_US (2 * TT_SECOND_US)
/// The first two daemons of a failure domain by rank are its gateways.
#define GATEWAY_COUNT 2
/// A member's record is freed this long after the last heartbeat unless a host list names the
/// member. Until then, the record prevents stale gossip from adding the member again.
#define RECORD_EXPIRY_US (120 * TT_SECOND_US)
/// Longer than TT_MEMBER_GONE_AFTER_US, because heartbeats from other failure domains arrive
/// through gateways only.
#define FOREIGN_GONE_US (60 * TT_SECOND_US)

/// Allocates the member records and adds this daemon.
static int
open_members (void *context, TtBoard *board)
{
  TtMemberSection *section = &board->member;
  TtMember *self;

  (void) context;
  tt_list_init (&section->all);
  tt_list_init (&section->free);
  section->pool = calloc (TT_MAX_MEMBERS, sizeof *section->pool);
  section->accounts = calloc (TT_MAX_MEMBER_ACCOUNTS, sizeof *section->accounts);
  section->load_received_us = calloc (TT_MAX_BACKENDS, sizeof *section->load_received_us);
  if (section->pool == NULL || section->accounts == NULL || section->load_received_us == NULL)
    return TT_E_NO_MEMORY;
  for (uint32_t i = 1; i < TT_MAX_MEMBERS; i++)
    tt_list_append (&section->free, &section->pool[i].link);
  self = &section->pool[0];
  self->self = true;
  self->entry.id = tt_hash_string (board->config.name);
  self->entry.domain_id = board->domain_id;
  self->entry.incarnation = board->config.incarnation;
  self->entry.port = board->config.peer_port;
  (void) snprintf (self->name, sizeof self->name, "%s", board->config.name);
  (void) snprintf (self->entry.address, sizeof self->entry.address, "%s", board->config.address);
  tt_list_append (&section->all, &self->link);
  section->self = self;
  section->live_in_domain = 1;
  return TT_OK;
}

static void
close_members (void *context, TtBoard *board)
{
  (void) context;
  free (board->member.pool);
  free (board->member.accounts);
  free (board->member.load_received_us);
}

TtMember *
tt_member_find (TtBoard *board, uint64_t id)
{
  TT_LIST_FOREACH (&board->member.all, it)
    {
      TtMember *member = TT_CONTAINER_OF (it, TtMember, link);

      if (member->entry.id == id)
        return member;
    }
  return NULL;
}

bool
tt_member_is_live (const TtMember *member)
{
  return member->self
         || (member->last_heartbeat_us != 0
             && (member->entry.state == TT_MEMBER_ALIVE
                 || member->entry.state == TT_MEMBER_SUSPECT));
}

bool
tt_member_epoch_newer (uint64_t generation_a, uint64_t epoch_a, uint64_t generation_b,
                       uint64_t epoch_b)
{
  return generation_a != generation_b ? generation_a > generation_b : epoch_a > epoch_b;
}

/// Allocates the record of an unknown daemon; replaces the member that has been gone longest if
/// none is free.
static TtMember *
new_member (TtBoard *board, uint64_t id)
{
  TtMemberSection *section = &board->member;
  TtLink *link = tt_list_pop (&section->free);
  TtMember *member;

  if (link == NULL)
    {
      TtMember *oldest = NULL;

      TT_LIST_FOREACH (&section->all, it)
        {
          member = TT_CONTAINER_OF (it, TtMember, link);
          if (!tt_member_is_live (member)
              && (oldest == NULL || member->last_heartbeat_us < oldest->last_heartbeat_us))
            oldest = member;
        }
      if (oldest == NULL)
        {
          tt_board_counter_add (board, TT_COUNT_POOL_FULL, 1);
          return NULL;
        }
      link = &oldest->link;
      tt_list_remove (&section->all, link);
    }
  member = TT_CONTAINER_OF (link, TtMember, link);
  memset (member, 0, sizeof *member);
  member->entry.id = id;
  tt_list_append (&section->all, &member->link);
  return member;
}

static void
set_state (TtBoard *board, TtMember *member, TtMemberState state, int64_t now_us)
{
  static const TtLogEvent events[]
      = { TT_LOG_MEMBER_ALIVE, TT_LOG_MEMBER_SUSPECT, TT_LOG_MEMBER_GONE, TT_LOG_MEMBER_GONE };

  if (member->entry.state == state)
    return;
  member->entry.state = state;
  member->changed_us = now_us;
  member->transmissions = 0;
  tt_board_log (board, events[state], "member=%s id=%llx incarnation=%llu", member->name,
                (unsigned long long) member->entry.id,
                (unsigned long long) member->entry.incarnation);
}

/// Refutes gossip that this daemon is suspect, leaving or gone, by raising its incarnation.
static void
merge_self (TtBoard *board, const TtMemberEntry *entry)
{
  TtMemberEntry *own = &board->member.self->entry;

  if (entry->incarnation < own->incarnation || entry->state == TT_MEMBER_ALIVE
      || (own->state == TT_MEMBER_LEAVING && entry->state == TT_MEMBER_LEAVING))
    return;
  own->incarnation = entry->incarnation + 1;
  board->member.self->transmissions = 0;
}

void
tt_member_merge (TtBoard *board, const TtMemberEntry *entry, int64_t now_us)
{
  TtMember *member = tt_member_find (board, entry->id);
  bool newer;

  if (member != NULL && member->self)
    {
      merge_self (board, entry);
      return;
    }
  // An unknown daemon that isn't alive needs no record.
  if (member == NULL && entry->state != TT_MEMBER_ALIVE)
    return;
  if (member == NULL)
    member = new_member (board, entry->id);
  if (member == NULL)
    return;
  newer = entry->incarnation > member->entry.incarnation
          || (entry->incarnation == member->entry.incarnation
              && entry->heartbeat > member->entry.heartbeat);
  if (newer)
    {
      TtMemberState state = member->entry.state;
      // A delayed message from before TT_PEER_LEAVE must not undo the leaving state.
      bool was_leaving
          = state == TT_MEMBER_LEAVING && entry->incarnation == member->entry.incarnation;

      member->entry = *entry;
      member->entry.state = state;
      member->last_heartbeat_us = now_us;
      member->changed_us = now_us;
      member->transmissions = 0;
      // The heartbeat increased, so a suspicion in the entry is out of date.
      if (!was_leaving)
        set_state (board, member,
                   entry->state == TT_MEMBER_LEAVING ? TT_MEMBER_LEAVING : TT_MEMBER_ALIVE, now_us);
    }
  else if (entry->incarnation == member->entry.incarnation
           && entry->heartbeat == member->entry.heartbeat && entry->state == TT_MEMBER_LEAVING
           && member->entry.state < TT_MEMBER_LEAVING)
    set_state (board, member, TT_MEMBER_LEAVING, now_us);
}

void
tt_member_apply_heartbeat (TtBoard *board, const TtPeerHeartbeat *heartbeat, int64_t now_us)
{
  TT_LIST_FOREACH (&board->member.all, it)
    {
      TtMember *member = TT_CONTAINER_OF (it, TtMember, link);
      TtMemberEntry *entry = &member->entry;

      if (member->self || (uint32_t) entry->id != heartbeat->id || member->last_heartbeat_us == 0
          || (entry->incarnation & 127) != heartbeat->incarnation
          || entry->heartbeat >= heartbeat->heartbeat)
        continue;
      entry->heartbeat = heartbeat->heartbeat;
      member->last_heartbeat_us = now_us;
      if (entry->state == TT_MEMBER_SUSPECT || entry->state == TT_MEMBER_GONE)
        set_state (board, member, TT_MEMBER_ALIVE, now_us);
    }
}

/// Adds the entry hosts of a host list as members, so that the first messages can be sent to them.
static void
add_listed_hosts (TtBoard *board, const TtHostsObject *list, bool fleet)
{
  TT_LIST_FOREACH (&board->member.all, it)
    {
      TtMember *member = TT_CONTAINER_OF (it, TtMember, link);

      if (fleet || member->entry.domain_id == board->domain_id)
        member->listed = false;
    }
  for (uint32_t i = 0; i < list->count; i++)
    {
      const TtHostEntry *host = &list->hosts[i];
      uint64_t id = tt_hash_string (host->name);
      TtMember *member;

      if (!host->entry_host)
        continue;
      member = tt_member_find (board, id);
      if (member == NULL)
        member = new_member (board, id);
      if (member == NULL)
        continue;
      member->listed = !host->leaving;
      (void) snprintf (member->name, sizeof member->name, "%s", host->name);
      if (member->self || member->last_heartbeat_us != 0)
        continue;
      member->entry.domain_id = tt_hash_string (host->domain);
      member->entry.port = host->port;
      (void) snprintf (member->entry.address, sizeof member->entry.address, "%s", host->address);
    }
}

/// Marks members without recent heartbeats as suspect or gone, and frees the records of unlisted
/// members without a heartbeat for RECORD_EXPIRY_US.
static void
expire_members (TtBoard *board, int64_t now_us)
{
  TtMemberSection *section = &board->member;

  TT_LIST_FOREACH (&section->all, it)
    {
      TtMember *member = TT_CONTAINER_OF (it, TtMember, link);
      bool foreign = member->entry.domain_id != board->domain_id;
      int64_t heartbeat_age_us = now_us - member->last_heartbeat_us;

      if (member->self)
        continue;
      if (member->last_heartbeat_us == 0)
        {
          if (member->listed)
            continue;
        }
      else if (heartbeat_age_us >= (foreign ? FOREIGN_GONE_US : TT_MEMBER_GONE_AFTER_US))
        set_state (board, member, TT_MEMBER_GONE, now_us);
      else if (!foreign && heartbeat_age_us >= TT_MEMBER_SUSPECT_AFTER_US
               && member->entry.state == TT_MEMBER_ALIVE)
        set_state (board, member, TT_MEMBER_SUSPECT, now_us);
      if (!member->listed
          && (member->last_heartbeat_us == 0 || heartbeat_age_us >= RECORD_EXPIRY_US))
        {
          tt_list_remove (&section->all, &member->link);
          tt_list_append (&section->free, &member->link);
        }
    }
}

/// Computes the live members of this daemon's failure domain, its rank among them and the lowest
/// epoch in force.
static void
update_domain_summary (TtBoard *board)
{
  TtMemberSection *section = &board->member;
  double own = tt_hash_rendezvous_score (board->domain_id, section->self->entry.id, 1.0);

  section->live_in_domain = 0;
  section->rank = 0;
  section->all_listed_live = true;
  section->lowest_generation = section->self->entry.generation;
  section->lowest_epoch = section->self->entry.epoch;
  TT_LIST_FOREACH (&section->all, it)
    {
      TtMember *member = TT_CONTAINER_OF (it, TtMember, link);
      const TtMemberEntry *entry = &member->entry;

      if (entry->domain_id != board->domain_id)
        continue;
      if (!tt_member_is_live (member))
        {
          // The member may be serving with an old document behind a network partition, until the
          // host list drops it.
          if (member->listed)
            section->all_listed_live = false;
          continue;
        }
      section->live_in_domain++;
      if (!member->self && tt_hash_rendezvous_score (board->domain_id, entry->id, 1.0) > own)
        section->rank++;
      // Epoch 0: the daemon has started and does not serve yet.
      if (entry->epoch != 0
          && tt_member_epoch_newer (section->lowest_generation, section->lowest_epoch,
                                    entry->generation, entry->epoch))
        {
          section->lowest_generation = entry->generation;
          section->lowest_epoch = entry->epoch;
        }
    }
}

/// Sends TT_PEER_LEAVE to the live members of this daemon's failure domain when it shuts down.
static void
send_leave (TtBoard *board)
{
  TtMemberSection *section = &board->member;

  section->leave_sent = true;
  section->self->entry.state = TT_MEMBER_LEAVING;
  section->self->entry.heartbeat++;
  TT_LIST_FOREACH (&section->all, it)
    {
      TtMember *member = TT_CONTAINER_OF (it, TtMember, link);

      if (!member->self && member->entry.domain_id == board->domain_id
          && tt_member_is_live (member))
        (void) tt_board_send_peer (board, member, TT_PEER_LEAVE);
    }
}

static void
receive_leave (TtBoard *board, const TtPeerMessage *message, int64_t now_us)
{
  TtMember *member = tt_member_find (board, message->sender_id);

  if (member != NULL && !member->self && member->entry.incarnation <= message->sender_incarnation)
    set_state (board, member, TT_MEMBER_LEAVING, now_us);
}

static void
on_event (void *context, TtBoard *board, const TtEvent *event, int64_t now_us)
{
  const TtPlatformEvent *response = &event->platform;

  (void) context;
  if (event->type == TT_EVENT_PEER_MESSAGE && event->peer->type == TT_PEER_GOSSIP)
    tt_gossip_receive (board, event->peer, now_us);
  else if (event->type == TT_EVENT_PEER_MESSAGE && event->peer->type == TT_PEER_LEAVE)
    receive_leave (board, event->peer, now_us);
  else if (event->type == TT_EVENT_PLATFORM_RESPONSE && response->op == TT_PLATFORM_HOSTS
           && response->code == TT_OK && response->object != NULL)
    {
      if (response->call_id == board->roster.domain_call_id
          || response->call_id == board->roster.fleet_call_id)
        add_listed_hosts (board, &response->object->hosts,
                          response->call_id == board->roster.fleet_call_id);
    }
  else if (event->type == TT_EVENT_TICK && now_us >= board->member.next_scan_us)
    {
      board->member.next_scan_us = now_us + SCAN_PERIOD_US;
      expire_members (board, now_us);
    }
  else
    return;
  update_domain_summary (board);
}

static void
run (void *context, TtBoard *board, int64_t now_us)
{
  TtMemberSection *section = &board->member;
  const TtConfigSection *configuration = &board->team_config;
  TtMemberEntry *own = &section->self->entry;
  bool epoch_raised;

  (void) context;
  epoch_raised = configuration->synced
                 && tt_member_epoch_newer (configuration->generation, configuration->epoch,
                                           own->generation, own->epoch);
  if (epoch_raised)
    {
      own->generation = configuration->generation;
      own->epoch = configuration->epoch;
      own->heartbeat++;
      update_domain_summary (board);
      // A new epoch is sent immediately, not with the next round.
      tt_gossip_send_round (board, now_us);
      // The reporter needs the entries of all members; through gossip rounds alone they take
      // seconds to arrive.
      tt_gossip_send_to_reporter (board);
      if (section->rank < GATEWAY_COUNT)
        tt_gossip_send_to_gateways (board, now_us);
    }
  if (board->roster.last_leaving_us > section->leaving_sent_us)
    {
      // Leaving backend servers must be known within a few seconds; waiting for the next round and
      // the next gateway message would exceed that.
      section->leaving_sent_us = board->roster.last_leaving_us;
      tt_gossip_send_round (board, now_us);
      tt_gossip_send_to_gateways (board, now_us);
    }
  if (board->drain.state == TT_DRAIN_DONE && !section->leave_sent)
    send_leave (board);
  if (now_us >= section->next_round_us)
    {
      section->next_round_us
          = now_us + ROUND_PERIOD_US * 9 / 10
            + (int64_t) tt_rng_below (&board->rng, (uint64_t) ROUND_PERIOD_US / 5);
      own->heartbeat++;
      tt_gossip_send_round (board, now_us);
    }
  if (section->rank < GATEWAY_COUNT && now_us >= section->next_gateway_us)
    {
      section->next_gateway_us = now_us + GATEWAY_PERIOD_US;
      tt_gossip_send_to_gateways (board, now_us);
    }
}

TtController
tt_member_controller (void)
{
  return (TtController){
    .name = "member", .open = open_members, .close = close_members, .on_event = on_event, .run = run
  };
}
