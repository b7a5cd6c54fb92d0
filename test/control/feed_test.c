#include "support/routed.h"
#include "support/unit.h"
#include "tarragontrack/board/error_defs.h"
#include <string.h>

static Routed routed;

/// Takes the next platform call of a kind.
static TtPlatformAction
take_call (TtStoreKind kind)
{
  TtAction action = { 0 };

  do
    UNIT_REQUIRE (routed_take (&routed, TT_ACTION_PLATFORM, &action));
  while (action.platform.kind != kind);
  return action.platform;
}

static void
answer (const TtPlatformAction *call, int code, TtStoreEntries *entries)
{
  TtEvent event = { .type = TT_EVENT_PLATFORM };

  event.platform.call_id = call->call_id;
  event.platform.op = call->op;
  event.platform.code = code;
  event.platform.entries = entries;
  routed_post (&routed, 1, &event);
}

/// Guards against a page that is lost, and against following from before the list was read.
static void
pages_then_changes (void)
{
  TtStoreEntry none = { 0 };
  TtStoreEntries page = { .kind = TT_STORE_CONFIG,
                          .entries = &none,
                          .whole = true,
                          .more = true,
                          .next = "m",
                          .revision = 10 };
  TtPlatformAction call;

  routed_open (&routed);
  routed_wait (&routed, 50);
  call = take_call (TT_STORE_CONFIG);
  CU_ASSERT_EQUAL (call.op, TT_PLATFORM_LIST);
  answer (&call, TT_OK, &page);
  call = take_call (TT_STORE_CONFIG);
  CU_ASSERT_EQUAL (call.op, TT_PLATFORM_LIST);
  CU_ASSERT_STRING_EQUAL (call.after, "m");
  page.more = false;
  answer (&call, TT_OK, &page);
  call = take_call (TT_STORE_CONFIG);
  CU_ASSERT_EQUAL (call.op, TT_PLATFORM_FOLLOW);
  CU_ASSERT_EQUAL (call.version, 10);
  routed_close (&routed);
}

/// Guards against following a history that the store has forgotten.
static void
forgotten_history (void)
{
  TtStoreEntry none = { 0 };
  TtStoreEntries list
      = { .kind = TT_STORE_CONFIG, .entries = &none, .whole = true, .revision = 10 };
  TtPlatformAction call;

  routed_open (&routed);
  routed_wait (&routed, 50);
  call = take_call (TT_STORE_CONFIG);
  answer (&call, TT_OK, &list);
  call = take_call (TT_STORE_CONFIG);
  answer (&call, TT_E_STALE, NULL);
  call = take_call (TT_STORE_CONFIG);
  CU_ASSERT_EQUAL (call.op, TT_PLATFORM_LIST);
  routed_close (&routed);
}

/// Answers the open call of a kind with one change. RETURN ms until the next call, in steps of 50.
static unsigned
pause_after_change (TtStoreKind kind)
{
  TtStoreEntry change = { .kind = kind, .name = "x" };
  TtStoreEntries changes = { .kind = kind, .entries = &change, .count = 1, .revision = 11 };
  TtStoreEntries list = { .kind = kind, .entries = &change, .whole = true, .revision = 10 };
  TtPlatformAction call;
  unsigned pause_ms = 0;

  routed_open (&routed);
  routed_wait (&routed, 50);
  call = take_call (kind);
  answer (&call, TT_OK, &list);
  call = take_call (kind);
  CU_ASSERT_EQUAL (call.op, TT_PLATFORM_FOLLOW);
  answer (&call, TT_OK, &changes);
  for (; pause_ms < 5000; pause_ms += 50)
    {
      TtAction action = { 0 };

      while (routed_take (&routed, TT_ACTION_PLATFORM, &action))
        if (action.platform.kind == kind)
          {
            routed_close (&routed);
            return pause_ms;
          }
      routed_wait (&routed, 50);
    }
  routed_close (&routed);
  return pause_ms;
}

/// Guards against a priced call for each of many changes, and against pauses in which a leaving
/// backend server stops or a configuration comes too late.
static void
changes_are_gathered (void)
{
  unsigned pause_ms = pause_after_change (TT_STORE_SERVERS);

  CU_ASSERT (pause_ms >= 500 && pause_ms <= 1000); // of the 2 s that it still serves
  CU_ASSERT (pause_after_change (TT_STORE_CONFIG) <= 50);
}

/// Guards against calls without pause to a store that refuses, and against pauses so long that a
/// change comes too late after its return.
static void
refusing_store (void)
{
  unsigned calls = 0;

  routed_open (&routed);
  for (int i = 0; i < 200; i++)
    {
      TtAction action = { 0 };

      routed_wait (&routed, 50);
      while (routed_take (&routed, TT_ACTION_PLATFORM, &action))
        if (action.platform.kind == TT_STORE_CONFIG)
          {
            calls++;
            answer (&action.platform, TT_E_UNAVAILABLE, NULL);
          }
    }
  CU_ASSERT (calls >= 10 && calls <= 40); // in 10 s
  routed_close (&routed);
}

/// Guards against a daemon that the others cannot find, and against needless writes of its entry.
static void
own_entry (void)
{
  TtStoreEntry self = { .kind = TT_STORE_DAEMONS,
                        .name = "d1",
                        .readable = true,
                        .daemon = { .address = "127.0.0.1", .port = 7001 } };
  TtStoreEntries list
      = { .kind = TT_STORE_DAEMONS, .entries = &self, .count = 0, .whole = true, .revision = 10 };
  TtPlatformAction call;

  routed_open (&routed);
  routed_wait (&routed, 50);
  call = take_call (TT_STORE_DAEMONS);
  answer (&call, TT_OK, &list);
  do
    call = take_call (TT_STORE_DAEMONS);
  while (call.op != TT_PLATFORM_CREATE);
  answer (&call, TT_E_CONFLICT, NULL);
  do
    call = take_call (TT_STORE_DAEMONS);
  while (call.op != TT_PLATFORM_REPLACE);
  list.count = 1;
  routed_close (&routed);

  routed_open (&routed);
  routed_wait (&routed, 50);
  call = take_call (TT_STORE_DAEMONS);
  answer (&call, TT_OK, &list);
  CU_ASSERT (routed.board->feed.own_known);
  routed_close (&routed);
}

static const UnitTest tests[] = {
  { "pages_then_changes", pages_then_changes },
  { "forgotten_history", forgotten_history },
  { "changes_are_gathered", changes_are_gathered },
  { "refusing_store", refusing_store },
  { "own_entry", own_entry },
};

UNIT_MAIN ("feed", tests)
