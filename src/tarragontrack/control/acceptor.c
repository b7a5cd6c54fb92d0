#include "tarragontrack/control/acceptor.h"
#include "tarragontrack/board/board.h"
#include "tarragontrack/board/hash.h"
#include "tarragontrack/control/controllers.h"
#include "tarragontrack/control/lease.h"
#include "tarragontrack/control/member.h"
#include <stdio.h>
#include <string.h>

/// A report without news, which shows that the failure domain is in contact.
#define REPORT_PERIOD_US (10 * TT_SECOND_US)
/// Shortest time between two reports.
#define REPORT_GAP_US (200 * TT_MILLISECOND_US)
#define REPORT_RETRY_US (1 * TT_SECOND_US)
#define READ_BUSY_US (500 * TT_MILLISECOND_US)
#define READ_IDLE_US (5 * TT_SECOND_US)
#define CALL_LIMIT_US (10 * TT_SECOND_US)

/// Takes in the answer to the reporter's call.
static void
take_report_answer (TtBoard *board, const TtPlatformEvent *answer, int64_t now_us)
{
  TtAcceptorSection *section = &board->acceptor;

  section->report_call = 0;
  section->next_report_us = now_us + REPORT_RETRY_US;
  if (section->report_is_write)
    {
      // Without an answer it is not known which report is stored; the next call reads it.
      section->report_known = answer->code == TT_OK;
      if (answer->code != TT_OK)
        return;
      section->report = section->report_object.domain;
      section->report_version = answer->version;
      section->reported_us = now_us;
      section->next_report_us = now_us + REPORT_GAP_US;
      return;
    }
  if (answer->code == TT_E_NOT_FOUND)
    memset (&section->report, 0, sizeof section->report);
  else if (answer->code == TT_OK && answer->object != NULL
           && answer->object->type == TT_OBJECT_DOMAIN)
    section->report = answer->object->domain;
  else
    return;
  section->report_known = true;
  section->report_version = answer->code == TT_OK ? answer->version : 0;
  section->next_report_us = now_us;
}

/// Writes the failure domain's report on change and as a heartbeat.
static void
report (TtBoard *board, int64_t now_us)
{
  TtAcceptorSection *section = &board->acceptor;
  const TtMemberSection *members = &board->member;
  TtDomainObject *object = &section->report_object.domain;
  char key[TT_KEY_MAX];
  bool rose;

  if (section->report_call != 0 || now_us < section->next_report_us)
    return;
  (void) snprintf (key, sizeof key, "domains/%s", board->config.domain);
  if (!section->report_known)
    {
      section->report_is_write = false;
      section->report_call = tt_board_call (board, TT_PLATFORM_GET, key, 0, NULL);
      return;
    }
  // A listed daemon that was not heard of may serve with an older document. What was confirmed
  // before stays true, because no router reverts.
  rose = members->all_heard
         && tt_member_newer (members->lowest_generation, members->lowest_epoch,
                             section->report.generation, section->report.epoch);
  if (!rose && now_us - section->reported_us < REPORT_PERIOD_US)
    return;
  memset (&section->report_object, 0, sizeof section->report_object);
  section->report_object.type = TT_OBJECT_DOMAIN;
  *object = section->report;
  memcpy (object->domain, board->config.domain, sizeof object->domain);
  object->reporter_id = members->self->entry.id;
  object->members = members->live_in_domain;
  object->report_number++;
  if (rose)
    {
      object->generation = members->lowest_generation;
      object->epoch = members->lowest_epoch;
      object->confirmed_s = board->wall_s;
    }
  section->report_is_write = true;
  section->report_call = tt_board_call (board, TT_PLATFORM_PUT, key, section->report_version,
                                        &section->report_object);
}

/// The acceptor's record of a failure domain; NULL if TT_MAX_DOMAINS are in use.
static TtAcceptorDomain *
domain_of (TtAcceptorSection *section, const TtRosterDomain *from)
{
  TtAcceptorDomain *domain;

  for (uint32_t i = 0; i < section->domain_count; i++)
    if (section->domains[i].id == from->id)
      return &section->domains[i];
  if (section->domain_count == TT_MAX_DOMAINS)
    return NULL;
  domain = &section->domains[section->domain_count++];
  memset (domain, 0, sizeof *domain);
  domain->id = from->id;
  memcpy (domain->name, from->name, sizeof domain->name);
  return domain;
}

bool
tt_acceptor_confirmed (const TtAcceptorDomain *domain, uint64_t generation, uint64_t epoch)
{
  return domain->known
         && !tt_member_newer (generation, epoch, domain->report.generation, domain->report.epoch);
}

bool
tt_acceptor_excluded (TtBoard *board, const TtAcceptorDomain *domain, const TtConfigChange *change,
                      int64_t now_us)
{
  const TtConfigSection *configuration = &board->configuration;

  // In a restored store, routers of the failure domain may have taken an old head for contact.
  if (configuration->low_head_us != 0 || configuration->restored)
    return false;
  for (uint32_t i = 0; i < configuration->slot_count; i++)
    {
      const TtDocumentSlot *slot = &configuration->slots[i];
      int64_t detach_us = slot->refuse_after_s * TT_SECOND_US;

      if (strcmp (slot->team, change->team) != 0)
        continue;
      // Its routers follow the document in force there, which must say "refuse" too. They lost
      // contact before they could learn of the change, and refuse after half of this time.
      return domain->known && slot->refuse_from_epoch != 0
             && domain->report.epoch >= slot->refuse_from_epoch
             && now_us - change->known_us >= 2 * detach_us
             && now_us - domain->report_us >= 2 * detach_us
             && now_us - configuration->generation_us >= 2 * detach_us
             && now_us - configuration->contact_us < detach_us;
    }
  return false;
}

/// Reads the reports of the failure domains that have entry hosts.
static void
read_reports (TtBoard *board, int64_t now_us)
{
  TtAcceptorSection *section = &board->acceptor;
  const TtConfigSection *configuration = &board->configuration;
  bool busy = !section->accepted_known || section->accepted.epoch != configuration->epoch
              || section->accepted.generation != configuration->generation;

  // A change ends the slow period.
  if (now_us < section->next_read_us && !(busy && section->next_read_us - now_us > READ_BUSY_US))
    return;
  section->next_read_us = now_us + (busy ? READ_BUSY_US : READ_IDLE_US);
  for (uint32_t i = 0; i < board->roster.domain_count; i++)
    {
      TtAcceptorDomain *domain = domain_of (section, &board->roster.domains[i]);
      char key[TT_KEY_MAX];

      if (domain == NULL || board->roster.domains[i].entry_hosts == 0)
        continue;
      if (domain->call != 0 && now_us - domain->read_us < CALL_LIMIT_US)
        continue;
      if (tt_acceptor_confirmed (domain, configuration->generation, configuration->epoch)
          && now_us - domain->read_us < READ_IDLE_US)
        continue;
      (void) snprintf (key, sizeof key, "domains/%s", domain->name);
      domain->call = tt_board_call (board, TT_PLATFORM_GET, key, 0, NULL);
      domain->read_us = now_us;
    }
}

static void
take_domain (TtAcceptorDomain *domain, const TtPlatformEvent *answer, int64_t now_us)
{
  domain->call = 0;
  if (answer->code != TT_OK || answer->object == NULL || answer->object->type != TT_OBJECT_DOMAIN)
    return;
  if (!domain->known || domain->report.report_number != answer->object->domain.report_number)
    domain->report_us = now_us;
  domain->known = true;
  domain->report = answer->object->domain;
}

static void
on_event (void *context, TtBoard *board, const TtEvent *event, int64_t now_us)
{
  TtAcceptorSection *section = &board->acceptor;
  uint64_t call_id = event->platform.call_id;

  (void) context;
  if (event->type != TT_EVENT_PLATFORM)
    return;
  if (section->report_call != 0 && call_id == section->report_call)
    take_report_answer (board, &event->platform, now_us);
  else if (section->call != 0 && call_id == section->call)
    {
      // After a pause the lease may have expired; run() then drops what was begun.
      if (tt_lease_held (tt_lease_find (board, TT_ACCEPTOR_ROLE), now_us))
        tt_audit_answer (board, &event->platform, now_us);
    }
  else
    for (uint32_t i = 0; i < section->domain_count; i++)
      if (section->domains[i].call != 0 && section->domains[i].call == call_id)
        take_domain (&section->domains[i], &event->platform, now_us);
}

static void
run (void *context, TtBoard *board, int64_t now_us)
{
  bool first = board->member.rank == 0 && board->configuration.complete
               && board->drain.state == TT_DRAIN_SERVING;
  const TtLease *lease = tt_lease_want (board, TT_ACCEPTOR_ROLE, first);

  (void) context;
  if (first)
    report (board, now_us);
  else
    board->acceptor.report_known = false;
  if (!tt_lease_held (lease, now_us))
    {
      // Another acceptor may write in between.
      board->acceptor.accepted_known = false;
      board->acceptor.step = TT_ACCEPT_IDLE;
      board->acceptor.call = 0;
      return;
    }
  read_reports (board, now_us);
  tt_audit_run (board, now_us);
}

TtController
tt_acceptor_controller (void)
{
  return (TtController){ .name = "acceptor", .on_event = on_event, .run = run };
}
