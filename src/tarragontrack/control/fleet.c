#include "tarragontrack/control/fleet.h"
#include "tarragontrack/board/backend.h"
#include "tarragontrack/board/board.h"
#include "tarragontrack/control/controllers.h"
#include "tarragontrack/control/evidence.h"
#include "tarragontrack/control/fleet_copies.h"
#include "tarragontrack/control/fleet_loads.h"
#include "tarragontrack/control/notice.h"
#include "tarragontrack/control/poison.h"
#include "tarragontrack/control/prefix_table.h"
#include "tarragontrack/control/quarantine.h"
#include "tarragontrack/control/reader.h"
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/// Fleet size up to which the status period is constant. In larger fleets it grows in proportion,
/// so that the message rate of each daemon stays bounded.
#define STATUS_PERIOD_DAEMONS 8

/// Liveness timeout: the longer of LIVENESS_TIMEOUT_US and LIVENESS_PERIODS status periods. A
/// daemon from which no status message arrived within it is excluded from the load sums. Several
/// consecutive messages must be lost before a running daemon is excluded.
#define LIVENESS_TIMEOUT_US TT_SECOND_US
#define LIVENESS_PERIODS 3

/// Shortest interval between status messages that are sent at once: ADVERTISE_INTERVAL_US, or the
/// fraction 1 / ADVERTISE_PERIOD_DIVISOR of the status period in a larger fleet.
#define ADVERTISE_INTERVAL_US (200 * TT_MILLISECOND_US)
#define ADVERTISE_PERIOD_DIVISOR 4

/// Fleet size assumed until the list of daemons was read or another daemon sent its status.
#define ASSUMED_FLEET_SIZE 8

static int
open_fleet (void *context, TtBoard *board)
{
  (void) context;
  tt_list_init (&board->fleet.daemons);
  return TT_OK;
}

static void
free_daemon (TtDaemon *daemon)
{
  free (daemon->sums);
  free (daemon);
}

static void
close_fleet (void *context, TtBoard *board)
{
  TtLink *link;

  (void) context;
  while ((link = tt_list_pop (&board->fleet.daemons)) != NULL)
    free_daemon (TT_CONTAINER_OF (link, TtDaemon, link));
}

uint32_t
tt_fleet_size (const TtBoard *board)
{
  const TtFleetSection *section = &board->fleet;

  if (board->feed.streams[TT_STORE_DAEMONS].revision == 0 && section->daemons.count == 0)
    return ASSUMED_FLEET_SIZE;
  return 1
         + (section->listed_count > section->alive_count ? section->listed_count
                                                         : section->alive_count);
}

int64_t
tt_fleet_status_period_us (const TtBoard *board)
{
  uint32_t count = board->fleet.daemons.count;

  return count > STATUS_PERIOD_DAEMONS ? TT_FLEET_PERIOD_US * count / STATUS_PERIOD_DAEMONS
                                       : TT_FLEET_PERIOD_US;
}

static TtDaemon *
find_daemon (TtBoard *board, uint64_t id)
{
  TT_LIST_FOREACH (&board->fleet.daemons, it)
    {
      TtDaemon *daemon = TT_CONTAINER_OF (it, TtDaemon, link);

      if (daemon->id == id)
        return daemon;
    }
  return NULL;
}

static TtDaemon *
new_daemon (TtBoard *board, const char *name)
{
  TtDaemon *daemon = NULL;

  if (board->fleet.daemons.count < TT_MAX_DAEMONS)
    daemon = calloc (1, sizeof *daemon);
  if (daemon == NULL)
    {
      tt_board_counter_add (board, TT_COUNT_POOL_FULL, 1);
      return NULL;
    }
  daemon->id = tt_hash_string (name);
  (void) snprintf (daemon->name, sizeof daemon->name, "%s", name);
  tt_list_append (&board->fleet.daemons, &daemon->link);
  return daemon;
}

static void
set_address (TtDaemon *daemon, const char *address, uint16_t port)
{
  (void) snprintf (daemon->address, sizeof daemon->address, "%s", address);
  daemon->port = port;
}

static void
receive_status (TtBoard *board, const TtPeerMessage *message, int64_t now_us)
{
  const TtDaemonStatus *status = &message->status;
  TtDaemon *daemon = find_daemon (board, message->sender_id);

  if (daemon == NULL)
    daemon = new_daemon (board, status->name);
  if (daemon == NULL)
    return;
  if (!daemon->alive)
    {
      daemon->alive = true;
      board->fleet.alive_count++;
      tt_board_log (board, TT_LOG_MEMBER_ALIVE, "daemon=%s address=%s:%u", daemon->name,
                    status->address, status->port);
    }
  daemon->last_status_us = now_us;
  set_address (daemon, status->address, status->port);
  daemon->table_version = status->table_version;
  daemon->servers = status->servers;
  daemon->domain_id = status->domain_id;
  daemon->reads_store = status->reads_store;
  daemon->change = status->change;
  tt_evidence_add_report (board, &status->confirmation, now_us);
  tt_fleet_loads_store (board, &daemon->report, status->loads, status->load_count);
  tt_fleet_loads_update (board, daemon, now_us);
  for (uint32_t i = 0; i < status->prefix_holder_count; i++)
    tt_prefix_table_merge (board, &status->prefix_holders[i], tt_fleet_loads_forwards (board),
                           now_us);
}

TtPeerMessage *
tt_fleet_new_message (TtBoard *board, const char *address, uint16_t port, TtPeerType type)
{
  TtPeerMessage *message = calloc (1, sizeof *message);
  TtAction *action = message != NULL ? tt_board_append_action (board, TT_ACTION_PEER_SEND) : NULL;

  if (action == NULL)
    {
      free (message);
      return NULL;
    }
  message->type = type;
  message->sender_id = tt_hash_string (board->config.name);
  message->sender_incarnation = board->config.incarnation;
  action->peer.port = port;
  (void) snprintf (action->peer.address, sizeof action->peer.address, "%s", address);
  action->peer.message = message;
  return message;
}

void
tt_fleet_fill_identity (const TtBoard *board, TtDaemonStatus *status, int64_t now_us)
{
  (void) snprintf (status->name, sizeof status->name, "%s", board->config.name);
  (void) snprintf (status->address, sizeof status->address, "%s", board->config.address);
  status->port = board->config.peer_port;
  status->table_version = board->routes.table != NULL ? board->routes.table->version : 0;
  status->servers = board->registry.point;
  status->domain_id = board->domain_id;
  status->reads_store = tt_reader_is_healthy (board);
  status->change = board->registry.change;
  status->confirmation = tt_evidence_confirmation (board, now_us);
}

/// Adds the leaving backend servers and the suspect requests that this daemon knows, those that it
/// cleared, and its load on each backend server.
static void
fill_findings_and_loads (const TtBoard *board, TtDaemonStatus *status, int64_t now_us)
{
  status->notice_count
      = tt_notice_copy_leaving (board, status->notices, TT_PEER_MAX_NOTICES, now_us);
  status->part_count = tt_quarantine_copy_parts (board, status->parts, TT_PEER_MAX_PARTS, now_us);
  status->suspect_count
      = tt_poison_copy_cleared (board, status->suspects, TT_PEER_MAX_SUSPECTS, now_us);
  TT_LIST_FOREACH (&board->poison.suspects, it)
    {
      const TtSuspect *suspect = TT_CONTAINER_OF (it, TtSuspect, link);

      if (status->suspect_count == TT_PEER_MAX_SUSPECTS)
        break;
      status->suspects[status->suspect_count++]
          = (TtPeerSuspect){ .fingerprint = suspect->fingerprint,
                             .crash_id = suspect->last_crash_id,
                             .strikes = suspect->strikes };
    }
  TT_LIST_FOREACH (&board->backends.all, it)
    {
      const TtBackendServer *backend = TT_CONTAINER_OF (it, TtBackendServer, link);
      uint32_t avoiding = backend->breaker.state == TT_BREAKER_OPEN
                                  || now_us < backend->notice.unavailable_until_us
                              ? 1
                              : 0;

      if ((backend->attempts.count == 0 && avoiding == 0)
          || status->load_count == TT_MAX_STATUS_LOADS)
        continue;
      status->loads[status->load_count++] = (TtStatusLoad){ .backend_id = backend->id,
                                                            .running = backend->attempts.count,
                                                            .avoiding = avoiding };
    }
}

TtPeerMessage *
tt_fleet_new_status (TtBoard *board, const TtDaemon *daemon, int64_t now_us)
{
  TtPeerMessage *message
      = tt_fleet_new_message (board, daemon->address, daemon->port, TT_PEER_STATUS);

  if (message == NULL)
    return NULL;
  tt_fleet_fill_identity (board, &message->status, now_us);
  fill_findings_and_loads (board, &message->status, now_us);
  return message;
}

void
tt_fleet_send_status (TtBoard *board, bool domain_only, int64_t now_us)
{
  TT_LIST_FOREACH (&board->fleet.daemons, it)
    {
      const TtDaemon *daemon = TT_CONTAINER_OF (it, TtDaemon, link);

      if (daemon->alive && (!domain_only || daemon->domain_id == board->domain_id))
        (void) tt_fleet_new_status (board, daemon, now_us);
    }
}

void
tt_fleet_send_status_to_readers (TtBoard *board, int64_t now_us)
{
  TT_LIST_FOREACH (&board->fleet.daemons, it)
    {
      const TtDaemon *daemon = TT_CONTAINER_OF (it, TtDaemon, link);

      if (daemon->alive && daemon->reads_store)
        (void) tt_fleet_new_status (board, daemon, now_us);
    }
}

static void
send_statuses (TtBoard *board, int64_t now_us)
{
  TtFleetSection *section = &board->fleet;
  TtStatusPrefixHolder changed_holders[TT_MAX_STATUS_HOLDERS];
  // Otherwise changes go to the collector, which passes them on.
  uint32_t changed_count = section->loads_mode == TT_LOADS_DIRECT
                               ? tt_prefix_table_pop_changes (board, changed_holders)
                               : 0;
  uint64_t repeat_index = tt_rng_below (&board->rng, section->daemons.count);

  section->next_status_us = now_us + tt_fleet_status_period_us (board);
  TT_LIST_FOREACH (&section->daemons, it)
    {
      const TtDaemon *daemon = TT_CONTAINER_OF (it, TtDaemon, link);
      TtPeerMessage *message;

      if (daemon->port == 0)
        continue;
      message = tt_fleet_new_status (board, daemon, now_us);
      if (message == NULL)
        continue;
      message->status.prefix_holder_count = changed_count;
      memcpy (message->status.prefix_holders, changed_holders,
              changed_count * sizeof *changed_holders);
      // Without changes, one daemon chosen at random is sent the next entries of the table again.
      if (repeat_index-- == 0 && changed_count == 0)
        message->status.prefix_holder_count
            = tt_prefix_table_next_entries (board, message->status.prefix_holders);
    }
}

void
tt_fleet_advertise (TtBoard *board)
{
  board->fleet.advertise = true;
}

/// Sends the status message that tt_fleet_advertise() asked for.
static void
advertise_findings (TtBoard *board, int64_t now_us)
{
  int64_t interval_us = tt_fleet_status_period_us (board) / ADVERTISE_PERIOD_DIVISOR;

  if (interval_us < ADVERTISE_INTERVAL_US)
    interval_us = ADVERTISE_INTERVAL_US;
  board->fleet.advertise = false;
  board->fleet.next_advertise_us = now_us + interval_us;
  tt_fleet_send_status (board, false, now_us);
}

/// Applies entries of the store's list of daemons.
static void
apply_daemon_entries (TtBoard *board, const TtStoreEntries *entries)
{
  TtFleetSection *section = &board->fleet;

  if (entries->is_list && entries->is_first_page)
    TT_LIST_FOREACH (&section->daemons, it)
      TT_CONTAINER_OF (it, TtDaemon, link)->listed = false;
  for (uint32_t i = 0; i < entries->count; i++)
    {
      const TtStoreEntry *entry = &entries->entries[i];
      uint64_t id = tt_hash_string (entry->name);
      TtDaemon *daemon = find_daemon (board, id);

      if (id == tt_hash_string (board->config.name) || !entry->valid)
        continue;
      if (daemon == NULL && !entry->removed)
        daemon = new_daemon (board, entry->name);
      if (daemon == NULL)
        continue;
      daemon->listed = !entry->removed;
      set_address (daemon, entry->daemon.address, entry->daemon.port);
    }
  section->listed_count = 0;
  TT_LIST_FOREACH (&section->daemons, it)
    section->listed_count += TT_CONTAINER_OF (it, TtDaemon, link)->listed ? 1 : 0;
}

static void
receive_sums (TtBoard *board, const TtPeerMessage *message, int64_t now_us)
{
  TtDaemon *daemon = find_daemon (board, message->sender_id);

  if (daemon != NULL && daemon->alive)
    tt_fleet_loads_receive (board, daemon, &message->sums, now_us);
}

static void
on_event (void *context, TtBoard *board, const TtEvent *event, int64_t now_us)
{
  (void) context;
  if (event->type == TT_EVENT_PLATFORM_RESPONSE && event->platform.entries != NULL
      && !event->platform.entries->discarded && event->platform.entries->kind == TT_STORE_DAEMONS)
    apply_daemon_entries (board, event->platform.entries);
  if (event->type != TT_EVENT_PEER_MESSAGE
      || event->peer->sender_id == tt_hash_string (board->config.name))
    return;
  if (event->peer->type == TT_PEER_STATUS)
    receive_status (board, event->peer, now_us);
  else if (event->peer->type == TT_PEER_LOAD_SUMS)
    receive_sums (board, event->peer, now_us);
  else
    tt_fleet_copies_serve (board, event->peer, now_us);
}

/// Marks daemons whose liveness timeout expired as not alive, and frees those of them that have no
/// entry in the store.
static void
expire_daemons (TtBoard *board, int64_t now_us)
{
  TtFleetSection *section = &board->fleet;
  int64_t limit_us = LIVENESS_PERIODS * tt_fleet_status_period_us (board);

  if (limit_us < LIVENESS_TIMEOUT_US)
    limit_us = LIVENESS_TIMEOUT_US;

  TT_LIST_FOREACH (&section->daemons, it)
    {
      TtDaemon *daemon = TT_CONTAINER_OF (it, TtDaemon, link);

      if (!daemon->alive || now_us - daemon->last_status_us <= limit_us)
        continue;
      daemon->alive = false;
      section->alive_count--;
      tt_fleet_loads_forget (board, daemon);
      tt_board_log (board, TT_LOG_MEMBER_GONE, "daemon=%s silent_ms=%lld", daemon->name,
                    (long long) ((now_us - daemon->last_status_us) / TT_MILLISECOND_US));
      if (daemon->listed)
        continue;
      tt_list_remove (&section->daemons, &daemon->link);
      free_daemon (daemon);
    }
}

static void
run (void *context, TtBoard *board, int64_t now_us)
{
  TtFleetSection *section = &board->fleet;

  (void) context;
  if (now_us >= section->next_status_us)
    {
      expire_daemons (board, now_us);
      send_statuses (board, now_us);
    }
  if (section->advertise && now_us >= section->next_advertise_us)
    advertise_findings (board, now_us);
  tt_fleet_loads_run (board, now_us);
  tt_fleet_copies_fetch (board, now_us);
}

TtController
tt_fleet_controller (void)
{
  return (TtController){
    .name = "fleet", .open = open_fleet, .close = close_fleet, .on_event = on_event, .run = run
  };
}
