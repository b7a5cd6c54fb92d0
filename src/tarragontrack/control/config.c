#include "tarragontrack/board/board.h"
#include "tarragontrack/control/controllers.h"
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define HEAD_KEY "config/head"
#define POLL_PERIOD_US (2 * TT_SECOND_US)

/// Frees the documents in force.
static void
close_documents (void *context, TtBoard *board)
{
  (void) context;
  for (uint32_t i = 0; i < board->configuration.slot_count; i++)
    {
      free (board->configuration.slots[i].document);
      free (board->configuration.slots[i].text);
    }
}

/// Slot of a team, or a new one; NULL if TT_MAX_TEAMS are in use.
static TtDocumentSlot *
slot_of (TtConfigSection *section, const char *team)
{
  TtDocumentSlot *slot;

  for (uint32_t i = 0; i < section->slot_count; i++)
    if (strcmp (section->slots[i].team, team) == 0)
      return &section->slots[i];
  if (section->slot_count == TT_MAX_TEAMS)
    return NULL;
  slot = &section->slots[section->slot_count++];
  (void) snprintf (slot->team, sizeof slot->team, "%s", team);
  return slot;
}

/// Reads the documents that the head names and this daemon does not have.
static void
fetch_documents (TtBoard *board, const TtHeadObject *head)
{
  TtConfigSection *section = &board->configuration;

  for (uint32_t i = 0; i < head->team_count; i++)
    {
      const TtHeadTeam *team = &head->teams[i];
      TtDocumentSlot *slot = slot_of (section, team->team);
      char key[TT_KEY_MAX];
      size_t length = 0;

      if (slot == NULL || slot->epoch >= team->epoch)
        continue;
      slot->wanted_epoch = team->epoch;
      length += (size_t) snprintf (key, sizeof key, "documents/");
      for (size_t b = 0; b < sizeof team->hash.bytes; b++)
        length
            += (size_t) snprintf (key + length, sizeof key - length, "%02x", team->hash.bytes[b]);
      (void) tt_board_call (board, TT_PLATFORM_GET, key, 0, NULL);
    }
}

/// Puts a document in force.
static void
apply_document (TtBoard *board, const TtDocumentObject *object)
{
  TtConfigSection *section = &board->configuration;
  TtDocumentSlot *slot = slot_of (section, object->team);
  TtDocument *document;

  if (slot == NULL || object->document == NULL)
    {
      tt_board_count (board, TT_COUNT_CONFIG_REFUSED, 1);
      tt_board_log (board, TT_LOG_DOCUMENT_REFUSED, "team=%s %s", object->team,
                    object->error.detail);
      return;
    }
  document = malloc (sizeof *document);
  if (document == NULL)
    return;
  *document = *object->document;
  free (slot->document);
  slot->document = document;
  slot->epoch = slot->wanted_epoch;
  slot->hash = object->hash;
  if (slot->epoch > section->epoch)
    section->epoch = slot->epoch;
  section->changed = true;
  section->complete = true;
  board->dirty = true;
  tt_board_count (board, TT_COUNT_CONFIG_APPLIED, 1);
  tt_board_log (board, TT_LOG_DOCUMENT_IN_FORCE, "team=%s epoch=%llu", object->team,
                (unsigned long long) slot->epoch);
}

static void
on_event (void *context, TtBoard *board, const TtEvent *event, int64_t now_us)
{
  (void) context;
  board->configuration.changed = false;
  if (event->type == TT_EVENT_TICK && now_us >= board->configuration.next_poll_us)
    {
      board->configuration.next_poll_us = now_us + POLL_PERIOD_US;
      (void) tt_board_call (board, TT_PLATFORM_GET, HEAD_KEY, 0, NULL);
    }
  if (event->type != TT_EVENT_PLATFORM || event->platform.object == NULL)
    return;
  if (event->platform.object->type == TT_OBJECT_HEAD)
    fetch_documents (board, &event->platform.object->head);
  else if (event->platform.object->type == TT_OBJECT_DOCUMENT)
    apply_document (board, &event->platform.object->document);
}

TtController
tt_config_controller (void)
{
  return (TtController){ .name = "config", .close = close_documents, .on_event = on_event };
}
