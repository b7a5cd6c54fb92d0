#include "tarragontrack/control/acceptor.h"
#include "tarragontrack/board/board.h"
#include "tarragontrack/board/hash.h"
#include "tarragontrack/control/controllers.h"
#include "tarragontrack/control/lease.h"
#include "tarragontrack/control/member.h"
#include <stdio.h>
#include <string.h>

/// Period of the heartbeat: a report without a new epoch, which shows that the failure domain has
/// platform contact.
#define HEARTBEAT_PERIOD_US (10 * TT_SECOND_US)
/// Minimum interval between two writes of the report.
#define REPORT_MIN_INTERVAL_US (200 * TT_MILLISECOND_US)
#define REPORT_RETRY_US (1 * TT_SECOND_US)
#define READ_PENDING_PERIOD_US (500 * TT_MILLISECOND_US)
#define READ_IDLE_PERIOD_US (5 * TT_SECOND_US)
#define CALL_TIMEOUT_US (10 * TT_SECOND_US)

/// Processes the response to the reporter's call.
static void
handle_report_response (TtBoard *board, const TtPlatformEvent *response, int64_t now_us)
{
  TtAcceptorSection *section = &board->acceptor;

  section->report_call = 0;
  section->next_report_us = now_us + REPORT_RETRY_US;
  if (section->report_is_write)
    {
      // Without a response it is unknown which report is stored; the next call reads it.
      section->report_known = response->code == TT_OK;
      if (response->code != TT_OK)
        return;
      section->report = section->report_object.domain;
      section->report_version = response->version;
      section->reported_us = now_us;
      section->next_report_us = now_us + REPORT_MIN_INTERVAL_US;
      return;
    }
  if (response->code == TT_E_NOT_FOUND)
    memset (&section->report, 0, sizeof section->report);
  else if (response->code == TT_OK && response->object != NULL
           && response->object->type == TT_OBJECT_DOMAIN)
    section->report = response->object->domain;
  else
    return;
  section->report_known = true;
  section->report_version = response->code == TT_OK ? response->version : 0;
  section->next_report_us = now_us;
}

/// Writes the failure domain's report when its epoch advances, and as a heartbeat.
static void
write_report (TtBoard *board, int64_t now_us)
{
  TtAcceptorSection *section = &board->acceptor;
  const TtMemberSection *members = &board->member;
  TtDomainObject *object = &section->report_object.domain;
  char key[TT_KEY_MAX];
  bool advanced;

  if (section->report_call != 0 || now_us < section->next_report_us)
    return;
  (void) snprintf (key, sizeof key, "domains/%s", board->config.domain);
  if (!section->report_known)
    {
      section->report_is_write = false;
      section->report_call = tt_board_call_platform (board, TT_PLATFORM_GET, key, 0, NULL);
      return;
    }
  // A listed daemon whose state has not been received may serve with an older document, so the
  // reported epoch does not advance. An epoch reported earlier remains valid, because no daemon
  // reverts to an older document.
  advanced = members->all_listed_live
             && tt_member_epoch_newer (members->lowest_generation, members->lowest_epoch,
                                       section->report.generation, section->report.epoch);
  if (!advanced && now_us - section->reported_us < HEARTBEAT_PERIOD_US)
    return;
  memset (&section->report_object, 0, sizeof section->report_object);
  section->report_object.type = TT_OBJECT_DOMAIN;
  *object = section->report;
  memcpy (object->domain, board->config.domain, sizeof object->domain);
  object->reporter_id = members->self->entry.id;
  object->members = members->live_in_domain;
  object->report_number++;
  if (advanced)
    {
      object->generation = members->lowest_generation;
      object->epoch = members->lowest_epoch;
      object->confirmed_s = board->wall_clock_s;
    }
  section->report_is_write = true;
  section->report_call = tt_board_call_platform (board, TT_PLATFORM_PUT, key,
                                                 section->report_version, &section->report_object);
}

/// Returns the acceptor's record of a failure domain, adding it if necessary; NULL if
/// TT_MAX_DOMAINS are in use.
static TtAcceptorDomain *
find_or_add_domain (TtAcceptorSection *section, const TtRosterDomain *listed)
{
  TtAcceptorDomain *domain;

  for (uint32_t i = 0; i < section->domain_count; i++)
    if (section->domains[i].id == listed->id)
      return &section->domains[i];
  if (section->domain_count == TT_MAX_DOMAINS)
    return NULL;
  domain = &section->domains[section->domain_count++];
  memset (domain, 0, sizeof *domain);
  domain->id = listed->id;
  memcpy (domain->name, listed->name, sizeof domain->name);
  return domain;
}

bool
tt_acceptor_domain_confirmed (const TtAcceptorDomain *domain, uint64_t generation, uint64_t epoch)
{
  return domain->has_report
         && !tt_member_epoch_newer (generation, epoch, domain->report.generation,
                                    domain->report.epoch);
}

bool
tt_acceptor_may_exclude_domain (TtBoard *board, const TtAcceptorDomain *domain,
                                const TtConfigChange *change, int64_t now_us)
{
  const TtConfigSection *configuration = &board->team_config;

  // The store was restored or may have been: daemons of the failure domain may have read its old
  // head and confirmed their platform contact by it.
  if (configuration->head_regressed_us != 0 || configuration->store_restored)
    return false;
  for (uint32_t i = 0; i < configuration->slot_count; i++)
    {
      const TtDocumentSlot *slot = &configuration->slots[i];
      int64_t detach_us = slot->refuse_after_s * TT_SECOND_US;

      if (strcmp (slot->team, change->team) != 0)
        continue;
      // The domain's daemons apply the document in force there, which must have the detached mode
      // "refuse" too. They lost contact before they could receive the change, and reject requests
      // at most detach_us after the loss; the change is accepted after twice that time.
      return domain->has_report && slot->refuse_from_epoch != 0
             && domain->report.epoch >= slot->refuse_from_epoch
             && now_us - change->received_us >= 2 * detach_us
             && now_us - domain->report_observed_us >= 2 * detach_us
             && now_us - configuration->generation_advanced_us >= 2 * detach_us
             && now_us - configuration->contact_confirmed_us < detach_us;
    }
  return false;
}

/// Reads the reports of the failure domains that have entry hosts.
static void
read_reports (TtBoard *board, int64_t now_us)
{
  TtAcceptorSection *section = &board->acceptor;
  const TtConfigSection *configuration = &board->team_config;
  bool pending = !section->accepted_known || section->accepted.epoch != configuration->epoch
                 || section->accepted.generation != configuration->generation;

  // A pending change shortens the wait to READ_PENDING_PERIOD_US.
  if (now_us < section->next_read_us
      && !(pending && section->next_read_us - now_us > READ_PENDING_PERIOD_US))
    return;
  section->next_read_us = now_us + (pending ? READ_PENDING_PERIOD_US : READ_IDLE_PERIOD_US);
  for (uint32_t i = 0; i < board->roster.domain_count; i++)
    {
      TtAcceptorDomain *domain = find_or_add_domain (section, &board->roster.domains[i]);
      char key[TT_KEY_MAX];

      if (domain == NULL || board->roster.domains[i].entry_hosts == 0)
        continue;
      if (domain->call != 0 && now_us - domain->read_start_us < CALL_TIMEOUT_US)
        continue;
      if (tt_acceptor_domain_confirmed (domain, configuration->generation, configuration->epoch)
          && now_us - domain->read_start_us < READ_IDLE_PERIOD_US)
        continue;
      (void) snprintf (key, sizeof key, "domains/%s", domain->name);
      domain->call = tt_board_call_platform (board, TT_PLATFORM_GET, key, 0, NULL);
      domain->read_start_us = now_us;
    }
}

static void
handle_domain_response (TtAcceptorDomain *domain, const TtPlatformEvent *response, int64_t now_us)
{
  domain->call = 0;
  if (response->code != TT_OK || response->object == NULL
      || response->object->type != TT_OBJECT_DOMAIN)
    return;
  if (!domain->has_report || domain->report.report_number != response->object->domain.report_number)
    domain->report_observed_us = now_us;
  domain->has_report = true;
  domain->report = response->object->domain;
}

static void
on_event (void *context, TtBoard *board, const TtEvent *event, int64_t now_us)
{
  TtAcceptorSection *section = &board->acceptor;
  uint64_t call_id = event->platform.call_id;

  (void) context;
  if (event->type != TT_EVENT_PLATFORM_RESPONSE)
    return;
  if (section->report_call != 0 && call_id == section->report_call)
    handle_report_response (board, &event->platform, now_us);
  else if (section->call != 0 && call_id == section->call)
    {
      // The lease may have expired during a pause; run() then abandons the acceptance.
      if (tt_lease_held (tt_lease_find (board, TT_ACCEPTOR_ROLE), now_us))
        tt_acceptance_handle_response (board, &event->platform, now_us);
    }
  else
    for (uint32_t i = 0; i < section->domain_count; i++)
      if (section->domains[i].call != 0 && section->domains[i].call == call_id)
        handle_domain_response (&section->domains[i], &event->platform, now_us);
}

static void
run (void *context, TtBoard *board, int64_t now_us)
{
  bool is_reporter = board->member.rank == 0 && board->team_config.synced
                     && board->drain.state == TT_DRAIN_SERVING;
  const TtLease *lease = tt_lease_set_candidate (board, TT_ACCEPTOR_ROLE, is_reporter);

  (void) context;
  if (is_reporter)
    write_report (board, now_us);
  else
    board->acceptor.report_known = false;
  if (!tt_lease_held (lease, now_us))
    {
      // Another acceptor may write config/accepted until this daemon holds the lease again.
      board->acceptor.accepted_known = false;
      board->acceptor.step = TT_ACCEPT_IDLE;
      board->acceptor.call = 0;
      return;
    }
  read_reports (board, now_us);
  tt_acceptance_run (board, now_us);
}

TtController
tt_acceptor_controller (void)
{
  return (TtController){ .name = "acceptor", .on_event = on_event, .run = run };
}
