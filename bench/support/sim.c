#include "support/sim.h"
#include "tarragontrack/board/hash.h"
#include <math.h>
#include <stdio.h>
#include <stdlib.h>

#define SAMPLE_PERIOD_US (100 * TT_MILLISECOND_US)

const char *
sim_policy_name (SimPolicy policy)
{
  static const char *const names[SIM_POLICY_COUNT]
      = { "tarragontrack",        "random", "round robin", "least in flight", "consistent hashing",
          "power of two choices", "oracle" };

  return names[policy];
}

void
sim_defaults (SimConfig *config)
{
  *config = (SimConfig){ .seed = 1,
                         .domains = 3,
                         .engines = 10,
                         .routers = 5,
                         .batch_limit = 32,
                         .cache_tokens = 600000,
                         .prefill_us = 100.0,
                         .decode_us = 30000.0,
                         .accounts = 10,
                         .skew = 1.0,
                         .prefixes = 4,
                         .prefix_tokens = 800,
                         .turn_tokens = 200,
                         .response_tokens = 430,
                         .chats = 600,
                         .returning_fraction = 0.8,
                         .rate = 10.0,
                         .surge_factor = 1.0,
                         .restart_downtime_us = 20 * TT_SECOND_US,
                         .message_delay_us = 500,
                         .load_report_period_us = TT_SECOND_US,
                         .warmup_us = 60 * TT_SECOND_US,
                         .duration_us = 120 * TT_SECOND_US,
                         .load_multiple = 1.25,
                         .prefix_spread = 4 };
}

/// True if event @a runs before event @b.
static bool
is_before (const SimEvent *a, const SimEvent *b)
{
  return a->at_us < b->at_us || (a->at_us == b->at_us && a->order < b->order);
}

void
sim_push_event (Sim *sim, int64_t at_us, SimEventType type, uint32_t index, uint64_t serial,
                void *data)
{
  uint32_t at = sim->event_heap_count++;

  if (sim->event_heap_count > sim->event_heap_capacity)
    {
      sim->event_heap_capacity = sim->event_heap_capacity * 2 + 1024;
      sim->event_heap
          = realloc (sim->event_heap, sim->event_heap_capacity * sizeof *sim->event_heap);
      if (sim->event_heap == NULL)
        abort ();
    }
  sim->event_heap[at] = (SimEvent){ .at_us = at_us,
                                    .order = sim->next_event_order++,
                                    .type = type,
                                    .index = index,
                                    .request_serial = serial,
                                    .data = data };
  while (at > 0 && is_before (&sim->event_heap[at], &sim->event_heap[(at - 1) / 2]))
    {
      SimEvent swapped = sim->event_heap[at];

      sim->event_heap[at] = sim->event_heap[(at - 1) / 2];
      sim->event_heap[(at - 1) / 2] = swapped;
      at = (at - 1) / 2;
    }
}

bool
sim_pop_event (Sim *sim, SimEvent *event)
{
  uint32_t at = 0;

  if (sim->event_heap_count == 0)
    return false;
  *event = sim->event_heap[0];
  sim->event_heap[0] = sim->event_heap[--sim->event_heap_count];
  for (;;)
    {
      uint32_t earliest = at;

      for (uint32_t child = 2 * at + 1; child <= 2 * at + 2; child++)
        if (child < sim->event_heap_count
            && is_before (&sim->event_heap[child], &sim->event_heap[earliest]))
          earliest = child;
      if (earliest == at)
        return true;
      SimEvent swapped = sim->event_heap[at];

      sim->event_heap[at] = sim->event_heap[earliest];
      sim->event_heap[earliest] = swapped;
      at = earliest;
    }
}

uint32_t
sim_load_bound (const Sim *sim, uint32_t domain)
{
  uint32_t load = 0;
  uint32_t count = 0;

  for (uint32_t i = 0; i < sim->config.engines; i++)
    if (sim->engines[i].domain == domain && sim->engines[i].up)
      {
        load += sim_engine_load (&sim->engines[i]);
        count++;
      }
  return count == 0 ? 0 : (uint32_t) ceil (sim->config.load_multiple * load / count) + 1;
}

/// Samples the load of each engine and compares it with the load bound P1.
static void
sample_loads (Sim *sim)
{
  for (uint32_t domain = 0; domain < sim->config.domains; domain++)
    {
      uint32_t bound = sim_load_bound (sim, domain);

      for (uint32_t i = domain; i < sim->config.engines; i += sim->config.domains)
        {
          SimEngine *engine = &sim->engines[i];
          double ratio = bound > 0 ? sim_engine_load (engine) / (double) bound : 0.0;

          if (!engine->up)
            continue;
          sim->result.load_samples++;
          if (ratio > sim->result.max_load_ratio)
            sim->result.max_load_ratio = ratio;
          if (sim_engine_load (engine) <= bound)
            engine->overload_since_us = 0;
          else
            {
              sim->result.overload_samples++;
              if (engine->overload_since_us == 0)
                engine->overload_since_us = sim->now_us;
              if (sim->now_us - engine->overload_since_us >= sim->result.max_overload_us)
                sim->result.max_overload_us
                    = sim->now_us - engine->overload_since_us + SAMPLE_PERIOD_US;
            }
        }
    }
}

/// Draws the time of the next event of a Poisson process with @rate events per second; one second
/// from now if @rate is 0.
static int64_t
draw_next_event_us (const Sim *sim, TtRng *rng, double rate)
{
  double gap = rate > 0.0 ? -log (1.0 - tt_rng_unit (rng)) / rate : 1.0;

  return sim->now_us + 1 + (int64_t) (gap * 1e6);
}

static void
handle_arrival (Sim *sim)
{
  int64_t since_us = sim->now_us - SIM_START_US;
  double rate = sim->config.rate;

  if (sim->config.rate_at != NULL)
    rate = sim->config.rate_at (sim->config.context, since_us);
  sim_push_event (sim, draw_next_event_us (sim, &sim->rng, rate), SIM_EVENT_ARRIVAL, 0, 0, NULL);
  sim_workload_arrive (sim, false);
}

static void
handle_surge (Sim *sim)
{
  uint32_t account = sim->config.surge_account;
  double weight = sim->account_sums[account] - (account > 0 ? sim->account_sums[account - 1] : 0.0);
  double rate = sim->config.rate * (sim->config.surge_factor - 1.0) * weight
                / sim->account_sums[sim->config.accounts - 1];

  if (sim->now_us - SIM_START_US >= sim->config.surge_until_us)
    return;
  sim_push_event (sim, draw_next_event_us (sim, &sim->rng, rate), SIM_EVENT_SURGE, 0, 0, NULL);
  sim_workload_arrive (sim, true);
}

/// Stops a random engine, unless it is down already, and schedules its start.
static void
handle_engine_restart (Sim *sim)
{
  SimEngine *engine = &sim->engines[tt_rng_below (&sim->restart_rng, sim->config.engines)];

  sim_push_event (
      sim,
      draw_next_event_us (sim, &sim->restart_rng,
                          sim->config.restart_fraction_per_min * sim->config.engines / 60.0),
      SIM_EVENT_ENGINE_RESTART, 0, 0, NULL);
  if (!engine->up)
    return;
  sim->result.engine_restarts += sim->measuring;
  sim_engine_set_available (sim, engine, false);
  sim_push_event (sim, sim->now_us + sim->config.restart_downtime_us, SIM_EVENT_ENGINE_START,
                  engine->index, 0, NULL);
}

static void
handle_sample (Sim *sim)
{
  sim_push_event (sim, sim->now_us + SAMPLE_PERIOD_US, SIM_EVENT_SAMPLE, 0, 0, NULL);
  if (!sim->measuring && sim->now_us - SIM_START_US >= sim->config.warmup_us)
    {
      sim->measuring = true;
      for (uint32_t i = 0; i < sim->config.routers; i++)
        sim->sent_bytes[i] = 0;
    }
  if (sim->measuring)
    sample_loads (sim);
  if (sim->config.on_sample != NULL)
    sim->config.on_sample (sim->config.context, sim, sim->now_us);
}

static void
handle_event (Sim *sim, const SimEvent *event)
{
  switch (event->type)
    {
    case SIM_EVENT_ARRIVAL:
      handle_arrival (sim);
      break;
    case SIM_EVENT_SURGE:
      handle_surge (sim);
      break;
    case SIM_EVENT_FIRST_TOKEN:
    case SIM_EVENT_NEXT_TOKENS:
    case SIM_EVENT_DONE:
      sim_engine_handle_event (sim, event);
      break;
    case SIM_EVENT_PEER:
      sim_router_deliver_message (sim, event->index, event->data);
      free (event->data);
      break;
    case SIM_EVENT_TICK:
      sim_push_event (sim, sim->now_us + TT_TICK_INTERVAL_US, SIM_EVENT_TICK, event->index, 0,
                      NULL);
      sim_router_tick (sim, event->index);
      break;
    case SIM_EVENT_SAMPLE:
      handle_sample (sim);
      break;
    case SIM_EVENT_REPORT:
      sim_push_event (sim, sim->now_us + sim->config.load_report_period_us, SIM_EVENT_REPORT,
                      event->index, 0, NULL);
      sim->engines[event->index].reported_load = sim_engine_load (&sim->engines[event->index]);
      break;
    case SIM_EVENT_ENGINE_RESTART:
      handle_engine_restart (sim);
      break;
    default:
      sim_engine_set_available (sim, &sim->engines[event->index], true);
      break;
    }
}

/// Schedules the first event of each recurring type. The load reports of the engines and the ticks
/// of the routers get different offsets, so that they do not all run at the same time.
static void
schedule_initial_events (Sim *sim)
{
  const SimConfig *config = &sim->config;

  sim_push_event (sim, sim->now_us + TT_SECOND_US, SIM_EVENT_ARRIVAL, 0, 0, NULL);
  sim_push_event (sim, sim->now_us, SIM_EVENT_SAMPLE, 0, 0, NULL);
  if (config->surge_factor > 1.0)
    sim_push_event (sim, sim->now_us + config->surge_from_us, SIM_EVENT_SURGE, 0, 0, NULL);
  if (config->restart_fraction_per_min > 0.0)
    sim_push_event (sim,
                    draw_next_event_us (sim, &sim->restart_rng,
                                        config->restart_fraction_per_min * config->engines / 60.0),
                    SIM_EVENT_ENGINE_RESTART, 0, 0, NULL);
  for (uint32_t i = 0; i < config->engines; i++)
    sim_push_event (sim, sim->now_us + (int64_t) i * 977, SIM_EVENT_REPORT, i, 0, NULL);
  for (uint32_t i = 0; sim->boards != NULL && i < config->routers; i++)
    sim_push_event (sim, sim->now_us + (int64_t) i * 1511 % TT_TICK_INTERVAL_US, SIM_EVENT_TICK, i,
                    0, NULL);
}

static int
open_sim (Sim *sim)
{
  sim->engines = calloc (sim->config.engines, sizeof *sim->engines);
  sim->sent_bytes = calloc (sim->config.routers, sizeof *sim->sent_bytes);
  if (sim->engines == NULL || sim->sent_bytes == NULL)
    return -1;
  for (uint32_t i = 0; i < sim->config.engines; i++)
    {
      SimEngine *engine = &sim->engines[i];

      engine->index = i;
      engine->domain = i % sim->config.domains;
      (void) snprintf (engine->name, sizeof engine->name, "engine-%u", i);
      engine->id = tt_hash_string (engine->name);
      if (sim_engine_open (sim, engine) < 0)
        return -1;
    }
  if (sim_workload_open (sim) < 0 || sim_policy_open (sim) < 0)
    return -1;
  return sim->config.policy == SIM_ROUTER ? sim_router_open (sim) : 0;
}

static void
close_sim (Sim *sim)
{
  for (uint32_t i = 0; i < sim->event_heap_count; i++)
    free (sim->event_heap[i].data);
  sim_router_close (sim);
  for (uint32_t i = 0; sim->engines != NULL && i < sim->config.engines; i++)
    sim_engine_close (&sim->engines[i]);
  sim_workload_close (sim);
  free (sim->engines);
  free (sim->sent_bytes);
  free (sim->hash_ring);
  free (sim->event_heap);
  free (sim);
}

/// Computes the derived results: cache reuse, mean time to the first token and peer traffic.
static void
compute_result (Sim *sim)
{
  SimResult *result = &sim->result;
  double seconds = (double) sim->config.duration_us / 1e6;

  if (result->prompt_tokens > 0)
    result->reuse = (double) result->cached_tokens / (double) result->prompt_tokens;
  if (result->completed > 0)
    result->first_token_us = sim->first_token_sum_us / (double) result->completed;
  for (uint32_t i = 0; i < sim->config.routers; i++)
    {
      double bytes_s = (double) sim->sent_bytes[i] / seconds;

      result->peer_bytes += sim->sent_bytes[i];
      result->peer_bytes_s += bytes_s / sim->config.routers;
      if (bytes_s > result->max_peer_bytes_s)
        result->max_peer_bytes_s = bytes_s;
    }
}

int
sim_run (const SimConfig *config, SimResult *result)
{
  Sim *sim = calloc (1, sizeof *sim);
  int64_t end_us = SIM_START_US + config->warmup_us + config->duration_us;
  SimEvent event;
  int code;

  if (sim == NULL)
    return -1;
  sim->config = *config;
  sim->now_us = SIM_START_US;
  tt_rng_init (&sim->rng, config->seed, 77);
  tt_rng_init (&sim->noise, config->seed, 78);
  tt_rng_init (&sim->restart_rng, config->seed, 79);
  code = open_sim (sim);
  if (code == 0)
    {
      schedule_initial_events (sim);
      while (sim->event_heap_count > 0 && sim->event_heap[0].at_us < end_us)
        {
          (void) sim_pop_event (sim, &event);
          sim->now_us = event.at_us;
          handle_event (sim, &event);
        }
      compute_result (sim);
      *result = sim->result;
    }
  close_sim (sim);
  return code;
}
