#include "tarragontrack/board/board.h"
#include "tarragontrack/control/config.h"
#include "tarragontrack/control/member.h"
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/// If reads return heads that lack changes in force here for this long, the store was restored. For
/// a shorter time they may come from a stale replica.
#define RESTORED_AFTER_US (3 * TT_SECOND_US)
/// Timeout of a document request to a peer, after which the request is sent again.
#define SYNC_TIMEOUT_US (400 * TT_MILLISECOND_US)
/// Requests without a response after which another peer is selected.
#define SYNC_MAX_ATTEMPTS 3

void
tt_config_document_key (const TtDigest *hash, char *key)
{
  size_t length = (size_t) snprintf (key, TT_KEY_MAX, "documents/");

  for (size_t b = 0; b < sizeof hash->bytes; b++)
    length += (size_t) snprintf (key + length, TT_KEY_MAX - length, "%02x", hash->bytes[b]);
}

TtDocumentSlot *
tt_config_find_or_add_slot (TtBoard *board, const char *team)
{
  TtConfigSection *section = &board->team_config;
  TtDocumentSlot *slot;

  for (uint32_t i = 0; i < section->slot_count; i++)
    if (strcmp (section->slots[i].team, team) == 0)
      return &section->slots[i];
  if (section->slot_count == TT_MAX_TEAMS)
    {
      tt_board_counter_add (board, TT_COUNT_POOL_FULL, 1);
      return NULL;
    }
  slot = &section->slots[section->slot_count++];
  memset (slot, 0, sizeof *slot);
  (void) snprintf (slot->team, sizeof slot->team, "%s", team);
  return slot;
}

/// Records a change for the audit trail.
static void
record_change (TtBoard *board, const TtConfigDocument *document, bool rejected, int64_t now_us)
{
  TtConfigSection *section = &board->team_config;
  TtConfigChange *change = &section->changes[section->next_change_index];

  section->next_change_index = (section->next_change_index + 1) % TT_CONFIG_MAX_CHANGES;
  *change = (TtConfigChange){ .generation = document->generation,
                              .epoch = document->epoch,
                              .staged_s = document->staged_s,
                              .hash = *document->hash,
                              .received_us = now_us,
                              .rejected = rejected };
  (void) snprintf (change->team, sizeof change->team, "%s", document->team);
  (void) snprintf (change->author, sizeof change->author, "%s", document->author);
}

/// Records since which epoch the team's documents have the detached mode "refuse". The acceptor may
/// exclude a failure domain without contact only if the document in force there has this mode.
static void
update_refuse_range (TtDocumentSlot *slot, const TtDocument *document, uint64_t epoch)
{
  if (document->detached != TT_DETACHED_REFUSE)
    {
      slot->refuse_from_epoch = 0;
      slot->refuse_after_s = 0;
      return;
    }
  if (slot->refuse_from_epoch == 0)
    slot->refuse_from_epoch = epoch;
  if (document->detach_after_s > slot->refuse_after_s)
    slot->refuse_after_s = document->detach_after_s;
}

/// Stores a copy of the document and its text in the slot.
static int
store_document (TtDocumentSlot *slot, const TtConfigDocument *source)
{
  TtDocument *document = malloc (sizeof *document);
  char *text = malloc ((size_t) source->text_size + 1);

  if (document == NULL || text == NULL)
    {
      free (document);
      free (text);
      return TT_E_NO_MEMORY;
    }
  *document = *source->document;
  if (source->text_size > 0)
    memcpy (text, source->text, source->text_size);
  text[source->text_size] = '\0';
  free (slot->old_document);
  free (slot->old_text);
  slot->old_document = slot->document;
  slot->old_text = slot->text;
  slot->document = document;
  slot->text = text;
  slot->text_size = source->text_size;
  slot->hash = *source->hash;
  slot->staged_s = source->staged_s;
  (void) snprintf (slot->author, sizeof slot->author, "%s", source->author);
  return TT_OK;
}

int
tt_config_apply (TtBoard *board, const TtConfigDocument *document, int64_t now_us)
{
  TtConfigSection *section = &board->team_config;
  TtDocumentSlot *slot = tt_config_find_or_add_slot (board, document->team);
  bool unchanged;
  int code;

  if (slot == NULL)
    return TT_E_LIMIT;
  if (!tt_member_epoch_newer (document->generation, document->epoch, slot->generation, slot->epoch))
    return TT_E_STALE;
  unchanged = slot->document != NULL && tt_digest_equal (&slot->hash, document->hash);
  if (document->document == NULL)
    {
      tt_board_counter_add (board, TT_COUNT_CONFIG_REFUSED, 1);
      tt_board_log (board, TT_LOG_DOCUMENT_REFUSED, "team=%s epoch=%llu %s", document->team,
                    (unsigned long long) document->epoch,
                    document->error != NULL ? document->error->detail : "");
    }
  else if (!unchanged)
    {
      code = store_document (slot, document);
      if (code < 0)
        return code;
      section->documents_changed = true;
      tt_board_counter_add (board, TT_COUNT_CONFIG_APPLIED, 1);
      tt_board_log (board, TT_LOG_DOCUMENT_IN_FORCE, "team=%s epoch=%llu", slot->team,
                    (unsigned long long) document->epoch);
    }
  slot->generation = document->generation;
  slot->epoch = document->epoch;
  slot->rejected = document->document == NULL;
  if (!slot->rejected)
    {
      slot->document_generation = document->generation;
      slot->document_epoch = document->epoch;
      update_refuse_range (slot, document->document, document->epoch);
    }
  record_change (board, document, slot->rejected, now_us);
  board->dirty = true;
  return TT_OK;
}

bool
tt_config_target_reached (const TtConfigSection *section)
{
  for (uint32_t i = 0; i < section->slot_count; i++)
    if (tt_member_epoch_newer (section->slots[i].wanted_generation, section->slots[i].wanted_epoch,
                               section->slots[i].generation, section->slots[i].epoch))
      return false;
  return true;
}

void
tt_config_advance_epoch (TtBoard *board, uint64_t generation, uint64_t epoch, int64_t now_us)
{
  TtConfigSection *section = &board->team_config;

  if (!tt_member_epoch_newer (generation, epoch, section->generation, section->epoch))
    return;
  if (generation > section->generation)
    section->generation_advanced_us = now_us;
  section->generation = generation;
  section->epoch = epoch;
  board->dirty = true;
}

void
tt_config_record_known_epoch (TtBoard *board, uint64_t generation, uint64_t epoch, int64_t now_us)
{
  TtConfigSection *section = &board->team_config;

  if (!tt_member_epoch_newer (generation, epoch, section->known_generation, section->known_epoch))
    return;
  section->known_generation = generation;
  section->known_epoch = epoch;
  if (section->behind_since_us == 0)
    section->behind_since_us = now_us;
}

/// True if the head lacks changes that are in force here: it is an older version, or it comes from
/// a restored store in which other changes were made since.
static bool
head_lacks_changes (TtBoard *board, const TtHeadObject *head)
{
  const TtConfigSection *section = &board->team_config;

  if (tt_member_epoch_newer (section->generation, section->epoch, head->generation, head->epoch))
    return true;
  if (head->generation != section->generation)
    return false;
  for (uint32_t i = 0; i < section->slot_count; i++)
    {
      const TtDocumentSlot *slot = &section->slots[i];
      bool found = slot->epoch == 0;

      for (uint32_t t = 0; t < head->team_count && t < TT_MAX_TEAMS && !found; t++)
        if (strcmp (head->teams[t].team, slot->team) == 0)
          found = head->teams[t].epoch > slot->epoch
                  || (head->teams[t].epoch == slot->epoch
                      && (slot->rejected || slot->document == NULL
                          || tt_digest_equal (&head->teams[t].hash, &slot->hash)));
      if (!found)
        return true;
    }
  return false;
}

/// Handles a head that lacks changes. A single one may come from a stale replica; the store counts
/// as restored only after RESTORED_AFTER_US.
static void
handle_regressed_head (TtBoard *board, const TtHeadObject *head, int64_t now_us)
{
  TtConfigSection *section = &board->team_config;

  if (section->head_regressed_us == 0)
    section->head_regressed_us = now_us;
  if (section->next_poll_us > now_us + RESTORED_AFTER_US / 2)
    section->next_poll_us = now_us + RESTORED_AFTER_US / 2;
  if (section->store_restored || now_us - section->head_regressed_us < RESTORED_AFTER_US)
    return;
  section->store_restored = true;
  tt_board_log (board, TT_LOG_STORE_RESTORED,
                "epoch=%llu in force, head at generation=%llu epoch=%llu",
                (unsigned long long) section->epoch, (unsigned long long) head->generation,
                (unsigned long long) head->epoch);
}

void
tt_config_handle_head (TtBoard *board, const TtHeadObject *head, int64_t started_us, int64_t now_us)
{
  TtConfigSection *section = &board->team_config;

  if (head_lacks_changes (board, head))
    {
      handle_regressed_head (board, head, now_us);
      return;
    }
  section->head_regressed_us = 0;
  section->store_restored = false;
  if (tt_member_epoch_newer (section->target_generation, section->target_epoch, head->generation,
                             head->epoch))
    return;
  tt_config_record_known_epoch (board, head->generation, head->epoch, now_us);
  section->target_generation = head->generation;
  section->target_epoch = head->epoch;
  if (started_us != 0)
    section->target_read_us = started_us;
  for (uint32_t t = 0; t < head->team_count && t < TT_MAX_TEAMS; t++)
    {
      const TtHeadTeam *team = &head->teams[t];
      TtDocumentSlot *slot = tt_config_find_or_add_slot (board, team->team);

      if (slot == NULL)
        continue;
      if (!tt_member_epoch_newer (head->generation, team->epoch, slot->generation, slot->epoch))
        continue;
      if (slot->epoch == team->epoch && slot->document != NULL
          && tt_digest_equal (&slot->hash, &team->hash))
        {
          slot->generation = head->generation;
          slot->document_generation = head->generation;
          slot->document_epoch = slot->epoch;
          continue;
        }
      if (slot->wanted_generation == head->generation && slot->wanted_epoch == team->epoch
          && tt_digest_equal (&slot->wanted_hash, &team->hash))
        continue;
      slot->wanted_generation = head->generation;
      slot->wanted_epoch = team->epoch;
      slot->wanted_hash = team->hash;
      slot->call = 0;
      slot->next_fetch_us = now_us;
    }
  board->dirty = true;
}

/// Responds to a document request with the document of the lowest epoch above the requested one. If
/// there is none, a message without a team states that all documents up to the epoch in force have
/// been sent.
static void
send_next_document (TtBoard *board, const TtPeerMessage *request)
{
  const TtConfigSection *section = &board->team_config;
  const TtMember *member = tt_member_find (board, request->sender_id);
  const TtDocumentSlot *next = NULL;
  TtPeerMessage *response;
  bool has_later_document = false;

  if (member == NULL || !section->synced)
    return;
  for (uint32_t i = 0; i < section->slot_count; i++)
    {
      const TtDocumentSlot *slot = &section->slots[i];

      has_later_document = has_later_document
                           || tt_member_epoch_newer (slot->generation, slot->epoch,
                                                     section->generation, section->epoch);
      // After a rejected change the document is sent under its own epoch: under the epoch of the
      // rejected change the receiver would treat it as the document that the head names.
      if (slot->document == NULL
          || !tt_member_epoch_newer (slot->document_generation, slot->document_epoch,
                                     request->document.generation, request->document.epoch))
        continue;
      if (next == NULL
          || tt_member_epoch_newer (next->document_generation, next->document_epoch,
                                    slot->document_generation, slot->document_epoch))
        next = slot;
    }
  // A slot already holds a document above the epoch in force, and may have held an earlier one that
  // was never sent. The message without a team would wrongly state that all were sent.
  if (next == NULL && has_later_document)
    return;
  response = tt_board_send_peer (board, member, TT_PEER_DOCUMENT);
  if (response == NULL)
    return;
  response->document.generation = next != NULL ? next->document_generation : section->generation;
  response->document.epoch = next != NULL ? next->document_epoch : section->epoch;
  if (next == NULL)
    return;
  (void) snprintf (response->document.team, sizeof response->document.team, "%s", next->team);
  (void) snprintf (response->document.author, sizeof response->document.author, "%s", next->author);
  response->document.staged_s = next->staged_s;
  response->document.hash = next->hash;
  response->document.text = next->text;
  response->document.text_size = next->text_size;
  response->document.document = next->document;
}

/// Requests the next document from the sync peer.
static void
request_next_document (TtBoard *board, const TtMember *member, int64_t now_us)
{
  TtConfigSection *section = &board->team_config;
  TtPeerMessage *message = tt_board_send_peer (board, member, TT_PEER_DOCUMENT_REQUEST);

  section->sync_request_us = now_us;
  if (message == NULL)
    return;
  message->document.generation = section->sync_generation;
  message->document.epoch = section->sync_epoch;
}

/// Processes a document received from a peer. Only responses of the sync peer advance the sync
/// position (sync_generation and sync_epoch): a document from another daemon may be newer than one
/// that this daemon has not received yet.
static void
handle_peer_document (TtBoard *board, const TtPeerMessage *message, int64_t now_us)
{
  TtConfigSection *section = &board->team_config;
  const TtPeerDocument *received = &message->document;
  const TtMember *member = tt_member_find (board, message->sender_id);
  TtConfigDocument document = { .team = received->team,
                                .author = received->author,
                                .staged_s = received->staged_s,
                                .generation = received->generation,
                                .epoch = received->epoch,
                                .hash = &received->hash,
                                .text = received->text,
                                .text_size = received->text_size,
                                .document = received->document,
                                .error = &received->error };
  bool from_sync_peer = section->sync_request_us != 0 && message->sender_id == section->sync_peer
                        && message->sender_incarnation == section->sync_incarnation;

  if (received->team[0] == '\0')
    {
      if (from_sync_peer
          && !tt_member_epoch_newer (section->sync_generation, section->sync_epoch,
                                     received->generation, received->epoch))
        {
          section->sync_request_us = 0;
          section->sync_peer = 0;
          tt_config_advance_epoch (board, received->generation, received->epoch, now_us);
        }
      return;
    }
  // A document that this version rejects is recorded only when read from the platform.
  if (received->document == NULL)
    return;
  tt_config_record_known_epoch (board, received->generation, received->epoch, now_us);
  if (tt_config_apply (board, &document, now_us) == TT_E_NO_MEMORY)
    return;
  if (!from_sync_peer
      || !tt_member_epoch_newer (received->generation, received->epoch, section->sync_generation,
                                 section->sync_epoch))
    return;
  section->sync_generation = received->generation;
  section->sync_epoch = received->epoch;
  section->sync_attempts = 0;
  if (member != NULL)
    request_next_document (board, member, now_us);
}

/// Processes the epochs advertised by gossip and selects a sync peer that has a newer one.
static void
handle_gossip_epochs (TtBoard *board, const TtPeerMessage *message, int64_t now_us)
{
  TtConfigSection *section = &board->team_config;

  section->gossip_received = section->gossip_received || message->gossip.member_count > 0;
  for (uint32_t i = 0; i < message->gossip.member_count && i < TT_PEER_MAX_MEMBERS; i++)
    {
      const TtMemberEntry *entry = &message->gossip.members[i];

      tt_config_record_known_epoch (board, entry->generation, entry->epoch, now_us);
      if (section->sync_peer == 0 && entry->id != board->member.self->entry.id
          && entry->state <= TT_MEMBER_SUSPECT
          && tt_member_epoch_newer (entry->generation, entry->epoch, section->generation,
                                    section->epoch))
        {
          section->sync_peer = entry->id;
          section->sync_incarnation = entry->incarnation;
          section->sync_generation = section->generation;
          section->sync_epoch = section->epoch;
          section->sync_request_us = 0;
          section->sync_attempts = 0;
        }
    }
}

void
tt_config_handle_peer_message (TtBoard *board, const TtPeerMessage *message, int64_t now_us)
{
  if (message->type == TT_PEER_GOSSIP)
    handle_gossip_epochs (board, message, now_us);
  else if (message->type == TT_PEER_DOCUMENT_REQUEST)
    send_next_document (board, message);
  else if (message->type == TT_PEER_DOCUMENT)
    handle_peer_document (board, message, now_us);
}

void
tt_config_sync (TtBoard *board, int64_t now_us)
{
  TtConfigSection *section = &board->team_config;
  const TtMember *member;

  if (section->sync_peer == 0)
    return;
  if (!tt_member_epoch_newer (section->known_generation, section->known_epoch, section->generation,
                              section->epoch))
    {
      section->sync_peer = 0;
      return;
    }
  if (section->sync_request_us != 0 && now_us - section->sync_request_us < SYNC_TIMEOUT_US)
    return;
  member = tt_member_find (board, section->sync_peer);
  if (member == NULL || section->sync_attempts == SYNC_MAX_ATTEMPTS)
    {
      // The next gossip message selects another peer.
      section->sync_peer = 0;
      return;
    }
  section->sync_attempts++;
  request_next_document (board, member, now_us);
}
