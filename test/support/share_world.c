#include "support/share_world.h"
#include "support/world.h"
#include "tarragontrack/board/backend.h"
#include "tarragontrack/board/hash.h"
#include <stdio.h>
#include <string.h>

#define START_US (100 * TT_SECOND_US)

/// Adds @other to the member list of @board as an alive member.
static void
add_member (TtBoard *board, const TtBoard *other)
{
  TtLink *link = tt_list_pop (&board->member.free);
  TtMember *member = TT_CONTAINER_OF (link, TtMember, link);

  member->entry = other->member.self->entry;
  member->entry.state = TT_MEMBER_ALIVE;
  member->last_heartbeat_us = START_US;
  member->self = false;
  tt_list_append (&board->member.all, &member->link);
  board->member.live_in_domain++;
}

void
share_world_open (ShareWorld *world, uint32_t count, uint32_t engines)
{
  memset (world, 0, sizeof *world);
  world->count = count;
  world->now_us = START_US;
  for (uint32_t i = 0; i < count; i++)
    {
      char name[TT_NAME_MAX];

      (void) snprintf (name, sizeof name, "router-%u", i);
      world->boards[i] = world_board (name, "alpha");
    }
  for (uint32_t i = 0; i < count; i++)
    for (uint32_t k = 0; k < count; k++)
      if (k != i)
        add_member (world->boards[i], world->boards[k]);
  for (uint32_t i = 0; i < count; i++)
    world_start (world->boards[i], engines, world->now_us);
  share_world_pump (world);
}

void
share_world_close (ShareWorld *world)
{
  for (uint32_t i = 0; i < world->count; i++)
    tt_board_free (world->boards[i]);
}

/// Delivers a message to its recipient, unless the recipient is dead or either board is
/// partitioned.
static void
deliver (ShareWorld *world, uint32_t sender, const TtPeerAction *action)
{
  TtEvent event = { .type = TT_EVENT_PEER_MESSAGE, .peer = action->message };

  if (action->message->type == world->keep_type)
    {
      world->kept = *action->message;
      world->kept_count++;
    }
  for (uint32_t i = 0; i < world->count; i++)
    if (world->boards[i]->member.self->entry.id == action->member_id && !world->dead[i]
        && !world->cut[i] && !world->cut[sender])
      tt_board_step (world->boards[i], &event, world->now_us);
}

void
share_world_pump (ShareWorld *world)
{
  bool delivered = true;

  while (delivered)
    {
      delivered = false;
      for (uint32_t i = 0; i < world->count; i++)
        {
          TtAction *action;

          while ((action = tt_board_pop_action (world->boards[i])) != NULL)
            {
              if (action->type == TT_ACTION_PEER_SEND && !world->dead[i])
                {
                  deliver (world, i, &action->peer);
                  delivered = true;
                }
              tt_board_release_action (world->boards[i], action);
            }
        }
    }
}

void
share_world_run (ShareWorld *world, int64_t milliseconds)
{
  TtEvent tick = { .type = TT_EVENT_TICK };

  for (int64_t elapsed_ms = 0; elapsed_ms < milliseconds; elapsed_ms += 50)
    {
      world->now_us += TT_TICK_INTERVAL_US;
      for (uint32_t i = 0; i < world->count; i++)
        if (!world->dead[i])
          tt_board_step (world->boards[i], &tick, world->now_us);
      share_world_pump (world);
    }
}

void
share_world_request (ShareWorld *world, uint32_t board, uint64_t chat_key)
{
  (void) world_request (world->boards[board], "small", "chat", chat_key, world->now_us);
  share_world_pump (world);
}

void
share_world_set_state (ShareWorld *world, uint32_t member, TtMemberState state)
{
  uint64_t id = world->boards[member]->member.self->entry.id;

  for (uint32_t i = 0; i < world->count; i++)
    TT_LIST_FOREACH (&world->boards[i]->member.all, it)
      {
        TtMember *entry = TT_CONTAINER_OF (it, TtMember, link);

        if (i != member && !world->dead[i] && entry->entry.id == id)
          entry->entry.state = state;
      }
}

uint32_t
share_world_keeper (const ShareWorld *world, uint32_t viewer, uint64_t engine)
{
  const TtBackendServer *backend = tt_backend_find (world->boards[viewer], engine);
  uint32_t owner = 0;

  while (owner < world->count
         && world->boards[owner]->member.self->entry.id != backend->share.owner_id)
    owner++;
  return owner < world->count ? owner : SHARE_BOARDS;
}

TtBackendServer *
share_world_engine (ShareWorld *world, uint32_t board, uint32_t index)
{
  char name[TT_NAME_MAX];

  (void) snprintf (name, sizeof name, "chat-%u", index);
  return tt_backend_find (world->boards[board], tt_hash_string (name));
}
