#include "support/fleet.h"
#include "support/world.h"
#include "tarragontrack/board/hash.h"
#include "tarragontrack/board/request.h"
#include "tarragontrack/control/controllers.h"
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define NETWORK_US 300        ///< one way between any two processes
#define NETWORK_SPREAD_US 400 ///< added at random, so messages overtake each other
#define PLATFORM_US (3 * TT_MILLISECOND_US)
#define PLATFORM_TIMEOUT_US (2 * TT_SECOND_US)
#define WATCH_LIMIT_US (20 * TT_SECOND_US)
#define WATCH_POLL_US (10 * TT_MILLISECOND_US)
#define HOST_LIST_LAG_US TT_SECOND_US

static const char *const domain_names[FLEET_DOMAINS]
    = { "alpha", "bravo", "charlie", "delta", "echo", "foxtrot", "golf", "hotel" };

void
fleet_violate (Fleet *fleet, const char *format, ...)
{
  va_list arguments;

  if (fleet->violation[0] != '\0')
    return;
  va_start (arguments, format);
  (void) vsnprintf (fleet->violation, sizeof fleet->violation, format, arguments);
  va_end (arguments);
}

/// Puts a message in its place by time and sequence.
static void
queue_message (Fleet *fleet, FleetMessage *message)
{
  TtLink *before = &fleet->messages.head;

  while (before->prev != &fleet->messages.head)
    {
      const FleetMessage *other = TT_CONTAINER_OF (before->prev, FleetMessage, link);

      if (other->at_us < message->at_us
          || (other->at_us == message->at_us && other->sequence < message->sequence))
        break;
      before = before->prev;
    }
  tt_list_insert_before (&fleet->messages, before, &message->link);
}

FleetMessage *
fleet_post (Fleet *fleet, FleetMessageType type, uint32_t daemon, int64_t delay_us)
{
  FleetMessage *message = calloc (1, sizeof *message);

  if (message == NULL)
    abort ();
  message->type = type;
  message->daemon = daemon;
  message->incarnation = fleet->daemons[daemon].incarnation;
  message->at_us = fleet->now_us + delay_us;
  message->sequence = ++fleet->last_sequence;
  queue_message (fleet, message);
  return message;
}

static void
free_message (FleetMessage *message)
{
  free (message->peer);
  if (message->objects != NULL)
    store_free (message->objects);
  free (message);
}

FleetCall *
fleet_call_of (Fleet *fleet, uint32_t daemon, uint64_t request_id)
{
  for (uint32_t i = fleet->call_count; i > 0; i--)
    {
      FleetCall *call = &fleet->calls[i - 1];

      if (call->daemon == daemon && call->request_id == request_id && !call->lost)
        return call;
    }
  return NULL;
}

static int64_t
network_delay (Fleet *fleet)
{
  return NETWORK_US + (int64_t) tt_rng_below (&fleet->rng, NETWORK_SPREAD_US);
}

/// Sends a peer message to the daemon that has the address.
static void
send_peer (Fleet *fleet, uint32_t from, TtAction *action)
{
  uint32_t to = action->peer.port;
  uint32_t copies = tt_rng_unit (&fleet->rng) < fleet->duplication ? 2 : 1;

  if (to >= fleet->config.daemons
      || fleet->cut[fleet->daemons[from].domain][fleet->daemons[to].domain]
      || tt_rng_unit (&fleet->rng) < fleet->loss)
    return;
  fleet->peer_messages++;
  for (uint32_t i = 0; i < copies; i++)
    {
      FleetMessage *message = fleet_post (fleet, FLEET_TO_BOARD, to, network_delay (fleet));

      message->peer = malloc (sizeof *message->peer);
      if (message->peer == NULL)
        abort ();
      *message->peer = *action->peer.message;
      message->event.type = TT_EVENT_PEER;
      message->event.peer = message->peer;
      if (message->peer->type == TT_PEER_DOCUMENT)
        {
          // Texts and documents live in the store for the whole run.
          for (uint32_t item = 0; item < fleet->store->count; item++)
            {
              const TtObject *object = &fleet->store->items[item].object;

              if (object->type == TT_OBJECT_DOCUMENT
                  && tt_digest_equal (&object->document.hash, &message->peer->document.hash))
                {
                  message->peer->document.text = object->document.text;
                  message->peer->document.document = object->document.document;
                }
            }
        }
    }
}

/// Sends a call to the platform.
static void
send_platform (Fleet *fleet, uint32_t from, const TtAction *action)
{
  FleetMessage *message = fleet_post (fleet, FLEET_PLATFORM_CALL, from, PLATFORM_US);

  message->call = action->platform;
  message->call.object = NULL;
  if (action->platform.op == TT_PLATFORM_PUT)
    {
      TtPlatformAction put = action->platform;

      put.version = 0;
      message->objects = store_new ();
      (void) store_call (message->objects, &put, "", false);
      message->call.object = &message->objects->items[0].object;
    }
}

/// Ends a caller's request as the REPLY action says.
static void
reply_call (Fleet *fleet, uint32_t daemon, const TtReplyAction *reply)
{
  FleetCall *call = fleet_call_of (fleet, daemon, reply->request_id);

  if (call == NULL || call->answered)
    return;
  call->answered = true;
  call->answered_us = fleet->now_us;
  call->outcome = reply->outcome;
  call->status = reply->status;
  if (reply->outcome == TT_OUTCOME_NOT_RUN && call->executed)
    fleet_violate (fleet, "P3: request %llu at daemon %u was told not run and ran",
                   (unsigned long long) call->request_id, daemon);
  if (reply->outcome == TT_OUTCOME_NOT_RUN && call->key != 0 && fleet->executions[call->key] > 0)
    fleet_violate (fleet, "P3: key %llu was told not run and has run",
                   (unsigned long long) call->key);
  if (reply->outcome == TT_OUTCOME_CUT && fleet->daemons[daemon].draining)
    fleet_violate (fleet, "P6: the drain of daemon %u cut request %llu", daemon,
                   (unsigned long long) call->request_id);
}

/// Carries out one action of a board.
static void
carry_out (Fleet *fleet, uint32_t daemon, TtAction *action)
{
  FleetMessage *message;

  switch (action->type)
    {
    case TT_ACTION_DISPATCH:
      message = fleet_post (fleet, FLEET_TO_BACKEND, daemon, network_delay (fleet));
      message->attempt = action->attempt;
      break;
    case TT_ACTION_REPLY:
      reply_call (fleet, daemon, &action->reply);
      break;
    case TT_ACTION_PLATFORM:
      send_platform (fleet, daemon, action);
      break;
    case TT_ACTION_PEER:
      send_peer (fleet, daemon, action);
      break;
    case TT_ACTION_EXIT:
      fleet->daemons[daemon].alive = false;
      break;
    default:
      break;
    }
}

void
fleet_step (Fleet *fleet, uint32_t daemon, const TtEvent *event)
{
  FleetDaemon *it = &fleet->daemons[daemon];
  TtAction *action;

  it->board->wall_s = fleet->now_us / TT_SECOND_US;
  tt_board_step (it->board, event, fleet->now_us);
  while ((action = tt_board_take (it->board)) != NULL)
    {
      carry_out (fleet, daemon, action);
      tt_board_release (it->board, action);
    }
}

/// Executes a call at the platform and sends the answer.
static void
serve_platform (Fleet *fleet, FleetMessage *call)
{
  FleetDaemon *daemon = &fleet->daemons[call->daemon];
  bool unreachable = fleet->platform_down || fleet->cut[daemon->domain][FLEET_PLATFORM];
  FleetMessage *answer;

  if (!unreachable && call->call.op == TT_PLATFORM_WATCH
      && !store_watch_is_due (fleet->store, &call->call)
      && call->step * WATCH_POLL_US < WATCH_LIMIT_US)
    {
      answer = fleet_post (fleet, FLEET_PLATFORM_CALL, call->daemon, WATCH_POLL_US);
      answer->incarnation = call->incarnation;
      answer->call = call->call;
      answer->step = call->step + 1;
      return;
    }
  answer = fleet_post (fleet, FLEET_TO_BOARD, call->daemon,
                       unreachable ? PLATFORM_TIMEOUT_US : PLATFORM_US);
  answer->incarnation = call->incarnation;
  answer->event.type = TT_EVENT_PLATFORM;
  answer->event.platform = (TtPlatformEvent){ .call_id = call->call.call_id,
                                              .op = call->call.op,
                                              .code = TT_E_TIMEOUT };
  if (unreachable)
    return;
  answer->event.platform = store_call (fleet->store, &call->call, domain_names[daemon->domain],
                                       fleet->stale_reads && tt_rng_below (&fleet->rng, 2) == 0);
  if (call->call.op == TT_PLATFORM_PUT && fleet->lose_answers > 0)
    {
      fleet->lose_answers--;
      answer->event.platform.code = TT_E_TIMEOUT;
      answer->event.platform.object = NULL;
      return;
    }
  if (answer->event.platform.object != NULL
      && answer->event.platform.object->type == TT_OBJECT_HOSTS)
    {
      // The list is copied: the store reuses its memory for the next call.
      TtObject *copy = malloc (sizeof *copy + STORE_HOSTS * sizeof (TtHostEntry));

      if (copy == NULL)
        abort ();
      *copy = *answer->event.platform.object;
      memcpy (copy + 1, copy->hosts.hosts, copy->hosts.count * sizeof (TtHostEntry));
      copy->hosts.hosts = (TtHostEntry *) (void *) (copy + 1);
      answer->event.platform.object = copy;
      answer->peer = (TtPeerMessage *) (void *) copy;
    }
  else if (answer->event.platform.object != NULL)
    {
      // So is an object: another write may replace it before the answer arrives.
      TtPlatformAction put = { .op = TT_PLATFORM_PUT, .object = answer->event.platform.object };

      answer->objects = store_new ();
      (void) store_call (answer->objects, &put, "", false);
      answer->event.platform.object = &answer->objects->items[0].object;
    }
}

/// Delivers the end of an answer, and checks that a complete answer is whole.
static void
complete_call (Fleet *fleet, FleetMessage *message)
{
  TtBoard *board = fleet->daemons[message->daemon].board;
  TtAttempt *attempt = tt_attempt_find (board, message->event.attempt.attempt_id);
  uint64_t complete = board->counters[TT_COUNT_COMPLETE];
  FleetCall *call;

  if (attempt == NULL)
    {
      fleet_step (fleet, message->daemon, &message->event);
      return;
    }
  call = fleet_call_of (fleet, message->daemon, attempt->request->spec.request_id);
  if (call != NULL)
    call->relayed = attempt->request->relayed_tokens;
  fleet_step (fleet, message->daemon, &message->event);
  if (call == NULL || board->counters[TT_COUNT_COMPLETE] == complete)
    return;
  call->answered = true;
  call->answered_us = fleet->now_us;
  call->outcome = TT_OUTCOME_COMPLETE;
  call->status = message->event.attempt.status;
  if (call->relayed != call->tokens)
    fleet_violate (fleet, "P2: request %llu ended as complete with %u of %u tokens",
                   (unsigned long long) call->request_id, call->relayed, call->tokens);
}

/// Delivers one message.
///
/// RETURN     false if it waits for the end of a pause and is queued again
static bool
deliver (Fleet *fleet, FleetMessage *message)
{
  FleetDaemon *daemon = &fleet->daemons[message->daemon];

  if (message->type == FLEET_PLATFORM_CALL)
    {
      serve_platform (fleet, message);
      return true;
    }
  if (message->type != FLEET_TO_BOARD)
    {
      fleet_backend_step (fleet, message);
      return true;
    }
  if (!daemon->alive || message->incarnation != daemon->incarnation)
    return true;
  if (daemon->paused_until_us > fleet->now_us)
    {
      // It waits in the socket; messages keep their order when a pause gets longer.
      message->at_us = daemon->paused_until_us;
      queue_message (fleet, message);
      return false;
    }
  if (message->event.type == TT_EVENT_ATTEMPT_DONE)
    complete_call (fleet, message);
  else
    fleet_step (fleet, message->daemon, &message->event);
  if (message->event.type == TT_EVENT_TICK)
    {
      FleetMessage *next = fleet_post (fleet, FLEET_TO_BOARD, message->daemon, TT_TICK_US);

      next->event.type = TT_EVENT_TICK;
    }
  return true;
}

void
fleet_run (Fleet *fleet, int64_t duration_us)
{
  int64_t end_us = fleet->now_us + duration_us;
  TtLink *link;

  while (fleet->violation[0] == '\0' && (link = tt_list_first (&fleet->messages)) != NULL)
    {
      FleetMessage *message = TT_CONTAINER_OF (link, FleetMessage, link);

      if (message->at_us > end_us)
        break;
      tt_list_remove (&fleet->messages, link);
      fleet->now_us = message->at_us;
      if (!deliver (fleet, message))
        continue;
      if (message->type == FLEET_TO_BOARD && message->event.type == TT_EVENT_TICK)
        fleet_check (fleet);
      free_message (message);
    }
  fleet->now_us = end_us;
}

void
fleet_start (Fleet *fleet, uint32_t index)
{
  FleetDaemon *daemon = &fleet->daemons[index];
  TtBoardConfig config = { .max_requests = 1024, .max_attempts = 2048, .max_accounts = 64 };
  FleetMessage *tick;

  tt_board_free (daemon->board);
  daemon->incarnation = (uint64_t) fleet->now_us + 1;
  daemon->highest_epoch = 0;
  daemon->alive = true;
  daemon->draining = false;
  daemon->paused_until_us = 0;
  (void) snprintf (daemon->name, sizeof daemon->name, "router-%u", index);
  (void) snprintf (config.name, sizeof config.name, "%s", daemon->name);
  (void) snprintf (config.fleet, sizeof config.fleet, "test");
  (void) snprintf (config.domain, sizeof config.domain, "%s", domain_names[daemon->domain]);
  (void) snprintf (config.address, sizeof config.address, "127.0.0.1");
  config.peer_port = (uint16_t) index;
  config.incarnation = daemon->incarnation;
  config.seed[0] = tt_rng_next (&fleet->rng);
  config.seed[1] = index;
  config.drain_announce_ms = 500;
  config.drain_limit_ms = 60000;
  daemon->board = tt_board_new (&config);
  if (daemon->board == NULL || tt_controllers_add_all (daemon->board) < 0)
    abort ();
  tick
      = fleet_post (fleet, FLEET_TO_BOARD, index, (int64_t) tt_rng_below (&fleet->rng, TT_TICK_US));
  tick->event.type = TT_EVENT_TICK;
}

/// Enters the backend servers and entry hosts in the platform's host list.
static void
add_hosts (Fleet *fleet)
{
  const FleetConfig *config = &fleet->config;
  Store *store = fleet->store;

  for (uint32_t i = 0; i < config->engines + config->services; i++)
    {
      FleetBackend *backend = &fleet->backends[i];
      bool engine = i < config->engines;

      world_hosts (&backend->host, 1, engine ? "chat" : "ledger", "");
      backend->domain = (engine ? i : i - config->engines) % config->domains;
      (void) snprintf (backend->host.name, TT_NAME_MAX, "%s-%u", engine ? "engine" : "worker", i);
      (void) snprintf (backend->host.domain, TT_NAME_MAX, "%s", domain_names[backend->domain]);
      backend->host.batch_limit = config->batch_limit;
      backend->alive = true;
      backend->slow = 1.0;
      store->hosts[store->host_count++] = backend->host;
    }
  fleet->backend_count = config->engines + config->services;
  for (uint32_t i = 0; i < config->daemons; i++)
    {
      TtHostEntry *host = &store->hosts[store->host_count++];

      fleet->daemons[i].domain = i % config->domains;
      (void) snprintf (host->name, sizeof host->name, "router-%u", i);
      (void) snprintf (host->address, sizeof host->address, "127.0.0.1");
      (void) snprintf (host->domain, sizeof host->domain, "%s",
                       domain_names[fleet->daemons[i].domain]);
      host->port = (uint16_t) i;
      host->entry_host = true;
    }
  store->hosts_version = 1;
}

Fleet *
fleet_new (const FleetConfig *config)
{
  Fleet *fleet = calloc (1, sizeof *fleet);

  if (fleet == NULL)
    abort ();
  fleet->config = *config;
  fleet->now_us = 1000 * TT_SECOND_US;
  fleet->store = store_new ();
  tt_rng_init (&fleet->rng, config->seed, 0);
  tt_list_init (&fleet->messages);
  add_hosts (fleet);
  (void) fleet_apply (fleet, 10000);
  for (uint32_t i = 0; i < config->daemons; i++)
    fleet_start (fleet, i);
  return fleet;
}

void
fleet_free (Fleet *fleet)
{
  TtLink *link;

  while ((link = tt_list_pop (&fleet->messages)) != NULL)
    free_message (TT_CONTAINER_OF (link, FleetMessage, link));
  for (uint32_t i = 0; i < fleet->config.daemons; i++)
    tt_board_free (fleet->daemons[i].board);
  store_free (fleet->store);
  free (fleet);
}

/// A request's kind, account and service, as the front end fills them in.
static void
fill_spec (TtRequestSpec *spec, const FleetCall *call, const char *service, uint64_t chat)
{
  (void) snprintf (spec->account, sizeof spec->account, "%s", call->account);
  (void) snprintf (spec->service, sizeof spec->service, "%s", service);
  (void) snprintf (spec->kind, sizeof spec->kind, "%s", call->kind);
  spec->chat_key = tt_hash_pair (chat, 17);
  spec->body_hash = call->key != 0 ? tt_hash_pair (call->key, 3) : tt_hash_pair (chat, 5);
  if (call->key != 0)
    spec->idempotency_key
        = tt_hash_id128 (tt_hash_string (call->account), &call->key, sizeof call->key);
  spec->prompt_tokens = 200;
  spec->max_tokens = call->tokens;
  spec->stream = true;
}

uint32_t
fleet_send (Fleet *fleet, uint32_t daemon, const char *account, const char *service,
            const char *kind, uint64_t chat, uint64_t key, uint32_t tokens, bool deadly)
{
  FleetDaemon *it = &fleet->daemons[daemon];
  uint32_t index = fleet->call_count;
  FleetCall *call = &fleet->calls[index];
  TtRequestSpec spec = { 0 };
  TtEvent event = { .type = TT_EVENT_REQUEST, .request = &spec };

  if (index == FLEET_CALLS || key >= FLEET_CALLS)
    abort ();
  fleet->call_count++;
  call->daemon = daemon;
  call->key = key;
  call->tokens = tokens;
  call->deadly = deadly;
  call->sent_us = fleet->now_us;
  (void) snprintf (call->account, sizeof call->account, "%s", account);
  (void) snprintf (call->kind, sizeof call->kind, "%s", kind);
  if (!it->alive || it->paused_until_us > fleet->now_us || !it->board->drain.ready)
    {
      call->lost = true;
      return index;
    }
  fill_spec (&spec, call, service, chat);
  spec.request_id = call->request_id = tt_board_next_id (it->board);
  fleet_step (fleet, daemon, &event);
  return index;
}

/// One call of an operator to the platform.
static TtPlatformEvent
operate (Fleet *fleet, TtPlatformOp op, const char *key, uint64_t version, const TtObject *object)
{
  TtPlatformAction call = { .op = op, .version = version, .object = object };

  (void) snprintf (call.key, sizeof call.key, "%s", key);
  return store_call (fleet->store, &call, "", false);
}

uint64_t
fleet_apply (Fleet *fleet, uint32_t queue_deadline_ms)
{
  static TtDocument document;
  static TtObject object;
  TtPlatformEvent head = operate (fleet, TT_PLATFORM_GET, "config/head", 0, NULL);
  char key[TT_KEY_MAX];
  size_t length;

  if (fleet->platform_down)
    return 0;
  world_document (&document);
  document.default_queue_deadline_ms = queue_deadline_ms;
  object = (TtObject){ .type = TT_OBJECT_DOCUMENT };
  object.document.document = &document;
  object.document.text = "{}";
  object.document.text_size = 2;
  memcpy (object.document.hash.bytes, &queue_deadline_ms, sizeof queue_deadline_ms);
  (void) snprintf (object.document.team, TT_NAME_MAX, "%s", document.team);
  (void) snprintf (object.document.author, TT_NAME_MAX, "operator");
  length = (size_t) snprintf (key, sizeof key, "documents/");
  for (size_t i = 0; i < sizeof object.document.hash.bytes; i++)
    length += (size_t) snprintf (key + length, sizeof key - length, "%02x",
                                 object.document.hash.bytes[i]);
  (void) operate (fleet, TT_PLATFORM_PUT, key, 0, &object);
  TtDigest hash = object.document.hash;
  object = (TtObject){ .type = TT_OBJECT_HEAD };
  if (head.object != NULL)
    object = *head.object;
  object.head.generation = object.head.generation > 0 ? object.head.generation : 1;
  object.head.epoch++;
  object.head.team_count = 1;
  object.head.teams[0].epoch = object.head.epoch;
  object.head.teams[0].hash = hash;
  (void) snprintf (object.head.teams[0].team, TT_NAME_MAX, "%s", document.team);
  head = operate (fleet, TT_PLATFORM_PUT, "config/head", head.version, &object);
  return head.code == TT_OK ? object.head.epoch : 0;
}

uint64_t
fleet_accepted (Fleet *fleet)
{
  StoreItem *item = store_find (fleet->store, "config/accepted");

  return item != NULL && item->version > 0 ? item->object.accepted.epoch : 0;
}

void
fleet_kill (Fleet *fleet, uint32_t daemon)
{
  fleet->daemons[daemon].alive = false;
  for (uint32_t i = 0; i < fleet->call_count; i++)
    if (fleet->calls[i].daemon == daemon && !fleet->calls[i].answered)
      fleet->calls[i].lost = true;
}

void
fleet_pause (Fleet *fleet, uint32_t daemon, int64_t duration_us)
{
  fleet->daemons[daemon].paused_until_us = fleet->now_us + duration_us;
}

void
fleet_drain (Fleet *fleet, uint32_t daemon)
{
  FleetMessage *message = fleet_post (fleet, FLEET_TO_BOARD, daemon, 0);

  message->event.type = TT_EVENT_DRAIN;
  fleet->daemons[daemon].draining = true;
}

void
fleet_cut (Fleet *fleet, uint32_t first, uint32_t second, bool cut)
{
  fleet->cut[first][second] = cut;
  fleet->cut[second][first] = cut;
}

void
fleet_leave_backend (Fleet *fleet, uint32_t index)
{
  FleetBackend *backend = &fleet->backends[index];

  backend->left_us = fleet->now_us + HOST_LIST_LAG_US;
  for (uint32_t i = 0; i < fleet->store->host_count; i++)
    if (strcmp (fleet->store->hosts[i].name, backend->host.name) == 0)
      fleet->store->hosts[i].leaving = true;
  fleet->store->hosts_version++;
}
