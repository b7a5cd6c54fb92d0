#include "support/routed_fleet.h"
#include "support/unit.h"
#include "tarragontrack/board/backend.h"
#include "tarragontrack/board/board.h"
#include "tarragontrack/board/error_defs.h"
#include "tarragontrack/board/hash.h"
#include "tarragontrack/board/route.h"
#include <stdlib.h>
#include <string.h>

#define STEP_US (10 * TT_MILLISECOND_US)
#define TICK_US (50 * TT_MILLISECOND_US)
#define FIRST_PORT 7001
#define CALL_TIMEOUT_US (1500 * TT_MILLISECOND_US) // of the daemon's client
#define WATCH_WAIT_US (20 * TT_SECOND_US)
#define WATCH_TIMEOUT_US (21 * TT_SECOND_US)

static void
step (RoutedFleet *fleet, RoutedFleetDaemon *daemon, const TtEvent *event)
{
  daemon->routed.now_us = fleet->now_us;
  tt_board_step (daemon->routed.board, event, fleet->now_us);
}

void
routed_fleet_start (RoutedFleet *fleet, unsigned index)
{
  RoutedFleetDaemon *daemon = &fleet->daemons[index];
  bool listed = daemon->listed;
  uint64_t listed_revision = daemon->listed_revision;
  unsigned store_calls = daemon->store_calls;
  unsigned store_lists = daemon->store_lists;
  char domain[TT_NAME_MAX];

  memset (daemon, 0, sizeof *daemon);
  daemon->listed = listed;
  daemon->listed_revision = listed_revision;
  daemon->store_calls = store_calls;
  daemon->store_lists = store_lists;
  (void) snprintf (daemon->name, sizeof daemon->name, "d%u", index);
  (void) snprintf (domain, sizeof domain, "z%u", index % fleet->domains);
  routed_board_open_as (&daemon->routed, daemon->name, domain, (uint16_t) (FIRST_PORT + index));
  daemon->running = true;
}

void
routed_fleet_kill (RoutedFleet *fleet, unsigned index)
{
  fleet->daemons[index].running = false;
}

void
routed_fleet_open (RoutedFleet *fleet, unsigned count, unsigned domains)
{
  memset (fleet, 0, sizeof *fleet);
  fleet->count = count;
  fleet->domains = domains;
  fleet->now_us = 100 * TT_SECOND_US;
  fleet->era = 1;
  fleet->revision = 10;
  routed_fleet_configure (fleet);
  for (unsigned i = 0; i < 4; i++)
    {
      char name[TT_NAME_MAX];

      (void) snprintf (name, sizeof name, "p%u", i);
      routed_fleet_write_server (fleet, name, false, false);
    }
  for (unsigned i = 0; i < count; i++)
    routed_fleet_start (fleet, i);
}

void
routed_fleet_close (RoutedFleet *fleet)
{
  for (unsigned i = 0; i < fleet->message_count; i++)
    tt_board_release_action (fleet->messages[i].board, fleet->messages[i].action);
  for (unsigned i = 0; i < fleet->count; i++)
    routed_board_close (&fleet->daemons[i].routed);
}

void
routed_fleet_configure (RoutedFleet *fleet)
{
  fleet->config_version += 3; // versions increase in uneven steps
  fleet->config_revision = ++fleet->revision;
}

void
routed_fleet_write_server (RoutedFleet *fleet, const char *name, bool leaving, bool removed)
{
  RoutedFleetServer *server = fleet->servers;

  while (server->revision != 0 && strcmp (server->name, name) != 0)
    server++;
  UNIT_REQUIRE (server < fleet->servers + ROUTED_FLEET_SERVERS - 1);
  (void) snprintf (server->name, sizeof server->name, "%s", name);
  server->leaving = leaving;
  server->removed = removed;
  server->revision = ++fleet->revision;
}

static void
fill_server (TtStoreEntry *entry, const RoutedFleetServer *server)
{
  *entry = (TtStoreEntry){ .kind = TT_STORE_SERVERS,
                           .valid = true,
                           .removed = server->removed,
                           .revision = server->revision,
                           .server = { .port = 9001,
                                       .slots = 4,
                                       .process_start_ms = 1,
                                       .leaving = server->leaving,
                                       .domain_id = tt_hash_string ("z0") } };
  entry->name = server->name;
  entry->server.service = ROUTED_PLAIN_SERVICE;
  (void) snprintf (entry->server.address, sizeof entry->server.address, "127.0.0.1");
}

/// Fills in the entries of a kind that changed after @since, or that exist if the call is a list.
static void
fill_entries (const RoutedFleet *fleet, TtStoreKind kind, bool list, uint64_t since,
              TtStoreEntries *entries)
{
  if (kind == TT_STORE_CONFIG && fleet->config_revision > since)
    {
      TtStoreEntry *entry = &entries->entries[entries->count++];

      *entry = (TtStoreEntry){ .kind = kind,
                               .name = "main",
                               .valid = true,
                               .revision = fleet->config_revision,
                               .table = routed_board_new_table (fleet->config_version) };
    }
  for (unsigned i = 0; kind == TT_STORE_SERVERS && i < ROUTED_FLEET_SERVERS; i++)
    if (fleet->servers[i].revision > since && !(list && fleet->servers[i].removed))
      fill_server (&entries->entries[entries->count++], &fleet->servers[i]);
  for (unsigned i = 0; kind == TT_STORE_DAEMONS && i < fleet->count; i++)
    if (fleet->daemons[i].listed && fleet->daemons[i].listed_revision > since)
      {
        TtStoreEntry *entry = &entries->entries[entries->count++];

        *entry = (TtStoreEntry){ .kind = kind,
                                 .valid = true,
                                 .revision = fleet->daemons[i].listed_revision,
                                 .daemon.port = (uint16_t) (FIRST_PORT + i) };
        entry->name = fleet->daemons[i].name;
        (void) snprintf (entry->daemon.address, sizeof entry->daemon.address, "127.0.0.1");
      }
}

static void
respond (RoutedFleet *fleet, RoutedFleetDaemon *daemon, RoutedFleetCall *call, int code,
         TtStoreEntries *entries)
{
  TtEvent event = { .type = TT_EVENT_PLATFORM_RESPONSE };

  event.platform.call_id = call->call_id;
  event.platform.op = call->op;
  event.platform.code = code;
  event.platform.era = fleet->era;
  event.platform.entries = entries;
  call->op = 0;
  step (fleet, daemon, &event);
}

static bool
waits (const RoutedFleetCall *call)
{
  return call->op == TT_PLATFORM_WATCH_ENTRIES && !call->answers_at_once;
}

static void
serve_read (RoutedFleet *fleet, RoutedFleetDaemon *daemon, RoutedFleetCall *call)
{
  TtStoreEntry list[ROUTED_FLEET_DAEMONS] = { 0 };
  TtStoreEntries entries
      = { .kind = call->kind, .entries = list, .era = fleet->era, .revision = fleet->revision };

  if (call->op == TT_PLATFORM_WATCH_ENTRIES && call->revision > fleet->revision)
    {
      respond (fleet, daemon, call, TT_E_STALE, NULL); // the store does not have that revision
      return;
    }
  entries.is_list = call->op == TT_PLATFORM_LIST;
  fill_entries (fleet, call->kind, entries.is_list, entries.is_list ? 0 : call->revision, &entries);
  if (waits (call) && entries.count == 0 && fleet->now_us - call->started_us < WATCH_WAIT_US)
    return;
  // What a store that loses its responses does is done.
  if (daemon->store == STORE_LOSES)
    call->lost = true;
  else
    respond (fleet, daemon, call, TT_OK, &entries);
  for (uint32_t i = 0; entries.kind == TT_STORE_CONFIG && i < entries.count; i++)
    tt_route_table_free (list[i].table);
}

static void
serve_write (RoutedFleet *fleet, RoutedFleetDaemon *daemon, RoutedFleetCall *call)
{
  bool creates = call->op == TT_PLATFORM_CREATE;
  int code = creates && daemon->listed ? TT_E_CONFLICT : TT_OK;

  if (!creates && !daemon->listed)
    code = TT_E_NOT_FOUND;
  if (creates && code == TT_OK)
    {
      daemon->listed = true;
      daemon->listed_revision = ++fleet->revision;
    }
  if (daemon->store == STORE_LOSES)
    call->lost = true;
  else
    respond (fleet, daemon, call, code, NULL);
}

/// Times out a call whose response is lost, as the daemon's client does.
static void
time_out (RoutedFleet *fleet, RoutedFleetDaemon *daemon, RoutedFleetCall *call)
{
  if (daemon->store == STORE_FORGETS && fleet->now_us - call->started_us <= STEP_US)
    call->lost = true;
  if ((call->lost || (daemon->store == STORE_SILENT && !waits (call)))
      && fleet->now_us - call->started_us >= (waits (call) ? WATCH_TIMEOUT_US : CALL_TIMEOUT_US))
    respond (fleet, daemon, call, TT_E_TIMEOUT, NULL);
}

static void
serve_call (RoutedFleet *fleet, RoutedFleetDaemon *daemon, RoutedFleetCall *call)
{
  bool writes = call->op == TT_PLATFORM_CREATE || call->op == TT_PLATFORM_REPLACE;
  bool cut = daemon->store == STORE_CUTS && !writes;

  if (daemon->store == STORE_REJECTS || daemon->store == STORE_CUTS)
    respond (fleet, daemon, call, cut ? TT_E_CRASHED : TT_E_UNAVAILABLE, NULL);
  else if (writes)
    serve_write (fleet, daemon, call);
  else
    serve_read (fleet, daemon, call);
}

static void
serve_store (RoutedFleet *fleet, RoutedFleetDaemon *daemon)
{
  for (unsigned i = 0; i < ROUTED_FLEET_CALLS; i++)
    {
      RoutedFleetCall *call = &daemon->calls[i];

      if (call->op != 0)
        time_out (fleet, daemon, call);
      if (call->op == 0 || call->lost || daemon->store == STORE_SILENT
          || daemon->store == STORE_FORGETS)
        continue;
      serve_call (fleet, daemon, call);
    }
}

/// Posts a message to its receiver, as the daemon's router does.
static void
deliver (RoutedFleet *fleet, const TtPeerMessage *message, RoutedFleetDaemon *daemon)
{
  TtEvent event = { .type = TT_EVENT_PEER_MESSAGE, .peer = message };
  TtStoreEntries entries = { .kind = TT_STORE_CONFIG, .is_list = true, .from_peer = true };
  TtStoreEntry table = { .kind = TT_STORE_CONFIG, .valid = true };

  if (message->type == TT_PEER_TABLE)
    {
      table.table = routed_board_new_table (strtoull (message->table.text, NULL, 10));
      entries.entries = &table;
      entries.count = 1;
    }
  else if (message->type == TT_PEER_SERVERS || message->type == TT_PEER_SERVER_CHANGES)
    {
      entries = message->servers;
      entries.from_peer = true;
      entries.is_list = entries.is_first_page = message->type == TT_PEER_SERVERS;
    }
  if (entries.entries != NULL)
    event = (TtEvent){ .type = TT_EVENT_PLATFORM_RESPONSE,
                       .platform = { .op = TT_PLATFORM_PEER, .entries = &entries } };
  step (fleet, daemon, &event);
  tt_route_table_free (table.table);
}

static bool
is_copy (const TtPeerMessage *message)
{
  return message->type == TT_PEER_TABLE || message->type == TT_PEER_SERVERS
         || message->type == TT_PEER_SERVER_CHANGES;
}

static void
deliver_messages (RoutedFleet *fleet)
{
  unsigned count = fleet->message_count;

  fleet->message_count = 0;
  for (unsigned i = 0; i < count; i++)
    {
      TtAction *action = fleet->messages[i].action;
      unsigned index = action->peer.port - FIRST_PORT;

      if (index < fleet->count && fleet->daemons[index].running && !fleet->daemons[index].frozen
          && !(fleet->loses_copies && is_copy (action->peer.message)))
        deliver (fleet, action->peer.message, &fleet->daemons[index]);
      tt_board_release_action (fleet->messages[i].board, action);
    }
}

void
routed_fleet_cut_watches (RoutedFleet *fleet, unsigned index)
{
  RoutedFleetDaemon *daemon = &fleet->daemons[index];

  for (unsigned i = 0; i < ROUTED_FLEET_CALLS; i++)
    if (daemon->calls[i].op == TT_PLATFORM_WATCH_ENTRIES)
      respond (fleet, daemon, &daemon->calls[i], TT_E_CRASHED, NULL);
}

void
routed_fleet_lose_calls (RoutedFleet *fleet, unsigned index)
{
  memset (fleet->daemons[index].calls, 0, sizeof fleet->daemons[index].calls);
}

RoutedFleetCopy
routed_fleet_copy_store (const RoutedFleet *fleet)
{
  RoutedFleetCopy copy = { .revision = fleet->revision,
                           .config_version = fleet->config_version,
                           .config_revision = fleet->config_revision };

  memcpy (copy.servers, fleet->servers, sizeof copy.servers);
  for (unsigned i = 0; i < fleet->count; i++)
    {
      copy.listed[i] = fleet->daemons[i].listed;
      copy.listed_revisions[i] = fleet->daemons[i].listed_revision;
    }
  return copy;
}

void
routed_fleet_restore_store (RoutedFleet *fleet, const RoutedFleetCopy *copy)
{
  fleet->era++;
  fleet->revision = copy->revision;
  fleet->config_version = copy->config_version;
  fleet->config_revision = copy->config_revision;
  memcpy (fleet->servers, copy->servers, sizeof fleet->servers);
  for (unsigned i = 0; i < fleet->count; i++)
    {
      RoutedFleetDaemon *daemon = &fleet->daemons[i];

      daemon->listed = copy->listed[i];
      daemon->listed_revision = copy->listed_revisions[i];
      for (unsigned k = 0; k < ROUTED_FLEET_CALLS; k++)
        if (daemon->calls[k].op != 0 && !daemon->calls[k].lost)
          respond (fleet, daemon, &daemon->calls[k], TT_E_CRASHED, NULL);
    }
}

static void
open_call (RoutedFleet *fleet, RoutedFleetDaemon *daemon, const TtPlatformAction *action)
{
  for (unsigned i = 0; i < ROUTED_FLEET_CALLS; i++)
    if (daemon->calls[i].op == 0)
      {
        daemon->calls[i] = (RoutedFleetCall){ .op = action->op,
                                              .kind = action->kind,
                                              .call_id = action->call_id,
                                              .revision = action->version,
                                              .answers_at_once = action->answers_at_once,
                                              .started_us = fleet->now_us };
        daemon->store_calls++;
        daemon->store_lists += action->op == TT_PLATFORM_LIST;
        return;
      }
  CU_FAIL ("too many calls to the store");
}

static void
collect_actions (RoutedFleet *fleet, RoutedFleetDaemon *daemon)
{
  TtBoard *board = daemon->routed.board;
  TtAction *action;

  while ((action = tt_board_pop_action (board)) != NULL)
    {
      if (action->type == TT_ACTION_PEER_SEND && fleet->message_count < ROUTED_FLEET_ACTIONS)
        {
          fleet->messages[fleet->message_count].board = board;
          fleet->messages[fleet->message_count++].action = action;
          continue;
        }
      if (action->type == TT_ACTION_PLATFORM_CALL)
        open_call (fleet, daemon, &action->platform);
      tt_board_release_action (board, action);
    }
}

void
routed_fleet_advance (RoutedFleet *fleet, int64_t ms)
{
  const TtEvent tick = { .type = TT_EVENT_TICK };

  for (int64_t end_us = fleet->now_us + ms * TT_MILLISECOND_US; fleet->now_us < end_us;)
    {
      fleet->now_us += STEP_US;
      deliver_messages (fleet);
      for (unsigned i = 0; i < fleet->count; i++)
        {
          RoutedFleetDaemon *daemon = &fleet->daemons[i];

          if (!daemon->running || daemon->frozen)
            continue;
          serve_store (fleet, daemon);
          if (fleet->now_us % TICK_US == 0)
            step (fleet, daemon, &tick);
          collect_actions (fleet, daemon);
        }
    }
}

static bool
is_settled (const RoutedFleet *fleet, const char *name, TtBackendState state)
{
  for (unsigned i = 0; i < fleet->count; i++)
    {
      const RoutedFleetDaemon *daemon = &fleet->daemons[i];
      TtBoard *board = daemon->routed.board;
      const TtBackendServer *backend;

      if (!daemon->running || daemon->frozen)
        continue;
      if (board->routes.table == NULL || board->routes.table->version != fleet->config_version)
        return false;
      backend = tt_backend_find (board, tt_hash_string (name));
      if ((backend != NULL ? backend->roster.state : TT_BACKEND_GONE) != state)
        return false;
    }
  return true;
}

int64_t
routed_fleet_settle (RoutedFleet *fleet, const char *name, TtBackendState state, int64_t limit_ms)
{
  int64_t start_us = fleet->now_us;

  while (!is_settled (fleet, name, state)
         && fleet->now_us - start_us < limit_ms * TT_MILLISECOND_US)
    routed_fleet_advance (fleet, STEP_US / TT_MILLISECOND_US);
  return (fleet->now_us - start_us) / TT_MILLISECOND_US;
}

void
routed_fleet_send_request (RoutedFleet *fleet, unsigned index, const char *path)
{
  RoutedFleetDaemon *daemon = &fleet->daemons[index];

  daemon->routed.now_us = fleet->now_us;
  (void) routed_board_send_request (&daemon->routed, path, 0, 0);
  collect_actions (fleet, daemon);
}

int
routed_fleet_reader (const RoutedFleet *fleet, unsigned domain)
{
  int found = -1;

  for (unsigned i = domain; i < fleet->count; i += fleet->domains)
    {
      const RoutedFleetDaemon *daemon = &fleet->daemons[i];

      if (!daemon->running || daemon->frozen || !daemon->routed.board->reader.reads_store)
        continue;
      if (found >= 0)
        return -1;
      found = (int) i;
    }
  return found;
}

unsigned
routed_fleet_count_calls (RoutedFleet *fleet)
{
  unsigned count = 0;

  for (unsigned i = 0; i < fleet->count; i++)
    {
      count += fleet->daemons[i].store_calls;
      fleet->daemons[i].store_calls = 0;
    }
  return count;
}

unsigned
routed_fleet_count_lists (RoutedFleet *fleet)
{
  unsigned count = 0;

  for (unsigned i = 0; i < fleet->count; i++)
    {
      count += fleet->daemons[i].store_lists;
      fleet->daemons[i].store_lists = 0;
    }
  return count;
}
