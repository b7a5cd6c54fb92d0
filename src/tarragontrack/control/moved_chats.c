#include "tarragontrack/control/moved_chats.h"
#include <stdlib.h>

/// Age above which an entry is ignored: the engine has most likely evicted the chat's KV cache.
#define ENTRY_TTL_US (3600 * TT_SECOND_US)

int
tt_moved_chats_open (TtBoard *board)
{
  board->place.moved_chat_capacity = TT_MAX_MOVED_CHATS;
  board->place.moved_chats = calloc (TT_MAX_MOVED_CHATS, sizeof *board->place.moved_chats);
  return board->place.moved_chats != NULL ? TT_OK : TT_E_NO_MEMORY;
}

void
tt_moved_chats_close (TtBoard *board)
{
  free (board->place.moved_chats);
}

/// First entry of the set to which the chat belongs.
static TtMovedChat *
first_of_set (TtBoard *board, uint64_t chat_key)
{
  uint64_t sets = board->place.moved_chat_capacity / TT_MOVED_CHATS_WAYS;

  return &board->place.moved_chats[tt_hash_pair (chat_key, 1) % sets * TT_MOVED_CHATS_WAYS];
}

/// The chat's entry; NULL if there is none.
static TtMovedChat *
find_entry (TtBoard *board, uint64_t chat_key)
{
  TtMovedChat *set = first_of_set (board, chat_key);

  for (int way = 0; way < TT_MOVED_CHATS_WAYS; way++)
    if (set[way].chat_key == chat_key)
      return &set[way];
  return NULL;
}

uint64_t
tt_moved_chats_find (TtBoard *board, uint64_t chat_key, int64_t now_us)
{
  TtMovedChat *entry = chat_key != 0 ? find_entry (board, chat_key) : NULL;

  if (entry == NULL || now_us - entry->used_us > ENTRY_TTL_US)
    return 0;
  return entry->backend_id;
}

void
tt_moved_chats_set (TtBoard *board, uint64_t chat_key, uint64_t backend_id, int64_t now_us)
{
  TtMovedChat *entry;

  if (chat_key == 0)
    return;
  entry = find_entry (board, chat_key);
  if (entry == NULL)
    {
      TtMovedChat *set = first_of_set (board, chat_key);

      entry = set;
      for (int way = 1; way < TT_MOVED_CHATS_WAYS; way++)
        if (set[way].used_us < entry->used_us)
          entry = &set[way];
    }
  *entry = (TtMovedChat){ .chat_key = chat_key, .backend_id = backend_id, .used_us = now_us };
}

void
tt_moved_chats_remove (TtBoard *board, uint64_t chat_key, uint64_t backend_id)
{
  TtMovedChat *entry = chat_key != 0 ? find_entry (board, chat_key) : NULL;

  if (entry != NULL && (backend_id == 0 || entry->backend_id == backend_id))
    *entry = (TtMovedChat){ 0 };
}
