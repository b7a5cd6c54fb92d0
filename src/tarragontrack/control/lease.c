#include "tarragontrack/control/lease.h"
#include "tarragontrack/board/board.h"
#include "tarragontrack/board/hash.h"
#include "tarragontrack/control/controllers.h"
#include "tarragontrack/control/evidence.h"
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/// A holder that misses two consecutive renewals keeps the lease.
#define RENEW_PERIOD_US (TT_LEASE_DURATION_US / 4)
#define CANDIDATE_READ_PERIOD_US (4 * TT_SECOND_US)
#define RETRY_PERIOD_US (500 * TT_MILLISECOND_US)
/// Timeout of a call. The front end responds to every call, so this is reached only if a response
/// is lost.
#define CALL_TIMEOUT_US (10 * TT_SECOND_US)

static int
open_leases (void *context, TtBoard *board)
{
  (void) context;
  board->lease.leases = calloc (TT_MAX_LEASES, sizeof *board->lease.leases);
  // The holder id includes the incarnation, so that a restarted daemon does not treat the lease of
  // its previous run as its own.
  board->lease.holder_id
      = tt_hash_pair (tt_hash_string (board->config.name), board->config.incarnation);
  return board->lease.leases != NULL ? TT_OK : TT_E_NO_MEMORY;
}

static void
close_leases (void *context, TtBoard *board)
{
  (void) context;
  free (board->lease.leases);
}

TtLease *
tt_lease_find (TtBoard *board, const char *role)
{
  for (uint32_t i = 0; i < board->lease.count; i++)
    if (strcmp (board->lease.leases[i].role, role) == 0)
      return &board->lease.leases[i];
  return NULL;
}

TtLease *
tt_lease_set_candidate (TtBoard *board, const char *role, bool candidate)
{
  TtLeaseSection *section = &board->lease;
  TtLease *lease = tt_lease_find (board, role);

  if (lease != NULL)
    {
      lease->candidate = candidate;
      return lease;
    }
  if (!candidate)
    return NULL;
  if (section->count == TT_MAX_LEASES)
    {
      tt_board_counter_add (board, TT_COUNT_POOL_FULL, 1);
      return NULL;
    }
  lease = &section->leases[section->count++];
  (void) snprintf (lease->role, sizeof lease->role, "%s", role);
  lease->candidate = true;
  lease->duration_us = TT_LEASE_DURATION_US;
  return lease;
}

bool
tt_lease_held (const TtLease *lease, int64_t now_us)
{
  return lease != NULL && lease->held
         && now_us < lease->renewed_us + lease->duration_us - TT_LEASE_MARGIN_US;
}

/// Starts a read of the lease's object.
static void
read_lease (TtBoard *board, TtLease *lease, int64_t now_us)
{
  char key[TT_KEY_MAX];

  (void) snprintf (key, sizeof key, "leases/%s", lease->role);
  lease->call = tt_board_call_platform (board, TT_PLATFORM_GET, key, 0, NULL);
  lease->call_type = TT_LEASE_CALL_READ;
  lease->call_start_us = now_us;
}

/// Starts a conditional update that acquires, renews or releases the lease.
static void
write_lease (TtBoard *board, TtLease *lease, TtLeaseCall type, int64_t now_us)
{
  TtLeaseObject *object = &lease->object.lease;
  char key[TT_KEY_MAX];

  memset (&lease->object, 0, sizeof lease->object);
  lease->object.type = TT_OBJECT_LEASE;
  object->holder_id = board->lease.holder_id;
  (void) snprintf (object->holder, sizeof object->holder, "%s", board->config.name);
  object->duration_ms = (uint32_t) (lease->duration_us / TT_MILLISECOND_US);
  object->released = type == TT_LEASE_CALL_RELEASE;
  // A new term gets the token after the highest one read, so that tokens also increase after the
  // store was restored to an older version, and one above those of earlier eras, which this daemon
  // may not have read.
  object->fencing_token = lease->fencing_token;
  if (type == TT_LEASE_CALL_ACQUIRE && object->fencing_token < tt_evidence_fencing_floor (board))
    object->fencing_token = tt_evidence_fencing_floor (board);
  if (type == TT_LEASE_CALL_ACQUIRE)
    object->fencing_token++;
  if (type != TT_LEASE_CALL_RELEASE)
    {
      lease->unconfirmed_token = object->fencing_token;
      lease->unconfirmed_write_us = now_us;
    }
  (void) snprintf (key, sizeof key, "leases/%s", lease->role);
  lease->call
      = tt_board_call_platform (board, TT_PLATFORM_PUT, key, lease->version, &lease->object);
  lease->call_type = type;
  lease->call_start_us = now_us;
}

static void
mark_lease_lost (TtBoard *board, TtLease *lease, const char *reason)
{
  if (!lease->held)
    return;
  lease->held = false;
  tt_board_counter_add (board, TT_COUNT_LEASES_LOST, 1);
  tt_board_log (board, TT_LOG_LEASE_LOST, "role=%s fencing=%llu reason=%s", lease->role,
                (unsigned long long) lease->fencing_token, reason);
}

/// Records that a write of this daemon took effect.
static void
confirm_write (TtBoard *board, TtLease *lease, uint64_t version, int64_t now_us)
{
  if (!lease->held || lease->unconfirmed_token != lease->fencing_token)
    {
      lease->acquired_us = now_us;
      tt_board_log (board, TT_LOG_LEASE_ACQUIRED, "role=%s fencing=%llu", lease->role,
                    (unsigned long long) lease->unconfirmed_token);
    }
  lease->held = true;
  lease->fencing_token = lease->unconfirmed_token;
  lease->renewed_us = lease->unconfirmed_write_us;
  lease->holder_id = board->lease.holder_id;
  lease->version = version;
  lease->observed_us = now_us;
  lease->observed_released = false;
  lease->observed_duration_us = lease->duration_us;
  lease->unconfirmed_token = 0;
  lease->next_try_us = lease->renewed_us + RENEW_PERIOD_US;
}

/// Processes the lease's object as read; @object is NULL if it does not exist.
static void
handle_lease_object (TtBoard *board, TtLease *lease, const TtLeaseObject *object, uint64_t version,
                     int64_t now_us)
{
  if (object != NULL && lease->unconfirmed_token != 0
      && object->fencing_token == lease->unconfirmed_token
      && object->holder_id == board->lease.holder_id && !object->released)
    {
      confirm_write (board, lease, version, now_us);
      return;
    }
  if (object == NULL || object->holder_id != board->lease.holder_id || object->released)
    mark_lease_lost (board, lease, "another holder");
  if (lease->observed_us == 0 || version != lease->version)
    lease->observed_us = now_us;
  lease->version = version;
  lease->holder_id = object != NULL ? object->holder_id : 0;
  lease->observed_released = object == NULL || object->released;
  lease->observed_duration_us = object != NULL ? object->duration_ms * TT_MILLISECOND_US : 0;
  if (object != NULL && object->fencing_token > lease->fencing_token)
    lease->fencing_token = object->fencing_token;
  lease->next_try_us = now_us + (lease->observed_released ? 0 : CANDIDATE_READ_PERIOD_US / 2)
                       + (int64_t) tt_rng_below (&board->rng, (uint64_t) CANDIDATE_READ_PERIOD_US);
  if (lease->observed_released && object == NULL)
    lease->next_try_us = now_us;
}

/// Processes the response to the open call.
static void
handle_lease_response (TtBoard *board, TtLease *lease, const TtPlatformEvent *response,
                       int64_t now_us)
{
  TtLeaseCall type = lease->call_type;

  lease->call = 0;
  lease->call_type = TT_LEASE_CALL_NONE;
  lease->next_try_us = now_us + RETRY_PERIOD_US;
  if (!tt_evidence_is_of_current_era (board, response) && response->code == TT_OK)
    return; // it is read again
  if (type == TT_LEASE_CALL_READ)
    {
      if (response->code == TT_E_NOT_FOUND)
        handle_lease_object (board, lease, NULL, 0, now_us);
      else if (response->code == TT_OK && response->object != NULL
               && response->object->type == TT_OBJECT_LEASE)
        handle_lease_object (board, lease, &response->object->lease, response->version, now_us);
      return;
    }
  if (type == TT_LEASE_CALL_RELEASE)
    {
      // A release without a response is not retried: the lease expires by itself.
      lease->version = response->version;
      lease->observed_us = 0;
      return;
    }
  if (response->code == TT_OK)
    confirm_write (board, lease, response->version, now_us);
  else if (response->code == TT_E_UNAVAILABLE)
    lease->unconfirmed_token = 0;
  else
    // The response was lost or the version conflicts: read the object back to find out whose write
    // took effect.
    read_lease (board, lease, now_us);
}

/// Drops what was read or written in an earlier era of the store. The lease that this daemon holds
/// may be lost, and its version may be given to what another daemon writes.
static void
leave_era (TtBoard *board, TtLease *lease, int64_t now_us)
{
  mark_lease_lost (board, lease, "new era of the store");
  lease->era = board->evidence.era;
  lease->version = 0;
  lease->holder_id = 0;
  lease->observed_us = 0;
  lease->unconfirmed_token = 0;
  lease->call = 0;
  lease->call_type = TT_LEASE_CALL_NONE;
  lease->next_try_us = now_us;
}

static void
on_event (void *context, TtBoard *board, const TtEvent *event, int64_t now_us)
{
  (void) context;
  if (event->type != TT_EVENT_PLATFORM_RESPONSE)
    return;
  for (uint32_t i = 0; i < board->lease.count; i++)
    if (board->lease.leases[i].era != board->evidence.era)
      leave_era (board, &board->lease.leases[i], now_us);
  for (uint32_t i = 0; i < board->lease.count; i++)
    if (board->lease.leases[i].call != 0 && board->lease.leases[i].call == event->platform.call_id)
      handle_lease_response (board, &board->lease.leases[i], &event->platform, now_us);
}

/// True if the lease last read may be acquired: it is released, absent or expired. In a new era the
/// object may lack the lease of a holder that has yet to learn of that era.
static bool
is_available (const TtBoard *board, const TtLease *lease, int64_t now_us)
{
  return lease->observed_us != 0
         && tt_evidence_era_age_us (board, now_us) >= lease->duration_us + TT_LEASE_MARGIN_US
         && (lease->observed_released
             || now_us - lease->observed_us >= lease->observed_duration_us + TT_LEASE_MARGIN_US);
}

/// Starts the next call of one lease, if one is due.
static void
start_due_call (TtBoard *board, TtLease *lease, int64_t now_us)
{
  bool candidate = lease->candidate && board->drain.state < TT_DRAIN_CLOSING;

  if (lease->held && !tt_lease_held (lease, now_us))
    mark_lease_lost (board, lease, "expired");
  if (lease->call != 0 && now_us - lease->call_start_us >= CALL_TIMEOUT_US)
    lease->call = 0;
  if (lease->call != 0)
    return;
  if (!candidate)
    {
      if (!lease->held)
        return;
      lease->held = false;
      write_lease (board, lease, TT_LEASE_CALL_RELEASE, now_us);
      return;
    }
  if (now_us < lease->next_try_us)
    return;
  if (lease->held)
    write_lease (board, lease, TT_LEASE_CALL_RENEW, now_us);
  else if (is_available (board, lease, now_us))
    write_lease (board, lease, TT_LEASE_CALL_ACQUIRE, now_us);
  else
    read_lease (board, lease, now_us);
}

static void
run (void *context, TtBoard *board, int64_t now_us)
{
  (void) context;
  for (uint32_t i = 0; i < board->lease.count; i++)
    start_due_call (board, &board->lease.leases[i], now_us);
}

TtController
tt_lease_controller (void)
{
  return (TtController){
    .name = "lease", .open = open_leases, .close = close_leases, .on_event = on_event, .run = run
  };
}
