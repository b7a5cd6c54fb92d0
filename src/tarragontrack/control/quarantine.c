#include "tarragontrack/control/quarantine.h"
#include "tarragontrack/board/board.h"
#include "tarragontrack/board/error.h"
#include "tarragontrack/board/hash.h"
#include "tarragontrack/board/request.h"
#include "tarragontrack/control/controllers.h"
#include "tarragontrack/control/fleet.h"
#include "tarragontrack/control/poison.h"
#include "tarragontrack/control/suspect_part.h"

/// A backend server crashes when it begins to answer, so an answer that began longer ago than this
/// isn't the cause of a crash.
#define BEGIN_US TT_SECOND_US

/// First time for which a part is quarantined before one request is let through as a trial; it
/// doubles with each further strike, up to MAX_QUARANTINE_US.
#define FIRST_QUARANTINE_US (60 * TT_SECOND_US)
#define MAX_QUARANTINE_US (600 * TT_SECOND_US)
#define MAX_DOUBLINGS 4

/// Time for which a part is advertised after its last strike or success. A quarantined part is
/// advertised as long as it is quarantined, because daemons may start later.
#define ADVERTISE_US (60 * TT_SECOND_US)

enum
{
  /// Crashes of different processes without a success in between that quarantine a part. Answers
  /// are also lost without a crash, and sound requests are at work on a process that crashes.
  QUARANTINE_STRIKES = 4
};

static int
open_quarantine (void *context, TtBoard *board)
{
  (void) context;
  return tt_suspect_part_open (&board->quarantine);
}

static void
close_quarantine (void *context, TtBoard *board)
{
  (void) context;
  tt_suspect_part_close (&board->quarantine);
}

/// Time between two trials of a part.
static int64_t
trial_interval_us (const TtSuspectPart *part)
{
  uint32_t doublings
      = part->strike_count > QUARANTINE_STRIKES ? part->strike_count - QUARANTINE_STRIKES : 0;
  int64_t interval_us = FIRST_QUARANTINE_US
                        << (doublings < MAX_DOUBLINGS ? doublings : MAX_DOUBLINGS);

  return interval_us < MAX_QUARANTINE_US ? interval_us : MAX_QUARANTINE_US;
}

/// Sets the time of the next trial. The daemons spread their trials, so that the result of the
/// first one reaches the others before theirs.
static void
schedule_trial (TtBoard *board, TtSuspectPart *part, int64_t now_us)
{
  int64_t interval_us = trial_interval_us (part);

  part->next_trial_us
      = now_us + interval_us + (int64_t) tt_rng_below (&board->rng, (uint64_t) interval_us);
  part->next_alone_trial_us = part->next_trial_us;
}

static void
quarantine_part (TtBoard *board, TtSuspectPart *part, int64_t now_us)
{
  if (!part->quarantined)
    {
      board->quarantine.quarantined_count++;
      board->quarantine.unapplied = true;
      tt_board_counter_add (board, TT_COUNT_QUARANTINED_PARTS, 1);
    }
  part->quarantined = true;
  schedule_trial (board, part, now_us);
  tt_board_log (board, TT_LOG_PART_QUARANTINED, "part=%llx strikes=%u next_trial_ms=%lld",
                (unsigned long long) part->key, part->strike_count,
                (long long) ((part->next_trial_us - now_us) / TT_MILLISECOND_US));
}

/// Frees a suspect. @cause: a success, here or at another daemon, or another part that explains all
/// its strikes. Logged for a quarantined part only, because each crash makes
/// suspects of many sound ones.
static void
clear_part (TtBoard *board, TtSuspectPart *part, const char *cause)
{
  if (part->quarantined)
    tt_board_log (board, TT_LOG_PART_CLEARED, "part=%llx strikes=%u cause=%s",
                  (unsigned long long) part->key, part->strike_count, cause);
  tt_suspect_part_free (&board->quarantine, part);
}

/// Applies a quarantined part to another suspect: each crash has one cause. Strikes for the same
/// crashes are taken from a suspect that isn't quarantined itself, and one without others is
/// cleared. Two parts with exactly the same strikes cannot be told apart before a request with only
/// one of them is tried, which is done at once when they are quarantined.
static void
explain_strikes (TtBoard *board, TtSuspectPart *cause, TtSuspectPart *other, int64_t now_us)
{
  uint32_t shared = tt_suspect_part_count_shared (cause, other);

  if (shared == 0)
    return;
  if (shared == other->strike_count && other->strike_count < cause->strike_count)
    clear_part (board, other, "explained");
  else if (shared == other->strike_count && other->quarantined && board->quarantine.unapplied)
    {
      cause->next_alone_trial_us = now_us;
      other->next_alone_trial_us = now_us;
    }
  else if (!other->quarantined)
    tt_suspect_part_remove_shared (cause, other);
}

/// Quarantines the suspects with enough strikes, and clears those whose strikes they explain.
static void
evaluate_suspects (TtBoard *board, int64_t now_us)
{
  TtQuarantineSection *section = &board->quarantine;

  TT_LIST_FOREACH (&section->suspects, it)
    {
      TtSuspectPart *part = TT_CONTAINER_OF (it, TtSuspectPart, link);

      if (!part->quarantined && part->strike_count >= QUARANTINE_STRIKES)
        quarantine_part (board, part, now_us);
    }
  for (uint32_t i = 0; section->quarantined_count > 0 && i < TT_MAX_SUSPECT_PARTS; i++)
    {
      TtSuspectPart *cause = &section->pool[i];

      if (!cause->quarantined)
        continue;
      TT_LIST_FOREACH (&section->suspects, it)
        {
          TtSuspectPart *other = TT_CONTAINER_OF (it, TtSuspectPart, link);

          if (other != cause)
            explain_strikes (board, cause, other, now_us);
        }
    }
}

/// Adds a strike. A part that is quarantined already is quarantined for longer. RETURN false if the
/// strike is known.
static bool
add_strike (TtBoard *board, uint64_t key, uint64_t crash_id, int64_t at_us, int64_t now_us)
{
  TtSuspectPart *part = tt_suspect_part_strike (board, key, crash_id, at_us);

  if (part == NULL)
    return false;
  if (part->quarantined)
    quarantine_part (board, part, now_us);
  return true;
}

/// Strikes all known parts of a request that was at work on a process that crashed.
static void
strike_parts (TtBoard *board, const TtAttempt *attempt, int64_t now_us)
{
  const TtRequest *request = attempt->request;
  uint64_t crash_id = tt_hash_pair (attempt->backend->id, attempt->process_start_ms);
  bool struck = false;

  if (attempt->first_token_us != 0 && now_us - attempt->first_token_us > BEGIN_US)
    return;
  for (uint32_t i = 0; i < request->spec.part_count; i++)
    if (add_strike (board, request->spec.part_keys[i], crash_id, now_us, now_us))
      {
        struck = true;
        tt_board_log (board, TT_LOG_PART_STRUCK, "part=%llx request=%s backend=%s process=%llu",
                      (unsigned long long) request->spec.part_keys[i], request->spec.external_id,
                      attempt->backend->name, (unsigned long long) attempt->process_start_ms);
      }
  if (!struck)
    return;
  evaluate_suspects (board, now_us);
  tt_fleet_advertise (board);
}

/// Clears the parts of a request that succeeded: a part that crashes backend servers never does.
static void
clear_parts (TtBoard *board, const TtRequest *request, int64_t now_us)
{
  for (uint32_t i = 0; i < request->spec.part_count; i++)
    {
      TtSuspectPart *part = tt_suspect_part_find (board, request->spec.part_keys[i]);

      if (part == NULL)
        continue;
      tt_suspect_part_record_success (&board->quarantine, part->key, now_us, true);
      clear_part (board, part, "success");
    }
}

/// Merges what another daemon knows of a part. RETURN true if a strike is new.
static bool
merge_part (TtBoard *board, const TtPeerPart *peer, int64_t now_us)
{
  bool added = false;

  if (peer->strike_count == 0)
    {
      int64_t succeeded_us = now_us - peer->ages_ms[0] * TT_MILLISECOND_US;
      TtSuspectPart *part = tt_suspect_part_find (board, peer->key);

      tt_suspect_part_record_success (&board->quarantine, peer->key, succeeded_us, false);
      if (part != NULL && part->strikes[part->strike_count - 1].at_us <= succeeded_us)
        clear_part (board, part, "peer");
      return false;
    }
  for (uint32_t i = 0; i < peer->strike_count; i++)
    added = add_strike (board, peer->key, peer->crash_ids[i],
                        now_us - peer->ages_ms[i] * TT_MILLISECOND_US, now_us)
            || added;
  return added;
}

static void
merge_parts (TtBoard *board, const TtDaemonStatus *status, int64_t now_us)
{
  bool added = false;

  for (uint32_t i = 0; i < status->part_count; i++)
    if (status->parts[i].key != 0)
      added = merge_part (board, &status->parts[i], now_us) || added;
  if (added)
    evaluate_suspects (board, now_us);
}

uint32_t
tt_quarantine_copy_parts (const TtBoard *board, TtPeerPart *entries, uint32_t max, int64_t now_us)
{
  const TtQuarantineSection *section = &board->quarantine;
  uint32_t count = 0;

  for (uint32_t i = 0; i < TT_MAX_CLEARED_PARTS && count < max / 2; i++)
    {
      const TtClearedPart *cleared = &section->cleared[i];

      if (cleared->key != 0 && cleared->seen_here && now_us - cleared->succeeded_us < ADVERTISE_US)
        entries[count++]
            = (TtPeerPart){ .key = cleared->key,
                            .ages_ms = { tt_suspect_part_age_ms (cleared->succeeded_us, now_us) } };
    }
  for (int quarantined = 1; quarantined >= 0; quarantined--)
    TT_LIST_FOREACH (&section->suspects, it)
      {
        const TtSuspectPart *part = TT_CONTAINER_OF (it, TtSuspectPart, link);

        if (count == max)
          return count;
        if (part->quarantined == (quarantined == 1)
            && (part->quarantined
                || now_us - part->strikes[part->strike_count - 1].at_us < ADVERTISE_US))
          tt_suspect_part_to_peer (part, &entries[count++], now_us);
      }
  return count;
}

/// Looks up the quarantined parts of a request. RETURN their number; @trial_us is set to the time
/// from which a request with them is let through.
static uint32_t
find_quarantined (TtBoard *board, const TtRequest *request, int64_t *trial_us)
{
  int64_t alone_us = 0;
  uint32_t count = 0;

  *trial_us = 0;
  for (uint32_t i = 0; i < request->spec.part_count; i++)
    {
      const TtSuspectPart *part = tt_suspect_part_find (board, request->spec.part_keys[i]);

      if (part == NULL || !part->quarantined)
        continue;
      count++;
      alone_us = part->next_alone_trial_us;
      if (part->next_trial_us > *trial_us)
        *trial_us = part->next_trial_us;
    }
  if (count == 1 && alone_us < *trial_us)
    *trial_us = alone_us;
  return count;
}

/// Lets a request through as the trial of its quarantined parts.
static void
start_trial (TtBoard *board, TtRequest *request, int64_t now_us)
{
  request->quarantine.trial = true;
  for (uint32_t i = 0; i < request->spec.part_count; i++)
    {
      TtSuspectPart *part = tt_suspect_part_find (board, request->spec.part_keys[i]);

      if (part == NULL || !part->quarantined)
        continue;
      schedule_trial (board, part, now_us);
      tt_board_log (board, TT_LOG_PART_TRIED, "part=%llx strikes=%u request=%s",
                    (unsigned long long) part->key, part->strike_count, request->spec.external_id);
    }
}

/// Stops a request with a quarantined part, unless it is let through as a trial.
static void
check_request (TtBoard *board, TtRequest *request, int64_t now_us)
{
  TtError error = { 0 };
  int64_t trial_us;
  uint32_t count = find_quarantined (board, request, &trial_us);
  int64_t wait_ms = (trial_us - now_us) / TT_MILLISECOND_US;

  if (count == 0 || request->quarantine.trial)
    return;
  if (request->stage == TT_STAGE_ARRIVED && now_us >= trial_us)
    {
      start_trial (board, request, now_us);
      return;
    }
  (void) tt_error_set (&error, TT_E_CRASHED, TT_STEP_ADMIT, request->spec.service,
                       "a part of its prompt crashes backend servers");
  tt_poison_stop_routed (board, request, wait_ms > 0 ? (uint32_t) wait_ms : 1, &error);
}

/// Checks the requests that wait, and those that run and have no answer yet: their backend servers
/// drop them before they begin to answer.
static void
check_open_requests (TtBoard *board, int64_t now_us)
{
  board->quarantine.unapplied = false;
  TT_LIST_FOREACH (&board->requests.stages[TT_STAGE_READY], it)
    check_request (board, TT_CONTAINER_OF (it, TtRequest, stage_link), now_us);
  TT_LIST_FOREACH (&board->requests.stages[TT_STAGE_RUNNING], it)
    {
      TtRequest *request = TT_CONTAINER_OF (it, TtRequest, stage_link);

      if (request->first_response_us == 0)
        check_request (board, request, now_us);
    }
}

static void
on_event (void *context, TtBoard *board, const TtEvent *event, int64_t now_us)
{
  TtAttempt *attempt;
  int64_t trial_us;

  (void) context;
  if (event->type == TT_EVENT_PEER_MESSAGE && event->peer->type == TT_PEER_STATUS)
    merge_parts (board, &event->peer->status, now_us);
  if (event->type != TT_EVENT_ATTEMPT_DONE && event->type != TT_EVENT_ATTEMPT_FAILED)
    return;
  attempt = tt_attempt_find (board, event->attempt.attempt_id);
  if (attempt == NULL || attempt->request->spec.part_count == 0)
    return;
  if (event->type == TT_EVENT_ATTEMPT_DONE)
    {
      if (event->attempt.status < 400 && !event->attempt.not_executed)
        clear_parts (board, attempt->request, now_us);
      return;
    }
  if (event->error.code == TT_E_CRASHED && event->attempt.maybe_sent)
    strike_parts (board, attempt, now_us);
  // `recovery` handles the event next, and does not retry a request that is blocked.
  if (board->quarantine.quarantined_count > 0
      && find_quarantined (board, attempt->request, &trial_us) > 0)
    attempt->request->poison.blocked = true;
}

static void
run (void *context, TtBoard *board, int64_t now_us)
{
  (void) context;
  if (board->quarantine.quarantined_count == 0)
    return;
  TT_LIST_FOREACH (&board->requests.stages[TT_STAGE_ARRIVED], it)
    check_request (board, TT_CONTAINER_OF (it, TtRequest, stage_link), now_us);
  if (board->quarantine.unapplied)
    check_open_requests (board, now_us);
}

TtController
tt_quarantine_controller (void)
{
  return (TtController){ .name = "quarantine",
                         .open = open_quarantine,
                         .close = close_quarantine,
                         .on_event = on_event,
                         .run = run };
}
