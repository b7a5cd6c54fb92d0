#include "support/routed_board.h"
#include "support/unit.h"
#include "tarragontrack/board/backend.h"
#include <string.h>

static RoutedBoard routed;

static TtBackendServer *
find_backend (const char *name)
{
  return tt_backend_find (routed.board, tt_hash_string (name));
}

static void
open_with_two_backends (void)
{
  routed_board_open (&routed);
  routed_board_configure (&routed, 1, false);
  routed_board_list_servers (&routed, ROUTED_PLAIN_SERVICE, 2, "p1", "p2");
}

/// Brings about an outage of the store that was long enough for entries to lapse. Its last failed
/// call begins now; the next one is answered.
static void
end_outage (void)
{
  TtEvidenceSection *evidence = &routed.board->evidence;

  evidence->steady_us = routed.now_us - 10 * TT_SECOND_US;
  evidence->failed_us = evidence->served_us = evidence->since_us = routed.now_us;
}

/// Guards against dispatching to a backend server that is leaving or was removed.
static void
stop_leaving_and_removed (void)
{
  open_with_two_backends ();
  routed_board_change_server (&routed, "p1", ROUTED_PLAIN_SERVICE, true, false, 1);
  routed_board_change_server (&routed, "p2", ROUTED_PLAIN_SERVICE, false, true, 1);
  (void) routed_board_send_request (&routed, "/get/x", 0, 600);
  CU_ASSERT_EQUAL (routed_board_count_actions (&routed, TT_ACTION_DISPATCH), 0);
  routed_board_close (&routed);
}

/// Guards against dropping all backend servers because their entries lapsed during a store outage,
/// and against keeping one that did not register again.
static void
keep_lapsed_entries_while_settling (void)
{
  open_with_two_backends ();
  end_outage ();
  routed_board_list_servers (&routed, ROUTED_PLAIN_SERVICE, 0);
  UNIT_REQUIRE (find_backend ("p1") != NULL);
  CU_ASSERT_EQUAL (find_backend ("p1")->roster.state, TT_BACKEND_LIVE);
  routed_board_list_servers (&routed, ROUTED_PLAIN_SERVICE, 1, "p1");
  routed_board_advance (&routed, 2000);
  CU_ASSERT_PTR_NOT_NULL (find_backend ("p2"));
  routed_board_advance (&routed, 1000);
  CU_ASSERT_PTR_NOT_NULL (find_backend ("p1"));
  CU_ASSERT_PTR_NULL (find_backend ("p2"));
  routed_board_close (&routed);
}

/// Guards against keeping a backend server too long if its entry was removed while only this daemon
/// was partitioned from the store (raagmala-sync, cut-zones, seed 50037554136). The wait for lapsed
/// entries counts from the start of the last failed call, not from the reconnection.
static void
drop_entry_removed_during_disconnect (void)
{
  open_with_two_backends ();
  end_outage ();
  routed_board_advance (&routed, 1100);
  routed_board_list_servers (&routed, ROUTED_PLAIN_SERVICE, 1, "p1");
  routed_board_advance (&routed, 1850);
  CU_ASSERT_PTR_NULL (find_backend ("p2"));
  routed_board_close (&routed);
}

/// Guards against using an unreadable entry, and against dropping other entries because of it.
static void
drop_unreadable_entry (void)
{
  TtStoreEntry entry = { .kind = TT_STORE_SERVERS, .name = "p1", .revision = UINT32_MAX };
  TtStoreEntries entries
      = { .kind = TT_STORE_SERVERS, .entries = &entry, .count = 1, .revision = UINT32_MAX };
  TtEvent event = { .type = TT_EVENT_PLATFORM_RESPONSE, .platform.entries = &entries };

  open_with_two_backends ();
  routed_board_step (&routed, 1, &event);
  CU_ASSERT_PTR_NULL (find_backend ("p1"));
  UNIT_REQUIRE (find_backend ("p2") != NULL);
  CU_ASSERT_EQUAL (find_backend ("p2")->roster.state, TT_BACKEND_LIVE);
  routed_board_close (&routed);
}

/// Guards against applying the breaker state of an earlier process to a new one with the same id.
static void
reset_state_of_new_process (void)
{
  open_with_two_backends ();
  find_backend ("p1")->breaker.state = TT_BREAKER_OPEN;
  find_backend ("p1")->breaker.open_until_us = INT64_MAX;
  routed_board_change_server (&routed, "p1", ROUTED_PLAIN_SERVICE, false, false, 2);
  CU_ASSERT_EQUAL (find_backend ("p1")->breaker.state, TT_BREAKER_CLOSED);
  routed_board_close (&routed);
}

/// Guards against another daemon's older copy that restores a removed backend server or drops a
/// current one.
static void
ignore_older_copy (void)
{
  TtStoreEntry entry = { .kind = TT_STORE_SERVERS, .name = "p9", .valid = true };
  TtStoreEntries entries = { .kind = TT_STORE_SERVERS,
                             .entries = &entry,
                             .count = 1,
                             .is_list = true,
                             .is_first_page = true,
                             .revision = 5,
                             .from_peer = true };
  TtEvent event = { .type = TT_EVENT_PLATFORM_RESPONSE, .platform.entries = &entries };

  open_with_two_backends ();
  routed_board_step (&routed, 1, &event);
  CU_ASSERT_PTR_NULL (find_backend ("p9"));
  CU_ASSERT_PTR_NOT_NULL (find_backend ("p1"));
  routed_board_close (&routed);
}

/// Guards against followers that drop backend servers whose entries lapsed in an outage that only
/// the reader has met, and against followers that keep one which left after the reader's short
/// absence.
static void
follower_waits_as_the_reader_says (void)
{
  TtStoreEntry none = { 0 };
  TtStoreEntries copy = { .kind = TT_STORE_SERVERS,
                          .entries = &none,
                          .is_list = true,
                          .is_first_page = true,
                          .from_peer = true,
                          .lapse_ms = 500 };
  TtEvent event = { .type = TT_EVENT_PLATFORM_RESPONSE,
                    .platform = { .op = TT_PLATFORM_PEER, .entries = &copy } };

  open_with_two_backends ();
  copy.revision = routed.board->registry.point.revision + 100;
  routed_board_step (&routed, 1, &event);
  UNIT_REQUIRE (find_backend ("p1") != NULL);
  CU_ASSERT_EQUAL (find_backend ("p1")->roster.state, TT_BACKEND_LIVE);
  routed_board_advance (&routed, 600);
  CU_ASSERT_PTR_NULL (find_backend ("p1"));
  routed_board_close (&routed);

  open_with_two_backends ();
  end_outage (); // of this daemon's own calls
  copy.lapse_ms = 0;
  copy.revision = routed.board->registry.point.revision + 100;
  routed_board_step (&routed, 1, &event);
  CU_ASSERT_PTR_NULL (find_backend ("p1"));
  routed_board_close (&routed);
}

/// Guards against a delayed store event that restores a backend server which another daemon's newer
/// copy no longer lists (skurd-tarragon, inc-ec1d).
static void
ignore_delayed_store_event (void)
{
  TtStoreEntry none = { 0 };
  TtStoreEntries copy = { .kind = TT_STORE_SERVERS,
                          .entries = &none,
                          .is_list = true,
                          .is_first_page = true,
                          .from_peer = true };
  TtEvent event = { .type = TT_EVENT_PLATFORM_RESPONSE, .platform.entries = &copy };

  open_with_two_backends ();
  copy.revision = routed.board->registry.point.revision + 100;
  routed_board_step (&routed, 1, &event);
  CU_ASSERT_PTR_NULL (find_backend ("p1"));
  routed_board_change_server (&routed, "p1", ROUTED_PLAIN_SERVICE, false, false, 1);
  CU_ASSERT_PTR_NULL (find_backend ("p1"));
  routed_board_close (&routed);
}

static const UnitTest tests[] = {
  { "leaving_and_removed_get_no_requests", stop_leaving_and_removed },
  { "lapsed_entries_are_kept_while_settling", keep_lapsed_entries_while_settling },
  { "unreadable_entry_drops_its_backend_only", drop_unreadable_entry },
  { "delayed_store_event_is_ignored", ignore_delayed_store_event },
  { "removed_during_disconnect_is_dropped_in_time", drop_entry_removed_during_disconnect },
  { "follower_waits_as_the_reader_says", follower_waits_as_the_reader_says },
  { "new_process_resets_breaker", reset_state_of_new_process },
  { "older_peer_copy_is_ignored", ignore_older_copy },
};

UNIT_MAIN ("registry", tests)
