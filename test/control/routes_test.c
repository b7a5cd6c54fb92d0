#include "support/routed_board.h"
#include "support/unit.h"
#include "tarragontrack/board/backend.h"
#include "tarragontrack/board/error_defs.h"
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

static RoutedBoard routed;

static TtReplyAction
next_reply (void)
{
  TtAction action = { 0 };

  UNIT_REQUIRE (routed_board_next_action (&routed, TT_ACTION_REPLY, &action));
  return action.reply;
}

/// Guards against a 401 or 404 from a daemon that has no configuration yet.
static void
no_configuration_yet (void)
{
  TtReplyAction reply;

  routed_board_open (&routed);
  (void) routed_board_send_request (&routed, "/get/x", 0, 600);
  reply = next_reply ();
  CU_ASSERT_EQUAL (reply.status, 503);
  CU_ASSERT_EQUAL (reply.outcome, TT_OUTCOME_NOT_RUN);
  CU_ASSERT (reply.retry_after_ms > 0);
  routed_board_close (&routed);
}

/// Guards against an older configuration that replaces a newer one, from the store or from another
/// daemon.
static void
older_table_is_ignored (void)
{
  routed_board_open (&routed);
  routed_board_configure (&routed, 5, false);
  routed_board_configure (&routed, 4, false);
  CU_ASSERT_EQUAL (routed.board->routes.table->version, 5);
  routed_board_configure (&routed, 3, true);
  CU_ASSERT_EQUAL (routed.board->routes.table->version, 5);
  routed_board_configure (&routed, 9, true);
  CU_ASSERT_EQUAL (routed.board->routes.table->version, 9);
  CU_ASSERT (routed.board->routes.from_peer);
  routed_board_close (&routed);
}

/// Guards against dispatching requests that match no route, or that have no key or an unknown one.
static void
unroutable_requests_are_refused (void)
{
  TtRequestSpec spec = { .host = "h", .path = "/get/x", .external_id = "r" };
  TtEvent event = { .type = TT_EVENT_REQUEST, .request = &spec };

  routed_board_open (&routed);
  routed_board_configure (&routed, 1, false);
  routed_board_list_servers (&routed, ROUTED_PLAIN_SERVICE, 1, "p1");
  (void) routed_board_send_request (&routed, "/nowhere/x", 0, 600);
  CU_ASSERT_EQUAL (next_reply ().status, 404);
  spec.request_id = 900;
  routed_board_step (&routed, 1, &event);
  CU_ASSERT_EQUAL (next_reply ().status, 401);
  spec.request_id = 901;
  spec.bearer_key_hash = tt_hash_id128 (0, "other", 5);
  routed_board_step (&routed, 1, &event);
  CU_ASSERT_EQUAL (next_reply ().status, 401);
  CU_ASSERT_EQUAL (routed_board_count_actions (&routed, TT_ACTION_DISPATCH), 0);
  routed_board_close (&routed);
}

/// Guards against running requests of any caller after the last client account was removed (CONFIG,
/// ROUTE).
static void
empty_account_list_refuses_requests (void)
{
  TtStoreEntry entry = { .kind = TT_STORE_CONFIG, .name = "main", .valid = true };
  TtStoreEntries entries
      = { .kind = TT_STORE_CONFIG, .entries = &entry, .count = 1, .is_list = true, .revision = 2 };
  TtEvent event = { .type = TT_EVENT_PLATFORM_RESPONSE, .platform.entries = &entries };

  routed_board_open (&routed);
  routed_board_configure (&routed, 1, false);
  routed_board_list_servers (&routed, ROUTED_PLAIN_SERVICE, 1, "p1");
  entry.table = routed_board_new_table (2);
  free (entry.table->accounts[0].name);
  entry.table->account_count = 0;
  entry.table->key_count = 0;
  routed_board_step (&routed, 1, &event);
  (void) routed_board_send_request (&routed, "/once/x", 0, 600);
  CU_ASSERT_EQUAL (next_reply ().status, 401);
  CU_ASSERT_EQUAL (routed_board_count_actions (&routed, TT_ACTION_DISPATCH), 0);
  routed_board_close (&routed);
}

/// Steps the board with a configuration in which one service is replaced by another.
static void
configure_service (uint64_t version, const char *service)
{
  TtStoreEntry entry = { .kind = TT_STORE_CONFIG, .name = "main", .valid = true };
  TtStoreEntries entries = {
    .kind = TT_STORE_CONFIG, .entries = &entry, .count = 1, .is_list = true, .revision = version
  };
  TtEvent event = { .type = TT_EVENT_PLATFORM_RESPONSE, .platform.entries = &entries };
  TtRouteService *last;

  entry.table = routed_board_new_table (version);
  last = &entry.table->services[entry.table->service_count - 1];
  free (last->name);
  last->name = strdup (service);
  last->id = tt_hash_string (service);
  routed_board_step (&routed, 1, &event);
}

/// Guards against a limit on the services in a process's life: from the 65th name on, no request of
/// a new service was served (CONFIG).
static void
services_come_and_go (void)
{
  char name[TT_NAME_MAX];

  routed_board_open (&routed);
  for (unsigned i = 0; i < 200; i++)
    {
      (void) snprintf (name, sizeof name, "service-%u", i);
      configure_service (i + 1, name);
      CU_ASSERT_PTR_NOT_NULL (tt_pool_find (routed.board, tt_hash_string (name)));
    }
  routed_board_advance (&routed, 100);
  CU_ASSERT_EQUAL (routed.board->backends.pools.count, 2);
  routed_board_close (&routed);
}

/// Guards against freeing the service of an open request that an older configuration routed.
static void
service_of_open_request_is_kept (void)
{
  TtAction action = { 0 };

  routed_board_open (&routed);
  routed_board_configure (&routed, 1, false);
  routed_board_list_servers (&routed, ROUTED_PLAIN_SERVICE, 1, "p1");
  (void) routed_board_send_request (&routed, "/once/x", 0, 5000);
  UNIT_REQUIRE (routed_board_next_action (&routed, TT_ACTION_DISPATCH, &action));
  routed_board_attempt_sent (&routed, action.attempt.attempt_id);
  configure_service (2, "other");
  routed_board_change_server (&routed, "p1", ROUTED_PLAIN_SERVICE, false, true, 1);
  routed_board_advance (&routed, 100);
  CU_ASSERT_PTR_NOT_NULL (tt_pool_find (routed.board, tt_hash_string (ROUTED_PLAIN_SERVICE)));
  routed_board_attempt_done (&routed, action.attempt.attempt_id, 200, false);
  routed_board_advance (&routed, 100);
  CU_ASSERT_PTR_NULL (tt_pool_find (routed.board, tt_hash_string (ROUTED_PLAIN_SERVICE)));
  routed_board_close (&routed);
}

/// Guards against accepting requests on persistent connections after the announcement period of a
/// shutdown and then truncating their responses (raagmala-sync, trouble-2), and against a crash
/// during shutdown.
static void
shutdown_refuses_requests (void)
{
  const TtEvent drain = { .type = TT_EVENT_DRAIN };
  TtAction action = { 0 };

  routed_board_open (&routed);
  routed_board_configure (&routed, 1, false);
  routed_board_list_servers (&routed, ROUTED_PLAIN_SERVICE, 1, "p1");
  CU_ASSERT (routed.board->drain.ready);
  routed_board_step (&routed, 1, &drain);
  CU_ASSERT_FALSE (routed.board->drain.ready);
  (void) routed_board_send_request (&routed, "/once/x", 0, 10000);
  UNIT_REQUIRE (routed_board_next_action (&routed, TT_ACTION_DISPATCH, &action));
  routed_board_attempt_sent (&routed, action.attempt.attempt_id);
  routed_board_advance (&routed, 3100);
  (void) routed_board_send_request (&routed, "/get/y", 0, 600);
  CU_ASSERT_EQUAL (next_reply ().status, 503);
  routed_board_advance (&routed, 4000);
  CU_ASSERT_EQUAL (next_reply ().status, 504); // the request was sent, so no "not run" is promised
  CU_ASSERT_EQUAL (routed.board->drain.state, TT_DRAIN_DONE);
  routed_board_close (&routed);
}

/// Guards against a request that arrives after the announcement period of a shutdown, but before
/// the next tick, and is aborted at the time limit (skurd-tarragon, hunt-56d9-3: sent 3.0 s after
/// SIGTERM).
static void
shutdown_refuses_between_ticks (void)
{
  const TtEvent drain = { .type = TT_EVENT_DRAIN };
  const TtEvent tick = { .type = TT_EVENT_TICK };
  TtAction action = { 0 };

  routed_board_open (&routed);
  routed_board_configure (&routed, 1, false);
  routed_board_list_servers (&routed, ROUTED_PLAIN_SERVICE, 1, "p1");
  routed_board_step (&routed, 1, &drain);
  routed_board_step (&routed, 2990, &tick);
  (void) routed_board_send_request (&routed, "/get/x", 0, 600);
  CU_ASSERT_TRUE (routed_board_next_action (&routed, TT_ACTION_DISPATCH, &action));
  routed.now_us += 10 * TT_MILLISECOND_US;
  (void) routed_board_send_request (&routed, "/get/y", 0, 600);
  CU_ASSERT_EQUAL (next_reply ().status, 503);
  routed_board_close (&routed);
}

/// Guards against a request that came late before a shutdown closed, waits for a backend server, is
/// passed on near the end of the grace period and cut there (LOST).
static void
shutdown_refuses_waiting_requests (void)
{
  const TtEvent drain = { .type = TT_EVENT_DRAIN };
  TtEvent busy = { .type = TT_EVENT_ATTEMPT_DONE };
  TtAction action = { 0 };

  routed_board_open (&routed);
  routed_board_configure (&routed, 1, false);
  routed_board_list_servers (&routed, ROUTED_PLAIN_SERVICE, 1, "p1");
  routed_board_step (&routed, 1, &drain);
  routed_board_advance (&routed, 2500);
  (void) routed_board_send_request (&routed, "/once/x", 0, 6000);
  UNIT_REQUIRE (routed_board_next_action (&routed, TT_ACTION_DISPATCH, &action));
  routed_board_attempt_sent (&routed, action.attempt.attempt_id);
  busy.attempt = (TtAttemptEvent){ .attempt_id = action.attempt.attempt_id,
                                   .status = 503,
                                   .not_executed = true,
                                   .unavailable_ms = 2000 };
  routed_board_step (&routed, 1, &busy);
  (void) routed_board_send_request (&routed, "/once/y", 0, 6000);
  CU_ASSERT_EQUAL (routed_board_count_actions (&routed, TT_ACTION_REPLY), 1); // x: one attempt only
  routed_board_advance (&routed, 700);
  UNIT_REQUIRE (routed_board_next_action (&routed, TT_ACTION_REPLY, &action));
  CU_ASSERT_EQUAL (action.reply.outcome, TT_OUTCOME_NOT_RUN);
  CU_ASSERT_EQUAL (action.reply.status, 503);
  CU_ASSERT (action.reply.retry_after_ms > 0);
  routed_board_advance (&routed, 3000);
  CU_ASSERT_EQUAL (routed_board_count_actions (&routed, TT_ACTION_DISPATCH), 0);
  routed_board_close (&routed);
}

/// Guards against a request above the limit that is dropped without a response, a counter or a log
/// line.
static void
requests_above_limit_are_refused (void)
{
  TtAction action = { 0 };

  routed_board_open (&routed);
  routed_board_configure (&routed, 1, false);
  routed_board_list_servers (&routed, ROUTED_PLAIN_SERVICE, 1, "p1");
  for (uint32_t i = 0; i < routed.board->config.max_requests; i++)
    (void) routed_board_send_request (&routed, "/once/x", 0, 10000);
  routed_board_next_log_text (&routed, TT_LOG_REQUEST_SHED); // discards the actions so far
  (void) routed_board_send_request (&routed, "/once/x", 0, 10000);
  UNIT_REQUIRE (routed_board_next_action (&routed, TT_ACTION_REPLY, &action));
  CU_ASSERT_EQUAL (action.reply.outcome, TT_OUTCOME_NOT_RUN);
  CU_ASSERT_EQUAL (action.reply.status, 503);
  CU_ASSERT (action.reply.retry_after_ms > 0);
  CU_ASSERT_EQUAL (routed.board->counters[TT_COUNT_POOL_FULL], 1);
  CU_ASSERT_EQUAL (routed.board->counters[TT_COUNT_NOT_RUN], 1);
  routed_board_close (&routed);
}

static const UnitTest tests[] = {
  { "services_come_and_go", services_come_and_go },
  { "service_of_open_request_is_kept", service_of_open_request_is_kept },
  { "empty_account_list_refuses_requests", empty_account_list_refuses_requests },
  { "no_configuration_yet", no_configuration_yet },
  { "older_table_is_ignored", older_table_is_ignored },
  { "unroutable_requests_are_refused", unroutable_requests_are_refused },
  { "shutdown_refuses_requests", shutdown_refuses_requests },
  { "shutdown_refuses_between_ticks", shutdown_refuses_between_ticks },
  { "shutdown_refuses_waiting_requests", shutdown_refuses_waiting_requests },
  { "requests_above_limit_are_refused", requests_above_limit_are_refused },
};

UNIT_MAIN ("routes", tests)
