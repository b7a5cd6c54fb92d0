/// Cost of a routing decision with 10 to 880 workers (M6): time, allocations and, with callgrind
/// (tools/bench.sh), instructions. Argument: number of workers for a single round; without it, all
/// sizes are measured.
#include "support/sim.h"
#include "tarragontrack/board/hash.h"
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#define DECISION_BOUND_US 10.0
#define CORE_FRACTION_BOUND 0.029
/// Load of one daemon at the target size: 5,600 requests/s and 2.4 M tokens/s divided among 360
/// daemons.
#define REQUESTS_PER_S 15.5
#define TOKENS_PER_S 6667.0
#define TICKS_PER_S 20.0

enum
{
  DECISIONS = 2000,
  WARMUP_DECISIONS = 500,
  TICKS = 200,
  PROGRESS_EVENTS = 20000,
  ROUNDS = 5
};

typedef struct
{
  double decision_us;
  double max_decision_us;
  double tick_us;
  double progress_us;
  uint64_t allocations;
} Cost;

static uint64_t allocations;

// Wrappers of the allocation functions, inserted by the linker's --wrap option (see
// CMakeLists.txt).
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

/// Releases all pending actions of a board.
///
/// RETURN     attempt id of the last DISPATCH action; 0 if there is none
static uint64_t
release_actions (TtBoard *board)
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

/// The measured step, from the arrival of a request to the DISPATCH action. Not inlined, because
/// callgrind counts the instructions of this function only (--toggle-collect in tools/bench.sh).
__attribute__ ((noinline)) static void
decide_request (TtBoard *board, const TtEvent *event, int64_t now_us)
{
  tt_board_step (board, event, now_us);
}

/// Runs one request to completion and measures its decision.
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
  double elapsed_us;

  (void) snprintf (spec.account, sizeof spec.account, "account-%u", (unsigned) (serial % 10));
  (void) snprintf (spec.service, sizeof spec.service, "chat");
  before = allocations;
  start_us = read_clock_us ();
  decide_request (board, &event, now_us);
  elapsed_us = read_clock_us () - start_us;
  if (serial >= WARMUP_DECISIONS)
    {
      cost->allocations += allocations - before;
      cost->decision_us += elapsed_us / (DECISIONS - WARMUP_DECISIONS);
      if (elapsed_us > cost->max_decision_us)
        cost->max_decision_us = elapsed_us;
    }
  event = (TtEvent){ .type = TT_EVENT_ATTEMPT_DONE };
  event.attempt.attempt_id = release_actions (board);
  event.attempt.status = 200;
  tt_board_step (board, &event, now_us);
  (void) release_actions (board);
}

/// Measures the mean time of a tick and of a progress event of a streamed response.
static void
measure_ticks_and_progress (TtBoard *board, int64_t now_us, Cost *cost)
{
  TtEvent event = { .type = TT_EVENT_TICK };
  double start_us = read_clock_us ();
  TtRequestSpec spec = { .request_id = UINT64_C (1) << 61, .chat_key = 1, .stream = true };

  for (int i = 1; i <= TICKS; i++)
    {
      tt_board_step (board, &event, now_us + i * TT_TICK_INTERVAL_US);
      (void) release_actions (board);
    }
  cost->tick_us = (read_clock_us () - start_us) / TICKS;
  now_us += (TICKS + 1) * TT_TICK_INTERVAL_US;
  (void) snprintf (spec.account, sizeof spec.account, "account-0");
  (void) snprintf (spec.service, sizeof spec.service, "chat");
  event = (TtEvent){ .type = TT_EVENT_REQUEST, .request = &spec };
  tt_board_step (board, &event, now_us);
  event = (TtEvent){ .type = TT_EVENT_ATTEMPT_PROGRESS };
  event.attempt.attempt_id = release_actions (board);
  event.attempt.tokens = 1;
  start_us = read_clock_us ();
  for (int i = 0; i < PROGRESS_EVENTS; i++)
    {
      tt_board_step (board, &event, now_us);
      (void) release_actions (board);
    }
  cost->progress_us = (read_clock_us () - start_us) / PROGRESS_EVENTS;
}

/// Runs the measurement once, one second after the start, when the router is ready.
static void
on_sample (void *context, Sim *sim, int64_t now_us)
{
  Cost *cost = context;
  TtBoard *board = sim->boards[0];

  if (now_us < SIM_START_US + TT_SECOND_US || cost->decision_us > 0.0)
    return;
  for (uint64_t serial = 0; serial < DECISIONS; serial++)
    run_request (board, serial, now_us, cost);
  measure_ticks_and_progress (board, now_us, cost);
}

/// Measures one round, with @workers engines of one model in one failure domain.
static Cost
measure_round (uint32_t workers)
{
  Cost cost = { 0 };
  SimConfig config;
  SimResult result;

  sim_defaults (&config);
  config.domains = 1;
  config.routers = 1;
  config.engines = workers;
  config.rate = 0.0;
  config.warmup_us = 0;
  config.duration_us = 2 * TT_SECOND_US;
  config.context = &cost;
  config.on_sample = on_sample;
  if (sim_run (&config, &result) < 0)
    exit (1);
  return cost;
}

/// Measures all rounds and returns the one with the fastest decisions, because other processes on
/// the machine can only make a round slower.
static Cost
measure_best_round (uint32_t workers)
{
  Cost best = measure_round (workers);

  for (int round = 1; round < ROUNDS; round++)
    {
      Cost cost = measure_round (workers);

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
  double core_fraction;

  // One round with one number of workers, for callgrind.
  if (count > 1)
    {
      (void) measure_round ((uint32_t) strtoul (arguments[1], NULL, 10));
      return 0;
    }
  printf ("| workers | decision, mean (us) | worst (us) | allocations | tick (us) | token (us) |\n"
          "|---|---|---|---|---|---|\n");
  for (size_t i = 0; i <= last; i++)
    {
      costs[i] = measure_best_round (workers[i]);
      printf ("| %u | %.2f | %.1f | %" PRIu64 " | %.1f | %.2f |\n", workers[i],
              costs[i].decision_us, costs[i].max_decision_us, costs[i].allocations,
              costs[i].tick_us, costs[i].progress_us);
    }
  core_fraction = (REQUESTS_PER_S * 2 * costs[last].decision_us + TICKS_PER_S * costs[last].tick_us
                   + TOKENS_PER_S * costs[last].progress_us)
                  / 1e6;
  printf ("\n| measure | measured | bound | verdict |\n|---|---|---|---|\n");
  printf ("| M6 decision at 880 workers, mean | %.2f us | %.0f us | %s |\n",
          costs[last].decision_us, DECISION_BOUND_US,
          verdict (costs[last].decision_us < DECISION_BOUND_US));
  printf ("| M6 allocations in %d decisions at 880 workers | %" PRIu64 " | 0 | %s |\n",
          DECISIONS - WARMUP_DECISIONS, costs[last].allocations,
          verdict (costs[last].allocations == 0));
  printf ("| M6 control of one daemon at the target | %.2f %% of a core | %.1f %% | %s |\n",
          core_fraction * 100.0, CORE_FRACTION_BOUND * 100.0,
          verdict (core_fraction < CORE_FRACTION_BOUND));
  printf ("| slope from 10 to 880 workers | %.2f ns a worker | | |\n",
          (costs[last].decision_us - costs[0].decision_us) * 1e3 / (880 - 10));
  return 0;
}
