/// Embeds only the at-most-once claim. An application-defined controller runs the jobs whose claim
/// its board owns. Two boards share an in-memory store; each job is submitted to both and runs
/// once.
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <tarragontrack/board/board.h>
#include <tarragontrack/board/hash.h>
#include <tarragontrack/board/request.h>
#include <tarragontrack/control/controllers.h>

enum
{
  JOBS = 10,
  STORE_ENTRIES = 64
};

/// One object claims/SHARD of the in-memory store.
typedef struct
{
  char key[TT_KEY_MAX];
  uint64_t version;
  TtClaimEntry entries[STORE_ENTRIES];
  uint32_t count;
} StoreObject;

/// Context of the job controller: how often each job ran, and how many replies repeated a recorded
/// outcome.
typedef struct
{
  unsigned runs[JOBS];
  unsigned recorded_replies;
} Runner;

static StoreObject store[JOBS];

/// Callback of the job controller: runs the jobs whose claim this board owns.
static void
run_jobs (void *context, TtBoard *board, int64_t now_us)
{
  Runner *runner = context;

  (void) now_us;
  TT_LIST_FOREACH (&board->requests.stages[TT_STAGE_READY], it)
    {
      TtRequest *request = TT_CONTAINER_OF (it, TtRequest, stage_link);

      runner->runs[request->spec.chat_key]++;
      request->claim.status = 200;
      (void) tt_request_finish (board, request, TT_OUTCOME_COMPLETE, 200, 0, NULL);
    }
}

/// Finds the object of a key, or assigns an unused one to the key.
static StoreObject *
find_or_add_object (const char *key)
{
  for (int i = 0; i < JOBS; i++)
    if (store[i].version == 0 || strcmp (store[i].key, key) == 0)
      {
        (void) snprintf (store[i].key, sizeof store[i].key, "%s", key);
        return &store[i];
      }
  return NULL;
}

/// Executes a platform call on the in-memory store. The claim controller needs only versioned
/// objects with conditional updates.
static void
process_platform_call (TtBoard *board, const TtPlatformAction *call, int64_t now_us)
{
  StoreObject *object = find_or_add_object (call->key);
  TtObject response = { .type = TT_OBJECT_CLAIMS };
  TtEvent event = { .type = TT_EVENT_PLATFORM_RESPONSE };

  if (object == NULL)
    abort ();
  event.platform.call_id = call->call_id;
  event.platform.op = call->op;
  if (call->op == TT_PLATFORM_PUT && call->version != object->version)
    event.platform.code = TT_E_CONFLICT;
  else if (call->op == TT_PLATFORM_PUT)
    {
      object->version++;
      object->count = call->object->claims.count;
      memcpy (object->entries, call->object->claims.entries,
              object->count * sizeof object->entries[0]);
    }
  else if (object->version == 0)
    event.platform.code = TT_E_NOT_FOUND;
  else
    {
      response.claims = (TtClaimsObject){ .entries = object->entries, .count = object->count };
      event.platform.object = &response;
    }
  event.platform.version = object->version;
  tt_board_step (board, &event, now_us);
}

/// Executes the board's pending actions.
static void
execute_actions (TtBoard *board, Runner *runner, int64_t now_us)
{
  TtAction *action;

  while ((action = tt_board_pop_action (board)) != NULL)
    {
      if (action->type == TT_ACTION_PLATFORM_CALL)
        process_platform_call (board, &action->platform, now_us);
      else if (action->type == TT_ACTION_REPLY && action->reply.outcome == TT_OUTCOME_RECORDED)
        runner->recorded_replies++;
      tt_board_release_action (board, action);
    }
}

/// Submits a job with an idempotency key derived from its number. The claim controller decides
/// whether this board may run it.
static void
submit_job (TtBoard *board, Runner *runner, uint64_t job, int64_t now_us)
{
  TtRequestSpec spec
      = { .request_id = tt_board_next_id (board), .chat_key = job, .body_hash = job };
  TtEvent tick = { .type = TT_EVENT_TICK };
  TtRequest *request;

  spec.idempotency_key = tt_hash_id128 (0, &job, sizeof job);
  request = tt_request_new (board, &spec, now_us);
  if (request == NULL)
    abort ();
  request->start_deadline_us = now_us + TT_SECOND_US;
  tt_request_set_stage (board, request, TT_STAGE_CLAIMING);
  tt_board_step (board, &tick, now_us);
  execute_actions (board, runner, now_us);
}

/// Creates a board with the claim controller and the job controller.
static TtBoard *
make_board (const char *name, uint64_t seed, Runner *runner)
{
  TtBoardConfig config = { .seed = { seed, 7 }, .max_requests = 16, .max_attempts = 16 };
  TtController claim = tt_claim_controller ();
  TtController job_controller = { .name = "jobs", .context = runner, .run = run_jobs };
  TtBoard *board;

  (void) snprintf (config.name, sizeof config.name, "%s", name);
  board = tt_board_new (&config);
  if (board == NULL || tt_board_add_controller (board, &claim) < 0
      || tt_board_add_controller (board, &job_controller) < 0)
    abort ();
  return board;
}

int
main (void)
{
  Runner runner = { .recorded_replies = 0 };
  TtBoard *boards[2] = { make_board ("first", 1, &runner), make_board ("second", 2, &runner) };
  unsigned runs = 0;

  for (uint64_t job = 0; job < JOBS; job++)
    for (int i = 0; i < 2; i++)
      submit_job (boards[i], &runner, job, (int64_t) (10 * job + 1) * TT_SECOND_US + i);
  for (int job = 0; job < JOBS; job++)
    runs += runner.runs[job];
  (void) printf ("%d jobs submitted twice, %u runs, %u recorded outcomes returned to retries\n",
                 JOBS, runs, runner.recorded_replies);
  tt_board_free (boards[0]);
  tt_board_free (boards[1]);
  return runs == JOBS && runner.recorded_replies == JOBS ? 0 : 1;
}
