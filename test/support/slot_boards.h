/// Test fixture: boards of one failure domain that exchange slot messages, for tests of the slot
/// owner, slot leases and slot requests.
#pragma once

#include "tarragontrack/board/board.h"

enum
{
  SLOT_BOARDS_MAX = 3
};

typedef struct
{
  TtBoard *boards[SLOT_BOARDS_MAX];
  bool dead[SLOT_BOARDS_MAX];        ///< the board is not stepped and receives no messages
  bool partitioned[SLOT_BOARDS_MAX]; ///< messages from and to the board are dropped
  uint32_t count;
  int64_t now_us;
  TtPeerMessage captured_message; ///< copy of the last message of type SlotBoards.captured_type
  TtPeerType captured_type;
  uint32_t captured_count; ///< number of messages of type SlotBoards.captured_type
} SlotBoards;

/// Creates @count boards with @engines engines of model "chat". Each board has all others as
/// members.
void slot_boards_open (SlotBoards *slot_boards, uint32_t count, uint32_t engines);

void slot_boards_close (SlotBoards *slot_boards);

/// Delivers messages between the boards until none is pending. Other actions are dropped.
void slot_boards_deliver_messages (SlotBoards *slot_boards);

/// Steps all boards that are not dead with a tick every 50 ms for @milliseconds, and delivers their
/// messages.
void slot_boards_run (SlotBoards *slot_boards, int64_t milliseconds);

/// Sends a request to one board and delivers the resulting messages.
void slot_boards_send_request (SlotBoards *slot_boards, uint32_t board, uint64_t chat_key);

/// Sets the state of @member in the member lists of all other boards that are not dead.
void slot_boards_set_member_state (SlotBoards *slot_boards, uint32_t member, TtMemberState state);

/// Index of the board that owns the slots of the engine according to board @board; SLOT_BOARDS_MAX
/// if no board of the fixture does.
uint32_t slot_boards_owner (const SlotBoards *slot_boards, uint32_t board, uint64_t engine);

/// Engine @index in the state of board @board.
TtBackendServer *slot_boards_engine (SlotBoards *slot_boards, uint32_t board, uint32_t index);
