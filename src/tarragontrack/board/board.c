#include "tarragontrack/board/board.h"
#include "tarragontrack/board/hash.h"
#include "tarragontrack/board/request.h"
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

TtBoard *
tt_board_new (const TtBoardConfig *config)
{
  TtBoard *board = calloc (1, sizeof *board);

  if (board == NULL)
    return NULL;
  board->config = *config;
  board->domain_id = tt_hash_string (config->domain);
  tt_rng_init (&board->rng, config->seed[0], config->seed[1]);
  tt_list_init (&board->controllers);
  tt_list_init (&board->member.all);
  tt_list_init (&board->outbox);
  tt_list_init (&board->free_actions);
  tt_list_init (&board->share.changed_backends);
  tt_list_init (&board->share.free_leases);
  tt_list_init (&board->share.free_demands);
  tt_list_init (&board->place.awaited_backends);
  tt_list_init (&board->backends.all);
  tt_list_init (&board->backends.pools);
  tt_list_init (&board->backends.free_backends);
  for (int i = 0; i < TT_BACKEND_BUCKETS; i++)
    tt_list_init (&board->backends.buckets[i]);
  if (tt_request_pools_init (board) < 0)
    {
      tt_board_free (board);
      return NULL;
    }
  return board;
}

/// Frees the message of a TT_ACTION_PEER_SEND action.
static void
free_peer_message (TtAction *action)
{
  if (action->type != TT_ACTION_PEER_SEND || action->peer.message == NULL)
    return;
  if (action->peer.message->type == TT_PEER_SERVERS
      || action->peer.message->type == TT_PEER_SERVER_CHANGES)
    free (action->peer.message->servers.entries);
  free (action->peer.message);
}

/// Frees all actions of a list.
static void
free_actions (TtList *list)
{
  TtLink *link;

  while ((link = tt_list_pop (list)) != NULL)
    {
      TtAction *action = TT_CONTAINER_OF (link, TtAction, link);

      free_peer_message (action);
      free (action);
    }
}

void
tt_board_free (TtBoard *board)
{
  if (board == NULL)
    return;
  for (uint32_t i = board->controller_count; i > 0; i--)
    {
      TtController *controller = &board->controller_pool[i - 1];

      if (controller->close != NULL)
        controller->close (controller->context, board);
    }
  free_actions (&board->outbox);
  free_actions (&board->free_actions);
  tt_request_pools_free (board);
  free (board);
}

int
tt_board_add_controller (TtBoard *board, const TtController *controller)
{
  TtController *slot;

  if (board->controller_count == TT_MAX_CONTROLLERS)
    return TT_E_LIMIT;
  slot = &board->controller_pool[board->controller_count];
  *slot = *controller;
  tt_link_init (&slot->link);
  if (slot->open != NULL)
    {
      int code = slot->open (slot->context, board);

      if (code < 0)
        return code;
    }
  tt_list_append (&board->controllers, &slot->link);
  board->controller_count++;
  return TT_OK;
}

/// Calls `on_finished` for requests that reached their outcome, and frees those without an
/// unsettled claim. Sets `dirty`, because the callbacks may require another pass.
static void
process_finished_requests (TtBoard *board, int64_t now_us)
{
  TT_LIST_FOREACH (&board->requests.stages[TT_STAGE_FINISHED], it)
    {
      TtRequest *request = TT_CONTAINER_OF (it, TtRequest, stage_link);

      if (!request->finish_notified)
        {
          request->finish_notified = true;
          board->dirty = true;
          TT_LIST_FOREACH (&board->controllers, c)
            {
              TtController *controller = TT_CONTAINER_OF (c, TtController, link);

              if (controller->on_finished != NULL)
                controller->on_finished (controller->context, board, request, now_us);
            }
        }
      if (request->claim.step == TT_CLAIM_STEP_NONE || request->claim.step == TT_CLAIM_STEP_SETTLED)
        tt_request_free (board, request);
    }
}

void
tt_board_step (TtBoard *board, const TtEvent *event, int64_t now_us)
{
  TT_LIST_FOREACH (&board->controllers, it)
    {
      TtController *controller = TT_CONTAINER_OF (it, TtController, link);

      if (controller->on_event != NULL)
        controller->on_event (controller->context, board, event, now_us);
    }
  for (int pass = 0; pass < TT_BOARD_MAX_PASSES; pass++)
    {
      board->dirty = false;
      TT_LIST_FOREACH (&board->controllers, it)
        {
          TtController *controller = TT_CONTAINER_OF (it, TtController, link);

          if (controller->run != NULL)
            controller->run (controller->context, board, now_us);
        }
      process_finished_requests (board, now_us);
      if (!board->dirty)
        break;
    }
}

TtAction *
tt_board_append_action (TtBoard *board, TtActionType type)
{
  TtLink *link = tt_list_pop (&board->free_actions);
  TtAction *action;

  if (link != NULL)
    {
      action = TT_CONTAINER_OF (link, TtAction, link);
      memset (action, 0, sizeof *action);
    }
  else
    {
      action = calloc (1, sizeof *action);
      if (action == NULL)
        return NULL;
    }
  action->type = type;
  tt_list_append (&board->outbox, &action->link);
  return action;
}

TtAction *
tt_board_pop_action (TtBoard *board)
{
  TtLink *link = tt_list_pop (&board->outbox);

  return link != NULL ? TT_CONTAINER_OF (link, TtAction, link) : NULL;
}

void
tt_board_release_action (TtBoard *board, TtAction *action)
{
  free_peer_message (action);
  action->type = TT_ACTION_EXIT; // so that tt_board_free() does not free the message again
  tt_list_append (&board->free_actions, &action->link);
}

uint64_t
tt_board_next_id (TtBoard *board)
{
  return ++board->last_id;
}

void
tt_board_counter_add (TtBoard *board, TtCounterId id, uint64_t amount)
{
  board->counters[id] += amount;
}

void
tt_board_log (TtBoard *board, TtLogEvent event, const char *format, ...)
{
  TtAction *action = tt_board_append_action (board, TT_ACTION_LOG);
  va_list arguments;

  if (action == NULL)
    return;
  action->log.event = event;
  va_start (arguments, format);
  (void) vsnprintf (action->log.text, sizeof action->log.text, format, arguments);
  va_end (arguments);
}

uint64_t
tt_board_call_platform (TtBoard *board, TtPlatformOp op, const char *key, uint64_t version,
                        const TtObject *object)
{
  TtAction *action = tt_board_append_action (board, TT_ACTION_PLATFORM_CALL);

  if (action == NULL)
    return 0;
  tt_board_counter_add (board, TT_COUNT_PLATFORM_CALLS, 1);
  action->platform.call_id = tt_board_next_id (board);
  action->platform.op = op;
  action->platform.version = version;
  action->platform.object = object;
  (void) snprintf (action->platform.key, sizeof action->platform.key, "%s", key);
  return action->platform.call_id;
}

TtPeerMessage *
tt_board_send_peer (TtBoard *board, const TtMember *member, TtPeerType type)
{
  TtPeerMessage *message = calloc (1, sizeof *message);
  TtAction *action;

  if (message == NULL)
    return NULL;
  action = tt_board_append_action (board, TT_ACTION_PEER_SEND);
  if (action == NULL)
    {
      free (message);
      return NULL;
    }
  message->type = type;
  message->sender_id = tt_hash_string (board->config.name);
  message->sender_incarnation = board->member.self != NULL ? board->member.self->entry.incarnation
                                                           : board->config.incarnation;
  action->peer.member_id = member->entry.id;
  action->peer.port = member->entry.port;
  (void) snprintf (action->peer.address, sizeof action->peer.address, "%s", member->entry.address);
  action->peer.message = message;
  return message;
}
