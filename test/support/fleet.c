#include "support/fleet.h"
#include "support/test_board.h"
#include "tarragontrack/board/hash.h"
#include "tarragontrack/board/request.h"
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define HOST_LIST_LAG_US TT_SECOND_US ///< delay of the host list that P5 allows

static const SimTiming fleet_timing = {
  .peer_message = { 300, 700 },
  .duplicate = { 300, 700 },
  .platform_call = { 3 * TT_MILLISECOND_US, 3 * TT_MILLISECOND_US },
  .platform_response = { 3 * TT_MILLISECOND_US, 3 * TT_MILLISECOND_US },
  .lost_response = { 3 * TT_MILLISECOND_US, 3 * TT_MILLISECOND_US },
  .unreachable = { 2 * TT_SECOND_US, 2 * TT_SECOND_US },
  .unreachable_code = TT_E_TIMEOUT,
  .max_watch_us = 20 * TT_SECOND_US,
  .watch_check_us = 10 * TT_MILLISECOND_US,
};

static const char *const domain_names[FLEET_MAX_DOMAINS]
    = { "alpha", "bravo", "charlie", "delta", "echo", "foxtrot", "golf", "hotel" };

void
fleet_report_violation (Fleet *fleet, const char *format, ...)
{
  va_list arguments;

  if (fleet->violation[0] != '\0')
    return;
  va_start (arguments, format);
  (void) vsnprintf (fleet->violation, sizeof fleet->violation, format, arguments);
  va_end (arguments);
  fleet->sim->stopped = true;
}

FleetCall *
fleet_find_call (Fleet *fleet, uint32_t daemon, uint64_t request_id)
{
  for (uint32_t i = fleet->call_count; i > 0; i--)
    {
      FleetCall *call = &fleet->calls[i - 1];

      if (call->daemon == daemon && call->request_id == request_id && !call->lost)
        return call;
    }
  return NULL;
}

/// Completes a caller's request with a TT_ACTION_REPLY, and checks P3 and P6.
static void
complete_call_with_reply (Fleet *fleet, uint32_t daemon, const TtReplyAction *reply)
{
  FleetCall *call = fleet_find_call (fleet, daemon, reply->request_id);

  if (call == NULL || call->replied)
    return;
  call->replied = true;
  call->replied_us = fleet->sim->now_us;
  call->outcome = reply->outcome;
  call->status = reply->status;
  if (reply->outcome == TT_OUTCOME_NOT_RUN && call->executed)
    fleet_report_violation (
        fleet, "P3: request %llu at daemon %u was reported as not run but was executed",
        (unsigned long long) call->request_id, daemon);
  if (reply->outcome == TT_OUTCOME_NOT_RUN && call->key != 0 && fleet->executions[call->key] > 0)
    fleet_report_violation (fleet, "P3: key %llu was reported as not run but was executed",
                            (unsigned long long) call->key);
  if (reply->outcome == TT_OUTCOME_CUT && fleet->daemons[daemon].draining)
    fleet_report_violation (fleet, "P6: the drain of daemon %u truncated request %llu", daemon,
                            (unsigned long long) call->request_id);
}

/// Executes dispatch and reply actions, which the simulation does not handle itself.
static void
execute_action (void *context, uint32_t daemon, const TtAction *action)
{
  Fleet *fleet = context;

  if (action->type == TT_ACTION_DISPATCH)
    fleet_dispatch_attempt (fleet, daemon, &action->attempt);
  else if (action->type == TT_ACTION_REPLY)
    complete_call_with_reply (fleet, daemon, &action->reply);
}

/// Delivers the end of a response. Checks P2: a call that is reported as complete got all its
/// tokens.
static void
deliver_attempt_done (Fleet *fleet, uint32_t daemon, const TtEvent *event)
{
  TtBoard *board = fleet->sim->nodes[daemon].board;
  TtAttempt *attempt = tt_attempt_find (board, event->attempt.attempt_id);
  uint64_t complete_before = board->counters[TT_COUNT_COMPLETE];
  FleetCall *call;

  if (attempt == NULL)
    {
      sim_step_daemon (fleet->sim, daemon, event);
      return;
    }
  call = fleet_find_call (fleet, daemon, attempt->request->spec.request_id);
  if (call != NULL)
    call->relayed_tokens = attempt->request->relayed_tokens;
  sim_step_daemon (fleet->sim, daemon, event);
  if (call == NULL || board->counters[TT_COUNT_COMPLETE] == complete_before)
    return;
  call->replied = true;
  call->replied_us = fleet->sim->now_us;
  call->outcome = TT_OUTCOME_COMPLETE;
  call->status = event->attempt.status;
  if (call->relayed_tokens != call->response_tokens)
    fleet_report_violation (fleet, "P2: request %llu was reported as complete with %u of %u tokens",
                            (unsigned long long) call->request_id, call->relayed_tokens,
                            call->response_tokens);
}

/// Delivers an event to a daemon, and checks the properties after each tick.
static void
deliver_event (void *context, uint32_t daemon, const TtEvent *event)
{
  Fleet *fleet = context;

  if (event->type == TT_EVENT_ATTEMPT_DONE)
    deliver_attempt_done (fleet, daemon, event);
  else
    sim_step_daemon (fleet->sim, daemon, event);
  if (event->type == TT_EVENT_TICK)
    fleet_check_properties (fleet);
}

static void
handle_backend_event (void *context, SimEvent *event)
{
  fleet_step_attempt (context, event);
}

void
fleet_run (Fleet *fleet, int64_t duration_us)
{
  sim_run (fleet->sim, fleet->sim->now_us + duration_us);
}

void
fleet_start_daemon (Fleet *fleet, uint32_t index)
{
  fleet->daemons[index] = (FleetDaemon){ 0 };
  sim_start_daemon (fleet->sim, &fleet->sim->nodes[index]);
}

/// Adds the backend servers to the platform's host list.
static void
add_backends (Fleet *fleet)
{
  const FleetConfig *config = &fleet->config;

  fleet->backend_count = config->engines + config->service_workers;
  for (uint32_t i = 0; i < fleet->backend_count; i++)
    {
      FleetBackend *backend = &fleet->backends[i];
      bool engine = i < config->engines;
      char name[TT_NAME_MAX];
      TtHostEntry *host;

      backend->domain = (engine ? i : i - config->engines) % config->domains;
      (void) snprintf (name, sizeof name, "%s-%u", engine ? "engine" : "worker", i);
      host = sim_add_host (fleet->sim, name, engine ? "chat" : "ledger",
                           domain_names[backend->domain]);
      host->batch_limit = config->batch_limit;
      backend->host = *host;
      backend->alive = true;
      backend->slowdown = 1.0;
    }
}

Fleet *
fleet_new (const FleetConfig *config)
{
  Fleet *fleet = calloc (1, sizeof *fleet);
  Sim *sim = sim_new (config->seed);

  if (fleet == NULL)
    abort ();
  fleet->config = *config;
  fleet->sim = sim;
  tt_rng_init (&sim->rng, config->seed, 0);
  sim->timing = fleet_timing;
  sim->board_config.max_requests = 1024;
  sim->board_config.max_attempts = 2048;
  sim->board_config.max_accounts = 64;
  sim->board_config.bounds.drain_announce_ms = 500;
  sim->board_config.bounds.drain_limit_ms = 60000;
  sim->hooks = (SimHooks){ .context = fleet,
                           .execute_action = execute_action,
                           .handle_event = handle_backend_event,
                           .deliver_event = deliver_event };
  sim->store->reuse_versions = true;
  sim->document_text_bytes = 2;
  for (uint32_t i = 0; i < FLEET_MAX_DOMAINS; i++)
    (void) sim_domain_index (sim, domain_names[i]);
  add_backends (fleet);
  (void) fleet_stage_document (fleet, 10000);
  for (uint32_t i = 0; i < config->daemons; i++)
    {
      char name[TT_NAME_MAX];

      (void) snprintf (name, sizeof name, "router-%u", i);
      (void) sim_add_daemon (sim, name, domain_names[i % config->domains]);
    }
  return fleet;
}

void
fleet_free (Fleet *fleet)
{
  sim_free (fleet->sim);
  free (fleet);
}

/// Fills in the specification of a request as the front end does.
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
  spec->max_tokens = call->response_tokens;
  spec->stream = true;
}

uint32_t
fleet_send_request (Fleet *fleet, uint32_t daemon, const char *account, const char *service,
                    const char *kind, uint64_t chat, uint64_t key, uint32_t tokens,
                    bool crashes_backend)
{
  SimNode *node = &fleet->sim->nodes[daemon];
  uint32_t index = fleet->call_count;
  FleetCall *call = &fleet->calls[index];
  TtRequestSpec spec = { 0 };
  TtEvent event = { .type = TT_EVENT_REQUEST, .request = &spec };

  if (index == FLEET_MAX_CALLS || key >= FLEET_MAX_CALLS)
    abort ();
  fleet->call_count++;
  call->daemon = daemon;
  call->key = key;
  call->response_tokens = tokens;
  call->crashes_backend = crashes_backend;
  call->sent_us = fleet->sim->now_us;
  (void) snprintf (call->account, sizeof call->account, "%s", account);
  (void) snprintf (call->kind, sizeof call->kind, "%s", kind);
  if (!node->alive || node->paused_until_us > fleet->sim->now_us || !node->board->drain.ready)
    {
      call->lost = true;
      return index;
    }
  fill_spec (&spec, call, service, chat);
  spec.request_id = call->request_id = tt_board_next_id (node->board);
  sim_step_daemon (fleet->sim, daemon, &event);
  return index;
}

uint64_t
fleet_stage_document (Fleet *fleet, uint32_t queue_deadline_ms)
{
  static TtDocument document;

  if (fleet->sim->platform_down)
    return 0;
  test_board_fill_document (&document);
  document.default_queue_deadline_ms = queue_deadline_ms;
  return sim_stage_document (fleet->sim, document.team, &document, queue_deadline_ms);
}

void
fleet_kill_daemon (Fleet *fleet, uint32_t daemon)
{
  fleet->sim->nodes[daemon].alive = false;
  for (uint32_t i = 0; i < fleet->call_count; i++)
    if (fleet->calls[i].daemon == daemon && !fleet->calls[i].replied)
      fleet->calls[i].lost = true;
}

void
fleet_drain_daemon (Fleet *fleet, uint32_t daemon)
{
  SimEvent *event = sim_event_new (fleet->sim, SIM_BOARD_EVENT, daemon);

  event->event.type = TT_EVENT_DRAIN;
  sim_push_event (fleet->sim, event, fleet->sim->now_us);
  fleet->daemons[daemon].draining = true;
}

void
fleet_set_backend_leaving (Fleet *fleet, uint32_t index)
{
  FleetBackend *backend = &fleet->backends[index];

  backend->leaving_since_us = fleet->sim->now_us + HOST_LIST_LAG_US;
  for (uint32_t i = 0; i < fleet->sim->store->host_count; i++)
    if (strcmp (fleet->sim->store->hosts[i].name, backend->host.name) == 0)
      fleet->sim->store->hosts[i].leaving = true;
  fleet->sim->store->hosts_version++;
}
