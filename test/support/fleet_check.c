/// Checks of the properties P1, P2, P5 and P7 of a simulated fleet.
#include "support/fleet.h"
#include "tarragontrack/board/hash.h"
#include "tarragontrack/board/request.h"
#include <math.h>

#define LEAVING_LIMIT_US (5 * TT_SECOND_US)
#define REPORT_LAG_US (2 * TT_SECOND_US)
#define LOAD_MULTIPLE 1.25 ///< same value as in test_board_fill_document()

/// P7: a daemon never reverts to an older epoch, and no ready daemon is behind the accepted epoch.
static void
check_epochs (Fleet *fleet)
{
  uint64_t accepted = sim_accepted_epoch (fleet->sim);

  for (uint32_t i = 0; i < fleet->config.daemons; i++)
    {
      FleetDaemon *daemon = &fleet->daemons[i];
      const SimNode *node = &fleet->sim->nodes[i];
      uint64_t epoch;

      if (!node->alive || node->paused_until_us > fleet->sim->now_us)
        continue;
      epoch = node->board->team_config.epoch;
      if (epoch < daemon->highest_epoch)
        fleet_report_violation (fleet, "P7: daemon %u reverted from epoch %llu to %llu", i,
                                (unsigned long long) daemon->highest_epoch,
                                (unsigned long long) epoch);
      daemon->highest_epoch = epoch;
      if (node->board->drain.ready && epoch < accepted)
        fleet_report_violation (fleet, "P7: epoch %llu is accepted, daemon %u serves epoch %llu",
                                (unsigned long long) accepted, i, (unsigned long long) epoch);
    }
}

/// P5: a leaving backend server gets no new attempts later than LEAVING_LIMIT_US after
/// FleetBackend.leaving_since_us.
static void
check_leaving (Fleet *fleet)
{
  for (uint32_t b = 0; b < fleet->backend_count; b++)
    {
      const FleetBackend *backend = &fleet->backends[b];
      uint64_t id = tt_hash_string (backend->host.name);

      if (backend->leaving_since_us == 0)
        continue;
      for (uint32_t i = 0; i < fleet->config.daemons; i++)
        {
          const TtBoard *board = fleet->sim->nodes[i].board;

          for (uint32_t a = 0; fleet->sim->nodes[i].alive && a < board->requests.attempt_capacity;
               a++)
            {
              const TtAttempt *attempt = &board->requests.attempts[a];

              if (attempt->request != NULL && attempt->backend->id == id
                  && attempt->dispatched_us > backend->leaving_since_us + LEAVING_LIMIT_US)
                fleet_report_violation (
                    fleet,
                    "P5: daemon %u dispatched an attempt to %s %lld ms after it was marked as "
                    "leaving",
                    i, backend->host.name,
                    (long long) ((attempt->dispatched_us - backend->leaving_since_us)
                                 / TT_MILLISECOND_US));
            }
        }
    }
}

/// P2: a daemon never relays more tokens than the complete response has.
static void
check_relayed_tokens (Fleet *fleet)
{
  for (uint32_t i = 0; i < fleet->config.daemons; i++)
    {
      const TtBoard *board = fleet->sim->nodes[i].board;

      for (uint32_t r = 0; fleet->sim->nodes[i].alive && r < board->requests.request_capacity; r++)
        {
          const TtRequest *request = &board->requests.pool[r];
          const FleetCall *call;

          if (request->stage == TT_STAGE_FREE || request->relayed_tokens == 0)
            continue;
          call = fleet_find_call (fleet, i, request->spec.request_id);
          if (call != NULL && request->relayed_tokens > call->response_tokens)
            fleet_report_violation (fleet, "P2: request %llu got %u tokens of %u",
                                    (unsigned long long) request->spec.request_id,
                                    request->relayed_tokens, call->response_tokens);
        }
    }
}

/// P1: no engine exceeds LOAD_MULTIPLE times the mean load of its failure domain (rounded up, plus
/// one request) for longer than REPORT_LAG_US.
static void
check_load (Fleet *fleet)
{
  for (uint32_t i = 0; i < fleet->config.engines; i++)
    {
      FleetBackend *backend = &fleet->backends[i];
      double sum = 0.0;
      uint32_t count = 0;
      double bound;

      for (uint32_t j = 0; j < fleet->config.engines; j++)
        if (fleet->backends[j].domain == backend->domain && fleet->backends[j].alive)
          {
            sum += fleet->backends[j].running_attempts;
            count++;
          }
      bound = count > 0 ? ceil (LOAD_MULTIPLE * sum / count) + 1.0 : 0.0;
      if (!backend->alive || backend->running_attempts <= bound)
        backend->overloaded_since_us = 0;
      else if (backend->overloaded_since_us == 0)
        backend->overloaded_since_us = fleet->sim->now_us;
      else if (fleet->sim->now_us - backend->overloaded_since_us > REPORT_LAG_US)
        fleet_report_violation (fleet, "P1: %s runs %u requests, the bound is %.0f",
                                backend->host.name, backend->running_attempts, bound);
    }
}

void
fleet_check_properties (Fleet *fleet)
{
  if (fleet->check_load)
    check_load (fleet);
  check_epochs (fleet);
  check_leaving (fleet);
  check_relayed_tokens (fleet);
}
