#include "support/test_board.h"
#include "tarragontrack/board/hash.h"
#include "tarragontrack/control/controllers.h"
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

TtBoard *
test_board_new (const char *name, const char *domain)
{
  TtBoardConfig config = { .incarnation = 1,
                           .seed = { 1, tt_hash_string (name) },
                           .max_requests = 512,
                           .max_attempts = 1024,
                           .max_accounts = 64,
                           .peer_port = 7000 };
  TtBoard *board;

  (void) snprintf (config.fleet, sizeof config.fleet, "test");
  (void) snprintf (config.name, sizeof config.name, "%s", name);
  (void) snprintf (config.domain, sizeof config.domain, "%s", domain);
  (void) snprintf (config.address, sizeof config.address, "127.0.0.1");
  board = tt_board_new (&config);
  if (board == NULL || tt_controllers_add_leased (board) < 0)
    abort ();
  return board;
}

/// Fills in a service with the defaults of the tests.
static void
set_service (TtServiceSpec *service, const char *name, TtServiceType type)
{
  (void) snprintf (service->name, sizeof service->name, "%s", name);
  service->id = tt_hash_string (name);
  service->type = type;
  service->repeatable = type == TT_SERVICE_MODEL;
  service->prefix_spread = 4;
  service->load_multiple = 1.25;
  service->long_share = 0.5;
  service->long_tokens = 1000;
  service->first_token_timeout_ms = 10000;
  service->progress_timeout_ms = 5000;
  service->min_replicas = 1;
}

/// Fills in a client account by name.
static void
set_account (TtAccountSpec *account, const char *name, double weight)
{
  (void) snprintf (account->name, sizeof account->name, "%s", name);
  account->id = tt_hash_string (name);
  account->weight = weight;
}

static void
set_kind (TtKindSpec *kind, const char *name, uint32_t priority, bool idempotent)
{
  (void) snprintf (kind->name, sizeof kind->name, "%s", name);
  kind->id = tt_hash_string (name);
  kind->priority = priority;
  kind->queue_deadline_ms = 10000;
  kind->idempotent = idempotent;
}

void
test_board_fill_document (TtDocument *document)
{
  memset (document, 0, sizeof *document);
  (void) snprintf (document->team, sizeof document->team, "demo");
  document->team_id = tt_hash_string ("demo");
  document->schema = TT_DOCUMENT_MAX_SCHEMA;
  document->detach_after_s = 30;
  document->default_priority = 2;
  document->default_queue_deadline_ms = 10000;
  document->service_count = 2;
  set_service (&document->services[0], "chat", TT_SERVICE_MODEL);
  set_service (&document->services[1], "ledger", TT_SERVICE_PLAIN);
  (void) snprintf (document->services[1].path_prefix, sizeof document->services[1].path_prefix,
                   "/ledger");
  document->account_count = 2;
  set_account (&document->accounts[0], "small", 1.0);
  set_account (&document->accounts[1], "large", 1.0);
  document->kind_count = 2;
  set_kind (&document->kinds[0], "note", 1, true);
  set_kind (&document->kinds[1], "grant", 0, false);
}

void
test_board_fill_hosts (TtHostEntry *hosts, uint32_t count, const char *service, const char *domain)
{
  memset (hosts, 0, count * sizeof *hosts);
  for (uint32_t i = 0; i < count; i++)
    {
      (void) snprintf (hosts[i].name, sizeof hosts[i].name, "%s-%u", service, i);
      (void) snprintf (hosts[i].address, sizeof hosts[i].address, "127.0.0.1");
      (void) snprintf (hosts[i].domain, sizeof hosts[i].domain, "%s", domain);
      (void) snprintf (hosts[i].service, sizeof hosts[i].service, "%s", service);
      hosts[i].port = (uint16_t) (9000 + i);
      hosts[i].weight = 1.0;
      hosts[i].batch_limit = 32;
      hosts[i].supports_fencing = true;
    }
}

/// Fills in the response to one platform call.
static void
build_response (const TtPlatformAction *call, const TtDocument *document,
                const TtHostsObject *hosts, TtObject *object, TtEvent *event)
{
  event->type = TT_EVENT_PLATFORM_RESPONSE;
  event->platform = (TtPlatformEvent){ .call_id = call->call_id, .op = call->op, .version = 1 };
  if (call->op == TT_PLATFORM_PUT)
    {
      event->platform.version = call->version + 1;
      return;
    }
  event->platform.object = object;
  if (call->op == TT_PLATFORM_HOSTS)
    {
      object->type = TT_OBJECT_HOSTS;
      object->hosts = *hosts;
    }
  else if (strcmp (call->key, "config/head") == 0)
    {
      object->type = TT_OBJECT_HEAD;
      object->head.epoch = 1;
      object->head.generation = 1;
      object->head.team_count = 1;
      object->head.teams[0].epoch = 1;
      object->head.teams[0].hash.bytes[0] = 1;
      (void) snprintf (object->head.teams[0].team, TT_NAME_MAX, "%s", document->team);
    }
  else if (strncmp (call->key, "documents/", 10) == 0)
    {
      object->type = TT_OBJECT_DOCUMENT;
      object->document.document = document;
      object->document.text = "{}";
      object->document.text_size = 2;
      object->document.hash.bytes[0] = 1;
      (void) snprintf (object->document.team, TT_NAME_MAX, "%s", document->team);
    }
  else
    {
      event->platform.object = NULL;
      event->platform.version = 0;
      event->platform.code = TT_E_NOT_FOUND;
    }
}

void
test_board_respond_to_platform_calls (TtBoard *board, const TtDocument *document,
                                      const TtHostsObject *hosts, int64_t now_us)
{
  TtAction *action;

  while ((action = tt_board_pop_action (board)) != NULL)
    {
      if (action->type == TT_ACTION_PLATFORM_CALL && action->platform.op != TT_PLATFORM_WATCH)
        {
          TtObject *object = calloc (1, sizeof *object);
          TtEvent event = { 0 };

          if (object == NULL)
            abort ();
          build_response (&action->platform, document, hosts, object, &event);
          tt_board_step (board, &event, now_us);
          free (object);
        }
      tt_board_release_action (board, action);
    }
}

void
test_board_load_configuration (TtBoard *board, uint32_t count, int64_t now_us)
{
  TtDocument *document = calloc (1, sizeof *document);
  TtHostEntry *list = calloc (count, sizeof *list);
  TtHostsObject hosts = { .hosts = list, .count = count };
  TtEvent tick = { .type = TT_EVENT_TICK };

  if (document == NULL || list == NULL)
    abort ();
  test_board_fill_document (document);
  test_board_fill_hosts (list, count, "chat", board->config.domain);
  tt_board_step (board, &tick, now_us);
  test_board_respond_to_platform_calls (board, document, &hosts, now_us);
  free (list);
  free (document);
}

const TtAction *
test_board_next_action (TtBoard *board, TtActionType type, TtAction *copy)
{
  TtAction *action;

  while ((action = tt_board_pop_action (board)) != NULL)
    {
      bool found = action->type == type;

      *copy = *action;
      tt_board_release_action (board, action);
      if (found)
        return copy;
    }
  return NULL;
}

uint64_t
test_board_send_request (TtBoard *board, const char *account, const char *service,
                         uint64_t chat_key, int64_t now_us)
{
  TtRequestSpec spec = { .request_id = tt_board_next_id (board),
                         .chat_key = chat_key,
                         .body_hash = tt_hash_pair (chat_key, 1),
                         .prompt_tokens = 100,
                         .max_tokens = 100 };
  TtEvent event = { .type = TT_EVENT_REQUEST, .request = &spec };

  (void) snprintf (spec.account, sizeof spec.account, "%s", account);
  (void) snprintf (spec.service, sizeof spec.service, "%s", service);
  tt_board_step (board, &event, now_us);
  return spec.request_id;
}
