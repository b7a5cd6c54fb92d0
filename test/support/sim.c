#include "support/sim_event.h"
#include "tarragontrack/board/hash.h"
#include "tarragontrack/control/controllers.h"
#include "tarragontrack/control/member.h"
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

static bool
is_before (const SimEvent *a, const SimEvent *b)
{
  return a->time_us != b->time_us ? a->time_us < b->time_us : a->sequence < b->sequence;
}

void
sim_push (Sim *sim, SimEvent *event, int64_t time_us)
{
  uint32_t i = sim->heap_count++;

  event->time_us = time_us;
  event->sequence = ++sim->sequence;
  if (sim->heap_count > sim->heap_size)
    {
      sim->heap_size = sim->heap_size * 2 + 1024;
      sim->heap = realloc (sim->heap, sim->heap_size * sizeof (SimEvent *));
      if (sim->heap == NULL)
        abort ();
    }
  while (i > 0 && is_before (event, sim->heap[(i - 1) / 2]))
    {
      sim->heap[i] = sim->heap[(i - 1) / 2];
      i = (i - 1) / 2;
    }
  sim->heap[i] = event;
}

static SimEvent *
pop (Sim *sim)
{
  SimEvent *first = sim->heap[0];
  SimEvent *last = sim->heap[--sim->heap_count];
  uint32_t i = 0;

  for (;;)
    {
      uint32_t child = 2 * i + 1;

      if (child >= sim->heap_count)
        break;
      if (child + 1 < sim->heap_count && is_before (sim->heap[child + 1], sim->heap[child]))
        child++;
      if (!is_before (sim->heap[child], last))
        break;
      sim->heap[i] = sim->heap[child];
      i = child;
    }
  sim->heap[i] = last;
  return first;
}

SimEvent *
sim_event (const Sim *sim, SimEventType type, uint32_t node)
{
  SimEvent *event = calloc (1, sizeof *event);

  if (event == NULL)
    abort ();
  event->type = type;
  event->node = node;
  event->start = sim->nodes[node].starts;
  return event;
}

static void
free_event (SimEvent *event)
{
  free (event->message);
  free (event->object);
  free (event);
}

int64_t
sim_delay (Sim *sim, int64_t least_us, int64_t most_us)
{
  return sim->now_us + least_us
         + (int64_t) tt_rng_below (&sim->rng, (uint64_t) (most_us - least_us));
}

Sim *
sim_new (uint64_t seed)
{
  Sim *sim = calloc (1, sizeof *sim);

  if (sim == NULL)
    abort ();
  tt_rng_init (&sim->rng, seed, 7);
  sim->now_us = 1000 * TT_SECOND_US;
  sim->objects = calloc (SIM_OBJECTS, sizeof *sim->objects);
  sim->hosts = calloc (SIM_HOSTS, sizeof *sim->hosts);
  if (sim->objects == NULL || sim->hosts == NULL)
    abort ();
  return sim;
}

void
sim_free (Sim *sim)
{
  for (uint32_t i = 0; i < sim->node_count; i++)
    tt_board_free (sim->nodes[i].board);
  while (sim->heap_count > 0)
    free_event (pop (sim));
  for (uint32_t i = 0; i < sim->document_count; i++)
    free (sim->documents[i]);
  free (sim->heap);
  free (sim->objects);
  free (sim->hosts);
  free (sim);
}

static uint32_t
domain_of (Sim *sim, const char *name)
{
  uint32_t i = 0;

  while (i < sim->domain_count && strcmp (sim->domains[i], name) != 0)
    i++;
  if (i == sim->domain_count && sim->domain_count++ < SIM_DOMAINS)
    (void) snprintf (sim->domains[i], TT_NAME_MAX, "%s", name);
  return i;
}

void
sim_start (Sim *sim, SimNode *node)
{
  uint32_t records = sim->max_requests != 0 ? sim->max_requests : 16;
  TtBoardConfig config = { .incarnation = (uint64_t) sim->now_us + ++node->starts,
                           .max_requests = records,
                           .max_attempts = records,
                           .max_accounts = records,
                           .peer_port = 7000 };

  config.seed[0] = tt_rng_next (&sim->rng);
  config.seed[1] = node->starts;
  (void) snprintf (config.fleet, sizeof config.fleet, "sim");
  (void) snprintf (config.address, sizeof config.address, "10.0.0.1");
  memcpy (config.name, node->name, sizeof config.name);
  memcpy (config.domain, sim->domains[node->domain], sizeof config.domain);
  node->board = tt_board_new (&config);
  if (node->board == NULL || tt_controllers_add_all (node->board) < 0)
    abort ();
  sim_push (sim, sim_event (sim, SIM_TICK, (uint32_t) (node - sim->nodes)),
            sim_delay (sim, 0, TT_TICK_US));
}

void
sim_stop (SimNode *node)
{
  tt_board_free (node->board);
  node->board = NULL;
}

SimNode *
sim_add (Sim *sim, const char *name, const char *domain)
{
  SimNode *node = &sim->nodes[sim->node_count++];
  TtHostEntry *host = &sim->hosts[sim->host_count++];

  (void) snprintf (node->name, sizeof node->name, "%s", name);
  node->domain = domain_of (sim, domain);
  (void) snprintf (host->name, sizeof host->name, "%s", name);
  (void) snprintf (host->address, sizeof host->address, "10.0.0.1");
  (void) snprintf (host->domain, sizeof host->domain, "%s", domain);
  host->entry_host = true;
  sim->hosts_version++;
  sim_start (sim, node);
  return node;
}

void
sim_add_engines (Sim *sim, uint32_t count, const char *service, const char *domain)
{
  for (uint32_t i = 0; i < count; i++)
    {
      TtHostEntry *host = &sim->hosts[sim->host_count++];

      (void) snprintf (host->name, sizeof host->name, "%s-%s-%u", service, domain, i);
      (void) snprintf (host->address, sizeof host->address, "10.0.1.1");
      (void) snprintf (host->domain, sizeof host->domain, "%s", domain);
      (void) snprintf (host->service, sizeof host->service, "%s", service);
      host->weight = 1.0;
      host->batch_limit = 32;
      host->fencing = true;
    }
  sim->hosts_version++;
}

/// Sends a message of a daemon on its way.
static void
send_message (Sim *sim, SimNode *from, TtAction *action)
{
  TtPeerMessage *message = action->peer.message;
  uint32_t to = 0;
  SimEvent *event;

  from->sent++;
  from->sent_bytes += tt_gossip_bytes (message);
  while (to < sim->node_count && tt_hash_string (sim->nodes[to].name) != action->peer.member_id)
    to++;
  if (to == sim->node_count || tt_rng_unit (&sim->rng) < sim->loss)
    return;
  if (message->type == TT_PEER_DOCUMENT && message->document.team[0] != '\0')
    sim_set_document (sim, &message->document.hash, &message->document.text,
                      &message->document.text_size, &message->document.document);
  event = sim_event (sim, SIM_MESSAGE, to);
  event->from = (uint32_t) (from - sim->nodes);
  if (tt_rng_unit (&sim->rng) < sim->repeat)
    {
      SimEvent *twin = sim_event (sim, SIM_MESSAGE, to);

      twin->from = event->from;
      twin->message = malloc (sizeof *message);
      if (twin->message == NULL)
        abort ();
      *twin->message = *message;
      sim_push (sim, twin, sim_delay (sim, 10000, 3000000));
    }
  event->message = message;
  action->peer.message = NULL;
  sim_push (sim, event, sim_delay (sim, 200, 2000));
}

/// Carries out what a board asked for.
static void
take_actions (Sim *sim, SimNode *node)
{
  TtAction *action;

  while ((action = tt_board_take (node->board)) != NULL)
    {
      if (sim->acted != NULL)
        sim->acted (sim->context, node, action);
      if (action->type == TT_ACTION_PEER)
        send_message (sim, node, action);
      else if (action->type == TT_ACTION_ORDER)
        {
          sim->dispatched++;
          sim->order_fencing = action->order.fencing;
          sim->order_us = sim->now_us;
          memcpy (sim->order_role, action->order.role.role, sizeof sim->order_role);
        }
      else if (action->type == TT_ACTION_PLATFORM)
        {
          SimEvent *event = sim_event (sim, SIM_CALL, (uint32_t) (node - sim->nodes));

          event->call = action->platform;
          if (action->platform.op == TT_PLATFORM_PUT)
            {
              event->object = malloc (sizeof *event->object);
              if (event->object == NULL)
                abort ();
              *event->object = *action->platform.object;
            }
          node->writes += action->platform.op == TT_PLATFORM_PUT;
          node->watches += action->platform.op == TT_PLATFORM_WATCH;
          node->reads += action->platform.op != TT_PLATFORM_PUT;
          sim_push (sim, event, sim_delay (sim, 500, 2000));
        }
      tt_board_release (node->board, action);
    }
}

void
sim_step (Sim *sim, SimNode *node, const TtEvent *event)
{
  tt_board_step (node->board, event, sim->now_us);
  take_actions (sim, node);
}

/// Delivers one event. RETURN false if it was put back and must not be freed.
static bool
deliver (Sim *sim, SimEvent *event)
{
  SimNode *node = &sim->nodes[event->node];
  TtEvent told = { .type = TT_EVENT_TICK };

  if (event->type == SIM_CALL)
    {
      sim_execute (sim, event);
      return false;
    }
  if (event->type == SIM_WATCH)
    {
      if (event->done)
        return true;
      event->type = SIM_ANSWER;
      event->answer.unchanged = true;
      event->answer.version = event->call.version;
    }
  if (node->board == NULL || (event->type != SIM_MESSAGE && event->start != node->starts))
    return true;
  if (sim->now_us < node->paused_until_us)
    {
      sim_push (sim, event, node->paused_until_us);
      return false;
    }
  if (event->type == SIM_MESSAGE)
    {
      const SimNode *from = &sim->nodes[event->from];

      if (from->domain != node->domain && (sim->cut[from->domain] || sim->cut[node->domain]))
        return true;
      node->received_bytes += tt_gossip_bytes (event->message);
      told.type = TT_EVENT_PEER;
      told.peer = event->message;
    }
  else if (event->type == SIM_ANSWER)
    {
      told.type = TT_EVENT_PLATFORM;
      told.platform = event->answer;
      told.platform.object = event->object;
    }
  sim_step (sim, node, &told);
  if (event->type != SIM_TICK)
    return true;
  sim_push (sim, event, sim->now_us + TT_TICK_US);
  return false;
}

void
sim_run (Sim *sim, int64_t until_us)
{
  while (sim->heap_count > 0 && sim->heap[0]->time_us <= until_us)
    {
      SimEvent *event = pop (sim);

      sim->now_us = event->time_us;
      if (deliver (sim, event))
        free_event (event);
    }
  sim->now_us = until_us;
}

bool
sim_in_force (const Sim *sim, uint64_t epoch)
{
  for (uint32_t i = 0; i < sim->node_count; i++)
    if (sim->nodes[i].board != NULL && !sim->cut[sim->nodes[i].domain]
        && sim->nodes[i].board->configuration.epoch < epoch)
      return false;
  return true;
}
