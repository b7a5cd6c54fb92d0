#include "tarragontrack/control/poison.h"
#include "tarragontrack/board/board.h"
#include "tarragontrack/board/error.h"
#include "tarragontrack/board/hash.h"
#include "tarragontrack/board/request.h"
#include "tarragontrack/control/controllers.h"
#include "tarragontrack/control/health.h"
#include <stdlib.h>

/// Time for which a fingerprint stays blocked, and for which its strikes are kept after the last
/// one (design, 5.10).
#define BLOCK_US (600 * TT_SECOND_US)
/// A request that crashes backend servers never succeeds, so a fingerprint with a success within
/// this time isn't the cause of a crash. Longer than the restart of a crashed backend server (some
/// seconds).
#define SUCCESS_VALID_US (60 * TT_SECOND_US)
#define BLOCKED_RETRY_AFTER_MS 1000 ///< Retry-After; retries during the block are rejected too

enum
{
  BLOCK_STRIKES = 2,       ///< crashes of different backend servers without a success in between
  ROUTED_BLOCK_STRIKES = 3 ///< with a routing table, responses are also lost without a crash
};

/// Number of strikes that block a fingerprint.
static uint32_t
strike_limit (const TtBoard *board)
{
  return board->config.uses_routing_table ? ROUTED_BLOCK_STRIKES : BLOCK_STRIKES;
}

static int
open_poison (void *context, TtBoard *board)
{
  TtPoisonSection *section = &board->poison;

  (void) context;
  tt_list_init (&section->suspects);
  tt_list_init (&section->peer_suspects);
  tt_list_init (&section->free);
  for (int i = 0; i < TT_SUSPECT_BUCKETS; i++)
    tt_list_init (&section->buckets[i]);
  section->pool = calloc (TT_MAX_SUSPECTS, sizeof *section->pool);
  section->completed = calloc (TT_COMPLETED_REQUEST_SLOTS, sizeof *section->completed);
  if (section->pool == NULL || section->completed == NULL)
    {
      free (section->pool);
      free (section->completed);
      section->pool = NULL;
      section->completed = NULL;
      return TT_E_NO_MEMORY;
    }
  for (uint32_t i = 0; i < TT_MAX_SUSPECTS; i++)
    tt_list_append (&section->free, &section->pool[i].link);
  return TT_OK;
}

static void
close_poison (void *context, TtBoard *board)
{
  (void) context;
  free (board->poison.pool);
  free (board->poison.completed);
}

static TtSuspect *
find_suspect (TtBoard *board, uint64_t fingerprint)
{
  TT_LIST_FOREACH (&board->poison.buckets[fingerprint % TT_SUSPECT_BUCKETS], it)
    {
      TtSuspect *suspect = TT_CONTAINER_OF (it, TtSuspect, bucket_link);

      if (suspect->fingerprint == fingerprint)
        return suspect;
    }
  return NULL;
}

/// Returns the list that a suspect is on.
static TtList *
suspect_list (TtBoard *board, const TtSuspect *suspect)
{
  return suspect->from_peers_only ? &board->poison.peer_suspects : &board->poison.suspects;
}

static void
free_suspect (TtBoard *board, TtSuspect *suspect)
{
  TtPoisonSection *section = &board->poison;

  tt_list_remove (suspect_list (board, suspect), &suspect->link);
  tt_list_remove (&section->buckets[suspect->fingerprint % TT_SUSPECT_BUCKETS],
                  &suspect->bucket_link);
  tt_list_append (&section->free, &suspect->link);
}

/// Allocates a suspect record; if none is free, replaces the oldest one, preferably one known from
/// other daemons only.
static TtSuspect *
new_suspect (TtBoard *board, uint64_t fingerprint, bool from_peers_only)
{
  TtPoisonSection *section = &board->poison;
  TtSuspect *suspect;

  if (tt_list_first (&section->free) == NULL)
    {
      TtList *list
          = section->peer_suspects.count > 0 ? &section->peer_suspects : &section->suspects;

      free_suspect (board, TT_CONTAINER_OF (list->head.prev, TtSuspect, link));
      tt_board_counter_add (board, TT_COUNT_POOL_FULL, 1);
    }
  suspect = TT_CONTAINER_OF (tt_list_pop (&section->free), TtSuspect, link);
  *suspect = (TtSuspect){ .fingerprint = fingerprint, .from_peers_only = from_peers_only };
  tt_link_init (&suspect->link);
  tt_link_init (&suspect->bucket_link);
  tt_list_prepend (suspect_list (board, suspect), &suspect->link);
  tt_list_append (&section->buckets[fingerprint % TT_SUSPECT_BUCKETS], &suspect->bucket_link);
  return suspect;
}

static TtCompletedRequest *
completed_slot (const TtBoard *board, uint64_t fingerprint)
{
  return &board->poison.completed[fingerprint % TT_COMPLETED_REQUEST_SLOTS];
}

/// True if a request with the same fingerprint succeeded within SUCCESS_VALID_US.
static bool
succeeded_recently (const TtBoard *board, uint64_t fingerprint, int64_t now_us)
{
  const TtCompletedRequest *slot = completed_slot (board, fingerprint);

  return slot->fingerprint == fingerprint && now_us - slot->succeeded_us <= SUCCESS_VALID_US;
}

/// Records a fingerprint as cleared, which is then advertised to the other daemons.
static void
advertise_cleared (TtBoard *board, uint64_t fingerprint, int64_t now_us)
{
  TtPoisonSection *section = &board->poison;

  for (uint32_t i = 0; i < TT_MAX_CLEARED_SUSPECTS; i++)
    if (section->cleared[i].fingerprint == fingerprint)
      {
        section->cleared[i].succeeded_us = now_us;
        return;
      }
  section->cleared[section->next_cleared] = (TtCompletedRequest){ fingerprint, now_us };
  section->next_cleared = (section->next_cleared + 1) % TT_MAX_CLEARED_SUSPECTS;
}

uint32_t
tt_poison_copy_cleared (const TtBoard *board, TtPeerSuspect *entries, uint32_t max, int64_t now_us)
{
  uint32_t count = 0;

  for (uint32_t i = 0; i < TT_MAX_CLEARED_SUSPECTS && count < max; i++)
    {
      const TtCompletedRequest *cleared = &board->poison.cleared[i];

      if (cleared->fingerprint != 0 && now_us - cleared->succeeded_us <= SUCCESS_VALID_US)
        entries[count++] = (TtPeerSuspect){ .fingerprint = cleared->fingerprint };
    }
  return count;
}

/// Records the success of a request, here or at another daemon, and clears its suspect. A suspect
/// that is known from other daemons only and isn't blocked is not logged, because every daemon
/// receives the suspects of every crash in the fleet.
static void
clear_suspect (TtBoard *board, uint64_t fingerprint, const char *source, int64_t now_us)
{
  TtSuspect *suspect = find_suspect (board, fingerprint);
  bool blocked;

  *completed_slot (board, fingerprint) = (TtCompletedRequest){ fingerprint, now_us };
  if (suspect == NULL)
    return;
  blocked = suspect->blocked_until_us > now_us;
  if (blocked || !suspect->from_peers_only)
    tt_board_log (board, TT_LOG_REQUEST_CLEARED,
                  "fingerprint=%016llx strikes=%u blocked=%d source=%s",
                  (unsigned long long) fingerprint, suspect->strikes, blocked, source);
  free_suspect (board, suspect);
}

void
tt_poison_stop_routed (TtBoard *board, TtRequest *request, uint32_t retry_after_ms,
                       const TtError *error)
{
  request->poison.blocked = true;
  tt_board_counter_add (board, TT_COUNT_BLOCKED, 1);
  if (request->relayed)
    (void) tt_request_finish (board, request, TT_OUTCOME_CUT, 502, 0, error);
  else if (request->recovery.runs > 0)
    (void) tt_request_finish (board, request, TT_OUTCOME_UNKNOWN, 502, 0, error);
  else
    (void) tt_request_finish (board, request, TT_OUTCOME_NOT_RUN, 503, retry_after_ms, error);
}

/// Stops a request whose fingerprint is blocked.
static void
stop_request (TtBoard *board, TtRequest *request, const TtSuspect *suspect)
{
  TtError error = { 0 };

  (void) tt_error_set (&error, TT_E_CRASHED, TT_STEP_ADMIT, request->spec.service,
                       "stopped after crashes; earlier attempts ran %u times",
                       suspect->crashed_attempts);
  if (board->config.uses_routing_table)
    {
      tt_poison_stop_routed (board, request, BLOCKED_RETRY_AFTER_MS, &error);
      return;
    }
  request->poison.blocked = true;
  tt_board_counter_add (board, TT_COUNT_BLOCKED, 1);
  // The outcome is unknown, because earlier attempts with this body did run.
  (void) tt_request_finish (board, request, TT_OUTCOME_UNKNOWN, 422, 0, &error);
}

/// Marks the waiting requests with the fingerprint of @suspect as suspects and stops them if it is
/// blocked.
static void
mark_waiting_requests (TtBoard *board, const TtSuspect *suspect)
{
  static const TtStage stages[] = { TT_STAGE_QUEUED, TT_STAGE_CLAIMING, TT_STAGE_READY };

  for (size_t i = 0; i < sizeof stages / sizeof stages[0]; i++)
    TT_LIST_FOREACH (&board->requests.stages[stages[i]], it)
      {
        TtRequest *request = TT_CONTAINER_OF (it, TtRequest, stage_link);

        if (request->poison.fingerprint != suspect->fingerprint)
          continue;
        request->poison.suspect = true;
        if (suspect->blocked_until_us != 0 && stages[i] != TT_STAGE_CLAIMING)
          stop_request (board, request, suspect);
      }
}

/// Adds a strike for an attempt that was running on a backend server when it crashed.
///
/// A further strike counts only if the attempt ran on another process than the last strike, was
/// dispatched as a suspect and shared the engine with no other suspect: otherwise a request that
/// ran twice beside the cause would be blocked as well.
static void
add_strike (TtBoard *board, const TtAttempt *attempt, int64_t now_us)
{
  uint64_t fingerprint = attempt->request->poison.fingerprint;
  const TtBackendServer *backend = attempt->backend;
  uint64_t crash_id = tt_hash_pair (backend->id, attempt->process_start_ms);
  TtSuspect *suspect = find_suspect (board, fingerprint);

  if (succeeded_recently (board, fingerprint, now_us))
    return;
  if (suspect == NULL)
    {
      suspect = new_suspect (board, fingerprint, false);
      suspect->strikes = 1;
    }
  else if (suspect->last_crash_id != crash_id && attempt->dispatched_us >= suspect->last_strike_us
           && backend->health.crash_suspects < 2)
    suspect->strikes++;
  suspect->crashed_attempts++;
  suspect->last_crash_id = crash_id;
  suspect->last_strike_us = now_us;
  tt_list_remove (suspect_list (board, suspect), &suspect->link);
  suspect->from_peers_only = false;
  tt_list_prepend (&board->poison.suspects, &suspect->link);
  attempt->request->poison.suspect = true;
  if (suspect->strikes >= strike_limit (board))
    suspect->blocked_until_us = now_us + BLOCK_US;
  mark_waiting_requests (board, suspect);
  if (suspect->blocked_until_us == 0)
    return;
  attempt->request->poison.blocked = true;
  tt_board_log (board, TT_LOG_REQUEST_BLOCKED, "account=%s fingerprint=%016llx runs=%u source=here",
                attempt->request->spec.account, (unsigned long long) fingerprint,
                suspect->crashed_attempts);
}

/// Merges the strikes of a fingerprint reported by another daemon; the higher count applies.
static void
merge_strikes (TtBoard *board, const TtPeerSuspect *peer, int64_t now_us)
{
  TtSuspect *suspect = find_suspect (board, peer->fingerprint);

  if (suspect == NULL)
    {
      suspect = new_suspect (board, peer->fingerprint, true);
      suspect->last_strike_us = now_us;
    }
  if (suspect->strikes >= peer->strikes)
    return;
  suspect->strikes = peer->strikes;
  suspect->last_crash_id = peer->crash_id;
  if (suspect->crashed_attempts < peer->strikes)
    suspect->crashed_attempts = peer->strikes;
  if (suspect->strikes >= strike_limit (board))
    {
      suspect->blocked_until_us = now_us + BLOCK_US;
      tt_board_log (board, TT_LOG_REQUEST_BLOCKED, "fingerprint=%016llx runs=%u source=peer",
                    (unsigned long long) suspect->fingerprint, suspect->crashed_attempts);
    }
  mark_waiting_requests (board, suspect);
}

/// Merges suspects reported by another daemon. A fingerprint with a recent success at this daemon
/// stays cleared whatever others report, and is advertised to them as cleared.
static void
merge_suspects (TtBoard *board, const TtPeerSuspect *suspects, uint32_t count, int64_t now_us)
{
  for (uint32_t i = 0; i < count && i < TT_PEER_MAX_SUSPECTS; i++)
    {
      const TtPeerSuspect *peer = &suspects[i];
      bool succeeded = succeeded_recently (board, peer->fingerprint, now_us);

      if (peer->fingerprint == 0 || (peer->strikes == 0 && succeeded))
        continue;
      if (peer->strikes == 0)
        clear_suspect (board, peer->fingerprint, "peer", now_us);
      else if (succeeded)
        advertise_cleared (board, peer->fingerprint, now_us);
      else
        merge_strikes (board, peer, now_us);
    }
}

/// Frees the expired suspects of one list.
static void
expire_suspects (TtBoard *board, TtList *list, int64_t now_us)
{
  TT_LIST_FOREACH (list, it)
    {
      TtSuspect *suspect = TT_CONTAINER_OF (it, TtSuspect, link);

      if (now_us - suspect->last_strike_us > BLOCK_US && now_us >= suspect->blocked_until_us)
        free_suspect (board, suspect);
    }
}

static void
on_event (void *context, TtBoard *board, const TtEvent *event, int64_t now_us)
{
  TtAttempt *attempt;
  uint64_t fingerprint;

  (void) context;
  if (event->type == TT_EVENT_TICK)
    {
      expire_suspects (board, &board->poison.suspects, now_us);
      expire_suspects (board, &board->poison.peer_suspects, now_us);
    }
  if (event->type == TT_EVENT_PEER_MESSAGE && event->peer->type == TT_PEER_GOSSIP)
    merge_suspects (board, event->peer->gossip.suspects, event->peer->gossip.suspect_count, now_us);
  if (event->type == TT_EVENT_PEER_MESSAGE && event->peer->type == TT_PEER_STATUS)
    merge_suspects (board, event->peer->status.suspects, event->peer->status.suspect_count, now_us);
  if (event->type != TT_EVENT_ATTEMPT_DONE && event->type != TT_EVENT_ATTEMPT_FAILED)
    return;
  attempt = tt_attempt_find (board, event->attempt.attempt_id);
  if (attempt == NULL)
    return;
  if (event->type == TT_EVENT_ATTEMPT_FAILED)
    {
      if (event->error.code == TT_E_CRASHED && event->attempt.maybe_sent)
        add_strike (board, attempt, now_us);
      return;
    }
  fingerprint = attempt->request->poison.fingerprint;
  if (event->attempt.status >= 400) // may have been rejected without being run
    return;
  if (find_suspect (board, fingerprint) != NULL)
    advertise_cleared (board, fingerprint, now_us);
  clear_suspect (board, fingerprint, "here", now_us);
}

/// Looks up the fingerprint of an arrived request; stops the request while the fingerprint is
/// blocked.
static void
check_request (TtBoard *board, TtRequest *request, int64_t now_us)
{
  const TtSuspect *suspect;

  request->poison.checked = true;
  request->poison.fingerprint
      = tt_hash_pair (tt_hash_string (request->spec.account), request->spec.body_hash);
  suspect = find_suspect (board, request->poison.fingerprint);
  if (suspect == NULL)
    return;
  request->poison.suspect = true;
  if (suspect->blocked_until_us > now_us)
    stop_request (board, request, suspect);
}

static void
run (void *context, TtBoard *board, int64_t now_us)
{
  (void) context;
  TT_LIST_FOREACH (&board->requests.stages[TT_STAGE_ARRIVED], it)
    {
      TtRequest *request = TT_CONTAINER_OF (it, TtRequest, stage_link);

      if (!request->poison.checked)
        check_request (board, request, now_us);
    }
}

TtController
tt_poison_controller (void)
{
  return (TtController){
    .name = "poison", .open = open_poison, .close = close_poison, .on_event = on_event, .run = run
  };
}
