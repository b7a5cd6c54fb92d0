/// Cost of a decision from 10 to 880 workers (M6): time, allocations, and with callgrind
/// (tools/bench.sh) instructions.
#include "support/sim.h"
#include "tarragontrack/board/hash.h"
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#define BOUND_US 10.0
#define CORE_BOUND 0.029
/// Load of one daemon at the target: 5,600 requests/s and 2.4 M tokens/s over 360 daemons.
#define REQUESTS_S 15.5
#define TOKENS_S 6667.0
#define TICKS_S 20.0

enum
{
  DECISIONS = 2000,
  WARM_DECISIONS = 500,
  TICKS = 200,
  PROGRESS = 20000,
  ROUNDS = 5
};

typedef struct
{
  double decision_us;
  double worst_us;
  double tick_us;
  double progress_us;
  uint64_t allocations;
} Cost;

static uint64_t allocations;

// The linker replaces the library's calls by these (see CMakeLists.txt).
void *__real_malloc (size_t size);               // NOLINT
void *__real_calloc (size_t count, size_t size); // NOLINT
void *__wrap_malloc (size_t size);               // NOLINT
void *__wrap_calloc (size_t count, size_t size); // NOLINT

void *
__wrap_malloc (size_t size) // NOLINT
{
  allocations++;
  return __real_malloc (size);
}

void *
__wrap_calloc (size_t count, size_t size) // NOLINT
{
  allocations++;
  return __real_calloc (count, size);
}

static double
read_clock_us (void)
{
  struct timespec now;

  (void) clock_gettime (CLOCK_MONOTONIC, &now);
  return (double) now.tv_sec * 1e6 + (double) now.tv_nsec / 1e3;
}

/// Removes all actions.
///
/// RETURN     attempt of the last DISPATCH action; 0 if there is none
static uint64_t
clear_outbox (TtBoard *board)
{
  TtAction *action;
  uint64_t attempt_id = 0;

  while ((action = tt_board_pop_action (board)) != NULL)
    {
      if (action->type == TT_ACTION_DISPATCH)
        attempt_id = action->attempt.attempt_id;
      tt_board_release_action (board, action);
    }
  return attempt_id;
}

/// The measured step: from the request's arrival to the DISPATCH action. Kept out of line, so that
/// callgrind can count this function alone.
__attribute__ ((noinline)) static void
decide_request (TtBoard *board, const TtEvent *event, int64_t now_us)
{
  tt_board_step (board, event, now_us);
}

/// Places and completes one request.
static void
run_request (TtBoard *board, uint64_t serial, int64_t now_us, Cost *cost)
{
  TtRequestSpec spec = { .request_id = UINT64_C (1) << 62 | serial,
                         .chat_key = tt_hash_pair (serial, 3),
                         .prefix_key = tt_hash_pair (serial % 50, 4),
                         .prompt_tokens = 1000,
                         .stream = true };
  TtEvent event = { .type = TT_EVENT_REQUEST, .request = &spec };
  uint64_t before;
  double start_us;
  double took_us;

  (void) snprintf (spec.account, sizeof spec.account, "account-%u", (unsigned) (serial % 10));
  (void) snprintf (spec.service, sizeof spec.service, "chat");
  before = allocations;
  start_us = read_clock_us ();
  decide_request (board, &event, now_us);
  took_us = read_clock_us () - start_us;
  if (serial >= WARM_DECISIONS)
    {
      cost->allocations += allocations - before;
      cost->decision_us += took_us / (DECISIONS - WARM_DECISIONS);
      if (took_us > cost->worst_us)
        cost->worst_us = took_us;
    }
  event = (TtEvent){ .type = TT_EVENT_ATTEMPT_DONE };
  event.attempt.attempt_id = clear_outbox (board);
  event.attempt.status = 200;
  tt_board_step (board, &event, now_us);
  (void) clear_outbox (board);
}

/// Measures the ticks and the steps for tokens of a stream.
static void
measure_rest (TtBoard *board, int64_t now_us, Cost *cost)
{
  TtEvent event = { .type = TT_EVENT_TICK };
  double start_us = read_clock_us ();
  TtRequestSpec spec = { .request_id = UINT64_C (1) << 61, .chat_key = 1, .stream = true };

  for (int i = 1; i <= TICKS; i++)
    {
      tt_board_step (board, &event, now_us + i * TT_TICK_INTERVAL_US);
      (void) clear_outbox (board);
    }
  cost->tick_us = (read_clock_us () - start_us) / TICKS;
  now_us += (TICKS + 1) * TT_TICK_INTERVAL_US;
  (void) snprintf (spec.account, sizeof spec.account, "account-0");
  (void) snprintf (spec.service, sizeof spec.service, "chat");
  event = (TtEvent){ .type = TT_EVENT_REQUEST, .request = &spec };
  tt_board_step (board, &event, now_us);
  event = (TtEvent){ .type = TT_EVENT_ATTEMPT_PROGRESS };
  event.attempt.attempt_id = clear_outbox (board);
  event.attempt.tokens = 1;
  start_us = read_clock_us ();
  for (int i = 0; i < PROGRESS; i++)
    {
      tt_board_step (board, &event, now_us);
      (void) clear_outbox (board);
    }
  cost->progress_us = (read_clock_us () - start_us) / PROGRESS;
}

/// Runs the measurement once the simulated router is ready.
static void
measure (void *context, Sim *sim, int64_t now_us)
{
  Cost *cost = context;
  TtBoard *board = sim->boards[0];

  if (now_us < SIM_START_US + TT_SECOND_US || cost->decision_us > 0.0)
    return;
  for (uint64_t serial = 0; serial < DECISIONS; serial++)
    run_request (board, serial, now_us, cost);
  measure_rest (board, now_us, cost);
}

/// Measures with a number of workers of one model in one failure domain.
static Cost
measure_once (uint32_t workers)
{
  Cost cost = { 0 };
  SimConfig config;
  SimResult result;

  sim_defaults (&config);
  config.domains = 1;
  config.routers = 1;
  config.engines = workers;
  config.rate = 0.0;
  config.warm_us = 0;
  config.duration_us = 2 * TT_SECOND_US;
  config.context = &cost;
  config.sample = measure;
  if (sim_run (&config, &result) < 0)
    exit (1);
  return cost;
}

/// The round with the fastest decisions: the machine is shared, and other processes only slow a
/// round down.
static Cost
measure_workers (uint32_t workers)
{
  Cost best = measure_once (workers);

  for (int round = 1; round < ROUNDS; round++)
    {
      Cost cost = measure_once (workers);

      if (cost.decision_us < best.decision_us)
        best = cost;
    }
  return best;
}

static const char *
verdict (bool pass)
{
  return pass ? "pass" : "FAIL";
}

int
main (int count, char **arguments)
{
  static const uint32_t workers[] = { 10, 20, 40, 80, 200, 440, 880 };
  size_t last = sizeof workers / sizeof workers[0] - 1;
  Cost costs[sizeof workers / sizeof workers[0]];
  double core;

  // One size only, for callgrind.
  if (count > 1)
    {
      (void) measure_once ((uint32_t) strtoul (arguments[1], NULL, 10));
      return 0;
    }
  printf ("| workers | decision, mean (us) | worst (us) | allocations | tick (us) | token (us) |\n"
          "|---|---|---|---|---|---|\n");
  for (size_t i = 0; i <= last; i++)
    {
      costs[i] = measure_workers (workers[i]);
      printf ("| %u | %.2f | %.1f | %" PRIu64 " | %.1f | %.2f |\n", workers[i],
              costs[i].decision_us, costs[i].worst_us, costs[i].allocations, costs[i].tick_us,
              costs[i].progress_us);
    }
  core = (REQUESTS_S * 2 * costs[last].decision_us + TICKS_S * costs[last].tick_us
          + TOKENS_S * costs[last].progress_us)
         / 1e6;
  printf ("\n| measure | measured | bound | verdict |\n|---|---|---|---|\n");
  printf ("| M6 decision at 880 workers, mean | %.2f us | %.0f us | %s |\n",
          costs[last].decision_us, BOUND_US, verdict (costs[last].decision_us < BOUND_US));
  printf ("| M6 allocations in %d decisions at 880 workers | %" PRIu64 " | 0 | %s |\n",
          DECISIONS - WARM_DECISIONS, costs[last].allocations,
          verdict (costs[last].allocations == 0));
  printf ("| M6 control of one daemon at the target | %.2f %% of a core | %.1f %% | %s |\n",
          core * 100.0, CORE_BOUND * 100.0, verdict (core < CORE_BOUND));
  printf ("| slope from 10 to 880 workers | %.2f ns a worker | | |\n",
          (costs[last].decision_us - costs[0].decision_us) * 1e3 / (880 - 10));
  return 0;
}
