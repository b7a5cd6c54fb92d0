/// Baseline routing policies, with which the routers are compared.
#include "support/sim.h"
#include "tarragontrack/board/hash.h"
#include <stdlib.h>

enum
{
  RING_POINTS_PER_ENGINE = 64 ///< points of each engine on the hash ring
};

static int
compare_points (const void *first, const void *second)
{
  uint64_t one = ((const SimRingPoint *) first)->hash;
  uint64_t two = ((const SimRingPoint *) second)->hash;

  return one < two ? -1 : one > two;
}

int
sim_policy_open (Sim *sim)
{
  uint32_t count = sim->config.engines * RING_POINTS_PER_ENGINE;

  sim->hash_ring = calloc (count, sizeof *sim->hash_ring);
  if (sim->hash_ring == NULL)
    return -1;
  for (uint32_t i = 0; i < count; i++)
    sim->hash_ring[i]
        = (SimRingPoint){ .hash = tt_hash_pair (sim->engines[i / RING_POINTS_PER_ENGINE].id, i),
                          .engine = i / RING_POINTS_PER_ENGINE };
  qsort (sim->hash_ring, count, sizeof *sim->hash_ring, compare_points);
  return 0;
}

static bool
is_candidate (const Sim *sim, const SimEngine *engine, const SimRequest *request)
{
  (void) sim;
  return engine->up && engine->domain == request->chat->home_domain;
}

/// Picks a random running engine of the request's failure domain; NULL if 1000 draws find none.
static SimEngine *
pick_random (Sim *sim, const SimRequest *request)
{
  for (int tries = 0; tries < 1000; tries++)
    {
      SimEngine *engine = &sim->engines[tt_rng_below (&sim->noise, sim->config.engines)];

      if (is_candidate (sim, engine, request))
        return engine;
    }
  return NULL;
}

static SimEngine *
pick_consistent_hash (Sim *sim, const SimRequest *request)
{
  uint32_t count = sim->config.engines * RING_POINTS_PER_ENGINE;
  uint32_t low = 0;
  uint32_t high = count;

  while (low < high)
    {
      uint32_t middle = (low + high) / 2;

      if (sim->hash_ring[middle].hash < request->chat->key)
        low = middle + 1;
      else
        high = middle;
    }
  for (uint32_t i = 0; i < count; i++)
    {
      SimEngine *engine = &sim->engines[sim->hash_ring[(low + i) % count].engine];

      if (is_candidate (sim, engine, request))
        return engine;
    }
  return NULL;
}

/// Picks the engine with the most cached tokens among those below the load bound, and the least
/// loaded one of several with equally many; a random engine if none is below the bound.
static SimEngine *
pick_oracle (Sim *sim, const SimRequest *request)
{
  uint32_t bound = sim_load_bound (sim, request->chat->home_domain);
  SimEngine *best = NULL;
  uint32_t best_cached = 0;

  for (uint32_t i = 0; i < sim->config.engines; i++)
    {
      SimEngine *engine = &sim->engines[i];
      uint32_t cached;

      if (!is_candidate (sim, engine, request) || sim_engine_load (engine) >= bound)
        continue;
      cached = sim_engine_cached_tokens (engine, request);
      if (best == NULL || cached > best_cached
          || (cached == best_cached && sim_engine_load (engine) < sim_engine_load (best)))
        {
          best = engine;
          best_cached = cached;
        }
    }
  return best != NULL ? best : pick_random (sim, request);
}

static SimEngine *
pick_least_in_flight (Sim *sim, const SimRequest *request)
{
  uint32_t start = (uint32_t) tt_rng_below (&sim->noise, sim->config.engines);
  SimEngine *best = NULL;

  for (uint32_t i = 0; i < sim->config.engines; i++)
    {
      SimEngine *engine = &sim->engines[(start + i) % sim->config.engines];

      if (is_candidate (sim, engine, request)
          && (best == NULL
              || engine->in_flight[request->router] < best->in_flight[request->router]))
        best = engine;
    }
  return best;
}

SimEngine *
sim_policy_pick (Sim *sim, const SimRequest *request)
{
  SimEngine *first;
  SimEngine *second;

  switch (sim->config.policy)
    {
    case SIM_ROUND_ROBIN:
      for (uint32_t i = 0; i < sim->config.engines; i++)
        {
          first = &sim->engines[sim->next_engine++ % sim->config.engines];
          if (is_candidate (sim, first, request))
            return first;
        }
      return NULL;
    case SIM_LEAST_IN_FLIGHT:
      return pick_least_in_flight (sim, request);
    case SIM_CONSISTENT_HASH:
      return pick_consistent_hash (sim, request);
    case SIM_TWO_CHOICES:
      first = pick_random (sim, request);
      second = pick_random (sim, request);
      return first != NULL && second->reported_load < first->reported_load ? second : first;
    case SIM_ORACLE:
      return pick_oracle (sim, request);
    default:
      return pick_random (sim, request);
    }
}
