/// Load pattern: many daemons choose among the same backend servers. Status messages to every other
/// daemon are bounded in rate, so that the loads in them age with the fleet: 2.2 s with 117
/// daemons, in which a plain request is done seventy times over.
///
/// In a large fleet the reader of each failure domain also collects loads: its daemons report to
/// it, and it sends each of them the sums over all others, and its domain's sums to the collectors
/// of other domains. A load is then at most three periods old, whatever the size of the fleet, and
/// a daemon sends one report and receives one message a period. A daemon without a collector uses
/// the status messages, which go on; nothing depends on there being exactly one collector.
#include "tarragontrack/control/fleet_loads.h"
#include "tarragontrack/board/backend.h"
#include "tarragontrack/board/board.h"
#include "tarragontrack/control/evidence.h"
#include "tarragontrack/control/fleet.h"
#include "tarragontrack/control/prefix_table.h"
#include "tarragontrack/control/reader.h"
#include <stdlib.h>
#include <string.h>

/// Messages that a load passes through by way of collectors: report, sums of a domain, sums of all.
#define COLLECTED_HOPS 3
/// Daemons of a failure domain up to which a collector sends sums in each period. In a larger
/// domain the period grows in proportion, so that the bytes that a collector sends stay bounded.
#define DOMAIN_DAEMONS 24
/// Sums that were not renewed within this time are not used.
#define SUMS_TIMEOUT_US TT_SECOND_US

static uint32_t
subtract (uint32_t from, uint32_t value)
{
  return from > value ? from - value : 0;
}

/// Includes the loads of a report in the sums of TtFleetBackend, or takes them out.
static void
set_counted (TtBoard *board, TtLoadReport *report, bool counted)
{
  if (report->counted == counted)
    return;
  report->counted = counted;
  for (uint32_t i = 0; i < report->count; i++)
    {
      const TtStatusLoad *load = &report->loads[i];
      TtBackendServer *backend = tt_backend_find (board, load->backend_id);
      TtFleetBackend *fleet;
      uint32_t running = report->own_domain ? load->running : 0;
      uint32_t avoiding = report->own_domain ? load->avoiding : 0;

      if (backend == NULL)
        continue;
      fleet = &backend->fleet;
      if (counted)
        {
          fleet->peer_requests += load->running;
          fleet->peers_avoiding += load->avoiding;
          fleet->domain_requests += running;
          fleet->domain_avoiding += avoiding;
          continue;
        }
      fleet->peer_requests = subtract (fleet->peer_requests, load->running);
      fleet->peers_avoiding = subtract (fleet->peers_avoiding, load->avoiding);
      fleet->domain_requests = subtract (fleet->domain_requests, running);
      fleet->domain_avoiding = subtract (fleet->domain_avoiding, avoiding);
    }
}

void
tt_fleet_loads_store (TtBoard *board, TtLoadReport *report, const TtStatusLoad *loads,
                      uint32_t count)
{
  bool counted = report->counted;

  set_counted (board, report, false);
  report->count = count;
  memcpy (report->loads, loads, count * sizeof *loads);
  set_counted (board, report, counted);
}

/// True if the daemon is the collector whose sums of its failure domain are used. Of two, which
/// read the store at the same time for a moment, it is the one with the lower id.
static bool
is_sums_source (const TtBoard *board, const TtDaemon *daemon, int64_t now_us)
{
  if (daemon->sums == NULL || daemon->domain_id == board->domain_id
      || now_us - daemon->sums_us > SUMS_TIMEOUT_US)
    return false;
  TT_LIST_FOREACH (&board->fleet.daemons, it)
    {
      const TtDaemon *other = TT_CONTAINER_OF (it, TtDaemon, link);

      if (other->sums != NULL && other->domain_id == daemon->domain_id && other->id < daemon->id
          && now_us - other->sums_us <= SUMS_TIMEOUT_US)
        return false;
    }
  return true;
}

/// True if the loads of a failure domain are known from its collector.
static bool
has_sums (const TtBoard *board, uint64_t domain_id, int64_t now_us)
{
  TT_LIST_FOREACH (&board->fleet.daemons, it)
    {
      const TtDaemon *daemon = TT_CONTAINER_OF (it, TtDaemon, link);

      if (daemon->domain_id == domain_id && is_sums_source (board, daemon, now_us))
        return true;
    }
  return false;
}

void
tt_fleet_loads_update (TtBoard *board, TtDaemon *daemon, int64_t now_us)
{
  TtLoadsMode mode = board->fleet.loads_mode;
  bool own_domain = daemon->domain_id == board->domain_id;

  if (daemon->report.own_domain != own_domain)
    {
      set_counted (board, &daemon->report, false);
      daemon->report.own_domain = own_domain;
    }
  set_counted (board, &daemon->report,
               daemon->alive
                   && (mode == TT_LOADS_DIRECT
                       || (mode == TT_LOADS_COLLECTED
                           && (own_domain || !has_sums (board, daemon->domain_id, now_us)))));
  if (daemon->sums != NULL)
    set_counted (board, daemon->sums,
                 mode == TT_LOADS_COLLECTED && is_sums_source (board, daemon, now_us));
}

void
tt_fleet_loads_forget (TtBoard *board, TtDaemon *daemon)
{
  set_counted (board, &daemon->report, false);
  daemon->report.count = 0;
  if (daemon->sums != NULL)
    set_counted (board, daemon->sums, false);
  daemon->sums_us = 0;
}

static void
merge_holders (TtBoard *board, const TtLoadSums *sums, int64_t now_us)
{
  for (uint32_t i = 0; i < sums->prefix_holder_count; i++)
    tt_prefix_table_merge (board, &sums->prefix_holders[i], tt_fleet_loads_forwards (board),
                           now_us);
}

void
tt_fleet_loads_receive (TtBoard *board, TtDaemon *collector, const TtLoadSums *sums, int64_t now_us)
{
  TtFleetSection *section = &board->fleet;

  merge_holders (board, sums, now_us);
  if (sums->table_version > collector->table_version)
    collector->table_version = sums->table_version;
  if (tt_evidence_compare (sums->change, collector->change) > 0)
    collector->change = sums->change;
  tt_evidence_add_report (board, &sums->confirmation, now_us);
  if (sums->domain_id == board->domain_id)
    {
      if (tt_reader_find (board, now_us) != collector)
        return;
      tt_fleet_loads_store (board, &section->rest, sums->loads, sums->load_count);
      section->rest_us = now_us;
      return;
    }
  if (collector->sums == NULL)
    collector->sums = calloc (1, sizeof *collector->sums);
  if (collector->sums == NULL)
    return;
  tt_fleet_loads_store (board, collector->sums, sums->loads, sums->load_count);
  collector->sums_us = now_us;
}

bool
tt_fleet_loads_forwards (const TtBoard *board)
{
  return board->fleet.loads_mode == TT_LOADS_COLLECTED;
}

double
tt_fleet_staleness (const TtBoard *board)
{
  if (board->fleet.loads_mode != TT_LOADS_DIRECT)
    return COLLECTED_HOPS;
  return (double) tt_fleet_status_period_us (board) / TT_FLEET_PERIOD_US;
}

static void
update_mode (TtBoard *board, int64_t now_us)
{
  TtFleetSection *section = &board->fleet;

  if (tt_fleet_status_period_us (board) <= COLLECTED_HOPS * TT_FLEET_PERIOD_US)
    section->loads_mode = TT_LOADS_DIRECT;
  else if (tt_reader_is_healthy (board))
    section->loads_mode = TT_LOADS_COLLECTED;
  else
    section->loads_mode = section->rest_us != 0 && now_us - section->rest_us <= SUMS_TIMEOUT_US
                              ? TT_LOADS_REPORTED
                              : TT_LOADS_DIRECT;
  set_counted (board, &section->rest, section->loads_mode == TT_LOADS_REPORTED);
  TT_LIST_FOREACH (&section->daemons, it)
    tt_fleet_loads_update (board, TT_CONTAINER_OF (it, TtDaemon, link), now_us);
}

/// Reports this daemon's loads and changes of prefix holders to the collector.
static void
send_report (TtBoard *board, int64_t now_us)
{
  const TtDaemon *collector = tt_reader_find (board, now_us);
  TtPeerMessage *message
      = collector != NULL ? tt_fleet_new_status (board, collector, now_us) : NULL;

  if (message != NULL && board->fleet.loads_mode == TT_LOADS_REPORTED)
    message->status.prefix_holder_count
        = tt_prefix_table_pop_changes (board, message->status.prefix_holders);
}

/// Fills in the loads of this daemon and of those counted: all, or those of this failure domain.
static void
fill_sums (const TtBoard *board, bool domain_only, TtLoadSums *sums, int64_t now_us)
{
  sums->confirmation = tt_evidence_confirmation (board, now_us);
  sums->domain_id = board->domain_id;
  sums->table_version = board->routes.table != NULL ? board->routes.table->version : 0;
  sums->change = board->registry.change;
  TT_LIST_FOREACH (&board->backends.all, it)
    {
      const TtBackendServer *backend = TT_CONTAINER_OF (it, TtBackendServer, link);
      const TtFleetBackend *fleet = &backend->fleet;
      TtStatusLoad load
          = { .backend_id = backend->id,
              .running = backend->attempts.count
                         + (domain_only ? fleet->domain_requests : fleet->peer_requests),
              .avoiding = (backend->breaker.state == TT_BREAKER_OPEN ? 1 : 0)
                          + (domain_only ? fleet->domain_avoiding : fleet->peers_avoiding) };

      if ((load.running > 0 || load.avoiding > 0) && sums->load_count < TT_MAX_STATUS_LOADS)
        sums->loads[sums->load_count++] = load;
    }
}

/// Sends each daemon of this failure domain the sums over all others, and the collectors of other
/// domains the sums of this one.
static void
send_sums (TtBoard *board, int64_t now_us)
{
  TtStatusPrefixHolder holders[TT_MAX_STATUS_HOLDERS];
  uint32_t holder_count = tt_prefix_table_pop_changes (board, holders);

  TT_LIST_FOREACH (&board->fleet.daemons, it)
    {
      TtDaemon *daemon = TT_CONTAINER_OF (it, TtDaemon, link);
      bool own_domain = daemon->domain_id == board->domain_id;
      bool counted = daemon->report.counted;
      TtPeerMessage *message;

      if (!daemon->alive || (!own_domain && !daemon->reads_store))
        continue;
      message = tt_fleet_new_message (board, daemon->address, daemon->port, TT_PEER_LOAD_SUMS);
      if (message == NULL)
        continue;
      set_counted (board, &daemon->report, false); // the receiver knows its own loads
      fill_sums (board, !own_domain, &message->sums, now_us);
      set_counted (board, &daemon->report, counted);
      message->sums.prefix_holder_count = holder_count;
      memcpy (message->sums.prefix_holders, holders, holder_count * sizeof *holders);
    }
}

/// Period of reports and of sums. All daemons of a domain use the same one, so that no sums are
/// based on a report that is older than the sums before.
static int64_t
period_us (const TtBoard *board)
{
  uint32_t count = 0;

  TT_LIST_FOREACH (&board->fleet.daemons, it)
    {
      const TtDaemon *daemon = TT_CONTAINER_OF (it, TtDaemon, link);

      count += daemon->alive && daemon->domain_id == board->domain_id;
    }
  return count > DOMAIN_DAEMONS ? TT_FLEET_PERIOD_US * count / DOMAIN_DAEMONS : TT_FLEET_PERIOD_US;
}

/// Adds up the loads of all counted reports again.
static void
recount (TtBoard *board)
{
  TtFleetSection *section = &board->fleet;
  bool rest_counted = section->rest.counted;

  TT_LIST_FOREACH (&board->backends.all, it)
    TT_CONTAINER_OF (it, TtBackendServer, link)->fleet = (TtFleetBackend){ 0 };
  section->rest.counted = false;
  set_counted (board, &section->rest, rest_counted);
  TT_LIST_FOREACH (&section->daemons, it)
    {
      TtDaemon *daemon = TT_CONTAINER_OF (it, TtDaemon, link);
      bool counted = daemon->report.counted;
      bool sums_counted = daemon->sums != NULL && daemon->sums->counted;

      daemon->report.counted = false;
      set_counted (board, &daemon->report, counted);
      if (daemon->sums == NULL)
        continue;
      daemon->sums->counted = false;
      set_counted (board, daemon->sums, sums_counted);
    }
}

void
tt_fleet_loads_run (TtBoard *board, int64_t now_us)
{
  TtFleetSection *section = &board->fleet;

  if (now_us < section->next_loads_us)
    return;
  section->next_loads_us = now_us + period_us (board);
  // Reports may name backend servers that this daemon did not know when it received them.
  if (tt_evidence_compare (section->counted, board->registry.point) != 0)
    recount (board);
  section->counted = board->registry.point;
  update_mode (board, now_us);
  if (section->loads_mode == TT_LOADS_COLLECTED)
    send_sums (board, now_us);
  else if (tt_fleet_status_period_us (board) > COLLECTED_HOPS * TT_FLEET_PERIOD_US)
    send_report (board, now_us);
}
