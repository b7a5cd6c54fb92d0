#include "tarragontrack/control/config.h"
#include "tarragontrack/board/board.h"
#include "tarragontrack/control/controllers.h"
#include "tarragontrack/control/member.h"
#include <stdlib.h>
#include <string.h>

#define HEAD_KEY "config/head"
/// Daemons of a failure domain that watch the head: the first ones by rank.
#define WATCHERS 2
/// Period in which every daemon reads the head itself. It bounds the time until a change is known
/// without gossip to 10 s of the 15 s, and it is the confirmed contact of a daemon.
#define POLL_PERIOD_US (9 * TT_SECOND_US)
#define POLL_PERIOD_MIN_US (2 * TT_SECOND_US)
#define START_POLL_US (1 * TT_SECOND_US)
/// A daemon that has known of a newer epoch for this long without getting it reads the platform.
#define BEHIND_US (2 * TT_SECOND_US)
#define RETRY_US (500 * TT_MILLISECOND_US)
/// Calls without an answer in a row after which the platform counts as lost.
#define LOST_CALLS 3
#define CALL_LIMIT_US (10 * TT_SECOND_US)
/// The front end ends a watch before this time.
#define WATCH_LIMIT_US (120 * TT_SECOND_US)
/// Document reads open at a time.
#define FETCHES 4
/// A starting daemon waits this long for gossip, so that a stale head does not make it ready.
#define PEER_WAIT_US (3 * TT_SECOND_US)

/// After a pause of this length the other daemons may have counted this one as gone, and accepted a
/// change without it. It is shorter than TT_MEMBER_GONE_US by more than a round of gossip.
#define PAUSE_US (5 * TT_SECOND_US)

/// A loss of contact of this length is longer than the period of reads of the head.
#define REJOIN_GAP_US (15 * TT_SECOND_US)
/// After such a loss, contact counts from the read that comes this long after the first one: three
/// rounds of the gateways.
#define REJOIN_US (6 * TT_SECOND_US)

/// Frees the documents in force.
static void
close_documents (void *context, TtBoard *board)
{
  (void) context;
  for (uint32_t i = 0; i < board->configuration.slot_count; i++)
    {
      TtDocumentSlot *slot = &board->configuration.slots[i];

      free (slot->document);
      free (slot->text);
      free (slot->old_document);
      free (slot->old_text);
    }
}

/// After a pause of this daemon nothing that it knew counts as the latest. Answers to calls from
/// before the pause are not taken.
static void
notice_pause (TtBoard *board, int64_t now_us)
{
  TtConfigSection *section = &board->configuration;
  bool paused = section->stepped_us != 0 && now_us - section->stepped_us >= PAUSE_US;

  section->stepped_us = now_us;
  if (!paused)
    return;
  section->woke_us = now_us;
  section->complete = false;
  section->heard_peer = false;
  section->first_head_us = 0;
  section->head_call = 0;
  section->watch_call = 0;
  section->next_poll_us = now_us;
}

/// Starts a read of the head.
static void
read_head (TtBoard *board, int64_t now_us)
{
  TtConfigSection *section = &board->configuration;

  section->head_call = tt_board_call (board, TT_PLATFORM_GET, HEAD_KEY, 0, NULL);
  section->head_call_us = now_us;
}

/// Takes in the answer to a read or a watch of the head.
static void
take_head_answer (TtBoard *board, const TtPlatformEvent *answer, bool watch, int64_t now_us)
{
  TtConfigSection *section = &board->configuration;
  int64_t started_us = watch ? now_us : section->head_call_us;

  if (watch)
    {
      section->watch_call = 0;
      // A change wakes the watcher at once; it then waits a moment before the next watch.
      section->next_watch_us = now_us + (answer->code == TT_OK ? RETRY_US / 5 : 2 * RETRY_US)
                               + (int64_t) tt_rng_below (&board->rng, (uint64_t) RETRY_US / 5);
    }
  else
    {
      section->head_call = 0;
      section->head_failed = answer->code != TT_OK && answer->code != TT_E_NOT_FOUND;
    }
  if (answer->code == TT_E_NOT_FOUND && section->epoch != 0)
    {
      TtHeadObject none = { 0 };

      // The store lost the head: the same as one restored to its beginning.
      tt_config_take_head (board, &none, 0, now_us);
      return;
    }
  if (answer->code != TT_OK || answer->object == NULL || answer->object->type != TT_OBJECT_HEAD)
    return;
  if (section->first_head_us == 0)
    section->first_head_us = now_us;
  section->head_version = answer->version;
  // The time of an answer to a watch is not known to the platform's clock: it is no contact.
  tt_config_take_head (board, &answer->object->head, watch ? 0 : started_us, now_us);
}

/// Takes in the answer to a read of a document.
static void
take_document (TtBoard *board, TtDocumentSlot *slot, const TtPlatformEvent *answer, int64_t now_us)
{
  const TtDocumentObject *object;
  TtConfigDocument document;

  slot->call = 0;
  slot->next_fetch_us
      = now_us + RETRY_US + (int64_t) tt_rng_below (&board->rng, (uint64_t) RETRY_US);
  if (answer->code != TT_OK || answer->object == NULL || answer->object->type != TT_OBJECT_DOCUMENT)
    return;
  object = &answer->object->document;
  // The head may name another document by now, or the object may be damaged.
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

/// Logs when the platform stops answering and when it answers again.
static void
note_platform (TtBoard *board, const TtPlatformEvent *answer)
{
  TtConfigSection *section = &board->configuration;
  bool answered = answer->code != TT_E_TIMEOUT && answer->code != TT_E_UNAVAILABLE;

  section->unanswered = answered ? 0 : section->unanswered + 1;
  if (answered && section->platform_lost)
    tt_board_log (board, TT_LOG_PLATFORM_BACK, "daemon=%s", board->config.name);
  else if (!section->platform_lost && section->unanswered == LOST_CALLS)
    tt_board_log (board, TT_LOG_PLATFORM_LOST, "daemon=%s calls=%d", board->config.name,
                  LOST_CALLS);
  section->platform_lost = section->unanswered >= LOST_CALLS;
}

static void
on_event (void *context, TtBoard *board, const TtEvent *event, int64_t now_us)
{
  TtConfigSection *section = &board->configuration;

  (void) context;
  section->changed = false;
  notice_pause (board, now_us);
  if (event->type == TT_EVENT_PEER)
    tt_config_peer (board, event->peer, now_us);
  if (event->type != TT_EVENT_PLATFORM)
    return;
  note_platform (board, &event->platform);
  if (section->head_call != 0 && event->platform.call_id == section->head_call)
    take_head_answer (board, &event->platform, false, now_us);
  else if (section->watch_call != 0 && event->platform.call_id == section->watch_call)
    take_head_answer (board, &event->platform, true, now_us);
  else
    for (uint32_t i = 0; i < section->slot_count; i++)
      if (section->slots[i].call != 0 && section->slots[i].call == event->platform.call_id)
        take_document (board, &section->slots[i], &event->platform, now_us);
}

/// Reads the documents that the head names and this daemon does not have.
static void
fetch_documents (TtBoard *board, int64_t now_us)
{
  TtConfigSection *section = &board->configuration;
  uint32_t open = 0;

  for (uint32_t i = 0; i < section->slot_count; i++)
    {
      TtDocumentSlot *slot = &section->slots[i];

      if (slot->call != 0 && now_us - slot->next_fetch_us > CALL_LIMIT_US)
        slot->call = 0;
      open += slot->call != 0;
    }
  for (uint32_t i = 0; i < section->slot_count && open < FETCHES; i++)
    {
      TtDocumentSlot *slot = &section->slots[i];
      char key[TT_KEY_MAX];

      if (slot->call != 0 || now_us < slot->next_fetch_us
          || !tt_member_newer (slot->wanted_generation, slot->wanted_epoch, slot->generation,
                               slot->epoch))
        continue;
      tt_config_document_key (&slot->wanted_hash, key);
      slot->call = tt_board_call (board, TT_PLATFORM_GET, key, 0, NULL);
      slot->next_fetch_us = now_us;
      open++;
    }
}

/// Time until the next read of the head. Documents that make cut-off daemons refuse need a contact
/// more often than they allow its absence.
static int64_t
poll_period (TtBoard *board)
{
  const TtConfigSection *section = &board->configuration;
  int64_t period = section->complete ? POLL_PERIOD_US : START_POLL_US;

  for (uint32_t i = 0; i < section->slot_count; i++)
    {
      const TtDocument *document = section->slots[i].document;

      if (document != NULL && document->detached == TT_DETACHED_REFUSE
          && document->detach_after_s * TT_SECOND_US / 4 < period)
        period = document->detach_after_s * TT_SECOND_US / 4;
    }
  return period < POLL_PERIOD_MIN_US && section->complete ? POLL_PERIOD_MIN_US : period;
}

/// Starts the calls to the platform that are due.
static void
poll_platform (TtBoard *board, int64_t now_us)
{
  TtConfigSection *section = &board->configuration;
  int64_t period;

  if (section->head_call != 0 && now_us - section->head_call_us >= CALL_LIMIT_US)
    section->head_call = 0;
  if (section->watch_call != 0 && now_us - section->watch_us >= WATCH_LIMIT_US)
    section->watch_call = 0;
  if (section->behind_us != 0 && now_us - section->behind_us >= BEHIND_US
      && now_us < section->next_poll_us)
    {
      // Jitter: a failure domain whose gossip fails must not read all at once.
      int64_t soon = now_us + (int64_t) tt_rng_below (&board->rng, (uint64_t) BEHIND_US);

      section->behind_us = now_us;
      if (soon < section->next_poll_us)
        section->next_poll_us = soon;
    }
  if (section->head_call == 0 && now_us >= section->next_poll_us)
    {
      period = poll_period (board);
      section->next_poll_us
          = now_us + period * 3 / 4 + (int64_t) tt_rng_below (&board->rng, (uint64_t) period / 4);
      read_head (board, now_us);
    }
  if (section->complete && board->member.rank < WATCHERS && section->watch_call == 0
      && section->head_version != 0 && now_us >= section->next_watch_us)
    {
      section->watch_call
          = tt_board_call (board, TT_PLATFORM_WATCH, HEAD_KEY, section->head_version, NULL);
      section->watch_us = now_us;
    }
}

/// True if the highest epoch known is in force and no source is waited for.
static bool
is_complete (TtBoard *board, int64_t now_us)
{
  const TtConfigSection *section = &board->configuration;
  bool alone = board->member.all.count == 1 && board->roster.fleet_version != 0;

  if (section->epoch == 0
      || tt_member_newer (section->known_generation, section->known_epoch, section->generation,
                          section->epoch))
    return false;
  // Gossip that waited in the sockets during a pause is old; a later round tells what is new.
  if (section->woke_us != 0 && now_us - section->woke_us < PEER_WAIT_US)
    return false;
  // A replica may answer with an old head: a peer's epoch is waited for if there may be peers.
  return section->heard_peer || alone
         || (section->first_head_us != 0 && now_us - section->first_head_us >= PEER_WAIT_US);
}

/// Notes which teams' requests are refused because contact was lost.
static void
update_detached (TtBoard *board, int64_t now_us)
{
  TtConfigSection *section = &board->configuration;

  for (uint32_t i = 0; i < section->slot_count; i++)
    {
      TtDocumentSlot *slot = &section->slots[i];
      const TtDocument *document = slot->document;
      bool refused
          = document != NULL && document->detached == TT_DETACHED_REFUSE
            && (section->contact_us == 0
                || now_us - section->contact_us >= document->detach_after_s * TT_SECOND_US);

      if (refused == slot->refused_detached)
        continue;
      slot->refused_detached = refused;
      board->dirty = true;
      tt_board_log (board, refused ? TT_LOG_DOMAIN_DETACHED : TT_LOG_DOMAIN_ATTACHED,
                    "team=%s domain=%s", slot->team, board->config.domain);
    }
}

/// Confirms the contact of the last read of the head, which showed nothing missing here. A restored
/// store, or a stale replica, may show an old head: no contact is confirmed while a peer is known
/// to be ahead, and after a long loss of contact the peers get time to say so.
static void
confirm_contact (TtConfigSection *section)
{
  if (section->target_us <= section->contact_us
      || tt_member_newer (section->known_generation, section->known_epoch, section->generation,
                          section->epoch))
    return;
  if (section->contact_us != 0 && section->target_us - section->contact_us >= REJOIN_GAP_US)
    {
      if (section->rejoin_us == 0 || section->rejoin_us < section->contact_us)
        section->rejoin_us = section->target_us;
      if (section->target_us - section->rejoin_us < REJOIN_US)
        return;
    }
  section->contact_us = section->target_us;
}

static void
run (void *context, TtBoard *board, int64_t now_us)
{
  TtConfigSection *section = &board->configuration;

  (void) context;
  poll_platform (board, now_us);
  fetch_documents (board, now_us);
  if (section->target_epoch != 0 && tt_config_has_target (section))
    {
      tt_config_raise (board, section->target_generation, section->target_epoch, now_us);
      confirm_contact (section);
    }
  if (section->behind_us != 0
      && !tt_member_newer (section->known_generation, section->known_epoch, section->generation,
                           section->epoch))
    section->behind_us = 0;
  tt_config_sync (board, now_us);
  if (!section->complete && is_complete (board, now_us))
    {
      section->complete = true;
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
