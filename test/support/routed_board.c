#include "support/routed_board.h"
#include "support/unit.h"
#include "tarragontrack/board/board.h"
#include "tarragontrack/board/error.h"
#include "tarragontrack/board/route.h"
#include "tarragontrack/control/controllers.h"
#include <stdarg.h>
#include <string.h>

#define START_US (100 * TT_SECOND_US)
#define TICK_MS 50

void
routed_board_open_as (RoutedBoard *routed, const char *name, const char *domain, uint16_t port)
{
  TtBoardConfig config = { .fleet = "f",
                           .region = "r",
                           .address = "127.0.0.1",
                           .peer_port = port,
                           .incarnation = 1,
                           .seed = { 1, 2 },
                           .max_requests = 64,
                           .max_attempts = 128,
                           .max_accounts = 8,
                           .bounds.drain_announce_ms = 3000,
                           .bounds.drain_limit_ms = 7000,
                           .uses_routing_table = true,
                           .bounds.load_factor = 2.0,
                           .bounds.repeat_ratio = 0.2,
                           .bounds.repeat_slack = 50,
                           .bounds.repeat_window_ms = 10000,
                           .bounds.settle_ms = 3000,
                           .bounds.report_ms = 1000,
                           .bounds.leaving_ms = 2000 };

  (void) snprintf (config.name, sizeof config.name, "%s", name);
  (void) snprintf (config.domain, sizeof config.domain, "%s", domain);
  routed->board = tt_board_new (&config);
  UNIT_REQUIRE (routed->board != NULL);
  UNIT_REQUIRE (tt_controllers_add_routed (routed->board) == TT_OK);
  routed->now_us = START_US;
}

void
routed_board_open (RoutedBoard *routed)
{
  routed_board_open_as (routed, "d1", "z1", 7001);
}

void
routed_board_close (RoutedBoard *routed)
{
  tt_board_free (routed->board);
}

void
routed_board_step (RoutedBoard *routed, int64_t ms, const TtEvent *event)
{
  routed->now_us += ms * TT_MILLISECOND_US;
  tt_board_step (routed->board, event, routed->now_us);
}

void
routed_board_advance (RoutedBoard *routed, int64_t ms)
{
  const TtEvent tick = { .type = TT_EVENT_TICK };

  for (; ms >= TICK_MS; ms -= TICK_MS)
    routed_board_step (routed, TICK_MS, &tick);
}

static void
add_route (TtRouteTable *table, const char *prefix, const char *service, TtRouteRetry retry_mode,
           bool stream, uint32_t attempts, uint32_t goal_ms)
{
  TtRoute *route = &table->routes[table->route_count++];

  *route = (TtRoute){ .host = strdup ("h"),
                      .prefix = strdup (prefix),
                      .prefix_length = strlen (prefix),
                      .host_hash = tt_route_host_hash ("h"),
                      .retry = retry_mode,
                      .stream = stream,
                      .affinity = stream,
                      .max_attempts = attempts,
                      .timeout_ms = 6000,
                      .goal_ms = goal_ms,
                      .event_gap_ms = 250,
                      .priority = 1,
                      .target_count = 1,
                      .targets = calloc (1, sizeof *route->targets) };
  route->targets[0].service = strdup (service);
  route->targets[0].service_id = tt_hash_string (service);
  route->targets[0].weight = 1;
}

TtRouteTable *
routed_board_new_table (uint64_t version)
{
  TtRouteTable *table = calloc (1, sizeof *table);
  char text[TT_NAME_MAX];

  UNIT_REQUIRE (table != NULL);
  table->version = version;
  table->routes = calloc (4, sizeof *table->routes);
  table->accounts = calloc (1, sizeof *table->accounts);
  table->keys = calloc (1, sizeof *table->keys);
  table->text_size = (size_t) snprintf (text, sizeof text, "%llu", (unsigned long long) version);
  table->text = strdup (text);
  add_route (table, "/s/", ROUTED_ENGINE_SERVICE, TT_ROUTE_RETRY_RESUME, true, 2, 400);
  add_route (table, "/two/", ROUTED_ENGINE_SERVICE, TT_ROUTE_RETRY_NEVER, true, 1, 400);
  add_route (table, "/once/", ROUTED_PLAIN_SERVICE, TT_ROUTE_RETRY_NEVER, false, 1, 100);
  add_route (table, "/get/", ROUTED_PLAIN_SERVICE, TT_ROUTE_RETRY_ALWAYS, false, 2, 100);
  table->accounts[0].name = strdup ("a");
  table->accounts[0].id = tt_hash_string ("a");
  table->account_count = 1;
  table->keys[0].hash = tt_hash_id128 (0, "k", 1);
  table->key_count = 1;
  table->requires_key = true;
  table->services = calloc (2, sizeof *table->services);
  table->services[0].name = strdup (ROUTED_ENGINE_SERVICE);
  table->services[0].id = tt_hash_string (ROUTED_ENGINE_SERVICE);
  table->services[0].engine = true;
  table->services[1].name = strdup (ROUTED_PLAIN_SERVICE);
  table->services[1].id = tt_hash_string (ROUTED_PLAIN_SERVICE);
  table->service_count = 2;
  tt_route_table_sort (table);
  return table;
}

void
routed_board_configure (RoutedBoard *routed, uint64_t version, bool from_peer)
{
  TtStoreEntry entry = { .kind = TT_STORE_CONFIG, .name = "main", .valid = true };
  TtStoreEntries entries = { .kind = TT_STORE_CONFIG,
                             .entries = &entry,
                             .count = 1,
                             .is_list = true,
                             .revision = version,
                             .from_peer = from_peer };
  TtEvent event = { .type = TT_EVENT_PLATFORM_RESPONSE, .platform.entries = &entries };

  entry.table = routed_board_new_table (version);
  routed_board_step (routed, 1, &event);
  tt_route_table_free (entry.table);
}

static void
fill_server_entry (TtStoreEntry *entry, const char *name, const char *service, uint64_t revision)
{
  entry->kind = TT_STORE_SERVERS;
  entry->valid = true;
  entry->revision = revision;
  entry->server.port = 9001;
  entry->server.slots = 4;
  entry->server.process_start_ms = 1;
  entry->server.domain_id = tt_hash_string ("z1");
  entry->name = name;
  entry->server.service = service;
  (void) snprintf (entry->server.address, sizeof entry->server.address, "127.0.0.1");
}

void
routed_board_list_servers (RoutedBoard *routed, const char *service, unsigned count, ...)
{
  TtStoreEntry list[16] = { 0 };
  TtStoreEntries entries = { .kind = TT_STORE_SERVERS,
                             .entries = list,
                             .count = count,
                             .is_list = true,
                             .is_first_page = true,
                             .revision = (uint64_t) (routed->now_us / TT_MILLISECOND_US) };
  TtEvent event = { .type = TT_EVENT_PLATFORM_RESPONSE, .platform.entries = &entries };
  va_list names;

  UNIT_REQUIRE (count <= 16);
  va_start (names, count);
  for (unsigned i = 0; i < count; i++)
    fill_server_entry (&list[i], va_arg (names, const char *), service, entries.revision);
  va_end (names);
  routed_board_step (routed, 1, &event);
}

void
routed_board_change_server (RoutedBoard *routed, const char *name, const char *service,
                            bool leaving, bool removed, uint64_t process_start_ms)
{
  TtStoreEntry entry = { 0 };
  TtStoreEntries entries = { .kind = TT_STORE_SERVERS,
                             .entries = &entry,
                             .count = 1,
                             .revision = (uint64_t) (routed->now_us / TT_MILLISECOND_US) + 2 };
  TtEvent event = { .type = TT_EVENT_PLATFORM_RESPONSE, .platform.entries = &entries };

  fill_server_entry (&entry, name, service, entries.revision);
  entry.server.leaving = leaving;
  entry.server.process_start_ms = process_start_ms;
  entry.removed = removed;
  routed_board_step (routed, 1, &event);
}

uint64_t
routed_board_send_request (RoutedBoard *routed, const char *path, uint64_t prefix_key,
                           uint32_t timeout_ms)
{
  TtRequestSpec spec = { .host = "h", .path = path, .response_timeout_ms = timeout_ms };
  TtEvent event = { .type = TT_EVENT_REQUEST, .request = &spec };

  spec.request_id = tt_board_next_id (routed->board);
  spec.bearer_key_hash = tt_hash_id128 (0, "k", 1);
  spec.prefix_key = prefix_key;
  spec.chat_key = tt_hash_pair (prefix_key, spec.request_id);
  spec.body_hash = spec.request_id;
  (void) snprintf (spec.external_id, sizeof spec.external_id, "r%llu",
                   (unsigned long long) spec.request_id);
  routed_board_step (routed, 1, &event);
  return spec.request_id;
}

bool
routed_board_next_action (RoutedBoard *routed, TtActionType type, TtAction *action)
{
  TtAction *next;

  while ((next = tt_board_pop_action (routed->board)) != NULL)
    {
      bool found = next->type == type;

      if (found && action != NULL)
        *action = *next;
      tt_board_release_action (routed->board, next);
      if (found)
        return true;
    }
  return false;
}

const char *
routed_board_next_log_text (RoutedBoard *routed, TtLogEvent event)
{
  TtAction action = { 0 };

  routed->log_text[0] = '\0';
  while (routed_board_next_action (routed, TT_ACTION_LOG, &action))
    if (action.log.event == event)
      {
        (void) snprintf (routed->log_text, sizeof routed->log_text, "%s", action.log.text);
        break;
      }
  return routed->log_text;
}

unsigned
routed_board_count_actions (RoutedBoard *routed, TtActionType type)
{
  unsigned count = 0;

  while (routed_board_next_action (routed, type, NULL))
    count++;
  return count;
}

static void
step_attempt_event (RoutedBoard *routed, TtEventType type, const TtAttemptEvent *attempt, int code)
{
  TtEvent event = { .type = type, .attempt = *attempt };

  if (code != TT_OK)
    (void) tt_error_set (&event.error, code, TT_STEP_RECEIVE, "test", "scripted failure");
  routed_board_step (routed, 1, &event);
}

void
routed_board_attempt_sent (RoutedBoard *routed, uint64_t attempt_id)
{
  step_attempt_event (routed, TT_EVENT_ATTEMPT_SENT,
                      &(TtAttemptEvent){ .attempt_id = attempt_id, .maybe_sent = true }, TT_OK);
}

void
routed_board_attempt_progress (RoutedBoard *routed, uint64_t attempt_id, uint32_t last_event)
{
  step_attempt_event (
      routed, TT_EVENT_ATTEMPT_PROGRESS,
      &(TtAttemptEvent){
          .attempt_id = attempt_id, .tokens = 1, .status = 200, .last_event_id = last_event },
      TT_OK);
}

void
routed_board_attempt_done (RoutedBoard *routed, uint64_t attempt_id, uint32_t status,
                           bool not_executed)
{
  step_attempt_event (
      routed, TT_EVENT_ATTEMPT_DONE,
      &(TtAttemptEvent){ .attempt_id = attempt_id, .status = status, .not_executed = not_executed },
      TT_OK);
}

void
routed_board_attempt_failed (RoutedBoard *routed, uint64_t attempt_id, int code, bool sent)
{
  step_attempt_event (routed, TT_EVENT_ATTEMPT_FAILED,
                      &(TtAttemptEvent){ .attempt_id = attempt_id, .maybe_sent = sent }, code);
}
