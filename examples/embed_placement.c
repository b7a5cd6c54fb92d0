/// Embeds placement with the load bound: a program with its own transport and clock submits
/// requests to the board, which selects the backend server of each chat. Here the "transport" is a
/// loop that completes every dispatched attempt.
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <tarragontrack/board/board.h>
#include <tarragontrack/board/hash.h>
#include <tarragontrack/control/controllers.h>

enum
{
  ENGINES = 6,
  CHATS = 24,
  ROUNDS = 3
};

/// Context of the observer: the id of the backend server that last served each chat, and counts.
typedef struct
{
  uint64_t last_backend_id[CHATS];
  unsigned completed;
  unsigned returned_to_last; ///< requests placed on the server of the chat's previous request
} Observer;

/// Callback of the observer, an application-defined controller: counts completed requests.
static void
on_finished (void *context, TtBoard *board, TtRequest *request, int64_t now_us)
{
  Observer *observer = context;

  (void) board;
  (void) now_us;
  if (request->outcome == TT_OUTCOME_COMPLETE)
    observer->completed++;
}

/// Fills in a document with one model. A daemon reads its documents from the platform instead.
static void
fill_document (TtDocument *document)
{
  TtServiceSpec *service = &document->services[0];

  memset (document, 0, sizeof *document);
  (void) snprintf (document->team, sizeof document->team, "example");
  document->team_id = tt_hash_string (document->team);
  document->schema = TT_DOCUMENT_MAX_SCHEMA;
  document->default_priority = 1;
  document->default_queue_deadline_ms = 1000;
  document->service_count = 1;
  (void) snprintf (service->name, sizeof service->name, "model");
  service->id = tt_hash_string (service->name);
  service->repeatable = true;
  service->prefix_spread = 2;
  service->load_multiple = 1.25;
  service->long_share = 0.5;
  service->long_tokens = 1000;
  service->first_token_timeout_ms = 1000;
  service->progress_timeout_ms = 1000;
  document->account_count = 1;
  (void) snprintf (document->accounts[0].name, TT_NAME_MAX, "caller");
  document->accounts[0].id = tt_hash_string ("caller");
  document->accounts[0].weight = 1.0;
}

/// Responds to one platform call from memory.
static void
process_platform_call (TtBoard *board, const TtPlatformAction *call, int64_t now_us)
{
  static TtDocument document;
  static TtHostEntry hosts[ENGINES];
  static TtObject object;
  TtEvent event = { .type = TT_EVENT_PLATFORM_RESPONSE };

  memset (&object, 0, sizeof object);
  event.platform = (TtPlatformEvent){
    .call_id = call->call_id, .op = call->op, .version = call->version + 1, .object = &object
  };
  if (call->op == TT_PLATFORM_HOSTS)
    {
      for (int i = 0; i < ENGINES; i++)
        {
          hosts[i] = (TtHostEntry){ .port = (uint16_t) (9000 + i), .weight = 1, .batch_limit = 8 };
          (void) snprintf (hosts[i].name, TT_NAME_MAX, "engine-%d", i);
          (void) snprintf (hosts[i].domain, TT_NAME_MAX, "here");
          (void) snprintf (hosts[i].service, TT_NAME_MAX, "model");
        }
      object.type = TT_OBJECT_HOSTS;
      object.hosts = (TtHostsObject){ .hosts = hosts, .count = ENGINES };
    }
  else if (strcmp (call->key, "config/head") == 0 && call->op != TT_PLATFORM_PUT)
    {
      object.type = TT_OBJECT_HEAD;
      object.head = (TtHeadObject){ .generation = 1, .epoch = 1, .team_count = 1 };
      (void) snprintf (object.head.teams[0].team, TT_NAME_MAX, "example");
      object.head.teams[0].epoch = 1;
    }
  else if (strncmp (call->key, "documents/", 10) == 0)
    {
      fill_document (&document);
      object.type = TT_OBJECT_DOCUMENT;
      object.document = (TtDocumentObject){ .document = &document, .text = "{}", .text_size = 2 };
      (void) snprintf (object.document.team, TT_NAME_MAX, "example");
    }
  else if (call->op != TT_PLATFORM_PUT)
    {
      event.platform.object = NULL;
      event.platform.version = 0;
      event.platform.code = TT_E_NOT_FOUND;
    }
  tt_board_step (board, &event, now_us);
}

/// Executes the board's pending actions; returns the id of the backend server of the last dispatch.
static uint64_t
execute_actions (TtBoard *board, int64_t now_us)
{
  uint64_t backend_id = 0;
  TtAction *action;

  while ((action = tt_board_pop_action (board)) != NULL)
    {
      if (action->type == TT_ACTION_PLATFORM_CALL && action->platform.op != TT_PLATFORM_WATCH)
        process_platform_call (board, &action->platform, now_us);
      else if (action->type == TT_ACTION_DISPATCH)
        {
          TtEvent done = { .type = TT_EVENT_ATTEMPT_DONE };

          backend_id = action->attempt.backend_id;
          done.attempt.attempt_id = action->attempt.attempt_id;
          done.attempt.status = 200;
          tt_board_step (board, &done, now_us);
        }
      tt_board_release_action (board, action);
    }
  return backend_id;
}

int
main (void)
{
  TtBoardConfig config = { .fleet = "example",
                           .name = "embedder",
                           .domain = "here",
                           .address = "127.0.0.1",
                           .incarnation = 1,
                           .seed = { 1, 2 },
                           .max_requests = 64,
                           .max_attempts = 128,
                           .max_accounts = 8 };
  Observer observer = { .completed = 0 };
  TtController observer_controller
      = { .name = "observer", .context = &observer, .on_finished = on_finished };
  TtBoard *board = tt_board_new (&config);
  TtEvent tick = { .type = TT_EVENT_TICK };
  int64_t now_us = TT_SECOND_US;

  if (board == NULL || tt_controllers_add_leased (board) < 0
      || tt_board_add_controller (board, &observer_controller) < 0)
    return 1;
  for (int i = 0; i < 100; i++, now_us += TT_TICK_INTERVAL_US)
    {
      tt_board_step (board, &tick, now_us);
      (void) execute_actions (board, now_us);
    }
  for (int round = 0; round < ROUNDS; round++)
    for (int chat = 0; chat < CHATS; chat++, now_us += TT_TICK_INTERVAL_US)
      {
        TtRequestSpec spec = { .account = "caller", .service = "model" };
        TtEvent event = { .type = TT_EVENT_REQUEST, .request = &spec };
        uint64_t backend_id;

        spec.request_id = tt_board_next_id (board);
        spec.chat_key = tt_hash_pair ((uint64_t) chat, 1);
        tt_board_step (board, &event, now_us);
        backend_id = execute_actions (board, now_us);
        if (round > 0 && backend_id == observer.last_backend_id[chat])
          observer.returned_to_last++;
        observer.last_backend_id[chat] = backend_id;
        tt_board_step (board, &tick, now_us);
        (void) execute_actions (board, now_us);
      }
  (void) printf ("%u requests completed, %u of %d returning requests reached the engine that holds "
                 "the chat's prefix\n",
                 observer.completed, observer.returned_to_last, (ROUNDS - 1) * CHATS);
  tt_board_free (board);
  return observer.completed == ROUNDS * CHATS ? 0 : 1;
}
