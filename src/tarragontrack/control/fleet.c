#include "tarragontrack/control/fleet.h"
#include "tarragontrack/board/backend.h"
#include "tarragontrack/board/board.h"
#include "tarragontrack/control/controllers.h"
#include "tarragontrack/control/holder.h"
#include "tarragontrack/control/poison.h"
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/// Period of status messages to a few daemons. Loads on other daemons are as old as this when they
/// are used, which is short against the time that a request runs on an engine.
#define STATUS_US (150 * TT_MILLISECOND_US)

/// Daemons up to which the period holds; with more of them it grows in proportion, so that the
/// messages of one daemon stay bounded.
#define STATUS_DAEMONS 8

/// A daemon that is not heard of for this long, and for this many periods, takes no part in sums:
/// several lost messages in a row.
#define SILENCE_US TT_SECOND_US
#define SILENCE_PERIODS 3

/// The store is asked first; another daemon's newer copy is fetched when it is still missing after
/// this time.
#define BEHIND_US (300 * TT_MILLISECOND_US)

/// Pause between two fetches.
#define ASK_US (300 * TT_MILLISECOND_US)

/// Daemons assumed while the list of daemons was not read yet.
#define UNKNOWN_FLEET 8

static int
open_fleet (void *context, TtBoard *board)
{
  (void) context;
  tt_list_init (&board->fleet.daemons);
  return TT_OK;
}

static void
close_fleet (void *context, TtBoard *board)
{
  TtLink *link;

  (void) context;
  while ((link = tt_list_pop (&board->fleet.daemons)) != NULL)
    free (TT_CONTAINER_OF (link, TtDaemon, link));
}

uint32_t
tt_fleet_size (const TtBoard *board)
{
  const TtFleetSection *section = &board->fleet;

  if (board->feed.streams[TT_STORE_DAEMONS].revision == 0 && section->daemons.count == 0)
    return UNKNOWN_FLEET;
  return 1 + (section->listed > section->alive ? section->listed : section->alive);
}

/// Time between two status messages to a daemon.
static int64_t
status_period_us (const TtFleetSection *section)
{
  uint32_t count = section->daemons.count;

  return count > STATUS_DAEMONS ? STATUS_US * count / STATUS_DAEMONS : STATUS_US;
}

double
tt_fleet_staleness (const TtBoard *board)
{
  return (double) status_period_us (&board->fleet) / STATUS_US;
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
      tt_board_count (board, TT_COUNT_POOL_FULL, 1);
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

/// Takes a daemon's loads out of the sums.
static void
subtract_loads (TtBoard *board, TtDaemon *daemon)
{
  for (uint32_t i = 0; i < daemon->load_count; i++)
    {
      TtBackendServer *backend = tt_backend_find (board, daemon->loads[i].backend_id);
      uint32_t running = daemon->loads[i].running;

      if (backend == NULL)
        continue;
      backend->fleet.others -= running < backend->fleet.others ? running : backend->fleet.others;
      if (daemon->loads[i].avoided && backend->fleet.avoiders > 0)
        backend->fleet.avoiders--;
    }
  daemon->load_count = 0;
}

static void
add_loads (TtBoard *board, TtDaemon *daemon, const TtDaemonStatus *status)
{
  daemon->load_count = status->load_count;
  memcpy (daemon->loads, status->loads, status->load_count * sizeof *status->loads);
  for (uint32_t i = 0; i < daemon->load_count; i++)
    {
      TtBackendServer *backend = tt_backend_find (board, daemon->loads[i].backend_id);

      if (backend == NULL)
        continue;
      backend->fleet.others += daemon->loads[i].running;
      if (daemon->loads[i].avoided)
        backend->fleet.avoiders++;
    }
}

static void
hear_status (TtBoard *board, const TtPeerMessage *message, int64_t now_us)
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
      board->fleet.alive++;
      tt_board_log (board, TT_LOG_MEMBER_ALIVE, "daemon=%s address=%s:%u", daemon->name,
                    status->address, status->port);
    }
  daemon->heard_us = now_us;
  set_address (daemon, status->address, status->port);
  daemon->table_version = status->table_version;
  daemon->servers_revision = status->servers_revision;
  subtract_loads (board, daemon);
  add_loads (board, daemon, status);
  for (uint32_t i = 0; i < status->holder_count; i++)
    tt_holder_hear (board, &status->holders[i], now_us);
}

/// Appends a message to a daemon. RETURN NULL if memory could not be allocated.
static TtPeerMessage *
send_message (TtBoard *board, const char *address, uint16_t port, TtPeerType type)
{
  TtPeerMessage *message = calloc (1, sizeof *message);
  TtAction *action = message != NULL ? tt_board_act (board, TT_ACTION_PEER) : NULL;

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

/// Fills in what this daemon is and which versions it has.
static void
fill_identity (const TtBoard *board, TtDaemonStatus *status)
{
  (void) snprintf (status->name, sizeof status->name, "%s", board->config.name);
  (void) snprintf (status->address, sizeof status->address, "%s", board->config.address);
  status->port = board->config.peer_port;
  status->table_version = board->routes.table != NULL ? board->routes.table->version : 0;
  status->servers_revision = board->registry.revision;
}

/// Adds what this daemon knows of suspects and the loads that it causes.
static void
fill_beliefs (const TtBoard *board, TtDaemonStatus *status, int64_t now_us)
{
  status->suspect_count = tt_poison_cleared (board, status->suspects, TT_PEER_SUSPECTS, now_us);
  TT_LIST_FOREACH (&board->poison.suspects, it)
    {
      const TtSuspect *suspect = TT_CONTAINER_OF (it, TtSuspect, link);

      if (status->suspect_count == TT_PEER_SUSPECTS)
        break;
      status->suspects[status->suspect_count++]
          = (TtPeerSuspect){ .fingerprint = suspect->fingerprint,
                             .backend_id = suspect->last_backend_id,
                             .strikes = suspect->strikes };
    }
  TT_LIST_FOREACH (&board->backends.all, it)
    {
      const TtBackendServer *backend = TT_CONTAINER_OF (it, TtBackendServer, link);
      bool avoided = backend->breaker.state == TT_BREAKER_OPEN;

      if ((backend->attempts.count == 0 && !avoided) || status->load_count == TT_STATUS_LOADS)
        continue;
      status->loads[status->load_count++] = (TtStatusLoad){ .backend_id = backend->id,
                                                            .running = backend->attempts.count,
                                                            .avoided = avoided };
    }
}

static void
send_statuses (TtBoard *board, int64_t now_us)
{
  TtFleetSection *section = &board->fleet;
  TtStatusHolder news[TT_STATUS_HOLDERS];
  uint32_t news_count = tt_holder_news (board, news);
  uint64_t repeat_at = tt_rng_below (&board->rng, section->daemons.count);

  section->next_status_us = now_us + status_period_us (section);
  TT_LIST_FOREACH (&section->daemons, it)
    {
      const TtDaemon *daemon = TT_CONTAINER_OF (it, TtDaemon, link);
      TtPeerMessage *message;

      if (daemon->port == 0)
        continue;
      message = send_message (board, daemon->address, daemon->port, TT_PEER_STATUS);
      if (message == NULL)
        continue;
      fill_identity (board, &message->status);
      fill_beliefs (board, &message->status, now_us);
      message->status.holder_count = news_count;
      memcpy (message->status.holders, news, news_count * sizeof *news);
      if (repeat_at-- == 0 && news_count == 0)
        message->status.holder_count = tt_holder_repeat (board, message->status.holders);
    }
}

static void
send_ask (TtBoard *board, const TtDaemon *daemon, TtPeerType type)
{
  TtPeerMessage *message = send_message (board, daemon->address, daemon->port, type);

  if (message != NULL)
    fill_identity (board, &message->status);
}

/// Answers a daemon that asks for the routing table.
static void
send_table (TtBoard *board, const TtDaemonStatus *to)
{
  const TtRouteTable *table = board->routes.table;
  TtPeerMessage *message;

  if (table == NULL || table->text == NULL)
    return;
  message = send_message (board, to->address, to->port, TT_PEER_TABLE);
  if (message == NULL)
    return;
  message->table.text = table->text;
  message->table.text_size = (uint32_t) table->text_size;
}

/// Answers a daemon that asks for the list of backend servers.
static void
send_servers (TtBoard *board, const TtDaemonStatus *to)
{
  // Allocated first: a message without its entries would be taken for an empty list.
  TtStoreEntry *entries = calloc (board->backends.all.count + 1, sizeof *entries);
  TtPeerMessage *message
      = entries != NULL ? send_message (board, to->address, to->port, TT_PEER_SERVERS) : NULL;
  TtStoreEntries *servers;

  if (message == NULL)
    {
      free (entries);
      return;
    }
  servers = &message->servers;
  servers->kind = TT_STORE_SERVERS;
  servers->revision = board->registry.revision;
  servers->entries = entries;
  TT_LIST_FOREACH (&board->backends.all, it)
    {
      const TtBackendServer *backend = TT_CONTAINER_OF (it, TtBackendServer, link);
      TtStoreEntry *entry = &servers->entries[servers->count];

      // One that is kept though its entry is missing may have left: only this daemon's own list can
      // say so, and the copy would make it live again on the others.
      if (backend->roster.state == TT_BACKEND_GONE || backend->pool == NULL
          || backend->registry.missing_us != 0)
        continue;
      servers->count++;
      entry->kind = TT_STORE_SERVERS;
      entry->readable = true;
      entry->revision = backend->registry.revision;
      (void) snprintf (entry->name, sizeof entry->name, "%s", backend->name);
      (void) snprintf (entry->server.service, sizeof entry->server.service, "%s",
                       backend->pool->spec.name);
      (void) snprintf (entry->server.address, sizeof entry->server.address, "%s", backend->address);
      entry->server.port = backend->port;
      entry->server.domain_id = backend->domain_id;
      entry->server.slots = backend->registry.slots;
      entry->server.leaving = backend->roster.state == TT_BACKEND_LEAVING;
      entry->server.born_ms = backend->registry.born_ms;
    }
}

/// Takes over entries of the list of daemons.
static void
read_daemons (TtBoard *board, const TtStoreEntries *entries)
{
  TtFleetSection *section = &board->fleet;

  if (entries->whole && entries->first)
    TT_LIST_FOREACH (&section->daemons, it)
      TT_CONTAINER_OF (it, TtDaemon, link)->listed = false;
  for (uint32_t i = 0; i < entries->count; i++)
    {
      const TtStoreEntry *entry = &entries->entries[i];
      uint64_t id = tt_hash_string (entry->name);
      TtDaemon *daemon = find_daemon (board, id);

      if (id == tt_hash_string (board->config.name) || !entry->readable)
        continue;
      if (daemon == NULL && !entry->removed)
        daemon = new_daemon (board, entry->name);
      if (daemon == NULL)
        continue;
      daemon->listed = !entry->removed;
      set_address (daemon, entry->daemon.address, entry->daemon.port);
    }
  section->listed = 0;
  TT_LIST_FOREACH (&section->daemons, it)
    section->listed += TT_CONTAINER_OF (it, TtDaemon, link)->listed ? 1 : 0;
}

static void
on_event (void *context, TtBoard *board, const TtEvent *event, int64_t now_us)
{
  (void) context;
  if (event->type == TT_EVENT_PLATFORM && event->platform.entries != NULL
      && event->platform.entries->kind == TT_STORE_DAEMONS)
    read_daemons (board, event->platform.entries);
  if (event->type != TT_EVENT_PEER || event->peer->sender_id == tt_hash_string (board->config.name))
    return;
  if (event->peer->type == TT_PEER_STATUS)
    hear_status (board, event->peer, now_us);
  else if (event->peer->type == TT_PEER_TABLE_ASK)
    send_table (board, &event->peer->status);
  else if (event->peer->type == TT_PEER_SERVERS_ASK)
    send_servers (board, &event->peer->status);
}

/// Marks daemons that fell silent.
static void
expire_daemons (TtBoard *board, int64_t now_us)
{
  TtFleetSection *section = &board->fleet;
  int64_t limit_us = SILENCE_PERIODS * status_period_us (section);

  if (limit_us < SILENCE_US)
    limit_us = SILENCE_US;

  TT_LIST_FOREACH (&section->daemons, it)
    {
      TtDaemon *daemon = TT_CONTAINER_OF (it, TtDaemon, link);

      if (!daemon->alive || now_us - daemon->heard_us <= limit_us)
        continue;
      daemon->alive = false;
      section->alive--;
      subtract_loads (board, daemon);
      tt_board_log (board, TT_LOG_MEMBER_GONE, "daemon=%s silent_ms=%lld", daemon->name,
                    (long long) ((now_us - daemon->heard_us) / TT_MILLISECOND_US));
      if (daemon->listed)
        continue;
      tt_list_remove (&section->daemons, &daemon->link);
      free (daemon);
    }
}

/// Notes since when something is behind. RETURN true if it should be fetched now.
static bool
is_overdue (int64_t *behind_us, bool behind, bool lost, int64_t now_us)
{
  if (!behind)
    {
      *behind_us = 0;
      return false;
    }
  if (*behind_us == 0)
    *behind_us = now_us;
  return lost || now_us - *behind_us >= BEHIND_US;
}

/// Fetches from another daemon what the store does not give this one.
static void
ask_for_newer (TtBoard *board, int64_t now_us)
{
  TtFleetSection *section = &board->fleet;
  uint64_t table = board->routes.table != NULL ? board->routes.table->version : 0;
  const TtDaemon *by_table = NULL;
  const TtDaemon *by_servers = NULL;

  TT_LIST_FOREACH (&section->daemons, it)
    {
      const TtDaemon *daemon = TT_CONTAINER_OF (it, TtDaemon, link);

      if (!daemon->alive)
        continue;
      if (daemon->table_version > (by_table != NULL ? by_table->table_version : table))
        by_table = daemon;
      if (daemon->servers_revision
          > (by_servers != NULL ? by_servers->servers_revision : board->registry.revision))
        by_servers = daemon;
    }
  bool ask_table = is_overdue (&section->table_behind_us, by_table != NULL,
                               board->feed.streams[TT_STORE_CONFIG].lost_us != 0, now_us);
  bool ask_servers = is_overdue (&section->servers_behind_us, by_servers != NULL,
                                 board->feed.streams[TT_STORE_SERVERS].lost_us != 0, now_us);

  if (now_us < section->next_ask_us || (!ask_table && !ask_servers))
    return;
  section->next_ask_us = now_us + ASK_US;
  if (ask_table)
    send_ask (board, by_table, TT_PEER_TABLE_ASK);
  if (ask_servers)
    send_ask (board, by_servers, TT_PEER_SERVERS_ASK);
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
  ask_for_newer (board, now_us);
}

TtController
tt_fleet_controller (void)
{
  return (TtController){
    .name = "fleet", .open = open_fleet, .close = close_fleet, .on_event = on_event, .run = run
  };
}
