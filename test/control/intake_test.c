#include "support/unit.h"
#include "tarragontrack/board/board.h"
#include "tarragontrack/board/error.h"
#include "tarragontrack/control/controllers.h"
#include "tarragontrack/control/intake.h"
#include <string.h>

#define START_US (100 * TT_SECOND_US)
#define MB ((size_t) 1 << 20)
#define BODY_BYTES (4 * MB)
#define FIXED_BYTES ((size_t) 8192) ///< charge of each connection

enum
{
  ENTRIES = 64
};

static TtBoard *board;
static TtIntakePort port;
static TtIntakeEntry entries[ENTRIES];
static int64_t now_us;

/// Creates a board whose account holds 16 MB, and a port.
static void
open_port (uint32_t max_connections)
{
  TtBoardConfig config = { .fleet = "f",
                           .name = "d",
                           .domain = "z",
                           .max_requests = 16,
                           .max_attempts = 16,
                           .max_accounts = 16,
                           .memory_bytes = 64 * MB,
                           .descriptors = 1024,
                           .request_timeout_ms = 30000,
                           .send_timeout_ms = 10000 };
  TtController controller = tt_intake_controller ();

  board = tt_board_new (&config);
  UNIT_REQUIRE (board != NULL && tt_board_add_controller (board, &controller) == TT_OK);
  memset (&port, 0, sizeof port);
  memset (entries, 0, sizeof entries);
  tt_intake_open_port (board, &port, max_connections);
  now_us = START_US;
}

static void
connect_entries (unsigned count)
{
  for (unsigned i = 0; i < count; i++)
    tt_intake_connect (board, &port, &entries[i], now_us);
}

static void
receive (unsigned index, size_t held)
{
  tt_intake_receive (board, &entries[index], held, held - entries[index].held_bytes, true, now_us);
}

/// Steps the board a second later.
static void
advance (unsigned seconds)
{
  TtEvent tick = { .type = TT_EVENT_TICK };

  now_us += seconds * TT_SECOND_US;
  tt_board_step (board, &tick, now_us);
}

/// Index of the next connection with a verdict; -1 = none.
static int
next_ended (TtIntakeVerdict verdict)
{
  const TtIntakeEntry *entry = tt_intake_pop_ended (board);

  if (entry == NULL)
    return -1;
  CU_ASSERT_EQUAL (entry->verdict, verdict);
  return (int) (entry - entries);
}

/// Closes all connections; the account must be empty then.
static void
close_port (void)
{
  for (unsigned i = 0; i < ENTRIES; i++)
    tt_intake_disconnect (board, &entries[i]);
  CU_ASSERT_EQUAL (board->intake.held_bytes, 0);
  CU_ASSERT_EQUAL (board->intake.large.count, 0);
  CU_ASSERT_EQUAL (board->intake.ended.count, 0);
  CU_ASSERT_EQUAL (port.connections, 0);
  tt_board_free (board);
}

/// Guards against an account that refuses a single request within the limits.
static void
lone_body (void)
{
  open_port (1024);
  connect_entries (ENTRIES);
  for (size_t size = 1; size <= tt_intake_max_body_bytes (board); size += MB / 4)
    receive (0, size);
  receive (0, tt_intake_max_body_bytes (board));
  CU_ASSERT_EQUAL (next_ended (TT_INTAKE_KEPT), -1);
  CU_ASSERT (tt_intake_max_body_bytes (board) >= BODY_BYTES);
  close_port ();
}

/// Guards against a crowd of stalled bodies that holds the memory while others want to upload.
static void
slowest_first (void)
{
  open_port (1024);
  connect_entries (8);
  receive (0, BODY_BYTES); // stalls from here on
  advance (10);
  receive (1, BODY_BYTES);
  advance (1);
  for (unsigned i = 2; i < 4; i++)
    receive (i, BODY_BYTES);
  CU_ASSERT_EQUAL (next_ended (TT_INTAKE_NO_MEMORY), 0);
  receive (4, BODY_BYTES);
  CU_ASSERT_EQUAL (next_ended (TT_INTAKE_NO_MEMORY), 1);
  CU_ASSERT_EQUAL (next_ended (TT_INTAKE_KEPT), -1);
  CU_ASSERT (board->intake.held_bytes <= board->intake.max_bytes);
  close_port ();
}

/// Guards against many stalled bodies that push out a larger one which goes forward.
static void
many_small_bodies (void)
{
  open_port (1024);
  connect_entries (ENTRIES);
  for (unsigned i = 1; i < ENTRIES; i++)
    receive (i, 256 << 10);
  advance (5);
  for (size_t size = MB; size <= BODY_BYTES; size += MB)
    receive (0, size);
  for (int index; (index = next_ended (TT_INTAKE_NO_MEMORY)) >= 0;)
    CU_ASSERT_NOT_EQUAL (index, 0);
  CU_ASSERT_EQUAL (entries[0].verdict, TT_INTAKE_KEPT);
  close_port ();
}

/// Guards against stalled bodies of callers that come back, which push out an older one that goes
/// forward.
static void
steady_upload (void)
{
  open_port (1024);
  connect_entries (ENTRIES);
  for (unsigned second = 1; second <= 8; second++)
    {
      receive (0, second * MB / 2);
      for (unsigned i = 0; i < 7; i++)
        receive (1 + (second - 1) * 7 + i, 300 << 10);
      advance (1);
    }
  for (int index; (index = next_ended (TT_INTAKE_NO_MEMORY)) >= 0;)
    CU_ASSERT_NOT_EQUAL (index, 0);
  CU_ASSERT_EQUAL (entries[0].verdict, TT_INTAKE_KEPT);
  CU_ASSERT (entries[1].verdict == TT_INTAKE_NO_MEMORY);
  close_port ();
}

/// Guards against a full account that refuses requests which need no more than the fixed charge.
static void
small_requests_spared (void)
{
  open_port (1024);
  connect_entries (ENTRIES);
  tt_intake_hold (board, 20 * MB, now_us);
  for (unsigned i = 0; i < ENTRIES; i++)
    receive (i, FIXED_BYTES);
  CU_ASSERT_EQUAL (next_ended (TT_INTAKE_KEPT), -1);
  receive (7, FIXED_BYTES + 1);
  CU_ASSERT_EQUAL (next_ended (TT_INTAKE_NO_MEMORY), 7);
  tt_intake_release (board, 20 * MB);
  close_port ();
}

/// Guards against silent connections that take all of a port, and against cutting off requests in
/// service, or callers that have sent a request before, while there are silent ones.
static void
full_port (void)
{
  open_port (4);
  connect_entries (4);
  tt_intake_set_phase (board, &entries[0], TT_INTAKE_SERVING, now_us);
  tt_intake_set_phase (board, &entries[1], TT_INTAKE_SERVING, now_us);
  tt_intake_set_phase (board, &entries[1], TT_INTAKE_WAITING, now_us);
  for (unsigned i = 4; i < 7; i++)
    {
      static const int expected[] = { 2, 3, 4 };

      tt_intake_connect (board, &port, &entries[i], now_us);
      CU_ASSERT_EQUAL (next_ended (TT_INTAKE_NO_CONNECTION), expected[i - 4]);
      tt_intake_disconnect (board, &entries[expected[i - 4]]);
    }
  tt_intake_set_phase (board, &entries[5], TT_INTAKE_SERVING, now_us);
  tt_intake_set_phase (board, &entries[6], TT_INTAKE_SERVING, now_us);
  tt_intake_connect (board, &port, &entries[7], now_us);
  CU_ASSERT_EQUAL (next_ended (TT_INTAKE_NO_CONNECTION), 1);
  tt_intake_disconnect (board, &entries[1]);
  tt_intake_set_phase (board, &entries[7], TT_INTAKE_SERVING, now_us);
  tt_intake_connect (board, &port, &entries[8], now_us);
  CU_ASSERT_EQUAL (next_ended (TT_INTAKE_NO_CONNECTION), 8);
  CU_ASSERT_EQUAL (next_ended (TT_INTAKE_KEPT), -1);
  close_port ();
}

/// Guards against callers that fill a port with responses that they do not read.
static void
full_port_of_stuck_responses (void)
{
  open_port (2);
  connect_entries (2);
  for (unsigned i = 0; i < 2; i++)
    {
      tt_intake_set_phase (board, &entries[i], TT_INTAKE_SERVING, now_us);
      tt_intake_report_unsent (&entries[i], 1000, now_us);
    }
  now_us += 2 * TT_SECOND_US;
  tt_intake_report_unsent (&entries[0], 500, now_us);
  tt_intake_report_unsent (&entries[1], 1000, now_us);
  tt_intake_connect (board, &port, &entries[2], now_us);
  CU_ASSERT_EQUAL (next_ended (TT_INTAKE_NO_CONNECTION), 1);
  close_port ();
}

/// Guards against requests that trickle in without end, responses that are never read, and
/// refusals whose connection stays.
static void
time_limits (void)
{
  open_port (16);
  connect_entries (4);
  receive (0, 100);
  tt_intake_set_phase (board, &entries[1], TT_INTAKE_SERVING, now_us);
  tt_intake_set_phase (board, &entries[2], TT_INTAKE_REFUSED, now_us);
  for (unsigned second = 1; second <= 31; second++)
    {
      advance (1);
      receive (0, 100 + second);
      tt_intake_report_unsent (&entries[1], second < 5 ? second : 5, now_us);
      if (second == 3)
        CU_ASSERT_EQUAL (next_ended (TT_INTAKE_LINGERED), 2);
      if (second == 16)
        CU_ASSERT_EQUAL (next_ended (TT_INTAKE_RESPONSE_STUCK), 1);
      if (second == 31)
        CU_ASSERT_EQUAL (next_ended (TT_INTAKE_REQUEST_LATE), 0);
      CU_ASSERT_EQUAL (next_ended (TT_INTAKE_KEPT), -1);
    }
  close_port ();
}

/// Guards against bytes that stay charged after a connection has ended in any of its phases.
static void
all_given_back (void)
{
  open_port (16);
  connect_entries (6);
  receive (0, BODY_BYTES);
  receive (1, BODY_BYTES);
  tt_intake_set_phase (board, &entries[1], TT_INTAKE_REFUSED, now_us);
  CU_ASSERT_EQUAL (board->intake.held_bytes, BODY_BYTES + 5 * FIXED_BYTES);
  receive (1, BODY_BYTES); // what a refused caller sends is not kept
  CU_ASSERT_EQUAL (board->intake.held_bytes, BODY_BYTES + 5 * FIXED_BYTES);
  receive (2, BODY_BYTES);
  tt_intake_set_phase (board, &entries[2], TT_INTAKE_SERVING, now_us);
  tt_intake_receive (board, &entries[2], 0, 0, false, now_us);
  tt_intake_hold (board, BODY_BYTES, now_us);
  tt_intake_disconnect (board, &entries[2]);
  tt_intake_release (board, BODY_BYTES);
  tt_intake_hold (board, 15 * MB, now_us);
  CU_ASSERT_EQUAL (next_ended (TT_INTAKE_NO_MEMORY), 0);
  tt_intake_release (board, 15 * MB);
  CU_ASSERT_EQUAL (board->intake.held_bytes, 5 * FIXED_BYTES);
  tt_intake_disconnect (board, &entries[2]); // a second time
  close_port ();
}

/// Guards against limits that a host with little memory or few descriptors does not bear.
static void
limits_of_the_host (void)
{
  TtIntakePort ports[3] = { 0 };

  open_port (4096);
  CU_ASSERT_EQUAL (port.max_connections, (1024 - 200 - 128) / 2);
  board->config.descriptors = 100000;
  tt_intake_open_port (board, &ports[0], 4096);
  CU_ASSERT_EQUAL (ports[0].max_connections, 8 * MB / FIXED_BYTES);
  board->config.uses_tls = true;
  tt_intake_open_port (board, &ports[1], 4096);
  CU_ASSERT_EQUAL (ports[1].max_connections, 8 * MB / 65536);
  board->config.descriptors = 10;
  tt_intake_open_port (board, &ports[2], 4096);
  CU_ASSERT_EQUAL (ports[2].max_connections, 16);
  close_port ();
}

/// Guards against a crowd that fills the log.
static void
bounded_log (void)
{
  TtAction action;
  unsigned lines = 0;
  TtLink *link;

  open_port (16);
  connect_entries (1);
  for (unsigned i = 0; i < 100; i++)
    tt_intake_record_end (board, &entries[0], "test", i % 2 == 0, now_us);
  while ((link = tt_list_first (&board->outbox)) != NULL)
    {
      action = *TT_CONTAINER_OF (link, TtAction, link);
      lines += action.type == TT_ACTION_LOG ? 1 : 0;
      tt_board_release_action (board, tt_board_pop_action (board));
    }
  CU_ASSERT_EQUAL (lines, 10);
  CU_ASSERT_EQUAL (board->counters[TT_COUNT_CALLERS_REFUSED], 50);
  CU_ASSERT_EQUAL (board->counters[TT_COUNT_CALLERS_CLOSED], 50);
  close_port ();
}

static const UnitTest tests[] = {
  { "lone_body", lone_body },
  { "slowest_first", slowest_first },
  { "many_small_bodies", many_small_bodies },
  { "steady_upload", steady_upload },
  { "small_requests_spared", small_requests_spared },
  { "full_port", full_port },
  { "full_port_of_stuck_responses", full_port_of_stuck_responses },
  { "time_limits", time_limits },
  { "all_given_back", all_given_back },
  { "limits_of_the_host", limits_of_the_host },
  { "bounded_log", bounded_log },
};

UNIT_MAIN ("intake", tests)
