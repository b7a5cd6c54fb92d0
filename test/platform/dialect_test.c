#include "support/routed.h"
#include "support/unit.h"
#include "tarragontrack/board/error_defs.h"
#include "tarragontrack/platform/dialect.h"
#include <string.h>
#include <strings.h>

#define LINES 32

/// Headers that the dialect wrote, and those of a scripted answer.
typedef struct
{
  char names[LINES][64];
  char values[LINES][128];
  size_t count;
} Written;

static void
add (void *target, const char *name, const char *value)
{
  Written *written = target;

  UNIT_REQUIRE (written->count < LINES);
  (void) snprintf (written->names[written->count], sizeof written->names[0], "%s", name);
  (void) snprintf (written->values[written->count++], sizeof written->values[0], "%s", value);
}

static const char *
find (void *source, const char *name)
{
  const Written *written = source;

  for (size_t i = 0; i < written->count; i++)
    if (strcasecmp (written->names[i], name) == 0)
      return written->values[i];
  return NULL;
}

static TtHeader headers[] = {
  { "attempt-id", "9c41" },
  { "authorization", "Bearer k" },
  { "deadline-ms", "6000" },
  { "token-counts", "1460,80" },
  { "prefix-hash", "5c:800,91:410,e4:250" },
  { "last-event-id", "12" },
  { "tenant", "forged" },
  { "hold", "1" },
  { "kv-from", "10.0.0.1:1/x" },
  { "connection", "keep-alive" },
  { "x-own", "kept" },
};

static TtCallerCall
make_call (void)
{
  return (TtCallerCall){ .id = 1,
                         .method = "POST",
                         .path = "/s/x?q=1",
                         .host = "h",
                         .headers = { headers, sizeof headers / sizeof headers[0] },
                         .body = "",
                         .spec = { .request_id = 1 } };
}

/// Guards against headers that are read into the wrong place.
static void
reads_request (void)
{
  TtDialect dialect = tt_platform_dialect ();
  TtCallerCall call = make_call ();
  TtEvent event = { .type = TT_EVENT_TICK };
  TtError error;

  CU_ASSERT_EQUAL (dialect.read_request (NULL, NULL, &call, &event, &error), TT_OK);
  CU_ASSERT_EQUAL (event.type, TT_EVENT_REQUEST);
  CU_ASSERT_STRING_EQUAL (call.spec.external_id, "9c41");
  CU_ASSERT_EQUAL (call.spec.response_timeout_ms, 6000);
  CU_ASSERT (call.spec.prompt_tokens == 1460 && call.spec.max_tokens == 80);
  CU_ASSERT (call.spec.shared_tokens == 1210 && call.spec.last_event_id == 12);
  CU_ASSERT (call.spec.prefix_key != 0 && call.spec.first_part_key != 0
             && call.spec.prefix_key != call.spec.first_part_key
             && call.spec.chat_key != call.spec.prefix_key);
  CU_ASSERT (tt_id128_equal (call.spec.bearer_key_hash, tt_hash_id128 (0, "k", 1)));
}

/// Guards against keys, forged accounts and orders of the system that reach a backend server.
static void
writes_attempt (void)
{
  TtDialect dialect = tt_platform_dialect ();
  TtCallerCall call = make_call ();
  TtAttemptAction action = { .remaining_ms = 432, .last_event_id = 15, .priority = 3 };
  Written written = { .count = 0 };
  TtAction dispatch = { 0 };
  Routed routed;

  routed_open (&routed);
  routed_configure (&routed, 1, false);
  routed_list_servers (&routed, ROUTED_SERVICE, 1, "e1");
  action.request_id = routed_request (&routed, "/s/x", 7, 6000);
  UNIT_REQUIRE (routed_take (&routed, TT_ACTION_DISPATCH, &dispatch));
  action.backend_id = dispatch.attempt.backend_id;
  dialect.write_attempt (NULL, routed.board, &action, &call, add, &written);
  CU_ASSERT_PTR_NULL (find (&written, "authorization"));
  CU_ASSERT_PTR_NULL (find (&written, "hold"));
  CU_ASSERT_PTR_NULL (find (&written, "kv-from"));
  CU_ASSERT_PTR_NULL (find (&written, "connection"));
  CU_ASSERT_STRING_EQUAL (find (&written, "tenant"), "a");
  CU_ASSERT_STRING_EQUAL (find (&written, "deadline-ms"), "432");
  CU_ASSERT_STRING_EQUAL (find (&written, "last-event-id"), "15");
  CU_ASSERT_STRING_EQUAL (find (&written, "expect-instance"), "e1");
  CU_ASSERT_STRING_EQUAL (find (&written, "x-own"), "kept");
  CU_ASSERT_STRING_EQUAL (find (&written, "attempt-id"), "9c41");
  routed_close (&routed);
}

/// Guards against another request's answer, or bytes that no backend server signed, being relayed.
static void
reads_head (void)
{
  TtDialect dialect = tt_platform_dialect ();
  TtCallerCall call = make_call ();
  TtAnswerFacts facts = { .status = 200, .stream = true };
  const char *reason = NULL;
  TtId128 token = { 0, 0 };
  Written answer = { .count = 0 };

  CU_ASSERT_EQUAL (dialect.read_head (NULL, &call, token, find, &answer, &facts, &reason),
                   TT_E_MALFORMED);
  add (&answer, "response-signature", "3e1b");
  add (&answer, "attempt-id", "9c41");
  add (&answer, "content-type", "text/event-stream");
  add (&answer, "instance-load", "3,1,8,250");
  CU_ASSERT_EQUAL (dialect.read_head (NULL, &call, token, find, &answer, &facts, &reason), TT_OK);
  CU_ASSERT (facts.events && !facts.not_executed && facts.load.known);
  CU_ASSERT (facts.load.running == 3 && facts.load.waiting == 1);
  (void) snprintf (answer.values[1], sizeof answer.values[1], "other");
  CU_ASSERT_EQUAL (dialect.read_head (NULL, &call, token, find, &answer, &facts, &reason),
                   TT_E_STALE);
}

/// Guards against "not run" without a backend server's word for it, and a word that is overlooked.
static void
reads_refusal (void)
{
  TtDialect dialect = tt_platform_dialect ();
  TtCallerCall call = make_call ();
  TtAnswerFacts facts = { .status = 503 };
  const char *reason = NULL;
  TtId128 token = { 0, 0 };
  Written answer = { .count = 0 };

  CU_ASSERT_EQUAL (dialect.read_head (NULL, &call, token, find, &answer, &facts, &reason), TT_OK);
  CU_ASSERT_FALSE (facts.not_executed);
  add (&answer, "not-executed", "1");
  add (&answer, "retry-after", "0.25");
  CU_ASSERT_EQUAL (dialect.read_head (NULL, &call, token, find, &answer, &facts, &reason), TT_OK);
  CU_ASSERT (facts.not_executed && facts.retry_after_ms == 250);
  facts = (TtAnswerFacts){ .status = 421 };
  answer.count = 0;
  CU_ASSERT_EQUAL (dialect.read_head (NULL, &call, token, find, &answer, &facts, &reason), TT_OK);
  CU_ASSERT (facts.not_executed);
}

static const UnitTest tests[] = {
  { "reads_request", reads_request },
  { "writes_attempt", writes_attempt },
  { "reads_head", reads_head },
  { "reads_refusal", reads_refusal },
};

UNIT_MAIN ("dialect", tests)
