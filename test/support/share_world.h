/// Test fixture: boards of one failure domain that exchange slot messages, for tests of the slot
/// owner, slot leases and slot requests.
#pragma once

#include "tarragontrack/board/board.h"

enum
{
  SHARE_BOARDS = 3
};

typedef struct
{
  TtBoard *boards[SHARE_BOARDS];
  bool dead[SHARE_BOARDS]; ///< the board is neither stepped nor receives messages
  bool cut[SHARE_BOARDS];  ///< messages from and to the board are dropped
  uint32_t count;
  int64_t now_us;
  TtPeerMessage kept; ///< copy of the last message of type ShareWorld.keep_type
  TtPeerType keep_type;
  uint32_t kept_count; ///< number of messages of type ShareWorld.keep_type
} ShareWorld;

/// Creates @count boards with @engines engines of model "chat". Each board has all others as
/// members.
void share_world_open (ShareWorld *slot_boards, uint32_t count, uint32_t engines);

void share_world_close (ShareWorld *slot_boards);

/// Delivers messages between the boards until none is pending. Other actions are dropped.
void share_world_pump (ShareWorld *slot_boards);

/// Steps all boards that are not dead with a tick every 50 ms for @milliseconds, and delivers their
/// messages.
void share_world_run (ShareWorld *slot_boards, int64_t milliseconds);

/// Sends a request to one board and delivers the resulting messages.
void share_world_request (ShareWorld *slot_boards, uint32_t board, uint64_t chat_key);

/// Sets the state of @member in the member lists of all other boards that are not dead.
void share_world_set_state (ShareWorld *slot_boards, uint32_t member, TtMemberState state);

/// Index of the board that board @viewer takes for the slot owner of the engine; SHARE_BOARDS if it
/// is none of the boards.
uint32_t share_world_keeper (const ShareWorld *slot_boards, uint32_t viewer, uint64_t engine);

/// Engine @index in the state of board @board.
TtBackendServer *share_world_engine (ShareWorld *slot_boards, uint32_t board, uint32_t index);
