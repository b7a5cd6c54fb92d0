/// Copies of the routing table and of the list of backend servers that daemons fetch from each
/// other. Load pattern: the store is away, slow, or rejects some daemons, while versions go on
/// changing.
#include "tarragontrack/control/fleet_copies.h"
#include "tarragontrack/board/backend.h"
#include "tarragontrack/board/board.h"
#include "tarragontrack/board/store.h"
#include "tarragontrack/control/evidence.h"
#include "tarragontrack/control/feed.h"
#include "tarragontrack/control/fleet.h"
#include "tarragontrack/control/reader.h"
#include "tarragontrack/control/registry.h"
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/// The store is the preferred source. A newer copy is fetched from another daemon if the store has
/// not delivered it after this time, or immediately while calls to the store fail.
#define FETCH_DELAY_US (300 * TT_MILLISECOND_US)

/// Interval between two fetches.
#define FETCH_INTERVAL_US (300 * TT_MILLISECOND_US)

/// Requests for a copy after which the store is read as well. A power of two.
#define FETCHES_BEFORE_LIST 2

static void
send_fetch_request (TtBoard *board, const TtDaemon *daemon, TtPeerType type, int64_t now_us)
{
  TtPeerMessage *message = tt_fleet_new_message (board, daemon->address, daemon->port, type);

  if (message != NULL)
    tt_fleet_fill_identity (board, &message->status, now_us);
}

/// Responds to a daemon that requested the routing table.
static void
send_table (TtBoard *board, const TtDaemonStatus *requester)
{
  const TtRouteTable *table = board->routes.table;
  TtPeerMessage *message;

  if (table == NULL || table->text == NULL)
    return;
  message = tt_fleet_new_message (board, requester->address, requester->port, TT_PEER_TABLE);
  if (message == NULL)
    return;
  message->table.text = table->text;
  message->table.text_size = (uint32_t) table->text_size;
}

/// Bytes of the names of all backend servers and their services.
static size_t
list_text_size (const TtBoard *board)
{
  size_t size = 0;

  TT_LIST_FOREACH (&board->backends.all, it)
    {
      const TtBackendServer *backend = TT_CONTAINER_OF (it, TtBackendServer, link);

      size += strlen (backend->name) + 1;
      size += backend->pool != NULL ? strlen (backend->pool->name) + 1 : 0;
    }
  return size;
}

/// Responds to a daemon that requested the list of backend servers.
static void
send_servers (TtBoard *board, const TtDaemonStatus *requester, int64_t now_us)
{
  // The entries are allocated before the message is queued, because the receiver would interpret a
  // message without entries as an empty list.
  TtStoreText text;
  TtStoreEntry *entries
      = tt_store_entries_alloc (board->backends.all.count, list_text_size (board), &text);
  TtPeerMessage *message = entries != NULL ? tt_fleet_new_message (board, requester->address,
                                                                   requester->port, TT_PEER_SERVERS)
                                           : NULL;
  TtStoreEntries *servers;

  if (message == NULL)
    {
      free (entries);
      return;
    }
  servers = &message->servers;
  servers->kind = TT_STORE_SERVERS;
  servers->era = board->registry.point.era;
  servers->revision = board->registry.point.revision;
  servers->lapse_ms = tt_registry_lapse_ms (board, true, now_us);
  servers->entries = entries;
  TT_LIST_FOREACH (&board->backends.all, it)
    {
      const TtBackendServer *backend = TT_CONTAINER_OF (it, TtBackendServer, link);
      TtStoreEntry *entry = &servers->entries[servers->count];

      // A backend server without an entry in the store, which this daemon keeps for a while, may
      // have left. Only the next list that this daemon reads from the store can confirm that.
      // Until then it is not sent, because the receivers would consider it live again.
      if (backend->roster.state == TT_BACKEND_GONE || backend->pool == NULL
          || backend->registry.missing_since_us != 0)
        continue;
      servers->count++;
      entry->kind = TT_STORE_SERVERS;
      entry->valid = true;
      entry->revision = backend->registry.point.revision;
      entry->name = tt_store_text_add (&text, backend->name, strlen (backend->name));
      entry->server.service
          = tt_store_text_add (&text, backend->pool->name, strlen (backend->pool->name));
      (void) snprintf (entry->server.address, sizeof entry->server.address, "%s", backend->address);
      entry->server.port = backend->port;
      entry->server.domain_id = backend->domain_id;
      entry->server.slots = backend->registry.slots;
      // A receiver that knows that the process has left holds it, too.
      entry->server.leaving
          = backend->roster.state == TT_BACKEND_LEAVING && backend->registry.held_until_us == 0;
      entry->server.process_start_ms = backend->registry.process_start_ms;
    }
}

void
tt_fleet_copies_serve (TtBoard *board, const TtPeerMessage *message, int64_t now_us)
{
  if (message->type == TT_PEER_TABLE_REQUEST)
    send_table (board, &message->status);
  else if (message->type == TT_PEER_SERVERS_REQUEST)
    send_servers (board, &message->status, now_us);
}

/// Updates since when this daemon's copy is stale. RETURN true if a newer copy should be fetched
/// now.
static bool
is_fetch_due (TtCopy *copy, bool is_stale, bool store_lost, int64_t now_us)
{
  if (!is_stale)
    {
      *copy = (TtCopy){ 0 };
      return false;
    }
  if (copy->stale_since_us == 0)
    copy->stale_since_us = now_us;
  return store_lost || now_us - copy->stale_since_us >= FETCH_DELAY_US;
}

/// Requests a newer copy from another daemon. If the copy still has not arrived after
/// FETCHES_BEFORE_LIST requests, for example because no message can hold it, the store is read as
/// well, less and less often.
static void
fetch (TtBoard *board, TtCopy *copy, const TtDaemon *source, TtPeerType type, TtStoreKind kind,
       int64_t now_us)
{
  if (copy->fetches >= FETCHES_BEFORE_LIST && (copy->fetches & (copy->fetches - 1)) == 0)
    tt_feed_request_list (board, kind);
  copy->fetches++;
  send_fetch_request (board, source, type, now_us);
}

/// True if the daemon's list of backend servers may be copied. While the store serves a reader of
/// this failure domain, only that reader's list is: revisions that other readers reached differ
/// although the lists are equal.
static bool
is_server_source (const TtBoard *board, const TtDaemon *daemon, bool has_reader, int64_t now_us)
{
  return !has_reader || tt_reader_is_source (board, daemon, now_us);
}

void
tt_fleet_copies_fetch (TtBoard *board, int64_t now_us)
{
  TtFleetSection *section = &board->fleet;
  uint64_t table = board->routes.table != NULL ? board->routes.table->version : 0;
  const TtDaemon *table_source = NULL;
  const TtDaemon *servers_source = NULL;
  bool reads = tt_reader_is_healthy (board);
  bool has_reader;

  // Versions change rarely, and the loop over all daemons is too costly for each event.
  if (now_us < section->next_copy_check_us)
    return;
  section->next_copy_check_us = now_us + TT_TICK_INTERVAL_US;
  has_reader = tt_reader_find (board, now_us) != NULL;
  TT_LIST_FOREACH (&section->daemons, it)
    {
      const TtDaemon *daemon = TT_CONTAINER_OF (it, TtDaemon, link);

      if (!daemon->alive)
        continue;
      if (daemon->table_version > (table_source != NULL ? table_source->table_version : table))
        table_source = daemon;
      if (!reads && is_server_source (board, daemon, has_reader, now_us)
          && tt_evidence_compare (daemon->servers, servers_source != NULL ? servers_source->servers
                                                                          : board->registry.point)
                 > 0)
        servers_source = daemon;
    }
  bool fetch_table
      = is_fetch_due (&section->table_copy, table_source != NULL,
                      board->feed.streams[TT_STORE_CONFIG].failing_since_us != 0, now_us);
  bool fetch_servers
      = is_fetch_due (&section->servers_copy, servers_source != NULL,
                      board->feed.streams[TT_STORE_SERVERS].failing_since_us != 0, now_us);

  if (now_us < section->next_fetch_us || (!fetch_table && !fetch_servers))
    return;
  section->next_fetch_us = now_us + FETCH_INTERVAL_US;
  if (fetch_table)
    fetch (board, &section->table_copy, table_source, TT_PEER_TABLE_REQUEST, TT_STORE_CONFIG,
           now_us);
  if (fetch_servers)
    fetch (board, &section->servers_copy, servers_source, TT_PEER_SERVERS_REQUEST, TT_STORE_SERVERS,
           now_us);
}
