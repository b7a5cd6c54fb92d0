#include "tarragontrack/control/evidence.h"
#include "tarragontrack/board/board.h"
#include "tarragontrack/control/controllers.h"

/// The wait for lapsed entries ends this long before the settling time does, which leaves time for
/// a request that is in flight at that moment.
#define SETTLE_MARGIN_US (100 * TT_MILLISECOND_US)

/// Report intervals after the last steady service within which no entry lapses.
#define INTERVALS_WITHOUT_LAPSE 2

/// Parts of the time for a change: until a copy is confirmed, and until a missing answer to that
/// makes way for another reader. The rest is for that reader's start and its lists.
#define CONFIRM_DIVISOR 3
#define CONFIRM_DELAY_DIVISOR 8 ///< for those that wait for another daemon's statement
#define ANSWER_DIVISOR 4

/// Bits of a fencing token that number the acquisitions of one era.
#define FENCING_BITS 32

static int
compare (uint64_t first, uint64_t second)
{
  return first < second ? -1 : first > second;
}

int
tt_evidence_compare (TtStorePoint first, TtStorePoint second)
{
  return first.era != second.era ? compare (first.era, second.era)
                                 : compare (first.revision, second.revision);
}

TtEraVerdict
tt_evidence_check_era (TtBoard *board, uint64_t era, int64_t now_us)
{
  TtEvidenceSection *section = &board->evidence;
  bool first = section->own_served_us == 0;

  if (era == section->era)
    return TT_ERA_CURRENT;
  if (era < section->era)
    return TT_ERA_OLD;
  // A daemon that has adopted another one's copy of this era has waited for missing entries.
  if (!first && era > board->registry.point.era)
    {
      tt_board_counter_add (board, TT_COUNT_STORE_ERAS, 1);
      tt_board_log (board, TT_LOG_STORE_ERA, "era=%llu before=%llu servers_revision=%llu",
                    (unsigned long long) era, (unsigned long long) section->era,
                    (unsigned long long) board->registry.point.revision);
      // What was registered since the copy was taken is missing until it is registered again.
      section->era_changed_us = section->own_since_us = section->since_us = now_us;
      section->steady_us = 0;
    }
  section->era = era;
  section->era_since_us = now_us;
  return first ? TT_ERA_CURRENT : TT_ERA_NEW;
}

bool
tt_evidence_is_of_current_era (const TtBoard *board, const TtPlatformEvent *event)
{
  return event->era == board->evidence.era;
}

int64_t
tt_evidence_era_age_us (const TtBoard *board, int64_t now_us)
{
  return board->evidence.era != 0 ? now_us - board->evidence.era_since_us : INT64_MAX;
}

uint64_t
tt_evidence_fencing_floor (const TtBoard *board)
{
  return board->evidence.era << FENCING_BITS;
}

static int64_t
report_us (const TtBoard *board)
{
  return board->config.bounds.report_ms * TT_MILLISECOND_US;
}

/// Records that the store served a daemon from @since_us to @served_us.
static void
add_service (TtBoard *board, int64_t since_us, int64_t served_us)
{
  TtEvidenceSection *section = &board->evidence;

  if (served_us <= section->served_us)
    return;
  if (since_us > section->served_us || since_us < section->since_us)
    section->since_us = since_us;
  section->served_us = served_us;
  if (served_us - section->since_us >= report_us (board))
    section->steady_us = served_us;
}

void
tt_evidence_add_answer (TtBoard *board, int64_t started_us)
{
  TtEvidenceSection *section = &board->evidence;

  if (started_us <= section->own_served_us)
    return;
  if (section->own_served_us == 0 || section->failed_us > section->own_served_us)
    section->own_since_us = started_us;
  section->own_served_us = started_us;
  add_service (board, section->own_since_us, started_us);
}

void
tt_evidence_add_report (TtBoard *board, const TtConfirmation *confirmation, int64_t now_us)
{
  TtEvidenceSection *section = &board->evidence;
  uint64_t version = board->routes.table != NULL ? board->routes.table->version : 0;
  TtStorePoint servers
      = { .era = section->era, .revision = board->feed.streams[TT_STORE_SERVERS].revision };
  int64_t confirmed_us = now_us - confirmation->ms_ago * TT_MILLISECOND_US;

  if (confirmation->ms_ago == TT_NEVER_CONFIRMED || confirmation->servers.era != section->era)
    return;
  add_service (board, confirmed_us - confirmation->served_ms * TT_MILLISECOND_US, confirmed_us);
  if (version >= confirmation->table_version
      && confirmed_us > section->reported_us[TT_STORE_CONFIG])
    section->reported_us[TT_STORE_CONFIG] = confirmed_us;
  if (tt_evidence_compare (servers, confirmation->servers) >= 0
      && confirmed_us > section->reported_us[TT_STORE_SERVERS])
    section->reported_us[TT_STORE_SERVERS] = confirmed_us;
}

static uint32_t
duration_ms (int64_t from_us, int64_t to_us)
{
  int64_t ms = (to_us - from_us) / TT_MILLISECOND_US;

  return ms <= 0 ? 0 : ms < TT_NEVER_CONFIRMED ? (uint32_t) ms : TT_NEVER_CONFIRMED;
}

TtConfirmation
tt_evidence_confirmation (const TtBoard *board, int64_t now_us)
{
  const TtFeedStream *config = &board->feed.streams[TT_STORE_CONFIG];
  const TtFeedStream *servers = &board->feed.streams[TT_STORE_SERVERS];
  int64_t confirmed_us
      = config->confirmed_us < servers->confirmed_us ? config->confirmed_us : servers->confirmed_us;

  if (!board->reader.reads_store || confirmed_us == 0 || servers->revision == 0)
    return (TtConfirmation){ .ms_ago = TT_NEVER_CONFIRMED };
  return (TtConfirmation){
    .table_version = board->routes.table != NULL ? board->routes.table->version : 0,
    .servers = { .era = board->evidence.era, .revision = servers->revision },
    .ms_ago = duration_ms (confirmed_us, now_us),
    .served_ms = duration_ms (board->evidence.own_since_us, confirmed_us),
  };
}

void
tt_evidence_add_failure (TtBoard *board, int64_t started_us, bool cut, int64_t now_us)
{
  TtEvidenceSection *section = &board->evidence;

  if (cut && now_us - section->served_us < report_us (board))
    return;
  if (started_us > section->failed_us)
    section->failed_us = started_us;
}

int64_t
tt_evidence_lapse_end_us (const TtBoard *board, int64_t now_us)
{
  const TtEvidenceSection *section = &board->evidence;
  int64_t wait_us = board->config.bounds.settle_ms * TT_MILLISECOND_US - SETTLE_MARGIN_US;
  int64_t disturbed_us
      = section->failed_us > section->era_changed_us ? section->failed_us : section->era_changed_us;

  if (section->steady_us != 0
      && now_us - section->steady_us < INTERVALS_WITHOUT_LAPSE * report_us (board))
    return 0;
  // Until the store serves again, the wait has not begun.
  if (section->failed_us > section->served_us)
    disturbed_us = now_us;
  return disturbed_us != 0 && disturbed_us + wait_us > now_us ? disturbed_us + wait_us : 0;
}

int64_t
tt_evidence_change_limit_us (const TtBoard *board)
{
  const TtBounds *bounds = &board->config.bounds;
  uint32_t limit_ms = bounds->leaving_ms;

  if (bounds->config_ms != 0 && bounds->config_ms < limit_ms)
    limit_ms = bounds->config_ms;
  return limit_ms * TT_MILLISECOND_US;
}

int64_t
tt_evidence_confirmed_us (const TtBoard *board, TtStoreKind kind)
{
  int64_t own_us = board->feed.streams[kind].confirmed_us;
  int64_t reported_us = board->evidence.reported_us[kind];

  return own_us > reported_us ? own_us : reported_us;
}

bool
tt_evidence_confirms_first (const TtBoard *board)
{
  uint64_t own_id = tt_hash_string (board->config.name);

  TT_LIST_FOREACH (&board->fleet.daemons, it)
    {
      const TtDaemon *daemon = TT_CONTAINER_OF (it, TtDaemon, link);

      if (daemon->alive && daemon->reads_store && daemon->id < own_id)
        return false;
    }
  return board->reader.reads_store;
}

bool
tt_evidence_needs_confirmation (const TtBoard *board, TtStoreKind kind, int64_t now_us)
{
  int64_t limit_us = tt_evidence_change_limit_us (board);
  int64_t overdue_us = now_us - tt_evidence_confirmed_us (board, kind) - limit_us / CONFIRM_DIVISOR;

  // The loop over all daemons is too costly for each event.
  return overdue_us >= 0
         && (overdue_us >= limit_us / CONFIRM_DELAY_DIVISOR || tt_evidence_confirms_first (board));
}

bool
tt_evidence_is_unconfirmed (const TtBoard *board, const TtFeedStream *stream, int64_t now_us)
{
  int64_t answer_us = tt_evidence_change_limit_us (board) / ANSWER_DIVISOR;

  return (stream->confirm_call_id != 0 && now_us - stream->confirm_started_us >= answer_us)
         || (stream->call_id != 0 && !stream->watch_waits
             && now_us - stream->call_started_us >= answer_us);
}

/// Judges the eras of answers where no `feed` does. The controllers after this one compare the era
/// of an answer with the one recorded here.
static void
on_event (void *context, TtBoard *board, const TtEvent *event, int64_t now_us)
{
  int code = event->platform.code;

  (void) context;
  if (event->type != TT_EVENT_PLATFORM_RESPONSE
      || (code != TT_OK && code != TT_E_NOT_FOUND && code != TT_E_CONFLICT))
    return;
  if (tt_evidence_check_era (board, event->platform.era, now_us) != TT_ERA_OLD)
    tt_evidence_add_answer (board, now_us);
}

TtController
tt_evidence_controller (void)
{
  return (TtController){ .name = "evidence", .on_event = on_event };
}
