#include "support/routed_board.h"
#include "support/unit.h"
#include "tarragontrack/board/backend.h"
#include "tarragontrack/board/board.h"
#include "tarragontrack/control/fleet.h"
#include <stdio.h>
#include <string.h>

static RoutedBoard routed;

/// Delivers a status message of the daemon "d2".
static void
deliver_status (uint64_t table_version, uint64_t servers_revision, uint32_t running)
{
  TtPeerMessage message = { .type = TT_PEER_STATUS };
  TtEvent event = { .type = TT_EVENT_PEER_MESSAGE, .peer = &message };
  TtDaemonStatus *status = &message.status;

  message.sender_id = tt_hash_string ("d2");
  (void) snprintf (status->name, sizeof status->name, "d2");
  (void) snprintf (status->address, sizeof status->address, "127.0.0.2");
  status->port = 7002;
  status->table_version = table_version;
  status->servers.revision = servers_revision;
  status->load_count = 1;
  status->loads[0] = (TtStatusLoad){ .backend_id = tt_hash_string ("p1"), .running = running };
  routed_board_step (&routed, 1, &event);
}

static uint32_t
peer_requests (void)
{
  return tt_backend_find (routed.board, tt_hash_string ("p1"))->fleet.peer_requests;
}

/// Number of queued messages of a type; removes all actions.
static unsigned
count_messages (TtPeerType type)
{
  TtAction *action;
  unsigned count = 0;

  while ((action = tt_board_pop_action (routed.board)) != NULL)
    {
      if (action->type == TT_ACTION_PEER_SEND && action->peer.message->type == type)
        count++;
      tt_board_release_action (routed.board, action);
    }
  return count;
}

static void
open_with_one_server (void)
{
  routed_board_open (&routed);
  routed_board_configure (&routed, 3, false);
  routed_board_list_servers (&routed, ROUTED_PLAIN_SERVICE, 1, "p1");
}

/// Guards against loads of other daemons that accumulate, or that remain after a daemon failed.
static void
loads_are_replaced (void)
{
  open_with_one_server ();
  deliver_status (3, 0, 5);
  CU_ASSERT_EQUAL (peer_requests (), 5);
  deliver_status (3, 0, 2);
  CU_ASSERT_EQUAL (peer_requests (), 2);
  CU_ASSERT_EQUAL (tt_fleet_size (routed.board), 2);
  routed_board_advance (&routed, 1500);
  CU_ASSERT_EQUAL (peer_requests (), 0);
  routed_board_close (&routed);
}

/// Guards against a daemon that keeps an old configuration, because the store does not deliver a
/// newer one, although another daemon has it.
static void
newer_table_is_fetched (void)
{
  open_with_one_server ();
  (void) count_messages (TT_PEER_TABLE_REQUEST);
  deliver_status (3, 0, 0);
  routed_board_advance (&routed, 500);
  CU_ASSERT_EQUAL (count_messages (TT_PEER_TABLE_REQUEST), 0);
  deliver_status (4, 0, 0);
  routed_board_advance (&routed, 500);
  CU_ASSERT (count_messages (TT_PEER_TABLE_REQUEST) >= 1);
  routed_board_close (&routed);
}

/// Guards against a fetch request of another daemon that gets no response.
static void
fetch_requests_get_responses (void)
{
  TtPeerMessage message = { .type = TT_PEER_TABLE_REQUEST };
  TtEvent event = { .type = TT_EVENT_PEER_MESSAGE, .peer = &message };

  open_with_one_server ();
  (void) count_messages (TT_PEER_TABLE);
  message.sender_id = tt_hash_string ("d2");
  (void) snprintf (message.status.address, sizeof message.status.address, "127.0.0.2");
  message.status.port = 7002;
  routed_board_step (&routed, 1, &event);
  CU_ASSERT_EQUAL (count_messages (TT_PEER_TABLE), 1);
  message.type = TT_PEER_SERVERS_REQUEST;
  routed_board_step (&routed, 1, &event);
  CU_ASSERT_EQUAL (count_messages (TT_PEER_SERVERS), 1);
  routed_board_close (&routed);
}

/// Guards against a copy of the server list by which a receiver restores a backend server that has
/// left. The sender lost its connection to the store and keeps backend servers without an entry for
/// a while (skurd-tarragon-grown, inc-1559).
static void
missing_server_is_not_sent (void)
{
  TtPeerMessage message = { .type = TT_PEER_SERVERS_REQUEST };
  TtEvent event = { .type = TT_EVENT_PEER_MESSAGE, .peer = &message };
  TtAction *action;
  unsigned sent_count = 0;

  routed_board_open (&routed);
  routed_board_configure (&routed, 3, false);
  routed_board_list_servers (&routed, ROUTED_PLAIN_SERVICE, 2, "p1", "p2");
  routed.board->evidence.failed_us = routed.now_us; // an outage that has lasted for some time
  routed_board_list_servers (&routed, ROUTED_PLAIN_SERVICE, 1, "p1");
  UNIT_REQUIRE (tt_backend_find (routed.board, tt_hash_string ("p2")) != NULL);
  (void) count_messages (TT_PEER_SERVERS);
  message.sender_id = tt_hash_string ("d2");
  (void) snprintf (message.status.address, sizeof message.status.address, "127.0.0.2");
  message.status.port = 7002;
  routed_board_step (&routed, 1, &event);
  while ((action = tt_board_pop_action (routed.board)) != NULL)
    {
      if (action->type == TT_ACTION_PEER_SEND && action->peer.message->type == TT_PEER_SERVERS)
        for (uint32_t i = 0; i < action->peer.message->servers.count; i++)
          {
            CU_ASSERT_STRING_EQUAL (action->peer.message->servers.entries[i].name, "p1");
            sent_count++;
          }
      tt_board_release_action (routed.board, action);
    }
  CU_ASSERT_EQUAL (sent_count, 1);
  routed_board_close (&routed);
}

/// Guards against loads that stay wrong for good because another daemon reported them before this
/// one knew the backend server.
static void
load_of_later_server (void)
{
  routed_board_open (&routed);
  routed_board_configure (&routed, 1, false);
  routed_board_list_servers (&routed, ROUTED_PLAIN_SERVICE, 1, "p2");
  deliver_status (1, 0, 5);
  routed_board_list_servers (&routed, ROUTED_PLAIN_SERVICE, 2, "p1", "p2");
  routed_board_advance (&routed, 200);
  CU_ASSERT_EQUAL (peer_requests (), 5);
  deliver_status (1, 0, 7);
  CU_ASSERT_EQUAL (peer_requests (), 7);
  routed_board_close (&routed);
}

static const UnitTest tests[] = {
  { "loads_are_replaced", loads_are_replaced },
  { "load_of_later_server", load_of_later_server },
  { "newer_table_is_fetched", newer_table_is_fetched },
  { "fetch_requests_get_responses", fetch_requests_get_responses },
  { "missing_server_is_not_sent", missing_server_is_not_sent },
};

UNIT_MAIN ("fleet", tests)
