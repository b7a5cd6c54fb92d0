/// Daemons of the simulation, their messages, and the event loop.
#include "support/sim_event.h"
#include "support/test_board.h"
#include "tarragontrack/board/hash.h"
#include "tarragontrack/control/controllers.h"
#include "tarragontrack/control/member.h"
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

static const SimTiming default_timing = {
  .peer_message = { 200, 2000 },
  .duplicate = { 10000, 3 * TT_SECOND_US },
  .platform_call = { 500, 2000 },
  .platform_response = { 500, 3000 },
  .lost_response = { TT_SECOND_US + 500, TT_SECOND_US + 3000 },
  .unreachable = { 500, 3000 },
  .unreachable_code = TT_E_UNAVAILABLE,
  .max_watch_us = 50 * TT_SECOND_US,
  .watch_check_us = 2 * TT_MILLISECOND_US,
};

Sim *
sim_new (uint64_t seed)
{
  Sim *sim = calloc (1, sizeof *sim);

  if (sim == NULL)
    abort ();
  tt_rng_init (&sim->rng, seed, 7);
  sim->now_us = 1000 * TT_SECOND_US;
  sim->timing = default_timing;
  sim->board_config = (TtBoardConfig){
    .max_requests = 16, .max_attempts = 16, .max_accounts = 16, .peer_port = 7000
  };
  (void) snprintf (sim->board_config.fleet, sizeof sim->board_config.fleet, "sim");
  (void) snprintf (sim->board_config.address, sizeof sim->board_config.address, "10.0.0.1");
  sim->store = store_new ();
  memset (sim->document_text, ' ', sizeof sim->document_text);
  sim->document_text[0] = '{';
  sim->document_text[1] = '}';
  sim->document_text_bytes = sizeof sim->document_text;
  tt_list_init (&sim->watches);
  return sim;
}

void
sim_free (Sim *sim)
{
  for (uint32_t i = 0; i < sim->node_count; i++)
    tt_board_free (sim->nodes[i].board);
  while (sim->heap_count > 0)
    sim_event_free (sim_pop_event (sim));
  free (sim->heap);
  store_free (sim->store);
  free (sim);
}

uint32_t
sim_domain_index (Sim *sim, const char *name)
{
  uint32_t i = 0;

  while (i < sim->domain_count && strcmp (sim->domains[i], name) != 0)
    i++;
  if (i == SIM_MAX_DOMAINS)
    abort ();
  if (i == sim->domain_count)
    (void) snprintf (sim->domains[sim->domain_count++], TT_NAME_MAX, "%s", name);
  return i;
}

void
sim_start_daemon (Sim *sim, SimNode *node)
{
  uint32_t index = (uint32_t) (node - sim->nodes);
  TtBoardConfig config = sim->board_config;
  SimEvent *tick;

  tt_board_free (node->board);
  node->start_count++;
  node->alive = true;
  node->paused_until_us = 0;
  config.incarnation = (uint64_t) sim->now_us + node->start_count;
  config.seed[0] = tt_rng_next (&sim->rng);
  config.seed[1] = index;
  memcpy (config.name, node->name, sizeof config.name);
  memcpy (config.domain, sim->domains[node->domain], sizeof config.domain);
  node->board = tt_board_new (&config);
  if (node->board == NULL || tt_controllers_add_leased (node->board) < 0)
    abort ();
  tick = sim_event_new (sim, SIM_BOARD_EVENT, index);
  tick->event.type = TT_EVENT_TICK;
  sim_push_event (sim, tick, sim_random_time (sim, (SimDelayRange){ 0, TT_TICK_INTERVAL_US }));
}

void
sim_kill_daemon (SimNode *node)
{
  tt_board_free (node->board);
  node->board = NULL;
  node->alive = false;
}

TtHostEntry *
sim_add_host (Sim *sim, const char *name, const char *service, const char *domain)
{
  TtHostEntry *host = &sim->store->hosts[sim->store->host_count++];

  if (sim->store->host_count > STORE_MAX_HOSTS)
    abort ();
  test_board_fill_hosts (host, 1, service, domain);
  (void) snprintf (host->name, sizeof host->name, "%s", name);
  sim->store->hosts_version++;
  return host;
}

void
sim_add_engines (Sim *sim, uint32_t count, const char *service, const char *domain)
{
  for (uint32_t i = 0; i < count; i++)
    {
      char name[TT_NAME_MAX];

      (void) snprintf (name, sizeof name, "%s-%s-%u", service, domain, i);
      (void) sim_add_host (sim, name, service, domain);
    }
}

SimNode *
sim_add_daemon (Sim *sim, const char *name, const char *domain)
{
  SimNode *node = &sim->nodes[sim->node_count++];
  TtHostEntry *host = sim_add_host (sim, name, "", domain);

  if (sim->node_count > SIM_MAX_NODES)
    abort ();
  host->entry_host = true;
  (void) snprintf (host->address, sizeof host->address, "%s", sim->board_config.address);
  host->port = sim->board_config.peer_port;
  (void) snprintf (node->name, sizeof node->name, "%s", name);
  node->id = tt_hash_string (name);
  node->domain = sim_domain_index (sim, domain);
  sim_start_daemon (sim, node);
  return node;
}

/// Queues one copy of a message and takes ownership of it.
///
/// ARGUMENTS  any_process: also deliver it if the recipient was restarted in the meantime
static void
queue_message (Sim *sim, uint32_t to, TtPeerMessage *message, SimDelayRange delay, bool any_process)
{
  SimEvent *event = sim_event_new (sim, SIM_BOARD_EVENT, to);

  if (message->type == TT_PEER_DOCUMENT && message->document.team[0] != '\0')
    {
      // Copies the document because the sender may replace it before the message arrives.
      TtObject object = { .type = TT_OBJECT_DOCUMENT };

      object.document.text = message->document.text;
      object.document.text_size = message->document.text_size;
      object.document.document = message->document.document;
      event->object = store_copy_object (&object);
      message->document.text = event->object->document.text;
      message->document.document = event->object->document.document;
    }
  if (any_process)
    event->process_start_count = 0;
  event->event.type = TT_EVENT_PEER_MESSAGE;
  event->event.peer = message;
  event->message = message;
  sim_push_event (sim, event, sim_random_time (sim, delay));
}

/// Sends a peer message of a daemon; applies partitions, loss and duplication.
static void
send_message (Sim *sim, SimNode *from, TtAction *action)
{
  TtPeerMessage *message = action->peer.message;
  TtPeerMessage *duplicate = NULL;
  uint32_t to = 0;

  from->sent_messages++;
  from->sent_bytes += tt_gossip_message_bytes (message);
  while (to < sim->node_count && sim->nodes[to].id != action->peer.member_id)
    to++;
  if (tt_rng_unit (&sim->rng) < sim->message_duplication)
    {
      duplicate = malloc (sizeof *duplicate);
      if (duplicate == NULL)
        abort ();
      *duplicate = *message;
    }
  if (to == sim->node_count || sim->partitioned[from->domain][sim->nodes[to].domain]
      || tt_rng_unit (&sim->rng) < sim->message_loss)
    {
      free (duplicate);
      return;
    }
  queue_message (sim, to, message, sim->timing.peer_message, false);
  action->peer.message = NULL;
  // A late duplicate also reaches a process that was started after the message was sent.
  if (duplicate != NULL)
    queue_message (sim, to, duplicate, sim->timing.duplicate, true);
}

/// Executes one action of a board.
static void
execute_action (Sim *sim, uint32_t index, TtAction *action)
{
  SimNode *node = &sim->nodes[index];

  if (sim->hooks.on_action != NULL)
    sim->hooks.on_action (sim->hooks.context, index, action);
  switch (action->type)
    {
    case TT_ACTION_PEER_SEND:
      send_message (sim, node, action);
      break;
    case TT_ACTION_PLATFORM_CALL:
      sim_send_platform_call (sim, index, &action->platform);
      break;
    case TT_ACTION_ORDER:
      sim->orders_sent++;
      sim->order_fencing_token = action->order.fencing_token;
      sim->order_us = sim->now_us;
      memcpy (sim->order_role, action->order.role.role, sizeof sim->order_role);
      break;
    case TT_ACTION_EXIT:
      node->alive = false;
      break;
    default:
      if (sim->hooks.execute_action != NULL)
        sim->hooks.execute_action (sim->hooks.context, index, action);
      break;
    }
}

void
sim_step_daemon (Sim *sim, uint32_t index, const TtEvent *event)
{
  TtBoard *board = sim->nodes[index].board;
  TtAction *action;

  board->wall_clock_s = sim->now_us / TT_SECOND_US;
  tt_board_step (board, event, sim->now_us);
  while ((action = tt_board_pop_action (board)) != NULL)
    {
      execute_action (sim, index, action);
      tt_board_release_action (board, action);
    }
}

/// Delivers an event to a daemon. RETURN false if the event was queued again and must not be freed.
static bool
deliver_to_board (Sim *sim, SimEvent *event)
{
  SimNode *node = &sim->nodes[event->node];

  if (!node->alive
      || (event->process_start_count != 0 && event->process_start_count != node->start_count))
    return true;
  if (sim->now_us < node->paused_until_us)
    {
      // A paused process leaves data in its socket buffers, so the event is delivered after the
      // pause. It keeps its sequence number, so events stay in order if the pause is extended.
      event->process_start_count = node->start_count;
      sim_push_event (sim, event, node->paused_until_us);
      return false;
    }
  if (event->message != NULL)
    node->received_bytes += tt_gossip_message_bytes (event->message);
  if (sim->hooks.deliver_event != NULL)
    sim->hooks.deliver_event (sim->hooks.context, event->node, &event->event);
  else
    sim_step_daemon (sim, event->node, &event->event);
  if (event->event.type != TT_EVENT_TICK)
    return true;
  event->sequence = 0;
  sim_push_event (sim, event, sim->now_us + TT_TICK_INTERVAL_US);
  return false;
}

/// Delivers one event. RETURN false if the event was queued again and must not be freed.
static bool
deliver (Sim *sim, SimEvent *event)
{
  switch (event->type)
    {
    case SIM_BOARD_EVENT:
      return deliver_to_board (sim, event);
    case SIM_PLATFORM_CALL:
    case SIM_PLATFORM_WATCH:
      return sim_execute_platform_call (sim, event);
    default:
      sim->hooks.handle_event (sim->hooks.context, event);
      return true;
    }
}

void
sim_run (Sim *sim, int64_t until_us)
{
  while (!sim->stopped && sim->heap_count > 0 && sim->heap[0]->time_us <= until_us)
    {
      SimEvent *event = sim_pop_event (sim);

      sim->now_us = event->time_us;
      if (deliver (sim, event))
        sim_event_free (event);
    }
  sim->now_us = until_us;
}

bool
sim_epoch_in_force (const Sim *sim, uint64_t epoch)
{
  for (uint32_t i = 0; i < sim->node_count; i++)
    if (sim->nodes[i].alive && !sim->partitioned[sim->nodes[i].domain][SIM_PLATFORM]
        && sim->nodes[i].board->team_config.epoch < epoch)
      return false;
  return true;
}
