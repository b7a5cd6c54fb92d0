#include "support/routed_board.h"
#include "support/unit.h"
#include "tarragontrack/board/backend.h"
#include "tarragontrack/control/prefix_table.h"

#define KEY 42

static RoutedBoard routed;

static TtBackendServer *
find_engine (const char *name)
{
  return tt_backend_find (routed.board, tt_hash_string (name));
}

static void
open_with_three_engines (void)
{
  routed_board_open (&routed);
  routed_board_configure (&routed, 1, false);
  routed_board_list_servers (&routed, ROUTED_ENGINE_SERVICE, 3, "e1", "e2", "e3");
}

/// Guards against daemons that do not converge after concurrent, conflicting changes of an entry.
static void
concurrent_changes_converge (void)
{
  RoutedBoard other;
  TtBackendServer *first;
  TtBackendServer *second;
  TtStatusPrefixHolder changes[TT_MAX_STATUS_HOLDERS];
  uint32_t count;

  open_with_three_engines ();
  other = routed;
  open_with_three_engines ();
  first = tt_backend_find (other.board, tt_hash_string ("e1"));
  second = find_engine ("e2");
  tt_prefix_table_set (other.board, KEY, first, other.now_us);
  tt_prefix_table_set (routed.board, KEY, second, routed.now_us);
  count = tt_prefix_table_pop_changes (other.board, changes);
  CU_ASSERT_EQUAL (count, 1);
  tt_prefix_table_merge (routed.board, &changes[0], false, routed.now_us);
  CU_ASSERT_EQUAL (tt_prefix_table_pop_changes (routed.board, changes) <= 1, true);
  tt_prefix_table_merge (other.board, &(TtStatusPrefixHolder){ KEY, second->id }, false,
                         other.now_us);
  CU_ASSERT_EQUAL (tt_prefix_table_find (routed.board, KEY, routed.now_us)->id,
                   tt_prefix_table_find (other.board, KEY, other.now_us)->id);
  routed_board_close (&other);
  routed_board_close (&routed);
}

/// Guards against routing a prompt to an engine that is leaving, and against a copy of the prefix
/// that is taken from it while it exits.
static void
leaving_engine_is_no_source (void)
{
  open_with_three_engines ();
  tt_prefix_table_set (routed.board, KEY, find_engine ("e1"), routed.now_us);
  CU_ASSERT_PTR_EQUAL (tt_prefix_table_copy_source (routed.board, KEY, routed.now_us),
                       find_engine ("e1"));
  routed_board_change_server (&routed, "e1", ROUTED_ENGINE_SERVICE, true, false, 1);
  CU_ASSERT_PTR_NULL (tt_prefix_table_find (routed.board, KEY, routed.now_us));
  CU_ASSERT_PTR_NULL (tt_prefix_table_copy_source (routed.board, KEY, routed.now_us));
  routed_board_close (&routed);
}

/// Guards against advertising a change more than once as new, and against entries that the periodic
/// resynchronization omits.
static void
change_advertised_once (void)
{
  TtStatusPrefixHolder entries[TT_MAX_STATUS_HOLDERS];

  open_with_three_engines ();
  tt_prefix_table_set (routed.board, KEY, find_engine ("e1"), routed.now_us);
  CU_ASSERT_EQUAL (tt_prefix_table_pop_changes (routed.board, entries), 1);
  CU_ASSERT_EQUAL (tt_prefix_table_pop_changes (routed.board, entries), 0);
  CU_ASSERT_EQUAL (tt_prefix_table_next_entries (routed.board, entries), 1);
  CU_ASSERT_EQUAL (entries[0].key, KEY);
  routed_board_close (&routed);
}

static const UnitTest tests[] = {
  { "concurrent_changes_converge", concurrent_changes_converge },
  { "leaving_engine_is_no_source", leaving_engine_is_no_source },
  { "change_advertised_once", change_advertised_once },
};

UNIT_MAIN ("prefix_table", tests)
