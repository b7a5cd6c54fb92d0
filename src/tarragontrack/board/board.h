/// Life cycle of the blackboard, its event step, its action queue, counters and log events.
#pragma once

#include "tarragontrack/board/board_defs.h"

/// tt_board_new - allocates a board without controllers
///
/// ARGUMENTS  config: copied
/// RETURN     the board, or NULL if memory could not be allocated
/// OWNERSHIP  free with tt_board_free()
TtBoard *tt_board_new (const TtBoardConfig *config);

/// Closes all controllers and frees the board. @board may be NULL.
void tt_board_free (TtBoard *board);

/// tt_board_add_controller - opens a controller and appends it to the list of controllers
///
/// ARGUMENTS  controller: copied; its context must outlive the board
/// RETURN     0, TT_E_LIMIT (TT_MAX_CONTROLLERS are registered), or the negative error code of the
///            controller's `open`
int tt_board_add_controller (TtBoard *board, const TtController *controller);

/// tt_board_step - delivers one event to all controllers, then runs them
///
/// ARGUMENTS  now_us: current time in µs, of a clock that also advances while the host sleeps
/// BOUNDS     calls `on_event` of each controller once, then runs all `run` callbacks in passes:
///            another pass follows while `dirty` is set, at most TT_BOARD_MAX_PASSES in total
/// NOTES      after each pass, calls `on_finished` once for each request that reached its outcome,
///            and frees finished requests that have no unsettled claim
void tt_board_step (TtBoard *board, const TtEvent *event, int64_t now_us);

/// tt_board_append_action - appends an action of the given type to the outbox
///
/// RETURN     the action, zeroed except for its type; NULL if memory could not be allocated
TtAction *tt_board_append_action (TtBoard *board, TtActionType type);

/// Removes the oldest action from the outbox; NULL if the outbox is empty. Return the action with
/// tt_board_release_action().
TtAction *tt_board_pop_action (TtBoard *board);

/// Returns an action to the free list and frees its peer message.
void tt_board_release_action (TtBoard *board, TtAction *action);

/// Returns the next id for a request, attempt or platform call; never 0.
uint64_t tt_board_next_id (TtBoard *board);

/// Adds @amount to a counter.
void tt_board_counter_add (TtBoard *board, TtCounterId id, uint64_t amount);

/// Appends a TT_ACTION_LOG action with the formatted text. @format as in printf.
void tt_board_log (TtBoard *board, TtLogEvent event, const char *format, ...)
    __attribute__ ((format (printf, 3, 4)));

/// tt_board_call_platform - appends a TT_ACTION_PLATFORM_CALL action
///
/// ARGUMENTS  object: PUT only, valid until the next step; version: see TtPlatformOp
/// RETURN     the call's id, which the response event contains; 0 if memory could not be allocated
uint64_t tt_board_call_platform (TtBoard *board, TtPlatformOp op, const char *key, uint64_t version,
                                 const TtObject *object);

/// tt_board_send_peer - appends a TT_ACTION_PEER_SEND action with a message to @member
///
/// RETURN     the message, zeroed except for its type and sender, to be filled in by the caller;
///            NULL if memory could not be allocated
TtPeerMessage *tt_board_send_peer (TtBoard *board, const TtMember *member, TtPeerType type);
