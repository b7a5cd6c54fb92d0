/// Simulated routers: one board each, with the platform calls and peer messages of the board.
#include "support/sim.h"
#include "tarragontrack/board/hash.h"
#include "tarragontrack/control/controllers.h"
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define SERVICE "chat"

enum
{
  ID_BYTES = 9,           ///< 64-bit integer in MessagePack
  HEADER_BYTES = 42,      ///< protocol version, fleet name, type, sender and its incarnation
  MEMBER_ENTRY_BYTES = 70 ///< member entry with its IP address
};

uint32_t
sim_peer_message_bytes (const TtPeerMessage *message)
{
  const TtPeerGossip *gossip = &message->gossip;

  switch (message->type)
    {
    case TT_PEER_SLOT_REQUEST:
    case TT_PEER_SLOT_GRANT:
      // Sequence number, and for each engine: array header, id, use, slots, and a period of at most
      // three bytes.
      return HEADER_BYTES + 6 + message->share.slot_count * (ID_BYTES + 6);
    case TT_PEER_GOSSIP:
      return HEADER_BYTES + 8 + gossip->member_count * MEMBER_ENTRY_BYTES
             + gossip->load_count * (ID_BYTES + 5) + gossip->account_count * (2 * ID_BYTES + 4)
             + gossip->suspect_count * (2 * ID_BYTES + 2) + gossip->leaving_count * ID_BYTES
             + gossip->domain_count * (3 * ID_BYTES + 4);
    case TT_PEER_DOCUMENT:
      return HEADER_BYTES + 200 + message->document.text_size;
    default:
      return HEADER_BYTES + 2 * ID_BYTES;
    }
}

/// Fills in the settings document of the simulated fleet: one model, and the client accounts
/// account-0, account-1, and so on.
static void
fill_document (Sim *sim, TtDocument *document)
{
  TtServiceSpec *service = &document->services[0];

  (void) snprintf (document->team, sizeof document->team, "bench");
  document->team_id = tt_hash_string (document->team);
  document->schema = TT_DOCUMENT_MAX_SCHEMA;
  document->detach_after_s = 30;
  document->default_priority = 1;
  document->default_queue_deadline_ms = 30000;
  document->service_count = 1;
  (void) snprintf (service->name, sizeof service->name, SERVICE);
  *service = (TtServiceSpec){ .id = tt_hash_string (SERVICE),
                              .type = TT_SERVICE_MODEL,
                              .repeatable = true,
                              .prefix_spread = sim->config.prefix_spread,
                              .load_multiple = sim->config.load_multiple,
                              .long_share = 0.5,
                              .long_tokens = 2000,
                              .first_token_timeout_ms = 60000,
                              .progress_timeout_ms = 60000,
                              .min_replicas = 1 };
  (void) snprintf (service->name, sizeof service->name, SERVICE);
  for (uint32_t i = 0; i < sim->config.accounts && i < TT_DOCUMENT_MAX_ACCOUNTS; i++)
    {
      TtAccountSpec *account = &document->accounts[document->account_count++];

      (void) snprintf (account->name, sizeof account->name, "account-%u", i);
      account->id = tt_hash_string (account->name);
      account->weight = 1.0;
    }
  if (sim->config.document != NULL)
    sim->config.document (sim->config.context, document);
}

void
sim_router_update_hosts (Sim *sim)
{
  if (sim->hosts == NULL)
    return;
  sim->host_count = 0;
  sim->hosts_version++;
  for (uint32_t i = 0; i < sim->config.engines; i++)
    {
      const SimEngine *engine = &sim->engines[i];
      TtHostEntry *host;

      if (!engine->up)
        continue;
      host = &sim->hosts[sim->host_count++];
      memset (host, 0, sizeof *host);
      (void) snprintf (host->name, sizeof host->name, "%s", engine->name);
      (void) snprintf (host->address, sizeof host->address, "127.0.0.1");
      (void) snprintf (host->domain, sizeof host->domain, "domain-%u", engine->domain);
      (void) snprintf (host->service, sizeof host->service, SERVICE);
      host->port = (uint16_t) (9000 + i);
      host->weight = 1.0;
      host->batch_limit = sim->config.batch_limit;
      host->supports_fencing = true;
    }
}

/// Responds to a platform call of a board immediately.
static void
respond_to_platform_call (Sim *sim, uint32_t router, const TtPlatformAction *call)
{
  TtObject *object = calloc (1, sizeof *object);
  TtEvent event = { .type = TT_EVENT_PLATFORM_RESPONSE };

  if (object == NULL)
    abort ();
  event.platform = (TtPlatformEvent){
    .call_id = call->call_id, .op = call->op, .version = 1, .object = object
  };
  if (call->op == TT_PLATFORM_PUT)
    {
      event.platform.object = NULL;
      event.platform.version = call->version + 1;
    }
  else if (call->op == TT_PLATFORM_HOSTS)
    {
      object->type = TT_OBJECT_HOSTS;
      object->hosts.hosts = sim->hosts;
      object->hosts.count = sim->host_count;
      event.platform.version = sim->hosts_version;
      event.platform.unchanged = call->version == sim->hosts_version;
      if (event.platform.unchanged)
        event.platform.object = NULL;
    }
  else if (strcmp (call->key, "config/head") == 0)
    {
      object->type = TT_OBJECT_HEAD;
      object->head.epoch = 1;
      object->head.generation = 1;
      object->head.team_count = 1;
      object->head.teams[0].epoch = 1;
      object->head.teams[0].hash.bytes[0] = 1;
      (void) snprintf (object->head.teams[0].team, TT_NAME_MAX, "bench");
    }
  else if (strncmp (call->key, "documents/", 10) == 0)
    {
      object->type = TT_OBJECT_DOCUMENT;
      object->document.document = sim->document;
      object->document.text = "{}";
      object->document.text_size = 2;
      object->document.hash.bytes[0] = 1;
      (void) snprintf (object->document.team, TT_NAME_MAX, "bench");
    }
  else
    {
      event.platform.object = NULL;
      event.platform.version = 0;
      event.platform.code = TT_E_NOT_FOUND;
    }
  tt_board_step (sim->boards[router], &event, sim->now_us);
  free (object);
}

/// Counts a peer message and schedules its delivery, unless it is lost.
static void
send_peer_message (Sim *sim, uint32_t router, const TtPeerAction *action)
{
  uint32_t target = (uint32_t) action->port - 7000;
  TtPeerMessage *copy;

  if (sim->config.measure_message != NULL)
    sim->sent_bytes[router]
        += sim->config.measure_message (sim->config.context, router, target, action->message);
  else
    sim->sent_bytes[router] += sim_peer_message_bytes (action->message);
  sim->result.peer_messages += sim->measuring;
  if (target >= sim->config.routers || tt_rng_unit (&sim->noise) < sim->config.message_loss)
    return;
  copy = malloc (sizeof *copy);
  if (copy == NULL)
    abort ();
  *copy = *action->message;
  sim_push_event (
      sim,
      sim->now_us + sim->config.message_delay_us / 2
          + (int64_t) tt_rng_below (&sim->noise, (uint64_t) sim->config.message_delay_us + 1),
      SIM_EVENT_PEER, target, 0, copy);
}

/// Finds the request that an action of a board refers to; NULL if the request has ended.
static SimRequest *
find_request (Sim *sim, uint32_t router, uint64_t request_id)
{
  uint32_t index = (uint32_t) (request_id >> 32) - 1;
  SimRequest *request;

  if (index >= sim->request_count)
    return NULL;
  request = &sim->requests[index];
  return request->chat != NULL && request->router == router && request->request_id == request_id
             ? request
             : NULL;
}

static SimEngine *
find_engine (Sim *sim, uint64_t backend_id)
{
  for (uint32_t i = 0; i < sim->config.engines; i++)
    if (sim->engines[i].id == backend_id)
      return &sim->engines[i];
  return NULL;
}

/// Starts the attempt of a dispatch action, as a hedge if the request already has an attempt.
/// Reports the attempt as failed if the engine is down or unknown, the request has ended, or no
/// hedge can be opened.
static void
start_attempt (Sim *sim, uint32_t router, const TtAttemptAction *action)
{
  SimRequest *request = find_request (sim, router, action->request_id);
  SimEngine *engine = find_engine (sim, action->backend_id);
  TtEvent event = { .type = TT_EVENT_ATTEMPT_SENT };

  event.attempt.attempt_id = action->attempt_id;
  if (request != NULL && request->engine != NULL)
    request = sim_hedge_open (sim, request);
  if (request == NULL || engine == NULL || !engine->up)
    {
      event.type = TT_EVENT_ATTEMPT_FAILED;
      tt_board_step (sim->boards[router], &event, sim->now_us);
      return;
    }
  request->attempt_id = action->attempt_id;
  request->remaining_tokens = request->response_tokens - action->resume_from;
  request->chat->route_hint = request->chat->sends_route_hint ? engine->id : 0;
  sim_engine_submit (sim, engine, request);
  tt_board_step (sim->boards[router], &event, sim->now_us);
}

/// Executes the pending actions of a board.
static void
drain_actions (Sim *sim, uint32_t router)
{
  TtBoard *board = sim->boards[router];
  TtAction *action;

  while ((action = tt_board_pop_action (board)) != NULL)
    {
      SimRequest *request;

      switch (action->type)
        {
        case TT_ACTION_DISPATCH:
          start_attempt (sim, router, &action->attempt);
          break;
        case TT_ACTION_CANCEL:
          request = find_request (sim, router, action->attempt.request_id);
          if (request != NULL && request->attempt_id == action->attempt.attempt_id)
            sim_engine_cancel (sim, request);
          else if (request != NULL && request->hedge != NULL
                   && request->hedge->attempt_id == action->attempt.attempt_id)
            sim_hedge_close (sim, request);
          break;
        case TT_ACTION_REPLY:
          request = find_request (sim, router, action->reply.request_id);
          if (request != NULL)
            {
              sim_engine_cancel (sim, request);
              sim_request_end (sim, request, action->reply.outcome);
            }
          break;
        case TT_ACTION_PLATFORM_CALL:
          if (action->platform.op != TT_PLATFORM_WATCH)
            respond_to_platform_call (sim, router, &action->platform);
          break;
        case TT_ACTION_PEER_SEND:
          send_peer_message (sim, router, &action->peer);
          break;
        default:
          break;
        }
      tt_board_release_action (board, action);
    }
}

/// Adds the other daemons of a router's failure domain to its member list, as gossip would.
static void
add_domain_members (Sim *sim, uint32_t router)
{
  TtMemberSection *section = &sim->boards[router]->member;

  for (uint32_t i = 0; i < sim->config.routers; i++)
    {
      const TtMember *other = sim->boards[i]->member.self;
      TtLink *link;
      TtMember *member;

      if (i == router || i % sim->config.domains != router % sim->config.domains)
        continue;
      link = tt_list_pop (&section->free);
      if (link == NULL)
        return;
      member = TT_CONTAINER_OF (link, TtMember, link);
      member->entry = other->entry;
      member->entry.state = TT_MEMBER_ALIVE;
      member->last_heartbeat_us = sim->now_us;
      (void) snprintf (member->name, sizeof member->name, "%s", other->name);
      tt_list_append (&section->all, &member->link);
      section->live_in_domain++;
    }
}

static TtBoard *
open_board (Sim *sim, uint32_t router)
{
  TtBoardConfig config = { .incarnation = 1,
                           .max_requests = 4096,
                           .max_attempts = 4096,
                           .max_accounts = 256,
                           .peer_port = (uint16_t) (7000 + router) };
  TtBoard *board;

  config.seed[0] = sim->config.seed;
  config.seed[1] = router + 1;
  (void) snprintf (config.fleet, sizeof config.fleet, "bench");
  (void) snprintf (config.name, sizeof config.name, "router-%u", router);
  (void) snprintf (config.domain, sizeof config.domain, "domain-%u", router % sim->config.domains);
  (void) snprintf (config.address, sizeof config.address, "127.0.0.1");
  board = tt_board_new (&config);
  if (board != NULL && tt_controllers_add_leased (board) < 0)
    {
      tt_board_free (board);
      return NULL;
    }
  return board;
}

int
sim_router_open (Sim *sim)
{
  sim->boards = calloc (sim->config.routers, sizeof (TtBoard *));
  sim->document = calloc (1, sizeof *sim->document);
  sim->hosts = calloc (sim->config.engines, sizeof *sim->hosts);
  if (sim->boards == NULL || sim->document == NULL || sim->hosts == NULL)
    return -1;
  fill_document (sim, sim->document);
  sim_router_update_hosts (sim);
  for (uint32_t i = 0; i < sim->config.routers; i++)
    {
      sim->boards[i] = open_board (sim, i);
      if (sim->boards[i] == NULL)
        return -1;
    }
  for (uint32_t i = 0; i < sim->config.routers; i++)
    add_domain_members (sim, i);
  return 0;
}

void
sim_router_close (Sim *sim)
{
  for (uint32_t i = 0; sim->boards != NULL && i < sim->config.routers; i++)
    tt_board_free (sim->boards[i]);
  free (sim->boards);
  free (sim->document);
  free (sim->hosts);
}

void
sim_router_submit_request (Sim *sim, SimRequest *request)
{
  TtRequestSpec spec = { .chat_key = request->chat->key,
                         .prefix_key = request->chat->prefix_key,
                         .route_hint = request->chat->route_hint,
                         .prompt_tokens = request->prompt_tokens,
                         .max_tokens = 0,
                         .stream = true };
  TtEvent event = { .type = TT_EVENT_REQUEST, .request = &spec };

  spec.body_hash = tt_hash_pair (request->chat->key, request->prompt_tokens);
  (void) snprintf (spec.account, sizeof spec.account, "account-%u", request->chat->account);
  (void) snprintf (spec.service, sizeof spec.service, SERVICE);
  (void) snprintf (spec.kind, sizeof spec.kind, "%s", request->kind);
  request->request_id
      = ((uint64_t) (request - sim->requests) + 1) << 32 | (request->serial & UINT32_MAX);
  spec.request_id = request->request_id;
  tt_board_step (sim->boards[request->router], &event, sim->now_us);
  drain_actions (sim, request->router);
}

void
sim_router_progress (Sim *sim, SimRequest *request, uint32_t tokens)
{
  TtEvent event = { .type = TT_EVENT_ATTEMPT_PROGRESS };
  uint32_t router = request->router;

  event.attempt = (TtAttemptEvent){ .attempt_id = request->attempt_id, .tokens = tokens };
  tt_board_step (sim->boards[router], &event, sim->now_us);
  drain_actions (sim, router);
}

void
sim_router_attempt_done (Sim *sim, SimRequest *request, bool failed)
{
  TtEvent event = { .type = failed ? TT_EVENT_ATTEMPT_FAILED : TT_EVENT_ATTEMPT_DONE };
  uint32_t router = request->router;
  uint64_t request_id = request->request_id;

  event.attempt = (TtAttemptEvent){ .attempt_id = request->attempt_id,
                                    .tokens = request->remaining_tokens,
                                    .status = 200,
                                    .cached_tokens = request->cached_tokens,
                                    .maybe_sent = true };
  request->engine = NULL;
  request->serial++;
  request->started_us = failed ? 0 : request->started_us;
  if (request->owner != NULL)
    {
      SimRequest *owner = request->owner;

      owner->cached_tokens = request->cached_tokens;
      sim_hedge_close (sim, owner);
      request = owner;
    }
  tt_board_step (sim->boards[router], &event, sim->now_us);
  if (!failed && find_request (sim, router, request_id) == request)
    sim_request_end (sim, request, TT_OUTCOME_COMPLETE);
  drain_actions (sim, router);
}

void
sim_router_deliver_message (Sim *sim, uint32_t router, const TtPeerMessage *message)
{
  TtEvent event = { .type = TT_EVENT_PEER_MESSAGE, .peer = message };

  tt_board_step (sim->boards[router], &event, sim->now_us);
  drain_actions (sim, router);
}

void
sim_router_tick (Sim *sim, uint32_t router)
{
  TtEvent event = { .type = TT_EVENT_TICK };

  tt_board_step (sim->boards[router], &event, sim->now_us);
  drain_actions (sim, router);
}
