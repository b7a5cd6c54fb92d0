#include "support/unit.h"
#include "tarragontrack/board/error_defs.h"
#include "tarragontrack/platform/store.h"
#include <stdio.h>
#include <stdlib.h>
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
                                  .era = 3,
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
  free (request.path);
  action.continue_after = "i 1";
  CU_ASSERT_EQUAL (dialect.encode_request (dialect.context, &action, &request, &error), TT_OK);
  CU_ASSERT_STRING_EQUAL (request.path, "/objects/servers?SinceRev=i%201");
  free (request.path);
  action = (TtPlatformAction){ .op = TT_PLATFORM_WATCH_ENTRIES,
                               .kind = TT_STORE_CONFIG,
                               .version = 530 };
  CU_ASSERT_EQUAL (dialect.encode_request (dialect.context, &action, &request, &error), TT_OK);
  CU_ASSERT_PTR_NOT_NULL (strstr (request.path, "/objects/config?Watch=530&WaitMs="));
  CU_ASSERT (request.timeout_ms > 20000 && request.timeout_ms <= 30000);
  free (request.path);
  action = (TtPlatformAction){ .op = TT_PLATFORM_REPLACE, .kind = TT_STORE_DAEMONS };
  CU_ASSERT_EQUAL (dialect.encode_request (dialect.context, &action, &request, &error), TT_OK);
  CU_ASSERT_STRING_EQUAL (request.method, "PUT");
  CU_ASSERT_STRING_EQUAL (request.path, "/objects/daemons/d1");
  CU_ASSERT_PTR_NOT_NULL (strstr (request.body, "10.1.0.4"));
  free (request.path);
  free (request.body);
}

/// Guards against a page of a list that cannot be continued, a backend server that is never used,
/// and one that is taken for another, because of long names.
static void
test_long_entry_names (void)
{
  TtPlatformDialect dialect = tt_store_dialect (&identity);
  TtPlatformAction action = { .op = TT_PLATFORM_LIST, .kind = TT_STORE_SERVERS };
  TtPlatformRequest request = { 0 };
  TtPlatformEvent event;
  TtError error = { 0 };
  char name[301];
  char text[2048];

  memset (name, ' ', sizeof name);
  name[0] = name[sizeof name - 2] = 'n';
  name[sizeof name - 1] = '\0';
  (void) snprintf (
      text, sizeof text,
      "{\"Entries\":[{\"Metadata\":{\"Name\":\"%s\",\"Revision\":12},\"Spec\":{\"Service\":"
      "\"%s\",\"Address\":\"10.1.2.3:8080\",\"Zone\":\"z\",\"Slots\":6,\"State\":"
      "\"ready\",\"born\":5}}],\"HasMore\":true,\"AsOf\":530}",
      name, name);
  CU_ASSERT_EQUAL (decode_servers (TT_PLATFORM_LIST, 200, text, &event), TT_OK);
  UNIT_REQUIRE (event.entries != NULL && event.entries->count == 1);
  CU_ASSERT (event.entries->entries[0].valid);
  CU_ASSERT_STRING_EQUAL (event.entries->entries[0].name, name);
  CU_ASSERT_STRING_EQUAL (event.entries->entries[0].server.service, name);
  action.continue_after = event.entries->continue_after;
  CU_ASSERT_EQUAL (dialect.encode_request (dialect.context, &action, &request, &error), TT_OK);
  CU_ASSERT_EQUAL (strlen (request.path),
                   strlen ("/objects/servers?SinceRev=") + (size_t) 3 * 298 + 2);
  free (request.path);
  free_event (&event);
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

/// Guards against entries whose revisions are compared with those of another era.
static void
test_entries_have_era (void)
{
  TtPlatformDialect dialect = tt_store_dialect (&identity);
  TtPlatformEvent event;

  CU_ASSERT_STRING_EQUAL (dialect.era_header, "store-era");
  CU_ASSERT_EQUAL (decode_servers (TT_PLATFORM_LIST, 200, "{\"Entries\":[],\"AsOf\":530}", &event),
                   TT_OK);
  UNIT_REQUIRE (event.entries != NULL);
  CU_ASSERT_EQUAL (event.entries->era, 3);
  free_event (&event);
}

/// Decodes a list of three entries, of which the second one has a given spec, and requires that the
/// others hold. RETURN whether the second one names a backend server.
static bool
odd_entry_is_valid (const char *spec)
{
  static const char format[] = "{\"Entries\":[" SERVER_JSON ("a", VALID_SPEC) "," SERVER_JSON (
      "b", "%s") "," SERVER_JSON ("c", VALID_SPEC) "],\"AsOf\":530}";
  size_t size = sizeof format + strlen (spec);
  char *text = malloc (size);
  TtPlatformEvent event;
  bool valid;

  (void) snprintf (text, size, format, spec);
  CU_ASSERT_EQUAL (decode_servers (TT_PLATFORM_LIST, 200, text, &event), TT_OK);
  UNIT_REQUIRE (event.entries != NULL && event.entries->count == 3);
  CU_ASSERT (event.entries->entries[0].valid && event.entries->entries[2].valid);
  valid = event.entries->entries[1].valid;
  free_event (&event);
  free (text);
  return valid;
}

/// Guards against one very deeply nested entry of another writer for which the whole list is lost,
/// or the process ends in the parser's recursion (processes that end by themselves, LOST).
static void
test_deeply_nested_entry (void)
{
  static const size_t depths[] = { 5, 20, 40, 400000 };
  static const char start[] = "{\"Service\":\"s]}\\\"\",\"x\":";

  for (size_t i = 0; i < sizeof depths / sizeof depths[0]; i++)
    {
      size_t size = sizeof start + 2 * depths[i] + 1;
      char *spec = malloc (size);
      char *at = spec + sizeof start - 1;

      memcpy (spec, start, sizeof start - 1);
      memset (at, '[', depths[i]);
      memset (at + depths[i], ']', depths[i]);
      memcpy (at + 2 * depths[i], "}", 2);
      CU_ASSERT_FALSE (odd_entry_is_valid (spec));
      free (spec);
    }
}

/// Guards against an entry with a number that is too large for its type: the result of the
/// conversion differs between kinds of machines, or a small number comes out of it.
static void
test_entry_with_excessive_numbers (void)
{
  static const char *const members[] = { "\"Slots\":1e300,\"born\":5",
                                         "\"Slots\":4294967297,\"born\":5",
                                         "\"Slots\":99999999999999999999999999,\"born\":5",
                                         "\"Slots\":-1,\"born\":5",
                                         "\"Slots\":\"6\",\"born\":5",
                                         "\"Slots\":6,\"born\":1e300",
                                         "\"Slots\":6,\"born\":-5",
                                         "\"Slots\":6,\"born\":5.5",
                                         "\"Slots\":6,\"born\":Infinity",
                                         "\"Slots\":6,\"born\":NaN" };
  char spec[256];

  for (size_t i = 0; i < sizeof members / sizeof members[0]; i++)
    {
      (void) snprintf (spec, sizeof spec,
                       "{\"Service\":\"s\",\"Address\":\"10.1.2.3:80\",\"Zone\":\"z\","
                       "\"State\":\"ready\",%s}",
                       members[i]);
      CU_ASSERT_FALSE (odd_entry_is_valid (spec));
    }
}

/// Guards against an entry whose port is out of range and that names another port after truncation.
static void
test_entry_with_port_out_of_range (void)
{
  static const char *const addresses[]
      = { "10.1.2.3:65616", "10.1.2.3:0",  "10.1.2.3:-65456", "10.1.2.3:18446744073709551696",
          "10.1.2.3:80x",   "10.1.2.3:",   "10.1.2.3",        "10.1.2.3: 80",
          "10.1.2.3:+80",   "host.name:80" };
  char spec[256];

  for (size_t i = 0; i < sizeof addresses / sizeof addresses[0]; i++)
    {
      (void) snprintf (spec, sizeof spec,
                       "{\"Service\":\"s\",\"Address\":\"%s\",\"Zone\":\"z\",\"Slots\":6,"
                       "\"State\":\"ready\",\"born\":5}",
                       addresses[i]);
      CU_ASSERT_FALSE (odd_entry_is_valid (spec));
    }
}

/// Guards against a backend server's id that would add a header to each attempt.
static void
test_id_with_line_end (void)
{
  TtPlatformEvent event;

  CU_ASSERT_EQUAL (decode_servers (TT_PLATFORM_LIST, 200,
                                   "{\"Entries\":[" SERVER_JSON (
                                       "a\\r\\nX: y", VALID_SPEC) "],"
                                                                  "\"HasMore\":false,\"AsOf\":530}",
                                   &event),
                   TT_OK);
  UNIT_REQUIRE (event.entries != NULL && event.entries->count == 1);
  CU_ASSERT_FALSE (event.entries->entries[0].valid);
  free_event (&event);
}

/// Guards against an answer of no known form that is taken for a list without entries, after which
/// all backend servers are gone, or for a list that is whole, or for one without changes.
static void
test_answers_of_no_known_form (void)
{
  static const char *const lists[] = {
    "{\"HasMore\":false,\"AsOf\":530}",
    "{\"Entries\":{},\"HasMore\":false,\"AsOf\":530}",
    "{\"Entries\":\"\",\"HasMore\":false,\"AsOf\":530}",
    "{\"Entries\":[],\"HasMore\":\"true\",\"AsOf\":530}",
    "{\"Entries\":[],\"HasMore\":1,\"AsOf\":530}",
    "{\"Entries\":[],\"HasMore\":false}",
    "{\"Entries\":[],\"HasMore\":false,\"AsOf\":0}",
    "{\"Entries\":[],\"HasMore\":false,\"AsOf\":-1}",
    "{\"Entries\":[],\"HasMore\":false,\"AsOf\":530.5}",
    "{\"Entries\":[],\"HasMore\":false,\"AsOf\":\"530\"}",
    "{\"Entries\":[],\"HasMore\":false,\"AsOf\":1e300}",
    "{\"Entries\":[],\"HasMore\":false,\"AsOf\":18446744073709551615}",
    "{\"Entries\":[],\"HasMore\":false,\"AsOf\":99999999999999999999999}",
    "{\"Entries\":[],\"HasMore\":false,\"AsOf\":530}garbage",
    "{\"Entries\":[],\"HasMore\":false,\"AsOf\":530}{}",
    "[]",
    "<html>",
    "",
  };
  static const char *const changes[] = {
    "{\"AsOf\":9}",
    "{\"events\":{},\"AsOf\":9}",
    "{\"events\":[7],\"AsOf\":9}",
    "{\"events\":[{\"Removed\":true}],\"AsOf\":9}",
    "{\"events\":[{\"Removed\":true,\"Object\":\"a\"}],\"AsOf\":9}",
    "{\"events\":[{\"Removed\":true,\"Object\":{\"Spec\":{}}}],\"AsOf\":9}",
    "{\"events\":[{\"Removed\":\"true\",\"Object\":" SERVER_JSON ("a", VALID_SPEC) "}],\"AsOf\":9}",
    "{\"events\":[{\"Object\":" SERVER_JSON ("a", VALID_SPEC) "}],\"AsOf\":9}",
    "{\"events\":[{\"Removed\":false,\"Object\":{\"Metadata\":{\"Name\":\"a\",\"Revision\":\"9\"},"
    "\"Spec\":" VALID_SPEC "}}],\"AsOf\":9}",
    "{\"events\":[],\"AsOf\":9}]",
  };
  TtPlatformEvent event;

  for (size_t i = 0; i < sizeof lists / sizeof lists[0]; i++)
    {
      CU_ASSERT_EQUAL (decode_servers (TT_PLATFORM_LIST, 200, lists[i], &event), TT_E_MALFORMED);
      CU_ASSERT_PTR_NULL (event.entries);
      free_event (&event);
    }
  for (size_t i = 0; i < sizeof changes / sizeof changes[0]; i++)
    {
      CU_ASSERT_EQUAL (decode_servers (TT_PLATFORM_WATCH_ENTRIES, 200, changes[i], &event),
                       TT_E_MALFORMED);
      CU_ASSERT_PTR_NULL (event.entries);
      free_event (&event);
    }
}

/// Guards against refusing answers that the store may give.
static void
test_answers_of_known_form (void)
{
  static const char *const lists[] = {
    "{\"Entries\":[],\"HasMore\":false,\"AsOf\":530}",
    "{\"Entries\":null,\"HasMore\":false,\"AsOf\":530}",
    " {\"More\":{},\"AsOf\":1,\"HasMore\":false,\"Entries\":[]}\r\n",
  };
  TtPlatformEvent event;

  for (size_t i = 0; i < sizeof lists / sizeof lists[0]; i++)
    {
      CU_ASSERT_EQUAL (decode_servers (TT_PLATFORM_LIST, 200, lists[i], &event), TT_OK);
      CU_ASSERT (event.entries != NULL && event.entries->count == 0);
      free_event (&event);
    }
  CU_ASSERT_EQUAL (
      decode_servers (TT_PLATFORM_WATCH_ENTRIES, 200, "{\"events\":[],\"AsOf\":9}\n", &event),
      TT_OK);
  CU_ASSERT (event.entries != NULL && event.entries->count == 0);
  free_event (&event);
  CU_ASSERT_EQUAL (decode_servers (TT_PLATFORM_WATCH_ENTRIES, 200,
                                   "{\"events\":[{\"Removed\":false,\"Object\":" SERVER_JSON (
                                       "a", "7") "}],\"AsOf\":9}",
                                   &event),
                   TT_OK);
  UNIT_REQUIRE (event.entries != NULL && event.entries->count == 1);
  CU_ASSERT_FALSE (event.entries->entries[0].valid);
  free_event (&event);
}

static const UnitTest tests[] = {
  { "answers_of_no_known_form", test_answers_of_no_known_form },
  { "answers_of_known_form", test_answers_of_known_form },
  { "id_with_line_end", test_id_with_line_end },
  { "request_paths", test_request_paths },
  { "long_entry_names", test_long_entry_names },
  { "list_with_malformed_entries", test_list_with_malformed_entries },
  { "watch_removal", test_watch_removal },
  { "error_responses", test_error_responses },
  { "entries_have_era", test_entries_have_era },
  { "deeply_nested_entry", test_deeply_nested_entry },
  { "entry_with_excessive_numbers", test_entry_with_excessive_numbers },
  { "entry_with_port_out_of_range", test_entry_with_port_out_of_range },
};

UNIT_MAIN ("store", tests)
