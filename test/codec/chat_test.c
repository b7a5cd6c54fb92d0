#include "support/unit.h"
#include "tarragontrack/board/hash.h"
#include "tarragontrack/codec/chat.h"
#include <stdio.h>
#include <string.h>

static const TtCallerHeaders no_headers;

/// Parses a body. RETURN the error code.
static int
parse_body (const char *body, const TtCallerHeaders *headers, TtRequestSpec *spec)
{
  TtError error = { 0 };

  return tt_chat_parse (body, strlen (body), headers, spec, &error);
}

/// Guards against a field of a request that is lost or parsed incorrectly.
static void
test_parsed_fields (void)
{
  const TtCallerHeaders headers = { .account = "large",
                                    .authorization = "Bearer abc",
                                    .chat_route = "00000000000000ff",
                                    .work_kind = "note",
                                    .idempotency_key = "k1" };
  // SHA-256 of "abc", the published test vector of the algorithm.
  const char *digest = "ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad";
  TtId128 key = tt_hash_id128 (tt_hash_string ("large"), "k1", 2);
  TtRequestSpec spec;

  CU_ASSERT_EQUAL (parse_body ("{\"model\":\"chat\",\"stream\":true,\"max_tokens\":7,"
                               "\"messages\":[{\"role\":\"user\",\"content\":\"hi\"}]}",
                               &headers, &spec),
                   TT_OK);
  CU_ASSERT_STRING_EQUAL (spec.service, "chat");
  CU_ASSERT_STRING_EQUAL (spec.account, "large");
  CU_ASSERT_STRING_EQUAL (spec.kind, "note");
  CU_ASSERT (spec.stream);
  CU_ASSERT_EQUAL (spec.max_tokens, 7);
  CU_ASSERT_EQUAL (spec.route_hint, 255);
  CU_ASSERT_EQUAL (spec.account_key_hash, tt_hash_string (digest));
  CU_ASSERT (tt_id128_equal (spec.idempotency_key, key));
  CU_ASSERT (spec.prompt_tokens > 0);
}

/// Guards against a malformed body, or an account name above the length limit, that is accepted.
static void
test_invalid_bodies (void)
{
  const char *const bodies[] = {
    "",
    "[]",
    "{\"messages\":[{\"role\":\"user\",\"content\":\"hi\"}]}",
    "{\"model\":\"chat\"}",
    "{\"model\":\"chat\",\"messages\":[]}",
    "{\"model\":\"chat\",\"messages\":[1]}",
    "{\"model\":\"chat\",\"messages\":[{\"content\":\"hi\"}]}",
    "{\"model\":\"chat\",\"stream\":1,\"messages\":[{\"role\":\"user\",\"content\":\"hi\"}]}",
    "{\"model\":\"chat\",\"max_tokens\":-1,\"messages\":[{\"role\":\"user\"}]}",
    "{\"model\":\"chat\",\"max_tokens\":\"x\",\"messages\":[{\"role\":\"user\"}]}",
  };
  TtCallerHeaders headers = { .account = "a name that is longer than the limit of 47 bytes is" };
  TtRequestSpec spec;

  for (size_t i = 0; i < sizeof bodies / sizeof bodies[0]; i++)
    CU_ASSERT (parse_body (bodies[i], &no_headers, &spec) < 0);
  CU_ASSERT_EQUAL (
      parse_body ("{\"model\":\"chat\",\"messages\":[{\"role\":\"user\"}]}", &headers, &spec),
      TT_E_INVALID);
}

/// Chat key of a request by @account with two user messages.
static uint64_t
chat_key_of (const char *account, const char *first, const char *second)
{
  const TtCallerHeaders headers = { .account = account };
  TtRequestSpec spec;
  char body[512];

  (void) snprintf (
      body, sizeof body,
      "{\"model\":\"chat\",\"messages\":[{\"role\":\"system\",\"content\":\"s\"},"
      "{\"role\":\"user\",\"content\":\"%s\"},{\"role\":\"user\",\"content\":\"%s\"}]}",
      first, second);
  CU_ASSERT_EQUAL (parse_body (body, &headers, &spec), TT_OK);
  return spec.chat_key;
}

/// Guards against a chat key that changes between the turns of a chat, or that two accounts share.
static void
test_chat_key (void)
{
  TtCallerHeaders headers = { .account = "small", .chat_id = "c1" };
  TtRequestSpec first;
  TtRequestSpec second;

  CU_ASSERT_EQUAL (chat_key_of ("small", "a", "b"), chat_key_of ("small", "a", "c"));
  CU_ASSERT_NOT_EQUAL (chat_key_of ("small", "a", "b"), chat_key_of ("small", "x", "b"));
  CU_ASSERT_NOT_EQUAL (chat_key_of ("small", "a", "b"), chat_key_of ("large", "a", "b"));
  (void) parse_body ("{\"model\":\"m\",\"messages\":[{\"role\":\"user\",\"content\":\"1\"}]}",
                     &headers, &first);
  (void) parse_body ("{\"model\":\"m\",\"messages\":[{\"role\":\"user\",\"content\":\"2\"}]}",
                     &headers, &second);
  CU_ASSERT_EQUAL (first.chat_key, second.chat_key);
  headers.account = "large";
  (void) parse_body ("{\"model\":\"m\",\"messages\":[{\"role\":\"user\",\"content\":\"2\"}]}",
                     &headers, &second);
  CU_ASSERT_NOT_EQUAL (first.chat_key, second.chat_key);
}

/// Guards against a prefix key for a system prompt below the minimum length.
static void
test_prefix_key (void)
{
  char prompt[TT_CHAT_PREFIX_MIN_BYTES + 1];
  char body[TT_CHAT_PREFIX_MIN_BYTES + 256];
  TtRequestSpec spec;

  for (size_t length = TT_CHAT_PREFIX_MIN_BYTES - 1; length <= TT_CHAT_PREFIX_MIN_BYTES; length++)
    {
      memset (prompt, 'p', length);
      prompt[length] = '\0';
      (void) snprintf (body, sizeof body,
                       "{\"model\":\"m\",\"messages\":[{\"role\":\"system\",\"content\":\"%s\"},"
                       "{\"role\":\"user\",\"content\":\"q\"}]}",
                       prompt);
      CU_ASSERT_EQUAL (parse_body (body, &no_headers, &spec), TT_OK);
      CU_ASSERT_EQUAL (spec.prefix_key != 0, length == TT_CHAT_PREFIX_MIN_BYTES);
    }
}

/// Guards against a path that is assigned to the wrong plain service.
static void
test_plain_service_path (void)
{
  static TtDocument document
      = { .service_count = 2,
          .services = { { .name = "ledger", .path_prefix = "/ledger" },
                        { .name = "awards", .path_prefix = "/ledger/awards" } } };
  static TtConfigSection section = { .slot_count = 1 };
  TtError error = { 0 };
  TtRequestSpec spec;

  section.slots[0].document = &document;
  CU_ASSERT_EQUAL (tt_chat_parse_plain_call (&section, "POST", "/ledger/awards/7", "", 0,
                                             &no_headers, &spec, &error),
                   TT_OK);
  CU_ASSERT_STRING_EQUAL (spec.service, "awards");
  CU_ASSERT (!spec.safe_method);
  CU_ASSERT_EQUAL (
      tt_chat_parse_plain_call (&section, "GET", "/ledger?a=1", "", 0, &no_headers, &spec, &error),
      TT_OK);
  CU_ASSERT_STRING_EQUAL (spec.service, "ledger");
  CU_ASSERT (spec.safe_method);
  CU_ASSERT_EQUAL (
      tt_chat_parse_plain_call (&section, "GET", "/ledgers", "", 0, &no_headers, &spec, &error),
      TT_E_NOT_FOUND);
}

/// Guards against an error response that is not valid JSON or has the wrong outcome.
static void
test_error_response (void)
{
  char text[TT_ERROR_JSON_MAX];
  size_t size
      = tt_chat_format_error (text, sizeof text, 429, "d1-1f", TT_OUTCOME_NOT_RUN, "a \"b\"\n");

  CU_ASSERT_EQUAL (size, strlen (text));
  CU_ASSERT_PTR_NOT_NULL (strstr (text, "\"message\":\"a \\\"b\\\"\\n\""));
  CU_ASSERT_PTR_NOT_NULL (strstr (text, "\"outcome\":\"not-run\""));
  CU_ASSERT_PTR_NOT_NULL (strstr (text, "rate_limit_error"));
}

static const UnitTest tests[] = {
  { "a request's fields are lost or parsed incorrectly", test_parsed_fields },
  { "an invalid body is accepted", test_invalid_bodies },
  { "a chat's key changes between turns, or two accounts share a key", test_chat_key },
  { "a system prompt below the minimum length sets a prefix key", test_prefix_key },
  { "a path is assigned to the wrong plain service", test_plain_service_path },
  { "an error response is not valid JSON", test_error_response },
};

UNIT_MAIN ("codec/chat", tests)
