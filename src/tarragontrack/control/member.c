#include "tarragontrack/control/member.h"
#include "tarragontrack/board/board.h"
#include "tarragontrack/board/hash.h"
#include "tarragontrack/control/controllers.h"
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/// Period of the look at all members; each costs time in every step otherwise.
#define AGE_PERIOD_US (200 * TT_MILLISECOND_US)
#define ROUND_US (1 * TT_SECOND_US)
#define GATEWAY_US (2 * TT_SECOND_US)
/// The first two daemons of a failure domain by rank are its gateways.
#define GATEWAYS 2
/// A gone member is forgotten after this long unless a host list names it. Until then its entry
/// stops old gossip from bringing it back.
#define FORGET_US (120 * TT_SECOND_US)
/// Members of other failure domains are heard of through gateways only.
#define FOREIGN_GONE_US (60 * TT_SECOND_US)

/// Allocates the members and enters this daemon.
static int
open_members (void *context, TtBoard *board)
{
  TtMemberSection *section = &board->member;
  TtMember *self;

  (void) context;
  tt_list_init (&section->all);
  tt_list_init (&section->free);
  section->pool = calloc (TT_MAX_MEMBERS, sizeof *section->pool);
  section->accounts = calloc (TT_MEMBER_ACCOUNTS, sizeof *section->accounts);
  section->load_heard_us = calloc (TT_MAX_BACKENDS, sizeof *section->load_heard_us);
  if (section->pool == NULL || section->accounts == NULL || section->load_heard_us == NULL)
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
  free (board->member.load_heard_us);
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
         || (member->heard_us != 0
             && (member->entry.state == TT_MEMBER_ALIVE
                 || member->entry.state == TT_MEMBER_SUSPECT));
}

bool
tt_member_newer (uint64_t generation_a, uint64_t epoch_a, uint64_t generation_b, uint64_t epoch_b)
{
  return generation_a != generation_b ? generation_a > generation_b : epoch_a > epoch_b;
}

/// A record for a daemon not known yet; replaces the one gone longest if none is free.
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
              && (oldest == NULL || member->heard_us < oldest->heard_us))
            oldest = member;
        }
      if (oldest == NULL)
        {
          tt_board_count (board, TT_COUNT_POOL_FULL, 1);
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
  member->carried = 0;
  tt_board_log (board, events[state], "member=%s id=%llx incarnation=%llu", member->name,
                (unsigned long long) member->entry.id,
                (unsigned long long) member->entry.incarnation);
}

/// Refutes a suspicion of this daemon.
static void
merge_self (TtBoard *board, const TtMemberEntry *entry)
{
  TtMemberEntry *own = &board->member.self->entry;

  if (entry->incarnation < own->incarnation || entry->state == TT_MEMBER_ALIVE
      || (own->state == TT_MEMBER_LEAVING && entry->state == TT_MEMBER_LEAVING))
    return;
  own->incarnation = entry->incarnation + 1;
  board->member.self->carried = 0;
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
  // A daemon that is gone before it was known needs no record.
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
      // A late message from before the daemon's leave does not undo it.
      bool left = state == TT_MEMBER_LEAVING && entry->incarnation == member->entry.incarnation;

      member->entry = *entry;
      member->entry.state = state;
      member->heard_us = now_us;
      member->changed_us = now_us;
      member->carried = 0;
      // Its heartbeat rose, so a suspicion that the entry carries is out of date.
      if (!left)
        set_state (board, member,
                   entry->state == TT_MEMBER_LEAVING ? TT_MEMBER_LEAVING : TT_MEMBER_ALIVE, now_us);
    }
  else if (entry->incarnation == member->entry.incarnation
           && entry->heartbeat == member->entry.heartbeat && entry->state == TT_MEMBER_LEAVING
           && member->entry.state < TT_MEMBER_LEAVING)
    set_state (board, member, TT_MEMBER_LEAVING, now_us);
}

void
tt_member_beat (TtBoard *board, const TtPeerBeat *beat, int64_t now_us)
{
  TT_LIST_FOREACH (&board->member.all, it)
    {
      TtMember *member = TT_CONTAINER_OF (it, TtMember, link);
      TtMemberEntry *entry = &member->entry;

      if (member->self || (uint32_t) entry->id != beat->id || member->heard_us == 0
          || (entry->incarnation & 127) != beat->incarnation || entry->heartbeat >= beat->heartbeat)
        continue;
      entry->heartbeat = beat->heartbeat;
      member->heard_us = now_us;
      if (entry->state == TT_MEMBER_SUSPECT || entry->state == TT_MEMBER_GONE)
        set_state (board, member, TT_MEMBER_ALIVE, now_us);
    }
}

/// Enters the daemons of a host list, so that the first messages have somewhere to go.
static void
take_hosts (TtBoard *board, const TtHostsObject *list, bool fleet)
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
      if (member->self || member->heard_us != 0)
        continue;
      member->entry.domain_id = tt_hash_string (host->domain);
      member->entry.port = host->port;
      (void) snprintf (member->entry.address, sizeof member->entry.address, "%s", host->address);
    }
}

/// Suspects silent members and forgets those long gone.
static void
age_members (TtBoard *board, int64_t now_us)
{
  TtMemberSection *section = &board->member;

  TT_LIST_FOREACH (&section->all, it)
    {
      TtMember *member = TT_CONTAINER_OF (it, TtMember, link);
      bool foreign = member->entry.domain_id != board->domain_id;
      int64_t silent_us = now_us - member->heard_us;

      if (member->self)
        continue;
      if (member->heard_us == 0)
        {
          if (member->listed)
            continue;
        }
      else if (silent_us >= (foreign ? FOREIGN_GONE_US : TT_MEMBER_GONE_US))
        set_state (board, member, TT_MEMBER_GONE, now_us);
      else if (!foreign && silent_us >= TT_MEMBER_SUSPECT_US
               && member->entry.state == TT_MEMBER_ALIVE)
        set_state (board, member, TT_MEMBER_SUSPECT, now_us);
      if (!member->listed && (member->heard_us == 0 || silent_us >= FORGET_US))
        {
          tt_list_remove (&section->all, &member->link);
          tt_list_append (&section->free, &member->link);
        }
    }
}

/// Counts the live members of the own failure domain, this daemon's rank and the lowest epoch.
static void
sum_up (TtBoard *board)
{
  TtMemberSection *section = &board->member;
  double own = tt_hash_score (board->domain_id, section->self->entry.id, 1.0);

  section->live_in_domain = 0;
  section->rank = 0;
  section->all_heard = true;
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
          // It may serve beyond a partition, with an old document, until the list drops it.
          if (member->listed)
            section->all_heard = false;
          continue;
        }
      section->live_in_domain++;
      if (!member->self && tt_hash_score (board->domain_id, entry->id, 1.0) > own)
        section->rank++;
      // Epoch 0: it started and does not serve yet.
      if (entry->epoch != 0
          && tt_member_newer (section->lowest_generation, section->lowest_epoch, entry->generation,
                              entry->epoch))
        {
          section->lowest_generation = entry->generation;
          section->lowest_epoch = entry->epoch;
        }
    }
}

/// Tells the members of the own failure domain that this daemon shuts down.
static void
say_leave (TtBoard *board)
{
  TtMemberSection *section = &board->member;

  section->left = true;
  section->self->entry.state = TT_MEMBER_LEAVING;
  section->self->entry.heartbeat++;
  TT_LIST_FOREACH (&section->all, it)
    {
      TtMember *member = TT_CONTAINER_OF (it, TtMember, link);

      if (!member->self && member->entry.domain_id == board->domain_id
          && tt_member_is_live (member))
        (void) tt_board_send (board, member, TT_PEER_LEAVE);
    }
}

static void
take_leave (TtBoard *board, const TtPeerMessage *message, int64_t now_us)
{
  TtMember *member = tt_member_find (board, message->sender_id);

  if (member != NULL && !member->self && member->entry.incarnation <= message->sender_incarnation)
    set_state (board, member, TT_MEMBER_LEAVING, now_us);
}

static void
on_event (void *context, TtBoard *board, const TtEvent *event, int64_t now_us)
{
  const TtPlatformEvent *answer = &event->platform;

  (void) context;
  if (event->type == TT_EVENT_PEER && event->peer->type == TT_PEER_GOSSIP)
    tt_gossip_read (board, event->peer, now_us);
  else if (event->type == TT_EVENT_PEER && event->peer->type == TT_PEER_LEAVE)
    take_leave (board, event->peer, now_us);
  else if (event->type == TT_EVENT_PLATFORM && answer->op == TT_PLATFORM_HOSTS
           && answer->code == TT_OK && answer->object != NULL)
    {
      if (answer->call_id == board->roster.poll_call || answer->call_id == board->roster.fleet_call)
        take_hosts (board, &answer->object->hosts, answer->call_id == board->roster.fleet_call);
    }
  else if (event->type == TT_EVENT_TICK && now_us >= board->member.next_age_us)
    {
      board->member.next_age_us = now_us + AGE_PERIOD_US;
      age_members (board, now_us);
    }
  else
    return;
  sum_up (board);
}

static void
run (void *context, TtBoard *board, int64_t now_us)
{
  TtMemberSection *section = &board->member;
  const TtConfigSection *configuration = &board->configuration;
  TtMemberEntry *own = &section->self->entry;
  bool epoch_rose;

  (void) context;
  epoch_rose = configuration->complete
               && tt_member_newer (configuration->generation, configuration->epoch, own->generation,
                                   own->epoch);
  if (epoch_rose)
    {
      own->generation = configuration->generation;
      own->epoch = configuration->epoch;
      own->heartbeat++;
      sum_up (board);
      // A change goes out at once, not with the next round.
      tt_gossip_round (board, now_us);
      // The reporter waits for the entries of all; by rounds alone they take seconds to reach it.
      tt_gossip_tell_first (board);
      if (section->rank < GATEWAYS)
        tt_gossip_gateways (board, now_us);
    }
  if (board->roster.leaving_us > section->leaving_told_us)
    {
      // A round and the gateways' period would add up to more than "a few seconds".
      section->leaving_told_us = board->roster.leaving_us;
      tt_gossip_round (board, now_us);
      tt_gossip_gateways (board, now_us);
    }
  if (board->drain.state == TT_DRAIN_DONE && !section->left)
    say_leave (board);
  if (now_us >= section->next_round_us)
    {
      section->next_round_us = now_us + ROUND_US * 9 / 10
                               + (int64_t) tt_rng_below (&board->rng, (uint64_t) ROUND_US / 5);
      own->heartbeat++;
      tt_gossip_round (board, now_us);
    }
  if (section->rank < GATEWAYS && now_us >= section->next_gateway_us)
    {
      section->next_gateway_us = now_us + GATEWAY_US;
      tt_gossip_gateways (board, now_us);
    }
}

TtController
tt_member_controller (void)
{
  return (TtController){
    .name = "member", .open = open_members, .close = close_members, .on_event = on_event, .run = run
  };
}
