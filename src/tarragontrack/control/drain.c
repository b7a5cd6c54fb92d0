#include "tarragontrack/control/drain.h"
#include "tarragontrack/board/board.h"
#include "tarragontrack/board/error.h"
#include "tarragontrack/board/request.h"
#include "tarragontrack/control/controllers.h"
#include "tarragontrack/control/retry_after.h"

/// Longest wait, once no request is open, until leases are released and claims are settled.
#define SETTLE_LIMIT_US (2 * TT_SECOND_US)

enum
{
  STATUS_NOT_RUN = 503, ///< guarantees that the request did not run
  STATUS_UNKNOWN = 502  ///< the request may have run
};

/// True if the board has requests without an outcome.
static bool
has_open_requests (const TtBoard *board)
{
  for (int stage = TT_STAGE_ARRIVED; stage < TT_STAGE_FINISHED; stage++)
    if (board->requests.stages[stage].count > 0)
      return true;
  return false;
}

/// True while an outcome or the release of a lease is not yet reported to the platform.
static bool
has_unsettled (const TtBoard *board)
{
  if (board->requests.stages[TT_STAGE_FINISHED].count > 0)
    return true;
  for (uint32_t i = 0; i < board->lease.count; i++)
    if (board->lease.leases[i].held)
      return true;
  return false;
}

/// True once the daemon has the configuration that it needs to serve requests.
static bool
is_configured (const TtBoard *board)
{
  if (board->config.uses_routing_table)
    return board->routes.table != NULL && board->registry.complete;
  return board->team_config.synced;
}

static void
set_ready (TtBoard *board, bool ready)
{
  TtAction *action;

  if (board->drain.ready == ready)
    return;
  board->drain.ready = ready;
  action = tt_board_append_action (board, TT_ACTION_READINESS);
  if (action != NULL)
    action->ready = ready;
}

/// Notifies the daemons of the failure domain, so that they reclaim slot leases immediately.
static void
send_leave (TtBoard *board)
{
  TT_LIST_FOREACH (&board->member.all, it)
    {
      const TtMember *member = TT_CONTAINER_OF (it, TtMember, link);

      if (!member->self && member->entry.domain_id == board->domain_id
          && member->entry.state == TT_MEMBER_ALIVE)
        (void) tt_board_send_peer (board, member, TT_PEER_LEAVE);
    }
}

/// Ends the requests that are still open at the time limit. The outcome states whether a request
/// may have run.
static void
end_requests (TtBoard *board)
{
  for (int stage = TT_STAGE_ARRIVED; stage < TT_STAGE_FINISHED; stage++)
    TT_LIST_FOREACH (&board->requests.stages[stage], it)
      {
        TtRequest *request = TT_CONTAINER_OF (it, TtRequest, stage_link);
        bool keyed = !tt_id128_is_zero (request->spec.idempotency_key);
        TtOutcome outcome = TT_OUTCOME_NOT_RUN;
        TtError error = { 0 };

        if (request->relayed)
          outcome = TT_OUTCOME_CUT;
        else if (request->attempt_count > 0 || (keyed && !request->idempotent))
          outcome = TT_OUTCOME_UNKNOWN;
        (void) tt_error_set (&error, TT_E_CANCELLED, TT_STEP_ADMIT, request->spec.service,
                             "this router shuts down and its time limit has passed; %s",
                             request->attempt_count > 0 ? "an attempt was sent"
                                                        : "this attempt did not run");
        (void) tt_request_finish (
            board, request, outcome,
            outcome == TT_OUTCOME_NOT_RUN ? STATUS_NOT_RUN : STATUS_UNKNOWN,
            outcome == TT_OUTCOME_NOT_RUN ? tt_retry_after_elsewhere_ms () : 0, &error);
      }
}

/// Rejects the requests that wait for a backend server and have not run, on a board with a routing
/// table. Passed on later, they might not end before the time limit; other daemons have more time.
static void
reject_waiting_requests (TtBoard *board)
{
  TT_LIST_FOREACH (&board->requests.stages[TT_STAGE_READY], it)
    {
      TtRequest *request = TT_CONTAINER_OF (it, TtRequest, stage_link);
      TtError error = { 0 };

      if (request->relayed || request->recovery.runs > 0)
        continue;
      (void) tt_error_set (&error, TT_E_CANCELLED, TT_STEP_ADMIT, request->spec.service,
                           "this router shuts down; this attempt did not run");
      (void) tt_request_finish (board, request, TT_OUTCOME_NOT_RUN, STATUS_NOT_RUN,
                                tt_retry_after_elsewhere_ms (), &error);
    }
}

static void
on_event (void *context, TtBoard *board, const TtEvent *event, int64_t now_us)
{
  (void) context;
  if (event->type != TT_EVENT_DRAIN || board->drain.state != TT_DRAIN_SERVING)
    return;
  board->drain.state = TT_DRAIN_ANNOUNCED;
  board->drain.started_us = now_us;
  tt_board_log (board, TT_LOG_DRAIN_STARTED, "daemon=%s", board->config.name);
}

/// Advances the shutdown in state TT_DRAIN_CLOSING.
static void
advance_shutdown (TtBoard *board, int64_t now_us)
{
  TtDrainSection *section = &board->drain;
  int64_t limit_us = board->config.bounds.drain_limit_ms * TT_MILLISECOND_US;

  if (limit_us > 0 && now_us - section->started_us >= limit_us)
    end_requests (board);
  if (has_open_requests (board))
    {
      section->idle_since_us = 0;
      return;
    }
  if (section->idle_since_us == 0)
    section->idle_since_us = now_us;
  if (has_unsettled (board) && now_us - section->idle_since_us < SETTLE_LIMIT_US)
    return;
  section->state = TT_DRAIN_DONE;
  (void) tt_board_append_action (board, TT_ACTION_EXIT);
}

bool
tt_drain_rejects_requests (const TtBoard *board, int64_t now_us)
{
  const TtDrainSection *section = &board->drain;
  int64_t announce_us = board->config.bounds.drain_announce_ms * TT_MILLISECOND_US;

  return section->state >= TT_DRAIN_CLOSING
         || (section->state == TT_DRAIN_ANNOUNCED && now_us - section->started_us >= announce_us);
}

static void
run (void *context, TtBoard *board, int64_t now_us)
{
  TtDrainSection *section = &board->drain;

  (void) context;
  set_ready (board, section->state == TT_DRAIN_SERVING && is_configured (board));
  if (section->state == TT_DRAIN_ANNOUNCED && tt_drain_rejects_requests (board, now_us))
    {
      section->state = TT_DRAIN_CLOSING;
      send_leave (board);
    }
  if (section->state == TT_DRAIN_CLOSING && board->config.uses_routing_table)
    reject_waiting_requests (board); // `dispatch` has placed those that need not wait
  if (section->state == TT_DRAIN_CLOSING)
    advance_shutdown (board, now_us);
}

TtController
tt_drain_controller (void)
{
  return (TtController){ .name = "drain", .on_event = on_event, .run = run };
}
