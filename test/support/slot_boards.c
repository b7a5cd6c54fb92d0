#include "support/slot_boards.h"
#include "support/test_board.h"
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
slot_boards_open (SlotBoards *slot_boards, uint32_t count, uint32_t engines)
{
  memset (slot_boards, 0, sizeof *slot_boards);
  slot_boards->count = count;
  slot_boards->now_us = START_US;
  for (uint32_t i = 0; i < count; i++)
    {
      char name[TT_NAME_MAX];

      (void) snprintf (name, sizeof name, "router-%u", i);
      slot_boards->boards[i] = test_board_new (name, "alpha");
    }
  for (uint32_t i = 0; i < count; i++)
    for (uint32_t k = 0; k < count; k++)
      if (k != i)
        add_member (slot_boards->boards[i], slot_boards->boards[k]);
  for (uint32_t i = 0; i < count; i++)
    test_board_load_configuration (slot_boards->boards[i], engines, slot_boards->now_us);
  slot_boards_deliver_messages (slot_boards);
}

void
slot_boards_close (SlotBoards *slot_boards)
{
  for (uint32_t i = 0; i < slot_boards->count; i++)
    tt_board_free (slot_boards->boards[i]);
}

/// Delivers a message to its recipient, unless the recipient is dead or either board is
/// partitioned.
static void
deliver (SlotBoards *slot_boards, uint32_t sender, const TtPeerAction *action)
{
  TtEvent event = { .type = TT_EVENT_PEER_MESSAGE, .peer = action->message };

  if (action->message->type == slot_boards->captured_type)
    {
      slot_boards->captured_message = *action->message;
      slot_boards->captured_count++;
    }
  for (uint32_t i = 0; i < slot_boards->count; i++)
    if (slot_boards->boards[i]->member.self->entry.id == action->member_id && !slot_boards->dead[i]
        && !slot_boards->partitioned[i] && !slot_boards->partitioned[sender])
      tt_board_step (slot_boards->boards[i], &event, slot_boards->now_us);
}

void
slot_boards_deliver_messages (SlotBoards *slot_boards)
{
  bool delivered = true;

  while (delivered)
    {
      delivered = false;
      for (uint32_t i = 0; i < slot_boards->count; i++)
        {
          TtAction *action;

          while ((action = tt_board_pop_action (slot_boards->boards[i])) != NULL)
            {
              if (action->type == TT_ACTION_PEER_SEND && !slot_boards->dead[i])
                {
                  deliver (slot_boards, i, &action->peer);
                  delivered = true;
                }
              tt_board_release_action (slot_boards->boards[i], action);
            }
        }
    }
}

void
slot_boards_run (SlotBoards *slot_boards, int64_t milliseconds)
{
  TtEvent tick = { .type = TT_EVENT_TICK };

  for (int64_t elapsed_ms = 0; elapsed_ms < milliseconds; elapsed_ms += 50)
    {
      slot_boards->now_us += TT_TICK_INTERVAL_US;
      for (uint32_t i = 0; i < slot_boards->count; i++)
        if (!slot_boards->dead[i])
          tt_board_step (slot_boards->boards[i], &tick, slot_boards->now_us);
      slot_boards_deliver_messages (slot_boards);
    }
}

void
slot_boards_send_request (SlotBoards *slot_boards, uint32_t board, uint64_t chat_key)
{
  (void) test_board_send_request (slot_boards->boards[board], "small", "chat", chat_key,
                                  slot_boards->now_us);
  slot_boards_deliver_messages (slot_boards);
}

void
slot_boards_set_member_state (SlotBoards *slot_boards, uint32_t member, TtMemberState state)
{
  uint64_t id = slot_boards->boards[member]->member.self->entry.id;

  for (uint32_t i = 0; i < slot_boards->count; i++)
    TT_LIST_FOREACH (&slot_boards->boards[i]->member.all, it)
      {
        TtMember *entry = TT_CONTAINER_OF (it, TtMember, link);

        if (i != member && !slot_boards->dead[i] && entry->entry.id == id)
          entry->entry.state = state;
      }
}

uint32_t
slot_boards_owner (const SlotBoards *slot_boards, uint32_t board, uint64_t engine)
{
  const TtBackendServer *backend = tt_backend_find (slot_boards->boards[board], engine);
  uint32_t owner = 0;

  while (owner < slot_boards->count
         && slot_boards->boards[owner]->member.self->entry.id != backend->share.owner_id)
    owner++;
  return owner < slot_boards->count ? owner : SLOT_BOARDS_MAX;
}

TtBackendServer *
slot_boards_engine (SlotBoards *slot_boards, uint32_t board, uint32_t index)
{
  char name[TT_NAME_MAX];

  (void) snprintf (name, sizeof name, "chat-%u", index);
  return tt_backend_find (slot_boards->boards[board], tt_hash_string (name));
}
