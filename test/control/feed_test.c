#include "support/routed_board.h"
#include "support/unit.h"
#include "tarragontrack/board/error_defs.h"
#include "tarragontrack/board/route.h"
#include "tarragontrack/control/feed.h"
#include <string.h>

static RoutedBoard routed;
static uint64_t era; ///< of the responses

/// Opens a board of a daemon that watches the store for its failure domain.
static void
open_reader (void)
{
  routed_board_open (&routed);
  era = 0;
  routed.board->reader.reads_store = true;
}

/// Removes the actions up to the next store call for a kind. RETURN that call.
static TtPlatformAction
next_store_call (TtStoreKind kind)
{
  TtAction action = { 0 };

  do
    UNIT_REQUIRE (routed_board_next_action (&routed, TT_ACTION_PLATFORM_CALL, &action));
  while (action.platform.kind != kind);
  return action.platform;
}

/// Number of calls for a kind; removes all actions.
static unsigned
count_store_calls (TtStoreKind kind)
{
  TtAction action = { 0 };
  unsigned count = 0;

  while (routed_board_next_action (&routed, TT_ACTION_PLATFORM_CALL, &action))
    count += action.platform.kind == kind;
  return count;
}

static void
respond (const TtPlatformAction *call, int code, TtStoreEntries *entries)
{
  TtEvent event = { .type = TT_EVENT_PLATFORM_RESPONSE, .platform.era = era };

  if (entries != NULL)
    entries->era = era;

  event.platform.call_id = call->call_id;
  event.platform.op = call->op;
  event.platform.code = code;
  event.platform.entries = entries;
  routed_board_step (&routed, 1, &event);
}

/// Guards against a lost page of a list, and against a watch that starts at a revision before the
/// list.
static void
list_pages_then_watch (void)
{
  TtStoreEntry none = { 0 };
  TtStoreEntries page = { .kind = TT_STORE_CONFIG,
                          .entries = &none,
                          .is_list = true,
                          .has_more = true,
                          .continue_after = "m",
                          .revision = 10 };
  TtPlatformAction call;

  open_reader ();
  routed_board_advance (&routed, 50);
  call = next_store_call (TT_STORE_CONFIG);
  CU_ASSERT_EQUAL (call.op, TT_PLATFORM_LIST);
  respond (&call, TT_OK, &page);
  call = next_store_call (TT_STORE_CONFIG);
  CU_ASSERT_EQUAL (call.op, TT_PLATFORM_LIST);
  CU_ASSERT_STRING_EQUAL (call.continue_after, "m");
  page.has_more = false;
  respond (&call, TT_OK, &page);
  call = next_store_call (TT_STORE_CONFIG);
  CU_ASSERT_EQUAL (call.op, TT_PLATFORM_WATCH_ENTRIES);
  CU_ASSERT_EQUAL (call.version, 10);
  routed_board_close (&routed);
}

/// Guards against a watch that starts at a revision whose changes the store has compacted.
static void
compacted_revision_is_relisted (void)
{
  TtStoreEntry none = { 0 };
  TtStoreEntries list
      = { .kind = TT_STORE_CONFIG, .entries = &none, .is_list = true, .revision = 10 };
  TtPlatformAction call;

  open_reader ();
  routed_board_advance (&routed, 50);
  call = next_store_call (TT_STORE_CONFIG);
  respond (&call, TT_OK, &list);
  call = next_store_call (TT_STORE_CONFIG);
  respond (&call, TT_E_STALE, NULL);
  call = next_store_call (TT_STORE_CONFIG);
  CU_ASSERT_EQUAL (call.op, TT_PLATFORM_LIST);
  routed_board_close (&routed);
}

/// Guards against a change that is lost with an answer that cannot be read, because the watch goes
/// on after it or fails at it for ever, and against lists without a pause.
static void
unreadable_changes_are_relisted (void)
{
  TtStoreEntry none = { 0 };
  TtStoreEntries list
      = { .kind = TT_STORE_CONFIG, .entries = &none, .is_list = true, .revision = 10 };
  TtPlatformAction call;

  open_reader ();
  routed_board_advance (&routed, 50);
  call = next_store_call (TT_STORE_CONFIG);
  respond (&call, TT_OK, &list);
  call = next_store_call (TT_STORE_CONFIG);
  CU_ASSERT_EQUAL (call.op, TT_PLATFORM_WATCH_ENTRIES);
  respond (&call, TT_E_MALFORMED, NULL);
  CU_ASSERT_EQUAL (count_store_calls (TT_STORE_CONFIG), 0);
  routed_board_advance (&routed, 500);
  call = next_store_call (TT_STORE_CONFIG);
  CU_ASSERT_EQUAL (call.op, TT_PLATFORM_LIST);
  routed_board_close (&routed);
}

/// Responds to a kind's list call, then to its watch call with one change. RETURN ms until the next
/// call, in steps of 50.
static unsigned
pause_after_change (TtStoreKind kind)
{
  TtStoreEntry change = { .kind = kind, .name = "x" };
  TtStoreEntries changes = { .kind = kind, .entries = &change, .count = 1, .revision = 11 };
  TtStoreEntries list = { .kind = kind, .entries = &change, .is_list = true, .revision = 10 };
  TtPlatformAction call;
  unsigned pause_ms = 0;

  open_reader ();
  routed_board_advance (&routed, 50);
  call = next_store_call (kind);
  respond (&call, TT_OK, &list);
  call = next_store_call (kind);
  CU_ASSERT_EQUAL (call.op, TT_PLATFORM_WATCH_ENTRIES);
  respond (&call, TT_OK, &changes);
  for (; pause_ms < 5000; pause_ms += 50)
    {
      TtAction action = { 0 };

      while (routed_board_next_action (&routed, TT_ACTION_PLATFORM_CALL, &action))
        if (action.platform.kind == kind)
          {
            routed_board_close (&routed);
            return pause_ms;
          }
      routed_board_advance (&routed, 50);
    }
  routed_board_close (&routed);
  return pause_ms;
}

/// Guards against a separate, costly store call for each of many changes, and against a batch delay
/// so long that a leaving backend server stops before the daemons receive its state, or that a
/// configuration is applied late.
static void
changes_are_batched (void)
{
  unsigned pause_ms = pause_after_change (TT_STORE_SERVERS);

  CU_ASSERT (pause_ms >= 500 && pause_ms <= 1000); // a leaving server serves for 2 s
  CU_ASSERT (pause_after_change (TT_STORE_CONFIG) <= 50);
}

/// Guards against retries without backoff while the store refuses calls, and against a backoff so
/// long that a change is applied late after the store recovered.
static void
refused_calls_back_off (void)
{
  unsigned calls = 0;

  open_reader ();
  for (int i = 0; i < 200; i++)
    {
      TtAction action = { 0 };

      routed_board_advance (&routed, 50);
      while (routed_board_next_action (&routed, TT_ACTION_PLATFORM_CALL, &action))
        if (action.platform.kind == TT_STORE_CONFIG)
          {
            calls++;
            respond (&action.platform, TT_E_UNAVAILABLE, NULL);
          }
    }
  CU_ASSERT (calls >= 10 && calls <= 40); // in 10 s
  routed_board_close (&routed);
}

/// Guards against a list and a watch several times a second while each watch is unreadable: the
/// lists between them succeed.
static void
unreadable_watches_back_off (void)
{
  TtStoreEntry none = { 0 };
  TtStoreEntries list
      = { .kind = TT_STORE_CONFIG, .entries = &none, .is_list = true, .revision = 10 };
  unsigned lists = 0;

  open_reader ();
  for (unsigned i = 0; i < 200; i++)
    {
      TtAction action = { 0 };

      routed_board_advance (&routed, 50);
      while (routed_board_next_action (&routed, TT_ACTION_PLATFORM_CALL, &action))
        {
          bool is_list = action.platform.op == TT_PLATFORM_LIST;

          if (action.platform.kind != TT_STORE_CONFIG)
            continue;
          lists += is_list ? 1 : 0;
          respond (&action.platform, is_list ? TT_OK : TT_E_MALFORMED, is_list ? &list : NULL);
        }
    }
  CU_ASSERT (lists >= 10 && lists <= 40); // in 10 s, as for refused calls
  routed_board_close (&routed);
}

/// Opens a reader in era 1 that has listed the configuration at revision 10. RETURN its watch.
static TtPlatformAction
open_watching_reader (void)
{
  TtStoreEntry none = { 0 };
  TtStoreEntries list
      = { .kind = TT_STORE_CONFIG, .entries = &none, .is_list = true, .revision = 10 };
  TtPlatformAction call;

  open_reader ();
  era = 1;
  routed_board_advance (&routed, 50);
  call = next_store_call (TT_STORE_CONFIG);
  respond (&call, TT_OK, &list);
  call = next_store_call (TT_STORE_CONFIG);
  CU_ASSERT (call.op == TT_PLATFORM_WATCH_ENTRIES && !call.answers_at_once);
  return call;
}

/// Fills in changes that consist of a configuration.
static TtStoreEntries
new_config_change (TtStoreEntry *entry, uint64_t version, uint64_t revision)
{
  *entry = (TtStoreEntry){ .kind = TT_STORE_CONFIG,
                           .name = "main",
                           .valid = true,
                           .revision = revision,
                           .table = routed_board_new_table (version) };
  return (TtStoreEntries){
    .kind = TT_STORE_CONFIG, .entries = entry, .count = 1, .revision = revision
  };
}

/// Guards against applying what a watch from a revision of the old era returns in the new one, and
/// against going on from there: the store has given the revision to other content.
static void
watch_in_new_era (void)
{
  TtPlatformAction call = open_watching_reader ();
  TtStoreEntry entry;
  TtStoreEntries changes = new_config_change (&entry, 5, 12);

  era = 2;
  respond (&call, TT_OK, &changes);
  CU_ASSERT_PTR_NULL (routed.board->routes.table);
  call = next_store_call (TT_STORE_CONFIG);
  CU_ASSERT_EQUAL (call.op, TT_PLATFORM_LIST);
  changes.is_list = true;
  changes.discarded = false;
  respond (&call, TT_OK, &changes);
  UNIT_REQUIRE (routed.board->routes.table != NULL);
  CU_ASSERT_EQUAL (routed.board->routes.table->version, 5);
  tt_route_table_free (entry.table);
  routed_board_close (&routed);
}

/// Guards against an answer that was given before the store returned from a copy and arrives after
/// an answer of the new era, in time or after its call was given up.
static void
late_answer_of_old_era (void)
{
  TtPlatformAction watch = open_watching_reader ();
  TtPlatformAction list;
  TtStoreEntry none = { 0 };
  TtStoreEntry entry;
  TtStoreEntries empty
      = { .kind = TT_STORE_SERVERS, .entries = &none, .is_list = true, .revision = 9 };
  TtStoreEntries old;

  routed_board_advance (&routed, 700);
  tt_feed_relist (&routed.board->feed.streams[TT_STORE_SERVERS], routed.now_us);
  routed_board_advance (&routed, 50);
  list = next_store_call (TT_STORE_SERVERS);
  era = 2;
  respond (&list, TT_OK, &empty);
  // The watch of the old era was given up.
  era = 1;
  old = new_config_change (&entry, 5, 12);
  respond (&watch, TT_OK, &old);
  CU_ASSERT (old.discarded);
  tt_route_table_free (entry.table);
  // The list that replaced it is answered by a delayed answer of the old era.
  list = next_store_call (TT_STORE_CONFIG);
  old = new_config_change (&entry, 5, 12);
  old.is_list = true;
  respond (&list, TT_OK, &old);
  CU_ASSERT (old.discarded);
  CU_ASSERT_PTR_NULL (routed.board->routes.table);
  tt_route_table_free (entry.table);
  // The call is repeated.
  era = 2;
  routed_board_advance (&routed, 500);
  list = next_store_call (TT_STORE_CONFIG);
  CU_ASSERT_EQUAL (list.op, TT_PLATFORM_LIST);
  old = new_config_change (&entry, 6, 8);
  old.is_list = true;
  respond (&list, TT_OK, &old);
  UNIT_REQUIRE (routed.board->routes.table != NULL);
  CU_ASSERT_EQUAL (routed.board->routes.table->version, 6);
  tt_route_table_free (entry.table);
  routed_board_close (&routed);
}

/// Guards against a list whose pages are of two eras.
static void
era_changes_between_pages (void)
{
  TtStoreEntry none = { 0 };
  TtStoreEntries page = { .kind = TT_STORE_SERVERS,
                          .entries = &none,
                          .is_list = true,
                          .has_more = true,
                          .continue_after = "m",
                          .revision = 10 };
  TtPlatformAction call;

  open_reader ();
  era = 1;
  routed_board_advance (&routed, 50);
  call = next_store_call (TT_STORE_SERVERS);
  respond (&call, TT_OK, &page);
  call = next_store_call (TT_STORE_SERVERS);
  CU_ASSERT_PTR_NOT_NULL (call.continue_after);
  era = 2;
  page.has_more = false;
  respond (&call, TT_OK, &page);
  CU_ASSERT (page.discarded);
  call = next_store_call (TT_STORE_SERVERS);
  CU_ASSERT_EQUAL (call.op, TT_PLATFORM_LIST);
  CU_ASSERT_PTR_NULL (call.continue_after);
  routed_board_close (&routed);
}

/// Guards against a watch whose lost answer is found out only when its wait ends.
static void
lost_watch_is_renewed (void)
{
  TtPlatformAction watch = open_watching_reader ();
  TtPlatformAction call;
  TtStoreEntry entry;
  TtStoreEntries changes = new_config_change (&entry, 5, 12);

  routed_board_advance (&routed, 2000 / 3 + 50); // a third of the time for a change
  call = next_store_call (TT_STORE_CONFIG);
  CU_ASSERT (call.op == TT_PLATFORM_WATCH_ENTRIES && call.answers_at_once);
  CU_ASSERT_EQUAL (call.version, watch.version);
  respond (&call, TT_OK, &changes);
  UNIT_REQUIRE (routed.board->routes.table != NULL);
  CU_ASSERT_EQUAL (routed.board->routes.table->version, 5);
  call = next_store_call (TT_STORE_CONFIG);
  CU_ASSERT (call.op == TT_PLATFORM_WATCH_ENTRIES && !call.answers_at_once);
  CU_ASSERT_EQUAL (call.version, 12);
  tt_route_table_free (entry.table);
  routed_board_close (&routed);
}

/// Guards against a daemon that is not registered in the store, and against unneeded writes of its
/// entry.
static void
own_entry_is_registered (void)
{
  TtStoreEntry self = { .kind = TT_STORE_DAEMONS,
                        .name = "d1",
                        .valid = true,
                        .daemon = { .address = "127.0.0.1", .port = 7001 } };
  TtStoreEntries list
      = { .kind = TT_STORE_DAEMONS, .entries = &self, .count = 0, .is_list = true, .revision = 10 };
  TtPlatformAction call;

  routed_board_open (&routed);
  routed_board_advance (&routed, 50);
  call = next_store_call (TT_STORE_DAEMONS);
  respond (&call, TT_OK, &list);
  do
    call = next_store_call (TT_STORE_DAEMONS);
  while (call.op != TT_PLATFORM_CREATE);
  respond (&call, TT_E_CONFLICT, NULL);
  do
    call = next_store_call (TT_STORE_DAEMONS);
  while (call.op != TT_PLATFORM_REPLACE);
  // A daemon that started at the same time may have written its entry since the first list.
  respond (&call, TT_OK, NULL);
  call = next_store_call (TT_STORE_DAEMONS);
  CU_ASSERT_EQUAL (call.op, TT_PLATFORM_LIST);
  list.count = 1;
  respond (&call, TT_OK, &list);
  routed_board_advance (&routed, 5000);
  CU_ASSERT_EQUAL (count_store_calls (TT_STORE_DAEMONS), 0);
  routed_board_close (&routed);

  routed_board_open (&routed);
  routed_board_advance (&routed, 50);
  call = next_store_call (TT_STORE_DAEMONS);
  respond (&call, TT_OK, &list);
  CU_ASSERT (routed.board->feed.own_entry_current);
  routed_board_advance (&routed, 5000);
  CU_ASSERT_EQUAL (count_store_calls (TT_STORE_DAEMONS), 0);
  routed_board_close (&routed);
}

static const UnitTest tests[] = {
  { "unreadable_changes_are_relisted", unreadable_changes_are_relisted },
  { "list_pages_then_watch", list_pages_then_watch },
  { "compacted_revision_is_relisted", compacted_revision_is_relisted },
  { "changes_are_batched", changes_are_batched },
  { "refused_calls_back_off", refused_calls_back_off },
  { "unreadable_watches_back_off", unreadable_watches_back_off },
  { "own_entry_is_registered", own_entry_is_registered },
  { "lost_watch_is_renewed", lost_watch_is_renewed },
  { "watch_in_new_era", watch_in_new_era },
  { "late_answer_of_old_era", late_answer_of_old_era },
  { "era_changes_between_pages", era_changes_between_pages },
};

UNIT_MAIN ("feed", tests)
