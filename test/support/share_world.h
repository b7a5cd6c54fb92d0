/// Some boards of one failure domain that exchange their share messages, for tests of `share`.
#pragma once

#include "tarragontrack/board/board.h"

enum
{
  SHARE_BOARDS = 3
};

typedef struct
{
  TtBoard *boards[SHARE_BOARDS];
  bool dead[SHARE_BOARDS]; ///< neither steps nor receives
  bool cut[SHARE_BOARDS];  ///< its messages are lost in both directions
  uint32_t count;
  int64_t now_us;
  TtPeerMessage kept; ///< last message of type keep_type
  TtPeerType keep_type;
  uint32_t kept_count;
} ShareWorld;

/// Opens @count boards with @engines engines of model "chat"; each knows the others.
void share_world_open (ShareWorld *world, uint32_t count, uint32_t engines);

void share_world_close (ShareWorld *world);

/// Delivers messages until none is open; other actions are dropped.
void share_world_pump (ShareWorld *world);

/// Steps all boards every 50 ms for @milliseconds and delivers messages.
void share_world_run (ShareWorld *world, int64_t milliseconds);

/// Sends a request to one board; its messages are delivered.
void share_world_request (ShareWorld *world, uint32_t board, uint64_t chat_key);

/// Changes the state in which all living boards but @member see @member.
void share_world_set_state (ShareWorld *world, uint32_t member, TtMemberState state);

/// Board that keeps the engine, as board @viewer sees it; SHARE_BOARDS if it is none of them.
uint32_t share_world_keeper (const ShareWorld *world, uint32_t viewer, uint64_t engine);

/// Engine @index as board @board sees it.
TtBackendServer *share_world_engine (ShareWorld *world, uint32_t board, uint32_t index);
