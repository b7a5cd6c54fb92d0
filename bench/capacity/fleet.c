#include "fleet.h"
#include "tarragontrack/board/hash.h"
#include "tarragontrack/codec/peer.h"
#include "tarragontrack/control/member.h"
#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#define FIRST_TOKEN_US (200 * TT_MILLISECOND_US)
#define SLICE_US (10 * TT_MILLISECOND_US)
#define BATCH_LIMIT 160

enum
{
  ACCOUNTS_PER_TEAM = FLEET_ACCOUNTS / FLEET_MODELS,
  RESPONSE_TOKENS = 428, ///< 2.4 M tokens/s divided by 5,600 requests/s
  QUEUE_SIZE = 1 << 18
};

/// A scheduled event of an attempt. All events of a queue have the same delay, so that the queue is
/// ordered by time without sorting.
typedef struct
{
  int64_t at_us;
  SimNode *node;
  uint64_t attempt_id;
} AttemptEvent;

typedef struct
{
  AttemptEvent *items; ///< ring buffer of QUEUE_SIZE entries
  uint32_t head;
  uint32_t count;
} AttemptEventQueue;

typedef struct
{
  Sim *sim;
  const FleetSize *size;
  FleetResult *result;
  AttemptEventQueue first_tokens;
  AttemptEventQueue completions;
  TtRng rng;
  uint64_t serial;
  uint64_t not_completed;
  uint64_t completed;
  bool measuring;
} Run;

/// Processor time and number of the steps, by event type. Static, because the wrapper of
/// tt_board_step() that records them gets no context pointer; a process runs one fleet at a time.
static double step_cpu_s[FLEET_STEP_TYPES];
static uint64_t step_counts[FLEET_STEP_TYPES];
static double max_step_cpu_s;

// Wrappers of library functions, inserted by the linker's --wrap option (see bench/CMakeLists.txt).
void __real_tt_board_step (TtBoard *board, const TtEvent *event, int64_t now_us); // NOLINT
void __wrap_tt_board_step (TtBoard *board, const TtEvent *event, int64_t now_us); // NOLINT
uint32_t __wrap_tt_gossip_message_bytes (const TtPeerMessage *message);           // NOLINT

static double
read_cpu_s (void)
{
  struct timespec now;

  (void) clock_gettime (CLOCK_PROCESS_CPUTIME_ID, &now);
  return (double) now.tv_sec + (double) now.tv_nsec / 1e9;
}

void
__wrap_tt_board_step (TtBoard *board, const TtEvent *event, int64_t now_us) // NOLINT
{
  double start_s = read_cpu_s ();
  double elapsed_s;

  __real_tt_board_step (board, event, now_us);
  elapsed_s = read_cpu_s () - start_s;
  step_cpu_s[event->type] += elapsed_s;
  step_counts[event->type]++;
  if (elapsed_s > max_step_cpu_s)
    max_step_cpu_s = elapsed_s;
}

size_t
fleet_message_bytes (const TtPeerMessage *message)
{
  char *data;
  size_t size;

  if (tt_peer_encode (message, "fleet", &data, &size) < 0)
    abort ();
  free (data);
  return size;
}

uint32_t
__wrap_tt_gossip_message_bytes (const TtPeerMessage *message) // NOLINT
{
  return (uint32_t) fleet_message_bytes (message);
}

static void
schedule_attempt_event (AttemptEventQueue *queue, AttemptEvent attempt_event)
{
  if (queue->count == QUEUE_SIZE)
    abort ();
  queue->items[(queue->head + queue->count++) % QUEUE_SIZE] = attempt_event;
}

/// Records an action of a daemon's board and schedules the events of a dispatched attempt.
static void
record_action (void *context, uint32_t index, const TtAction *action)
{
  Run *run = context;
  SimNode *node = &run->sim->nodes[index];
  int64_t now_us = run->sim->now_us;

  if (action->type == TT_ACTION_DISPATCH)
    {
      uint64_t id = action->attempt.attempt_id;

      schedule_attempt_event (&run->first_tokens,
                              (AttemptEvent){ now_us + FIRST_TOKEN_US, node, id });
      schedule_attempt_event (
          &run->completions,
          (AttemptEvent){ now_us + (int64_t) (run->size->request_duration_s * 1e6), node, id });
    }
  else if (action->type == TT_ACTION_LOG)
    run->result->false_suspicions += run->measuring && action->log.event == TT_LOG_MEMBER_SUSPECT;
  else if (action->type == TT_ACTION_REPLY)
    run->not_completed += run->measuring && action->reply.outcome != TT_OUTCOME_COMPLETE;
  else if (action->type == TT_ACTION_PEER_SEND && run->measuring)
    {
      TtPeerType type = action->peer.message->type;

      run->result->messages[type]++;
      run->result->message_bytes[type] += (double) fleet_message_bytes (action->peer.message);
    }
}

/// Delivers the due events of a queue: first tokens or, if @done, the remaining tokens and the end
/// of the response.
static void
deliver_attempt_events (Run *run, AttemptEventQueue *queue, bool done)
{
  while (queue->count > 0 && queue->items[queue->head].at_us <= run->sim->now_us)
    {
      AttemptEvent *attempt_event = &queue->items[queue->head];
      TtEvent event = { .type = TT_EVENT_ATTEMPT_PROGRESS };

      queue->head = (queue->head + 1) % QUEUE_SIZE;
      queue->count--;
      event.attempt.attempt_id = attempt_event->attempt_id;
      event.attempt.tokens = done ? RESPONSE_TOKENS - 1 : 1;
      sim_step_daemon (run->sim, (uint32_t) (attempt_event->node - run->sim->nodes), &event);
      if (!done)
        continue;
      event = (TtEvent){ .type = TT_EVENT_ATTEMPT_DONE };
      event.attempt.attempt_id = attempt_event->attempt_id;
      event.attempt.status = 200;
      sim_step_daemon (run->sim, (uint32_t) (attempt_event->node - run->sim->nodes), &event);
      run->completed += run->measuring;
    }
}

static void
send_request (Run *run, SimNode *node)
{
  uint32_t account = (uint32_t) tt_rng_below (&run->rng, FLEET_ACCOUNTS);
  uint64_t serial = ++run->serial;
  TtRequestSpec spec = { .request_id = UINT64_C (1) << 62 | serial,
                         .chat_key = tt_rng_next (&run->rng),
                         .prefix_key = tt_hash_pair (account, 4),
                         .body_hash = serial,
                         .prompt_tokens = 1000,
                         .stream = true };
  TtEvent event = { .type = TT_EVENT_REQUEST, .request = &spec };

  (void) snprintf (spec.account, sizeof spec.account, "account-%u", account);
  (void) snprintf (spec.service, sizeof spec.service, "model-%u", account % FLEET_MODELS);
  sim_step_daemon (run->sim, (uint32_t) (node - run->sim->nodes), &event);
}

/// Delivers a load report of each engine to two daemons of its failure domain. Called once per
/// simulated second.
static void
report_loads (Run *run)
{
  const FleetSize *size = run->size;
  uint32_t daemons_per_domain = size->daemons / size->domains;

  for (uint32_t e = 0; e < size->engines; e++)
    for (uint32_t poller = 0; poller < 2; poller++)
      {
        uint32_t rank
            = (e / size->domains + poller) % (daemons_per_domain > 0 ? daemons_per_domain : 1);
        SimNode *node = &run->sim->nodes[rank * size->domains + e % size->domains];
        const TtHostEntry *host = &run->sim->store->hosts[e];
        TtEvent event = { .type = TT_EVENT_LOAD_REPORT };

        event.load.backend_id = tt_hash_string (host->name);
        event.load.running = BATCH_LIMIT / 2;
        memcpy (event.load.role.model, host->service, TT_NAME_MAX);
        (void) snprintf (event.load.role.role, TT_NAME_MAX, "serve");
        if (node->board != NULL)
          sim_step_daemon (run->sim, (uint32_t) (node - run->sim->nodes), &event);
      }
}

/// Runs the fleet and generates requests until @until_us. A daemon gets at most one request in each
/// slice of SLICE_US.
static void
run_until (Run *run, int64_t until_us)
{
  double expected = run->size->requests_per_s * (double) SLICE_US / 1e6;

  while (run->sim->now_us < until_us)
    {
      sim_run (run->sim, run->sim->now_us + SLICE_US);
      deliver_attempt_events (run, &run->first_tokens, false);
      deliver_attempt_events (run, &run->completions, true);
      if (run->sim->now_us / TT_SECOND_US != (run->sim->now_us - SLICE_US) / TT_SECOND_US)
        report_loads (run);
      for (uint32_t i = 0; run->size->requests_per_s > 0.0 && i < run->sim->node_count; i++)
        if (run->sim->nodes[i].board != NULL && tt_rng_unit (&run->rng) < expected)
          send_request (run, &run->sim->nodes[i]);
    }
}

/// Fills in the service limits and the accounts of a team's document.
static void
fill_document (TtDocument *document, uint32_t team)
{
  TtServiceSpec *service = &document->services[0];

  document->schema = TT_DOCUMENT_MAX_SCHEMA;
  document->default_priority = 1;
  document->default_queue_deadline_ms = 30000;
  service->type = TT_SERVICE_MODEL;
  service->repeatable = true;
  service->load_multiple = 1.25;
  service->long_share = 0.5;
  service->long_tokens = 2000;
  service->first_token_timeout_ms = 600000;
  service->progress_timeout_ms = 600000;
  for (uint32_t a = 0; a < ACCOUNTS_PER_TEAM; a++)
    {
      TtAccountSpec *account = &document->accounts[document->account_count++];

      (void) snprintf (account->name, sizeof account->name, "account-%u", a * FLEET_MODELS + team);
      account->id = tt_hash_string (account->name);
      account->weight = 1.0;
    }
}

/// Stages a settings document of a team. RETURN its epoch.
static uint64_t
stage_change (Sim *sim, uint32_t team)
{
  static TtDocument document;

  memset (&document, 0, sizeof document);
  (void) snprintf (document.team, sizeof document.team, "model-%u", team);
  document.team_id = tt_hash_string (document.team);
  document.detached = TT_DETACHED_WAIT;
  document.detach_after_s = 20;
  document.service_count = 1;
  document.services[0].min_replicas = 1;
  (void) snprintf (document.services[0].name, TT_NAME_MAX, "%s", document.team);
  document.services[0].id = document.team_id;
  fill_document (&document, team);
  return sim_stage_document (sim, document.team, &document, ++sim->document_count);
}

Sim *
fleet_prepare (const FleetSize *size)
{
  Sim *sim = sim_new (size->seed);
  char domain[TT_NAME_MAX];
  char service[TT_NAME_MAX];

  sim->board_config.max_requests = size->max_records;
  sim->board_config.max_attempts = size->max_records;
  sim->board_config.max_accounts = size->max_records;
  for (uint32_t i = 0; i < size->engines; i++)
    {
      TtHostEntry *host;

      // The failure domain varies fastest with the index and the model after it, so that each
      // domain has engines of each model.
      (void) snprintf (domain, sizeof domain, "zone-%u", i % size->domains);
      (void) snprintf (service, sizeof service, "model-%u", i / size->domains % FLEET_MODELS);
      sim_add_engines (sim, 1, service, domain);
      host = &sim->store->hosts[sim->store->host_count - 1];
      (void) snprintf (host->name, sizeof host->name, "engine-%u", i);
      host->batch_limit = BATCH_LIMIT;
      host->port = 9000;
    }
  for (uint32_t team = 0; team < FLEET_MODELS; team++)
    (void) stage_change (sim, team);
  return sim;
}

void
fleet_add_daemons (Sim *sim, const FleetSize *size, uint32_t count)
{
  char domain[TT_NAME_MAX];
  char name[TT_NAME_MAX];

  for (uint32_t i = 0; i < size->daemons; i++)
    {
      SimNode *node;

      (void) snprintf (domain, sizeof domain, "zone-%u", i % size->domains);
      (void) snprintf (name, sizeof name, "entry-%u", i);
      node = sim_add_daemon (sim, name, domain);
      (void) snprintf (sim->store->hosts[sim->store->host_count - 1].address, TT_ADDRESS_MAX,
                       "10.0.%u.%u", i / 250, i % 250 + 1);
      sim->store->hosts[sim->store->host_count - 1].port = 7000;
      if (i >= count)
        sim_kill_daemon (node);
    }
}

/// Adds the mean rates of one daemon since the snapshot @before to a sum.
static void
add_rates (FleetRates *sum, const SimNode *node, const SimNode *before, double seconds)
{
  sum->sent_messages += (double) (node->sent_messages - before->sent_messages) / seconds;
  sum->sent_bytes += (double) (node->sent_bytes - before->sent_bytes) / seconds;
  sum->received_bytes += (double) (node->received_bytes - before->received_bytes) / seconds;
  sum->reads += (double) (node->reads - before->reads) / seconds;
  sum->writes += (double) (node->writes - before->writes) / seconds;
  sum->watches += (double) (node->watches - before->watches) / seconds;
}

static void
divide_rates (FleetRates *sum, double count)
{
  if (count == 0.0)
    return;
  sum->sent_messages /= count;
  sum->sent_bytes /= count;
  sum->received_bytes /= count;
  sum->reads /= count;
  sum->writes /= count;
  sum->watches /= count;
}

/// Mean error of TtClientAccount.fleet_in_flight on the boards, relative to the actual counts;
/// measured with every 50th account.
static double
measure_account_error (const Sim *sim)
{
  double error = 0.0;
  double actual = 0.0;

  for (uint32_t a = 0; a < FLEET_ACCOUNTS; a += 50)
    {
      uint64_t id;
      char name[TT_NAME_MAX];
      double sum = 0.0;
      double reported[SIM_MAX_NODES] = { 0 };

      (void) snprintf (name, sizeof name, "account-%u", a);
      id = tt_hash_string (name);
      for (uint32_t i = 0; i < sim->node_count; i++)
        TT_LIST_FOREACH (&sim->nodes[i].board->admit.accounts, it)
          {
            const TtClientAccount *account = TT_CONTAINER_OF (it, TtClientAccount, link);

            if (account->spec.id != id)
              continue;
            sum += account->in_flight;
            reported[i] = account->fleet_in_flight;
          }
      for (uint32_t i = 0; i < sim->node_count; i++)
        error += fabs (reported[i] - sum);
      actual += sum * sim->node_count;
    }
  return actual > 0.0 ? error / actual : 0.0;
}

static void
aggregate_daemons (const Run *run, const SimNode *before, double seconds)
{
  const Sim *sim = run->sim;
  FleetResult *result = run->result;
  double role_counts[3] = { 0 };

  for (uint32_t i = 0; i < sim->node_count; i++)
    {
      const SimNode *node = &sim->nodes[i];
      uint32_t rank = node->board->member.rank;
      FleetRates *roles[] = { &result->first_gateway, &result->second_gateway, &result->member };
      uint32_t role = rank < 2 ? rank : 2;
      FleetRates daemon_rates = { 0 };
      uint32_t owned_engines = 0;

      add_rates (&result->mean, node, &before[i], seconds);
      add_rates (roles[role], node, &before[i], seconds);
      add_rates (&daemon_rates, node, &before[i], seconds);
      if (daemon_rates.sent_bytes + daemon_rates.received_bytes
          > result->busiest.sent_bytes + result->busiest.received_bytes)
        result->busiest = daemon_rates;
      role_counts[role]++;
      result->pool_full += node->board->counters[TT_COUNT_POOL_FULL];
      result->open_requests += node->board->requests.stages[TT_STAGE_RUNNING].count;
      TT_LIST_FOREACH (&node->board->backends.all, it)
        owned_engines += TT_CONTAINER_OF (it, TtBackendServer, link)->share.owner_since_us != 0;
      if (owned_engines > result->max_owned_engines)
        result->max_owned_engines = owned_engines;
    }
  divide_rates (&result->mean, sim->node_count);
  divide_rates (&result->first_gateway, role_counts[0]);
  divide_rates (&result->second_gateway, role_counts[1]);
  divide_rates (&result->member, role_counts[2]);
  result->open_requests /= sim->node_count;
}

/// Runs until @until_us and stages a configuration change once per FleetSize.change_period_s.
static void
run_changes (Run *run, int64_t until_us)
{
  int64_t period_us = (int64_t) (run->size->change_period_s * 1e6);

  while (period_us > 0 && run->sim->now_us + period_us <= until_us)
    {
      int64_t start_us = run->sim->now_us;
      uint64_t epoch = stage_change (run->sim, run->result->changes++ % FLEET_MODELS);
      double elapsed_s = -1.0;

      while (run->sim->now_us < start_us + period_us)
        {
          run_until (run, run->sim->now_us + 10 * SLICE_US);
          if (elapsed_s < 0.0 && sim_epoch_in_force (run->sim, epoch))
            elapsed_s = (double) (run->sim->now_us - start_us) / 1e6;
        }
      if (elapsed_s < 0.0)
        elapsed_s = (double) INFINITY;
      if (elapsed_s > run->result->max_in_force_s)
        run->result->max_in_force_s = elapsed_s;
    }
  run_until (run, until_us);
}

void
fleet_measure (const FleetSize *size, FleetResult *result)
{
  Run run = { .size = size, .result = result };
  SimNode *before = calloc (SIM_MAX_NODES, sizeof *before);
  double seconds = size->measure_s;
  double per_daemon = seconds * size->daemons;

  memset (result, 0, sizeof *result);
  tt_rng_init (&run.rng, size->seed, 11);
  run.first_tokens.items = calloc (QUEUE_SIZE, sizeof *run.first_tokens.items);
  run.completions.items = calloc (QUEUE_SIZE, sizeof *run.completions.items);
  run.sim = fleet_prepare (size);
  if (before == NULL || run.first_tokens.items == NULL || run.completions.items == NULL)
    abort ();
  run.sim->hooks.on_action = record_action;
  run.sim->hooks.context = &run;
  fleet_add_daemons (run.sim, size, size->daemons);
  run_until (&run, run.sim->now_us + size->warmup_s * TT_SECOND_US);
  memcpy (before, run.sim->nodes, SIM_MAX_NODES * sizeof *before);
  memset (step_cpu_s, 0, sizeof step_cpu_s);
  memset (step_counts, 0, sizeof step_counts);
  max_step_cpu_s = 0.0;
  run.serial = 0;
  run.measuring = true;
  run_changes (&run, run.sim->now_us + size->measure_s * TT_SECOND_US);
  for (int type = 0; type < FLEET_STEP_TYPES; type++)
    {
      result->step_us[type]
          = step_counts[type] > 0 ? step_cpu_s[type] * 1e6 / (double) step_counts[type] : 0.0;
      result->steps[type] = (double) step_counts[type] / per_daemon;
    }
  for (int type = 0; type <= TT_PEER_LEAVE; type++)
    {
      result->message_bytes[type] /= result->messages[type] > 0.0 ? result->messages[type] : 1.0;
      result->messages[type] /= per_daemon;
    }
  result->false_suspicions /= per_daemon;
  result->max_step_us = max_step_cpu_s * 1e6;
  result->completed_per_s = (double) run.completed / seconds;
  result->not_completed = run.serial > 0 ? (double) run.not_completed / (double) run.serial : 0.0;
  aggregate_daemons (&run, before, seconds);
  result->account_error = measure_account_error (run.sim);
  sim_free (run.sim);
  free (run.first_tokens.items);
  free (run.completions.items);
  free (before);
}
