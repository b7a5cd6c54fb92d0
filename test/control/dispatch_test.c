#include "support/routed_board.h"
#include "support/unit.h"
#include "tarragontrack/board/backend.h"
#include "tarragontrack/board/hash.h"
#include "tarragontrack/board/request.h"
#include <string.h>

static RoutedBoard routed;

static TtAttemptAction
next_attempt (void)
{
  TtAction action = { 0 };

  UNIT_REQUIRE (routed_board_next_action (&routed, TT_ACTION_DISPATCH, &action));
  return action.attempt;
}

static void
open_engines (void)
{
  routed_board_open (&routed);
  routed_board_configure (&routed, 1, false);
  routed_board_list_servers (&routed, ROUTED_ENGINE_SERVICE, 4, "e1", "e2", "e3", "e4");
}

/// Guards against placing requests with the same prompt prefix on several engines, each of which
/// then computes the prefix.
static void
same_prompt_same_engine (void)
{
  uint64_t home;

  open_engines ();
  (void) routed_board_send_request (&routed, "/s/x", 7, 6000);
  home = next_attempt ().backend_id;
  (void) routed_board_send_request (&routed, "/s/y", 7, 6000);
  CU_ASSERT_EQUAL (next_attempt ().backend_id, home);
  routed_board_close (&routed);
}

/// Guards against an engine whose load exceeds the bound of 2 x mean + 3, and against requests
/// beyond the bound that are not placed on another engine.
static void
load_is_bounded (void)
{
  uint64_t home;
  uint64_t elsewhere = 0;
  uint32_t home_count = 0;

  open_engines ();
  (void) routed_board_send_request (&routed, "/s/x", 7, 6000);
  home = next_attempt ().backend_id;
  for (int i = 0; i < 15; i++)
    {
      uint64_t id;

      (void) routed_board_send_request (&routed, "/s/x", 7, 6000);
      id = next_attempt ().backend_id;
      home_count += id == home ? 1 : 0;
      if (id != home)
        elsewhere = id;
    }
  // 16 requests on 4 engines: the mean is 4, the bound 2 x 4 + 3
  CU_ASSERT (home_count + 1 <= 11);
  CU_ASSERT_NOT_EQUAL (elsewhere, 0);
  CU_ASSERT_EQUAL (routed.board->dispatch.prefix_table != NULL, true);
  routed_board_close (&routed);
}

/// Adds 28 daemons, so that the fleet has 29.
static void
join_daemons (void)
{
  TtPeerMessage message = { .type = TT_PEER_STATUS };
  TtEvent event = { .type = TT_EVENT_PEER_MESSAGE, .peer = &message };

  for (int i = 2; i <= 29; i++)
    {
      (void) snprintf (message.status.name, sizeof message.status.name, "d%d", i);
      (void) snprintf (message.status.address, sizeof message.status.address, "127.0.0.%d", i);
      message.status.port = 7001;
      routed_board_step (&routed, 1, &event);
    }
}

/// Guards against a load above the bound in a large fleet, whose daemons receive each other's loads
/// late and send several requests to the same engine before that (skurd-tarragon-grown, scale-1:
/// 118 of 3,224 requests).
static void
stale_loads_reserve_capacity (void)
{
  uint64_t home;
  uint32_t home_count = 1;

  open_engines ();
  join_daemons ();
  (void) routed_board_send_request (&routed, "/s/x", 7, 6000);
  home = next_attempt ().backend_id;
  for (int i = 0; i < 15; i++)
    {
      (void) routed_board_send_request (&routed, "/s/x", 7, 6000);
      home_count += next_attempt ().backend_id == home ? 1 : 0;
    }
  // The mean is 4. Requests are placed up to a load of 8, so that most of the 3 above 2 x 4 stays
  // free.
  CU_ASSERT (home_count <= 9);
  routed_board_close (&routed);
}

/// Guards against requests that are placed away from the prefix holder although it runs only two.
/// In a large fleet, the margin below the bound can exceed the bound while the load is low.
static void
low_load_stays_on_holder (void)
{
  uint64_t home;

  open_engines ();
  join_daemons ();
  (void) routed_board_send_request (&routed, "/s/x", 7, 6000);
  home = next_attempt ().backend_id;
  for (int i = 0; i < 2; i++)
    {
      (void) routed_board_send_request (&routed, "/s/x", 7, 6000);
      CU_ASSERT_EQUAL (next_attempt ().backend_id, home); // the mean is below one
    }
  routed_board_close (&routed);
}

/// Opens a board with four plain backend servers. Other daemons run @first_load requests on the
/// first one and @other_load on each of the others.
static void
open_plain (uint32_t first_load, uint32_t other_load)
{
  routed_board_open (&routed);
  routed_board_configure (&routed, 1, false);
  routed_board_list_servers (&routed, ROUTED_PLAIN_SERVICE, 4, "p1", "p2", "p3", "p4");
  TT_LIST_FOREACH (&routed.board->backends.all, it)
    {
      TtBackendServer *backend = TT_CONTAINER_OF (it, TtBackendServer, link);
      bool first = strcmp (backend->name, "p1") == 0;

      backend->fleet.peer_requests = first ? first_load : other_load;
      backend->registry.slots = 8;
    }
}

/// Sends 40 requests one after the other. RETURN the number placed on the first backend server.
static unsigned
count_first (void)
{
  unsigned count = 0;

  for (int i = 0; i < 40; i++)
    {
      TtAttemptAction attempt;

      (void) routed_board_send_request (&routed, "/get/x", 0, 600);
      attempt = next_attempt ();
      count += attempt.backend_id == tt_hash_string ("p1") ? 1 : 0;
      routed_board_attempt_sent (&routed, attempt.attempt_id);
      routed_board_attempt_done (&routed, attempt.attempt_id, 200, false);
    }
  return count;
}

/// Guards against a thundering herd: all daemons choose the least loaded backend server until they
/// receive each other's loads (skurd-tarragon-grown: 18 requests on one while the mean was 5).
static void
plain_requests_are_spread (void)
{
  unsigned count;

  open_plain (0, 2);
  count = count_first ();
  CU_ASSERT (count > 10 && count < 30); // half of them on average
  routed_board_close (&routed);
}

/// Guards against a preference for the daemon's own failure domain that exceeds the load bound.
static void
local_preference_is_bounded (void)
{
  open_plain (9, 1);
  TT_LIST_FOREACH (&routed.board->backends.all, it)
    {
      TtBackendServer *backend = TT_CONTAINER_OF (it, TtBackendServer, link);

      if (strcmp (backend->name, "p1") == 0)
        backend->registry.slots = 100; // low slot utilization
      else
        backend->domain_id = tt_hash_string ("z2");
    }
  CU_ASSERT_EQUAL (count_first (), 0);
  routed_board_close (&routed);
}

/// Sends a stream with a given prompt prefix, which must not be placed on @home. RETURN the engine
/// from which the prefix is copied.
static uint64_t
copy_source_off_home (uint64_t home)
{
  uint64_t id = routed_board_send_request (&routed, "/s/y", 7, 6000);
  const TtRequest *request;

  CU_ASSERT_NOT_EQUAL (next_attempt ().backend_id, home);
  request = tt_request_find (routed.board, id);
  UNIT_REQUIRE (request != NULL);
  return request->dispatch.prefix_source_id;
}

/// Guards against a second prefill of a prompt prefix whose KV cache another engine could transfer,
/// and against a transfer from an engine that wants no more work because it leaves (DRAIN).
static void
source_of_prefix_is_set (void)
{
  TtBackendServer *home;

  open_engines ();
  (void) routed_board_send_request (&routed, "/s/x", 7, 6000);
  home = tt_backend_find (routed.board, next_attempt ().backend_id);
  home->fleet.peer_requests = 100; // above the load limit
  CU_ASSERT_EQUAL (copy_source_off_home (home->id), home->id);
  routed_board_change_server (&routed, home->name, ROUTED_ENGINE_SERVICE, true, false, 1);
  CU_ASSERT_NOT_EQUAL (copy_source_off_home (home->id), home->id);
  routed_board_close (&routed);
}

/// Guards against a request that is held until its deadline although no backend server can run it.
static void
refused_without_backend_servers (void)
{
  TtAction action = { 0 };

  routed_board_open (&routed);
  routed_board_configure (&routed, 1, false);
  (void) routed_board_send_request (&routed, "/get/x", 0, 600);
  routed_board_advance (&routed, 100);
  UNIT_REQUIRE (routed_board_next_action (&routed, TT_ACTION_REPLY, &action));
  CU_ASSERT_EQUAL (action.reply.status, 503);
  CU_ASSERT_EQUAL (action.reply.outcome, TT_OUTCOME_NOT_RUN);
  CU_ASSERT (action.reply.retry_after_ms > 0);
  routed_board_close (&routed);
}

/// Guards against a request that is retried on unreachable backend servers, 250 ms each, until its
/// deadline (skurd-tarragon, inc-ec1d: 775 ms held, then refused).
static void
failed_connects_are_bounded (void)
{
  TtAction action = { 0 };
  unsigned attempts = 0;

  routed_board_open (&routed);
  routed_board_configure (&routed, 1, false);
  routed_board_list_servers (&routed, ROUTED_PLAIN_SERVICE, 2, "p1", "p2");
  (void) routed_board_send_request (&routed, "/once/x", 0, 5000);
  for (int i = 0; i < 12; i++)
    {
      routed_board_advance (&routed, 250);
      if (!routed_board_next_action (&routed, TT_ACTION_DISPATCH, &action))
        break;
      attempts++;
      routed_board_attempt_failed (&routed, action.attempt.attempt_id, TT_E_UNAVAILABLE, false);
    }
  CU_ASSERT (attempts >= 2 && attempts <= 4);
  routed_board_close (&routed);
}

/// Load pattern: all engines are avoided for a moment while streams run. Guards against a stream
/// that is broken off at once because no engine can go on with it: its caller cannot be told when
/// to return.
static void
begun_stream_waits_for_engine (void)
{
  TtAttemptAction first;
  TtAction action = { 0 };

  open_engines ();
  (void) routed_board_send_request (&routed, "/s/x", 7, 6000);
  first = next_attempt ();
  routed_board_attempt_sent (&routed, first.attempt_id);
  for (uint32_t event = 1; event <= 15; event++) // past a third of the caller's time
    {
      routed_board_advance (&routed, 200);
      routed_board_attempt_progress (&routed, first.attempt_id, event);
    }
  TT_LIST_FOREACH (&routed.board->backends.all, it)
    {
      TtBackendServer *backend = TT_CONTAINER_OF (it, TtBackendServer, link);

      backend->breaker.state = TT_BREAKER_OPEN;
      backend->breaker.open_until_us = routed.now_us + 500 * TT_MILLISECOND_US;
      backend->breaker.last_response_us = 0; // otherwise it would be tried as a last resort
    }
  routed_board_attempt_failed (&routed, first.attempt_id, TT_E_CRASHED, true);
  routed_board_advance (&routed, 300);
  CU_ASSERT_FALSE (routed_board_next_action (&routed, TT_ACTION_REPLY, NULL));
  routed_board_advance (&routed, 400);
  CU_ASSERT (routed_board_next_action (&routed, TT_ACTION_DISPATCH, &action));
  routed_board_close (&routed);
}

static const UnitTest tests[] = {
  { "same_prompt_same_engine", same_prompt_same_engine },
  { "load_is_bounded", load_is_bounded },
  { "stale_loads_reserve_capacity", stale_loads_reserve_capacity },
  { "low_load_stays_on_holder", low_load_stays_on_holder },
  { "plain_requests_are_spread", plain_requests_are_spread },
  { "local_preference_is_bounded", local_preference_is_bounded },
  { "source_of_prefix_is_set", source_of_prefix_is_set },
  { "refused_without_backend_servers", refused_without_backend_servers },
  { "failed_connects_are_bounded", failed_connects_are_bounded },
  { "begun_stream_waits_for_engine", begun_stream_waits_for_engine },
};

UNIT_MAIN ("dispatch", tests)
