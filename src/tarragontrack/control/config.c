#include "tarragontrack/control/config.h"
#include "tarragontrack/board/board.h"
#include "tarragontrack/control/controllers.h"
#include "tarragontrack/control/member.h"
#include <stdlib.h>
#include <string.h>

#define HEAD_KEY "config/head"
/// Number of daemons that watch the head in each failure domain: those of the lowest ranks.
#define HEAD_WATCHERS 2
/// Period of each daemon's own reads of the head. Without gossip, a daemon learns of a change
/// within 10 s; the target for putting it in force is 15 s. The reads also confirm the daemon's
/// platform contact.
#define POLL_PERIOD_US (9 * TT_SECOND_US)
#define POLL_PERIOD_MIN_US (2 * TT_SECOND_US)
#define STARTUP_POLL_PERIOD_US (1 * TT_SECOND_US)
/// A daemon that has known of a newer epoch for this long without receiving its documents reads the
/// head from the platform.
#define BEHIND_POLL_DELAY_US (2 * TT_SECOND_US)
#define RETRY_US (500 * TT_MILLISECOND_US)
/// Consecutive calls without a response after which the platform counts as lost.
#define PLATFORM_LOST_CALLS 3
#define CALL_TIMEOUT_US (10 * TT_SECOND_US)
/// Longer than the time after which the front end ends a watch.
#define WATCH_TIMEOUT_US (120 * TT_SECOND_US)
/// Maximum number of concurrent document reads.
#define MAX_OPEN_FETCHES 4
/// Time for which a starting daemon waits for gossip, because the head that it read may be stale.
#define GOSSIP_WAIT_US (3 * TT_SECOND_US)

/// Minimum length of a process pause after which the daemon syncs again, because the other daemons
/// may have marked it as gone, and the acceptor may have accepted a change without it. It is
/// shorter than TT_MEMBER_GONE_AFTER_US by more than one gossip round.
#define PAUSE_THRESHOLD_US (5 * TT_SECOND_US)

/// Loss of platform contact after which RECONNECT_DELAY_US applies; longer than POLL_PERIOD_US.
#define CONTACT_LOSS_US (15 * TT_SECOND_US)
/// After such a loss, contact is confirmed only by a read of the head that starts this long after
/// the first successful one: three gossip rounds of the gateways.
#define RECONNECT_DELAY_US (6 * TT_SECOND_US)

/// Frees the documents in force.
static void
close_documents (void *context, TtBoard *board)
{
  (void) context;
  for (uint32_t i = 0; i < board->team_config.slot_count; i++)
    {
      TtDocumentSlot *slot = &board->team_config.slots[i];

      free (slot->document);
      free (slot->text);
      free (slot->old_document);
      free (slot->old_text);
    }
}

/// Detects a pause of this process. After a pause the daemon's state may be outdated, so it has to
/// sync again, and responses to reads and watches of the head from before the pause are ignored.
static void
detect_pause (TtBoard *board, int64_t now_us)
{
  TtConfigSection *section = &board->team_config;
  bool paused
      = section->last_event_us != 0 && now_us - section->last_event_us >= PAUSE_THRESHOLD_US;

  section->last_event_us = now_us;
  if (!paused)
    return;
  section->resumed_us = now_us;
  section->synced = false;
  section->gossip_received = false;
  section->first_head_us = 0;
  section->head_call = 0;
  section->watch_call = 0;
  section->next_poll_us = now_us;
}

/// Starts a read of the head.
static void
read_head (TtBoard *board, int64_t now_us)
{
  TtConfigSection *section = &board->team_config;

  section->head_call = tt_board_call_platform (board, TT_PLATFORM_GET, HEAD_KEY, 0, NULL);
  section->head_call_start_us = now_us;
}

/// Processes the response to a read or a watch of the head.
static void
handle_head_response (TtBoard *board, const TtPlatformEvent *response, bool watch, int64_t now_us)
{
  TtConfigSection *section = &board->team_config;
  int64_t started_us = watch ? now_us : section->head_call_start_us;

  if (watch)
    {
      section->watch_call = 0;
      // A change completes the watch immediately; the next watch starts after a short delay.
      section->next_watch_us = now_us + (response->code == TT_OK ? RETRY_US / 5 : 2 * RETRY_US)
                               + (int64_t) tt_rng_below (&board->rng, (uint64_t) RETRY_US / 5);
    }
  else
    {
      section->head_call = 0;
      section->head_failed = response->code != TT_OK && response->code != TT_E_NOT_FOUND;
    }
  if (response->code == TT_E_NOT_FOUND && section->epoch != 0)
    {
      TtHeadObject empty_head = { 0 };

      // The store lost the head: handled like a store restored to its initial state.
      tt_config_handle_head (board, &empty_head, 0, now_us);
      return;
    }
  if (response->code != TT_OK || response->object == NULL
      || response->object->type != TT_OBJECT_HEAD)
    return;
  if (section->first_head_us == 0)
    section->first_head_us = now_us;
  section->head_version = response->version;
  // It is not known when the platform produced the response to a watch, so a watch does not confirm
  // contact.
  tt_config_handle_head (board, &response->object->head, watch ? 0 : started_us, now_us);
}

/// Processes the response to a read of a document.
static void
handle_document_response (TtBoard *board, TtDocumentSlot *slot, const TtPlatformEvent *response,
                          int64_t now_us)
{
  const TtDocumentObject *object;
  TtConfigDocument document;

  slot->call = 0;
  slot->next_fetch_us
      = now_us + RETRY_US + (int64_t) tt_rng_below (&board->rng, (uint64_t) RETRY_US);
  if (response->code != TT_OK || response->object == NULL
      || response->object->type != TT_OBJECT_DOCUMENT)
    return;
  object = &response->object->document;
  // The head may have moved to another document since the read, or the object may be corrupt.
  if (!tt_digest_equal (&object->hash, &slot->wanted_hash)
      || strcmp (object->team, slot->team) != 0)
    return;
  document = (TtConfigDocument){ .team = slot->team,
                                 .author = object->author,
                                 .staged_s = object->staged_s,
                                 .generation = slot->wanted_generation,
                                 .epoch = slot->wanted_epoch,
                                 .hash = &object->hash,
                                 .text = object->text,
                                 .text_size = object->text_size,
                                 .document = object->document,
                                 .error = &object->error };
  (void) tt_config_apply (board, &document, now_us);
}

/// Counts consecutive failed calls and logs when the platform becomes unreachable or reachable.
static void
track_platform_health (TtBoard *board, const TtPlatformEvent *response)
{
  TtConfigSection *section = &board->team_config;
  bool responded = response->code != TT_E_TIMEOUT && response->code != TT_E_UNAVAILABLE;

  section->consecutive_failures = responded ? 0 : section->consecutive_failures + 1;
  if (responded && section->platform_lost)
    tt_board_log (board, TT_LOG_PLATFORM_BACK, "daemon=%s", board->config.name);
  else if (!section->platform_lost && section->consecutive_failures == PLATFORM_LOST_CALLS)
    tt_board_log (board, TT_LOG_PLATFORM_LOST, "daemon=%s calls=%d", board->config.name,
                  PLATFORM_LOST_CALLS);
  section->platform_lost = section->consecutive_failures >= PLATFORM_LOST_CALLS;
}

static void
on_event (void *context, TtBoard *board, const TtEvent *event, int64_t now_us)
{
  TtConfigSection *section = &board->team_config;

  (void) context;
  section->documents_changed = false;
  detect_pause (board, now_us);
  if (event->type == TT_EVENT_PEER_MESSAGE)
    tt_config_handle_peer_message (board, event->peer, now_us);
  if (event->type != TT_EVENT_PLATFORM_RESPONSE)
    return;
  track_platform_health (board, &event->platform);
  if (section->head_call != 0 && event->platform.call_id == section->head_call)
    handle_head_response (board, &event->platform, false, now_us);
  else if (section->watch_call != 0 && event->platform.call_id == section->watch_call)
    handle_head_response (board, &event->platform, true, now_us);
  else
    for (uint32_t i = 0; i < section->slot_count; i++)
      if (section->slots[i].call != 0 && section->slots[i].call == event->platform.call_id)
        handle_document_response (board, &section->slots[i], &event->platform, now_us);
}

/// Fetches the documents that the head names and this daemon lacks.
static void
fetch_documents (TtBoard *board, int64_t now_us)
{
  TtConfigSection *section = &board->team_config;
  uint32_t open = 0;

  for (uint32_t i = 0; i < section->slot_count; i++)
    {
      TtDocumentSlot *slot = &section->slots[i];

      if (slot->call != 0 && now_us - slot->next_fetch_us > CALL_TIMEOUT_US)
        slot->call = 0;
      open += slot->call != 0;
    }
  for (uint32_t i = 0; i < section->slot_count && open < MAX_OPEN_FETCHES; i++)
    {
      TtDocumentSlot *slot = &section->slots[i];
      char key[TT_KEY_MAX];

      if (slot->call != 0 || now_us < slot->next_fetch_us
          || !tt_member_epoch_newer (slot->wanted_generation, slot->wanted_epoch, slot->generation,
                                     slot->epoch))
        continue;
      tt_config_document_key (&slot->wanted_hash, key);
      slot->call = tt_board_call_platform (board, TT_PLATFORM_GET, key, 0, NULL);
      slot->next_fetch_us = now_us;
      open++;
    }
}

/// Returns the maximum interval between two reads of the head. A document with the detached mode
/// "refuse" shortens it, because contact has to be confirmed several times within its
/// detach_after_s.
static int64_t
poll_period_us (TtBoard *board)
{
  const TtConfigSection *section = &board->team_config;
  int64_t period_us = section->synced ? POLL_PERIOD_US : STARTUP_POLL_PERIOD_US;

  for (uint32_t i = 0; i < section->slot_count; i++)
    {
      const TtDocument *document = section->slots[i].document;

      if (document != NULL && document->detached == TT_DETACHED_REFUSE
          && document->detach_after_s * TT_SECOND_US / 4 < period_us)
        period_us = document->detach_after_s * TT_SECOND_US / 4;
    }
  return period_us < POLL_PERIOD_MIN_US && section->synced ? POLL_PERIOD_MIN_US : period_us;
}

/// Starts the reads and the watch of the head that are due.
static void
start_head_calls (TtBoard *board, int64_t now_us)
{
  TtConfigSection *section = &board->team_config;
  int64_t period_us;

  if (section->head_call != 0 && now_us - section->head_call_start_us >= CALL_TIMEOUT_US)
    section->head_call = 0;
  if (section->watch_call != 0 && now_us - section->watch_start_us >= WATCH_TIMEOUT_US)
    section->watch_call = 0;
  if (section->behind_since_us != 0 && now_us - section->behind_since_us >= BEHIND_POLL_DELAY_US
      && now_us < section->next_poll_us)
    {
      // Jitter, so that the daemons of a failure domain whose gossip fails do not all read
      // simultaneously.
      int64_t earlier_poll_us
          = now_us + (int64_t) tt_rng_below (&board->rng, (uint64_t) BEHIND_POLL_DELAY_US);

      section->behind_since_us = now_us;
      if (earlier_poll_us < section->next_poll_us)
        section->next_poll_us = earlier_poll_us;
    }
  if (section->head_call == 0 && now_us >= section->next_poll_us)
    {
      period_us = poll_period_us (board);
      section->next_poll_us = now_us + period_us * 3 / 4
                              + (int64_t) tt_rng_below (&board->rng, (uint64_t) period_us / 4);
      read_head (board, now_us);
    }
  if (section->synced && board->member.rank < HEAD_WATCHERS && section->watch_call == 0
      && section->head_version != 0 && now_us >= section->next_watch_us)
    {
      section->watch_call = tt_board_call_platform (board, TT_PLATFORM_WATCH, HEAD_KEY,
                                                    section->head_version, NULL);
      section->watch_start_us = now_us;
    }
}

/// True if the highest known epoch is in force and the daemon need not wait for gossip, which may
/// advertise a higher one.
static bool
is_synced (TtBoard *board, int64_t now_us)
{
  const TtConfigSection *section = &board->team_config;
  bool only_member = board->member.all.count == 1 && board->roster.fleet_list_version != 0;

  if (section->epoch == 0
      || tt_member_epoch_newer (section->known_generation, section->known_epoch,
                                section->generation, section->epoch))
    return false;
  // Gossip queued in the sockets during a pause is outdated; wait for a later round.
  if (section->resumed_us != 0 && now_us - section->resumed_us < GOSSIP_WAIT_US)
    return false;
  // A replica may return a stale head, so wait for a peer's epoch if there may be peers.
  return section->gossip_received || only_member
         || (section->first_head_us != 0 && now_us - section->first_head_us >= GOSSIP_WAIT_US);
}

/// Updates, for each team, whether its requests are rejected because platform contact was lost.
static void
update_detached (TtBoard *board, int64_t now_us)
{
  TtConfigSection *section = &board->team_config;

  for (uint32_t i = 0; i < section->slot_count; i++)
    {
      TtDocumentSlot *slot = &section->slots[i];
      const TtDocument *document = slot->document;
      bool rejects = document != NULL && document->detached == TT_DETACHED_REFUSE
                     && (section->contact_confirmed_us == 0
                         || now_us - section->contact_confirmed_us
                                >= document->detach_after_s * TT_SECOND_US);

      if (rejects == slot->rejects_requests)
        continue;
      slot->rejects_requests = rejects;
      board->dirty = true;
      tt_board_log (board, rejects ? TT_LOG_DOMAIN_DETACHED : TT_LOG_DOMAIN_ATTACHED,
                    "team=%s domain=%s", slot->team, board->config.domain);
    }
}

/// Confirms platform contact as of the last read of the head, all of whose documents are in force.
/// A restored store or a stale replica may return an old head, so contact is not confirmed while a
/// peer is known to be ahead, and after a long loss of contact the peers get time to advertise
/// their epochs.
static void
confirm_contact (TtConfigSection *section)
{
  if (section->target_read_us <= section->contact_confirmed_us
      || tt_member_epoch_newer (section->known_generation, section->known_epoch,
                                section->generation, section->epoch))
    return;
  if (section->contact_confirmed_us != 0
      && section->target_read_us - section->contact_confirmed_us >= CONTACT_LOSS_US)
    {
      if (section->reconnect_us == 0 || section->reconnect_us < section->contact_confirmed_us)
        section->reconnect_us = section->target_read_us;
      if (section->target_read_us - section->reconnect_us < RECONNECT_DELAY_US)
        return;
    }
  section->contact_confirmed_us = section->target_read_us;
}

static void
run (void *context, TtBoard *board, int64_t now_us)
{
  TtConfigSection *section = &board->team_config;

  (void) context;
  start_head_calls (board, now_us);
  fetch_documents (board, now_us);
  if (section->target_epoch != 0 && tt_config_target_reached (section))
    {
      tt_config_advance_epoch (board, section->target_generation, section->target_epoch, now_us);
      confirm_contact (section);
    }
  if (section->behind_since_us != 0
      && !tt_member_epoch_newer (section->known_generation, section->known_epoch,
                                 section->generation, section->epoch))
    section->behind_since_us = 0;
  tt_config_sync (board, now_us);
  if (!section->synced && is_synced (board, now_us))
    {
      section->synced = true;
      board->dirty = true;
    }
  update_detached (board, now_us);
}

TtController
tt_config_controller (void)
{
  return (
      TtController){ .name = "config", .close = close_documents, .on_event = on_event, .run = run };
}
