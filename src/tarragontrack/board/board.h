/// The blackboard's life cycle, steps, actions and logs.
#pragma once

#include "tarragontrack/board/board_defs.h"

/// tt_board_new - makes a board without controllers
///
/// ARGUMENTS  config: copied
/// RETURN     the board, or NULL if memory could not be allocated
/// OWNERSHIP  free with tt_board_free()
TtBoard *tt_board_new (const TtBoardConfig *config);

/// Closes all controllers and frees the board. @board may be NULL.
void tt_board_free (TtBoard *board);

/// tt_board_add_controller - adds a controller after those already there and opens it
///
/// ARGUMENTS  controller: copied; its context must outlive the board
/// RETURN     0 or a negative error number of its `open`; TT_E_LIMIT if there are too many
int tt_board_add_controller (TtBoard *board, const TtController *controller);

/// tt_board_step - tells the board of one event and lets the controllers act
///
/// ARGUMENTS  now_us: present time in µs on a clock that goes on during a pause
/// BOUNDS     `on_event` of each controller once, then at most TT_BOARD_MAX_PASSES passes of
///            all `run` callbacks while a pass leaves `dirty` set
/// NOTES      after each pass `on_finished` is called for each request that got its outcome, and
///            finished requests without an unsettled claim are freed
void tt_board_step (TtBoard *board, const TtEvent *event, int64_t now_us);

/// tt_board_act - appends an action of the given type, otherwise zeroed, to the outbox
///
/// RETURN     the action to fill in; NULL only when memory is exhausted
TtAction *tt_board_act (TtBoard *board, TtActionType type);

/// Removes the oldest action from the outbox; NULL if it is empty. Give it back with
/// tt_board_release().
TtAction *tt_board_take (TtBoard *board);

/// Gives back an action, and frees the peer message it holds.
void tt_board_release (TtBoard *board, TtAction *action);

/// Next number for requests, attempts and platform calls; never 0.
uint64_t tt_board_next_id (TtBoard *board);

/// Adds to a counter.
void tt_board_count (TtBoard *board, TtCounterId id, uint64_t amount);

/// Appends a numbered log event. @format as printf.
void tt_board_log (TtBoard *board, TtLogEvent event, const char *format, ...)
    __attribute__ ((format (printf, 3, 4)));

/// tt_board_call - appends a call to the platform
///
/// ARGUMENTS  object: PUT only, valid until the next step; version: see TtPlatformOp
/// RETURN     the call's id, which the answer carries; 0 when memory is exhausted
uint64_t tt_board_call (TtBoard *board, TtPlatformOp op, const char *key, uint64_t version,
                        const TtObject *object);

/// tt_board_send - appends a message to a daemon and fills in the sender
///
/// RETURN     the message to fill in, zeroed; NULL when memory is exhausted
TtPeerMessage *tt_board_send (TtBoard *board, const TtMember *member, TtPeerType type);
