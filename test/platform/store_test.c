#include "support/unit.h"
#include "tarragontrack/board/error_defs.h"
#include "tarragontrack/platform/store.h"
#include <string.h>

static TtStoreIdentity identity
    = { .name = "d1", .daemon_entry = { .address = "10.1.0.4", .port = 7340 } };

#define SERVER_JSON(name, spec)                                                                    \
  "{\"Metadata\":{\"Name\":\"" name "\",\"Revision\":12},\"Spec\":" spec ",\"Status\":null}"
#define VALID_SPEC                                                                                 \
  "{\"Service\":\"s\",\"Address\":\"10.1.2.3:8080\",\"Zone\":\"z\",\"Slots\":6,\"State\":"         \
  "\"ready\",\"born\":5}"

/// Decodes a response to a request for backend server entries.
static int
decode_servers (TtPlatformOp op, unsigned status, const char *text, TtPlatformEvent *event)
{
  TtPlatformDialect dialect = tt_store_dialect (&identity);
  TtPlatformResponse response = { .op = op,
                                  .key = "servers",
                                  .kind = TT_STORE_SERVERS,
                                  .status = status,
                                  .data = text,
                                  .size = strlen (text) };
  TtError error = { 0 };

  memset (event, 0, sizeof *event);
  return dialect.decode_response (dialect.context, &response, event, &error);
}

static void
free_event (TtPlatformEvent *event)
{
  tt_store_entries_free (event->entries);
}

/// Guards against wrong request paths, and against requesting a list from its start again.
static void
test_request_paths (void)
{
  TtPlatformDialect dialect = tt_store_dialect (&identity);
  TtPlatformAction action = { .op = TT_PLATFORM_LIST, .kind = TT_STORE_SERVERS };
  TtPlatformRequest request = { 0 };
  TtError error = { 0 };

  CU_ASSERT_EQUAL (dialect.encode_request (dialect.context, &action, &request, &error), TT_OK);
  CU_ASSERT_STRING_EQUAL (request.path, "/objects/servers");
  (void) strcpy (action.continue_after, "i 1");
  CU_ASSERT_EQUAL (dialect.encode_request (dialect.context, &action, &request, &error), TT_OK);
  CU_ASSERT_STRING_EQUAL (request.path, "/objects/servers?SinceRev=i%201");
  action = (TtPlatformAction){ .op = TT_PLATFORM_WATCH_ENTRIES,
                               .kind = TT_STORE_CONFIG,
                               .version = 530 };
  CU_ASSERT_EQUAL (dialect.encode_request (dialect.context, &action, &request, &error), TT_OK);
  CU_ASSERT_PTR_NOT_NULL (strstr (request.path, "/objects/config?Watch=530&WaitMs="));
  CU_ASSERT (request.timeout_ms > 20000 && request.timeout_ms <= 30000);
  action = (TtPlatformAction){ .op = TT_PLATFORM_REPLACE, .kind = TT_STORE_DAEMONS };
  CU_ASSERT_EQUAL (dialect.encode_request (dialect.context, &action, &request, &error), TT_OK);
  CU_ASSERT_STRING_EQUAL (request.method, "PUT");
  CU_ASSERT_STRING_EQUAL (request.path, "/objects/daemons/d1");
  CU_ASSERT_PTR_NOT_NULL (strstr (request.body, "10.1.0.4"));
  free (request.body);
}

/// Guards against using a malformed entry of another writer, and against rejecting the valid
/// entries of its page.
static void
test_list_with_malformed_entries (void)
{
  TtPlatformEvent event;

  CU_ASSERT_EQUAL (
      decode_servers (
          TT_PLATFORM_LIST, 200,
          "{\"Entries\":[" SERVER_JSON ("a", VALID_SPEC) "," SERVER_JSON ("b", "\"text\"") "," SERVER_JSON (
              "c",
              "{\"Service\":3,\"State\":\"ready\"}") "," SERVER_JSON ("d",
                                                                      "{\"Service\":"
                                                                      "\"s\",\"Address\":\"x:"
                                                                      "1\",\"Zone\":"
                                                                      "\"z\",\"State\":"
                                                                      "\"ready\"}") ",7],"
                                                                                    "\"HasMore\":"
                                                                                    "true,"
                                                                                    "\"AsOf\":530}",
          &event),
      TT_OK);
  UNIT_REQUIRE (event.entries != NULL);
  CU_ASSERT_EQUAL (event.entries->count, 4);
  CU_ASSERT (event.entries->is_list && event.entries->has_more && event.entries->revision == 530);
  CU_ASSERT_STRING_EQUAL (event.entries->continue_after, "d");
  CU_ASSERT (event.entries->entries[0].valid && event.entries->entries[0].revision == 12);
  CU_ASSERT_STRING_EQUAL (event.entries->entries[0].server.address, "10.1.2.3");
  CU_ASSERT (event.entries->entries[0].server.port == 8080
             && event.entries->entries[0].server.process_start_ms == 5
             && event.entries->entries[0].server.slots == 6);
  for (int i = 1; i < 4; i++)
    CU_ASSERT_FALSE (event.entries->entries[i].valid);
  free_event (&event);
}

/// Guards against decoding a removal as an update.
static void
test_watch_removal (void)
{
  TtPlatformEvent event;

  CU_ASSERT_EQUAL (decode_servers (TT_PLATFORM_WATCH_ENTRIES, 200,
                                   "{\"events\":[{\"Removed\":true,\"Object\":" SERVER_JSON (
                                       "a", VALID_SPEC) "}],\"AsOf\":9}",
                                   &event),
                   TT_OK);
  UNIT_REQUIRE (event.entries != NULL && event.entries->count == 1);
  CU_ASSERT (event.entries->entries[0].removed && !event.entries->is_list);
  free_event (&event);
}

/// Guards against decoding an error response as a success.
static void
test_error_responses (void)
{
  TtPlatformEvent event;

  CU_ASSERT_EQUAL (decode_servers (TT_PLATFORM_WATCH_ENTRIES, 410, "", &event), TT_E_STALE);
  CU_ASSERT_EQUAL (decode_servers (TT_PLATFORM_LIST, 429, "", &event), TT_E_UNAVAILABLE);
  CU_ASSERT_EQUAL (decode_servers (TT_PLATFORM_LIST, 503, "", &event), TT_E_UNAVAILABLE);
  CU_ASSERT_EQUAL (decode_servers (TT_PLATFORM_CREATE, 409, "", &event), TT_E_CONFLICT);
  CU_ASSERT_EQUAL (decode_servers (TT_PLATFORM_CREATE, 500, "", &event), TT_E_TIMEOUT);
  CU_ASSERT_EQUAL (decode_servers (TT_PLATFORM_LIST, 200, "{}", &event), TT_E_MALFORMED);
  CU_ASSERT_EQUAL (decode_servers (TT_PLATFORM_LIST, 200, "{\"AsOf\":", &event), TT_E_MALFORMED);
  CU_ASSERT_PTR_NULL (event.entries);
}

static const UnitTest tests[] = {
  { "request_paths", test_request_paths },
  { "list_with_malformed_entries", test_list_with_malformed_entries },
  { "watch_removal", test_watch_removal },
  { "error_responses", test_error_responses },
};

UNIT_MAIN ("store", tests)
