#include "tarragontrack/board/board.h"
#include "tarragontrack/control/acceptor.h"
#include "tarragontrack/control/config.h"
#include "tarragontrack/control/member.h"
#include <stdio.h>
#include <string.h>

/// Delay before a failed step is tried again. A call times out after 20 times this delay.
#define RETRY_US (500 * TT_MILLISECOND_US)

/// Starts a platform call of the acceptor and sets its step and timeout.
static void
start_call (TtBoard *board, TtAcceptStep step, TtPlatformOp op, const char *key, uint64_t version,
            int64_t now_us)
{
  TtAcceptorSection *section = &board->acceptor;

  section->step = step;
  section->call = tt_board_call_platform (board, op, key, version,
                                          op == TT_PLATFORM_PUT ? &section->object : NULL);
  section->next_try_us = now_us + 20 * RETRY_US;
}

/// Returns the oldest change that is not accepted; NULL if this daemon has no record of one.
static const TtConfigChange *
oldest_unaccepted_change (const TtBoard *board)
{
  const TtConfigSection *configuration = &board->team_config;
  const TtConfigChange *oldest = NULL;

  for (uint32_t i = 0; i < TT_CONFIG_MAX_CHANGES; i++)
    {
      const TtConfigChange *change = &configuration->changes[i];

      if (change->epoch > board->acceptor.accepted.epoch && change->epoch <= configuration->epoch
          && (oldest == NULL || change->epoch < oldest->epoch))
        oldest = change;
    }
  return oldest;
}

/// True if every failure domain with an entry host has the change in force, or may be excluded.
static bool
is_acceptable (TtBoard *board, const TtConfigChange *change, int64_t now_us)
{
  TtAcceptorSection *section = &board->acceptor;

  for (uint32_t d = 0; d < board->roster.domain_count; d++)
    {
      const TtRosterDomain *listed = &board->roster.domains[d];
      bool ready = listed->entry_hosts == 0;

      for (uint32_t i = 0; i < section->domain_count && !ready; i++)
        if (section->domains[i].id == listed->id)
          ready = tt_acceptor_domain_confirmed (&section->domains[i], board->team_config.generation,
                                                change->epoch)
                  || (change->team[0] != '\0'
                      && tt_acceptor_may_exclude_domain (board, &section->domains[i], change,
                                                         now_us));
      if (!ready)
        return false;
    }
  return board->roster.domain_count > 0;
}

/// Writes config/accepted for the change being accepted.
static void
write_accepted (TtBoard *board, uint64_t audit_number, int64_t now_us)
{
  TtAcceptorSection *section = &board->acceptor;

  memset (&section->object, 0, sizeof section->object);
  section->object.type = TT_OBJECT_ACCEPTED;
  section->object.accepted = (TtAcceptedObject){ .generation = board->team_config.generation,
                                                 .epoch = section->change.epoch,
                                                 .audit_number = audit_number };
  start_call (board, TT_ACCEPT_WRITE_ACCEPTED, TT_PLATFORM_PUT, "config/accepted",
              section->accepted_version, now_us);
}

/// Creates the audit entry of the change being accepted.
static void
write_audit_entry (TtBoard *board, int64_t now_us)
{
  TtAcceptorSection *section = &board->acceptor;
  TtAuditObject *entry = &section->object.audit;
  char key[TT_KEY_MAX];

  memset (&section->object, 0, sizeof section->object);
  section->object.type = TT_OBJECT_AUDIT;
  entry->number = section->accepted.audit_number + 1;
  if (entry->number > 1)
    entry->previous_hash = section->last_entry_hash;
  entry->generation = section->change.generation;
  entry->epoch = section->change.epoch;
  memcpy (entry->team, section->change.team, sizeof entry->team);
  memcpy (entry->author, section->change.author, sizeof entry->author);
  entry->document_hash = section->change.hash;
  entry->staged_s = section->change.staged_s;
  entry->accepted_s = board->wall_clock_s;
  for (uint32_t i = 0; i < section->domain_count; i++)
    {
      const TtAcceptorDomain *domain = &section->domains[i];
      TtAuditDomain *audit_domain = &entry->domains[entry->domain_count++];

      memcpy (audit_domain->name, domain->name, sizeof audit_domain->name);
      audit_domain->excluded = !tt_acceptor_domain_confirmed (domain, board->team_config.generation,
                                                              section->change.epoch);
      audit_domain->in_force_s = audit_domain->excluded ? 0 : domain->report.confirmed_s;
    }
  (void) snprintf (key, sizeof key, "audit/%llu", (unsigned long long) entry->number);
  start_call (board, TT_ACCEPT_WRITE_AUDIT, TT_PLATFORM_PUT, key, 0, now_us);
}

static void
read_audit_entry (TtBoard *board, TtAcceptStep step, uint64_t number, int64_t now_us)
{
  char key[TT_KEY_MAX];

  (void) snprintf (key, sizeof key, "audit/%llu", (unsigned long long) number);
  start_call (board, step, TT_PLATFORM_GET, key, 0, now_us);
}

/// Starts the acceptance of the oldest unaccepted change, if it is in force in all required failure
/// domains.
static void
start_acceptance (TtBoard *board, int64_t now_us)
{
  TtAcceptorSection *section = &board->acceptor;
  const TtConfigSection *configuration = &board->team_config;
  const TtConfigChange *change = oldest_unaccepted_change (board);
  // After a repair, or if a change was replaced before this daemon received it, the remaining
  // epochs have no change on record and get no audit entry.
  TtConfigChange remaining = { .generation = configuration->generation,
                               .epoch = configuration->epoch,
                               .received_us = now_us };

  if (change == NULL
      && tt_member_epoch_newer (configuration->generation, configuration->epoch,
                                section->accepted.generation, section->accepted.epoch)
      && configuration->epoch >= section->accepted.epoch)
    change = &remaining;
  if (change == NULL || !is_acceptable (board, change, now_us))
    return;
  section->change = *change;
  section->needs_audit_entry = change != &remaining && !change->rejected;
  if (!section->needs_audit_entry)
    write_accepted (board, section->accepted.audit_number, now_us);
  else if (section->accepted.audit_number > 0)
    read_audit_entry (board, TT_ACCEPT_READ_LAST_AUDIT, section->accepted.audit_number, now_us);
  else
    write_audit_entry (board, now_us);
}

/// Starts the write of the next document back to a restored store; after the last one, starts a
/// read of the head.
static void
continue_repair (TtBoard *board, int64_t now_us)
{
  TtAcceptorSection *section = &board->acceptor;
  TtConfigSection *configuration = &board->team_config;
  char key[TT_KEY_MAX];

  while (section->repair_slot_index < configuration->slot_count)
    {
      const TtDocumentSlot *slot = &configuration->slots[section->repair_slot_index];
      TtDocumentObject *object = &section->object.document;

      if (slot->document == NULL)
        {
          section->repair_slot_index++;
          continue;
        }
      memset (&section->object, 0, sizeof section->object);
      section->object.type = TT_OBJECT_DOCUMENT;
      (void) snprintf (object->team, sizeof object->team, "%s", slot->team);
      (void) snprintf (object->author, sizeof object->author, "%s", slot->author);
      object->staged_s = slot->staged_s;
      object->hash = slot->hash;
      object->text = slot->text;
      object->text_size = slot->text_size;
      object->document = slot->document;
      tt_config_document_key (&slot->hash, key);
      start_call (board, TT_ACCEPT_WRITE_DOCUMENT, TT_PLATFORM_PUT, key, 0, now_us);
      return;
    }
  start_call (board, TT_ACCEPT_READ_HEAD, TT_PLATFORM_GET, "config/head", 0, now_us);
}

/// Replaces the restored head by one of a higher generation. Changes that operators made in the
/// restored store are kept if their epoch is above the team's epoch in force here.
static void
write_head (TtBoard *board, const TtHeadObject *current, uint64_t version, int64_t now_us)
{
  TtAcceptorSection *section = &board->acceptor;
  const TtConfigSection *configuration = &board->team_config;
  TtHeadObject *head = &section->object.head;

  memset (&section->object, 0, sizeof section->object);
  section->object.type = TT_OBJECT_HEAD;
  if (current != NULL)
    *head = *current;
  if (configuration->generation > head->generation)
    head->generation = configuration->generation;
  head->generation++;
  if (configuration->epoch > head->epoch)
    head->epoch = configuration->epoch;
  for (uint32_t i = 0; i < configuration->slot_count; i++)
    {
      const TtDocumentSlot *slot = &configuration->slots[i];
      uint32_t t = 0;

      if (slot->document == NULL)
        continue;
      while (t < head->team_count && strcmp (head->teams[t].team, slot->team) != 0)
        t++;
      if (t == TT_MAX_TEAMS || (t < head->team_count && head->teams[t].epoch > slot->epoch))
        continue;
      if (t == head->team_count)
        head->team_count++;
      (void) snprintf (head->teams[t].team, sizeof head->teams[t].team, "%s", slot->team);
      head->teams[t].epoch = slot->epoch;
      head->teams[t].hash = slot->hash;
    }
  start_call (board, TT_ACCEPT_WRITE_HEAD, TT_PLATFORM_PUT, "config/head", version, now_us);
}

void
tt_acceptance_run (TtBoard *board, int64_t now_us)
{
  TtAcceptorSection *section = &board->acceptor;

  if (section->call != 0 && now_us >= section->next_try_us)
    {
      section->call = 0;
      section->accepted_known = false;
    }
  if (section->call != 0 || (section->step == TT_ACCEPT_IDLE && now_us < section->next_try_us))
    return;
  section->step = TT_ACCEPT_IDLE;
  if (board->team_config.store_restored)
    {
      section->repair_slot_index = 0;
      section->accepted_known = false;
      continue_repair (board, now_us);
    }
  else if (!section->accepted_known)
    start_call (board, TT_ACCEPT_READ_ACCEPTED, TT_PLATFORM_GET, "config/accepted", 0, now_us);
  else
    start_acceptance (board, now_us);
}

/// Processes config/accepted as read.
static void
handle_accepted_response (TtBoard *board, const TtPlatformEvent *response)
{
  TtAcceptorSection *section = &board->acceptor;

  if (response->code == TT_E_NOT_FOUND)
    section->accepted = (TtAcceptedObject){ 0 };
  else if (response->code == TT_OK && response->object != NULL
           && response->object->type == TT_OBJECT_ACCEPTED)
    section->accepted = response->object->accepted;
  else
    return;
  section->accepted_version = response->code == TT_OK ? response->version : 0;
  section->accepted_known = true;
  if (section->accepted.epoch > board->team_config.accepted_epoch)
    board->team_config.accepted_epoch = section->accepted.epoch;
}

/// Continues with an audit entry that exists already: this daemon wrote it but got no response, or
/// another acceptor wrote it and stopped before it wrote config/accepted.
static void
adopt_existing_entry (TtBoard *board, const TtPlatformEvent *response, int64_t now_us)
{
  TtAcceptorSection *section = &board->acceptor;
  const TtAuditObject *entry;

  if (response->code != TT_OK || response->object == NULL
      || response->object->type != TT_OBJECT_AUDIT)
    return;
  entry = &response->object->audit;
  section->change.epoch
      = entry->epoch > section->accepted.epoch ? entry->epoch : section->accepted.epoch;
  write_accepted (board, entry->number, now_us);
}

/// Updates the accepted epoch after the write of config/accepted, and logs the change.
static void
finish_acceptance (TtBoard *board, uint64_t version)
{
  TtAcceptorSection *section = &board->acceptor;

  section->accepted = section->object.accepted;
  section->accepted_version = version;
  if (section->accepted.epoch > board->team_config.accepted_epoch)
    board->team_config.accepted_epoch = section->accepted.epoch;
  board->dirty = true;
  tt_board_log (board, TT_LOG_CHANGE_ACCEPTED, "epoch=%llu generation=%llu team=%s audit=%llu",
                (unsigned long long) section->accepted.epoch,
                (unsigned long long) section->accepted.generation, section->change.team,
                (unsigned long long) section->accepted.audit_number);
}

/// Processes the response to a call of a repair.
static void
handle_repair_response (TtBoard *board, TtAcceptStep step, const TtPlatformEvent *response,
                        int64_t now_us)
{
  TtAcceptorSection *section = &board->acceptor;
  bool found = response->code == TT_OK && response->object != NULL
               && response->object->type == TT_OBJECT_HEAD;

  if (step == TT_ACCEPT_WRITE_DOCUMENT
      && (response->code == TT_OK || response->code == TT_E_CONFLICT))
    {
      // A conflict means that the same document is stored already: the key is the hash of the
      // content.
      section->repair_slot_index++;
      continue_repair (board, now_us);
    }
  else if (step == TT_ACCEPT_READ_HEAD && (found || response->code == TT_E_NOT_FOUND))
    {
      // If this head is stale, the write below fails with a version conflict. A head of a higher
      // generation means that the store is repaired already.
      if (!found || response->object->head.generation <= board->team_config.generation)
        write_head (board, found ? &response->object->head : NULL, found ? response->version : 0,
                    now_us);
    }
  else if (step == TT_ACCEPT_WRITE_HEAD)
    {
      // If the write failed, the next reads of the head detect the restored store again.
      board->team_config.store_restored = false;
      board->team_config.head_regressed_us = 0;
      board->team_config.next_poll_us = now_us;
    }
}

void
tt_acceptance_handle_response (TtBoard *board, const TtPlatformEvent *response, int64_t now_us)
{
  TtAcceptorSection *section = &board->acceptor;
  TtAcceptStep step = section->step;

  section->call = 0;
  section->step = TT_ACCEPT_IDLE;
  section->next_try_us = response->code == TT_OK ? now_us : now_us + RETRY_US;
  if (step == TT_ACCEPT_READ_ACCEPTED)
    {
      handle_accepted_response (board, response);
      section->next_try_us = section->accepted_known ? now_us : now_us + RETRY_US;
    }
  else if (step == TT_ACCEPT_READ_LAST_AUDIT && response->code == TT_OK && response->object != NULL
           && response->object->type == TT_OBJECT_AUDIT)
    {
      section->last_entry_hash = response->object->audit.hash;
      write_audit_entry (board, now_us);
    }
  else if (step == TT_ACCEPT_READ_LAST_AUDIT && response->code == TT_E_NOT_FOUND)
    {
      // A restored store lacks the entry: the audit trail continues, and its verification shows the
      // gap.
      memset (&section->last_entry_hash, 0, sizeof section->last_entry_hash);
      write_audit_entry (board, now_us);
    }
  else if (step == TT_ACCEPT_WRITE_AUDIT && response->code == TT_OK)
    write_accepted (board, section->accepted.audit_number + 1, now_us);
  else if (step == TT_ACCEPT_WRITE_AUDIT
           && (response->code == TT_E_CONFLICT || response->code == TT_E_TIMEOUT))
    read_audit_entry (board, TT_ACCEPT_READ_EXISTING_AUDIT, section->accepted.audit_number + 1,
                      now_us);
  else if (step == TT_ACCEPT_READ_EXISTING_AUDIT)
    adopt_existing_entry (board, response, now_us);
  else if (step == TT_ACCEPT_WRITE_ACCEPTED)
    {
      if (response->code == TT_OK)
        finish_acceptance (board, response->version);
      else
        section->accepted_known = false;
    }
  else
    handle_repair_response (board, step, response, now_us);
}
