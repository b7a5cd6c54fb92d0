#include "support/unit.h"
#include "tarragontrack/codec/digest.h"
#include "tarragontrack/codec/object.h"
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

static TtObject object;

/// Encodes the object, decodes the text, and checks that the decoded object encodes to the same
/// text.
static TtObject *
round_trip (const char *key)
{
  TtObject *decoded = NULL;
  char *text[2] = { NULL, NULL };
  size_t size[2] = { 0, 0 };
  TtError error;

  CU_ASSERT_EQUAL_FATAL (tt_object_encode (&object, key, &text[0], &size[0], &error), TT_OK);
  CU_ASSERT_EQUAL_FATAL (tt_object_decode (key, text[0], size[0], &decoded, &error), TT_OK);
  CU_ASSERT_EQUAL_FATAL (tt_object_encode (decoded, key, &text[1], &size[1], &error), TT_OK);
  CU_ASSERT_STRING_EQUAL (text[0], text[1]);
  CU_ASSERT_EQUAL (decoded->type, object.type);
  free (text[0]);
  free (text[1]);
  return decoded;
}

static void
reset_object (TtObjectType type)
{
  memset (&object, 0, sizeof object);
  object.type = type;
}

/// Guards against lost fields, and against 64-bit numbers that are rounded by the JSON parser.
static void
small_objects_round_trip (void)
{
  TtObject *decoded;

  reset_object (TT_OBJECT_HEAD);
  object.head = (TtHeadObject){ .generation = 2, .epoch = UINT64_MAX, .team_count = 1 };
  object.head.teams[0] = (TtHeadTeam){ .team = "a \"b\"/", .epoch = 8, .hash.bytes = { 1, 255 } };
  decoded = round_trip ("config/head");
  CU_ASSERT_EQUAL (decoded->head.epoch, UINT64_MAX);
  CU_ASSERT_STRING_EQUAL (decoded->head.teams[0].team, "a \"b\"/");
  CU_ASSERT (tt_digest_equal (&decoded->head.teams[0].hash, &object.head.teams[0].hash));
  tt_object_free (decoded);

  reset_object (TT_OBJECT_ACCEPTED);
  object.accepted = (TtAcceptedObject){ 1, 2, 3 };
  decoded = round_trip ("config/accepted");
  CU_ASSERT (decoded->accepted.epoch == 2 && decoded->accepted.audit_number == 3);
  tt_object_free (decoded);

  reset_object (TT_OBJECT_DOMAIN);
  object.domain = (TtDomainObject){ "north", UINT64_MAX - 1, 1, 2, 3, -4, 5 };
  decoded = round_trip ("domains/north");
  CU_ASSERT_EQUAL (decoded->domain.reporter_id, UINT64_MAX - 1);
  CU_ASSERT_EQUAL (decoded->domain.confirmed_s, -4);
  tt_object_free (decoded);

  reset_object (TT_OBJECT_LEASE);
  object.lease = (TtLeaseObject){ 7, "d1", 12, 6000, true };
  decoded = round_trip ("leases/acceptor");
  CU_ASSERT (decoded->lease.fencing_token == 12 && decoded->lease.released);
  tt_object_free (decoded);
}

/// Guards against lost records in objects with arrays.
static void
arrays_round_trip (void)
{
  TtWantedRole wanted[2] = { { 1, { "m", "", "v1", "serve" } }, { 2, { "m", "a", "", "decode" } } };
  TtHostEntry hosts[2]
      = { { .name = "d1", .address = "127.0.0.1", .port = 1, .domain = "x", .entry_host = true },
          { .name = "e1",
            .address = "::1",
            .port = 65535,
            .domain = "x",
            .leaving = true,
            .service = "m",
            .weight = 0.1,
            .batch_limit = 64,
            .supports_fencing = true } };
  TtObject *decoded;

  reset_object (TT_OBJECT_ORDERS);
  object.orders = (TtOrdersObject){ 5, wanted, 2 };
  decoded = round_trip ("orders/m");
  CU_ASSERT_STRING_EQUAL (decoded->orders.wanted[1].role.role, "decode");
  tt_object_free (decoded);
  reset_object (TT_OBJECT_HOSTS);
  object.hosts = (TtHostsObject){ hosts, 2 };
  decoded = round_trip (TT_OBJECT_HOSTS_KEY);
  CU_ASSERT (decoded->hosts.hosts[0].entry_host && decoded->hosts.hosts[1].leaving);
  CU_ASSERT (decoded->hosts.hosts[1].weight == 0.1);
  tt_object_free (decoded);
}

/// Guards against recorded responses that change in encoding or decoding, for example through
/// base64 padding.
static void
claims_round_trip (void)
{
  static const uint32_t sizes[] = { 0, 1, 2, 3, TT_CLAIM_OUTCOME_MAX_BYTES };
  static char outcome[TT_CLAIM_OUTCOME_MAX_BYTES];
  TtClaimEntry entries[5];
  TtObject *decoded;

  for (uint32_t i = 0; i < sizeof outcome; i++)
    outcome[i] = (char) (i * 7);
  for (uint32_t i = 0; i < 5; i++)
    entries[i] = (TtClaimEntry){ .key = { i, UINT64_MAX },
                                 .attempt = { 1, 2 },
                                 .body_hash = UINT64_MAX - i,
                                 .state = (TtClaimState) (i % 4),
                                 .written_s = 1796371200,
                                 .status = 200,
                                 .outcome_truncated = i == 4,
                                 .outcome_size = sizes[i],
                                 .outcome = outcome };
  reset_object (TT_OBJECT_CLAIMS);
  object.claims = (TtClaimsObject){ entries, 5 };
  decoded = round_trip ("claims/17");
  for (uint32_t i = 0; i < 5; i++)
    {
      const TtClaimEntry *entry = &decoded->claims.entries[i];

      CU_ASSERT (tt_id128_equal (entry->key, entries[i].key) && entry->state == entries[i].state);
      CU_ASSERT_EQUAL (entry->body_hash, entries[i].body_hash);
      CU_ASSERT_EQUAL (entry->outcome_size, sizes[i]);
      CU_ASSERT (sizes[i] == 0 || memcmp (entry->outcome, outcome, sizes[i]) == 0);
    }
  tt_object_free (decoded);
}

/// Guards against encoding or decoding objects that exceed the platform's size limit or the limits
/// on the number of records.
static void
size_limits (void)
{
  static char outcome[TT_CLAIM_OUTCOME_MAX_BYTES];
  TtClaimEntry *entries = calloc (1000, sizeof *entries);
  TtError error;
  char *text;
  size_t size;
  TtObject *decoded;

  reset_object (TT_OBJECT_CLAIMS);
  object.claims = (TtClaimsObject){ entries, 1000 };
  for (uint32_t i = 0; i < 1000; i++)
    entries[i] = (TtClaimEntry){ .outcome = outcome, .outcome_size = sizeof outcome };
  CU_ASSERT_EQUAL (tt_object_encode (&object, "claims/1", &text, &size, &error), TT_E_LIMIT);
  CU_ASSERT_PTR_NULL (text);
  object.claims.count = TT_CLAIM_SHARD_MAX_ENTRIES + 1;
  object.type = TT_OBJECT_ORDERS;
  object.orders.count = TT_OBJECT_MAX_RECORDS + 1;
  CU_ASSERT_EQUAL (tt_object_encode (&object, "orders/m", &text, &size, &error), TT_E_INVALID);
  CU_ASSERT_EQUAL (
      tt_object_decode ("config/head", "{}", TT_OBJECT_MAX_BYTES + 1, &decoded, &error),
      TT_E_LIMIT);
  free (entries);
}

/// Guards against a document that does not match the hash in its key, and against an audit entry
/// with a wrong hash.
static void
text_hashes (void)
{
  static const char audit[]
      = "{\"number\":4,\"previous\":"
        "\"00000000000000000000000000000000000000000000000000000000000000ff\",\"generation\":1,"
        "\"epoch\":2,\"team\":\"t\",\"author\":\"a\",\"document\":"
        "\"00000000000000000000000000000000000000000000000000000000000000ee\",\"staged_s\":5,"
        "\"accepted_s\":6,\"new_key\":[1],\"domains\":[{\"name\":\"x\",\"in_force_s\":7}]}";
  char key[TT_KEY_MAX] = "documents/";
  char *text;
  size_t size;
  TtDigest digest;
  TtError error;
  TtObject *decoded;

  reset_object (TT_OBJECT_DOCUMENT);
  object.document = (TtDocumentObject){
    .team = "t", .author = "a", .staged_s = 3, .text = "{\n// \"x\"\n}", .text_size = 10
  };
  CU_ASSERT_EQUAL_FATAL (tt_object_encode (&object, key, &text, &size, &error), TT_OK);
  CU_ASSERT_EQUAL (tt_digest_compute (text, size, &digest), TT_OK);
  tt_digest_format (&digest, key + strlen (key));
  CU_ASSERT_EQUAL_FATAL (tt_object_decode (key, text, size, &decoded, &error), TT_OK);
  CU_ASSERT_STRING_EQUAL (decoded->document.text, object.document.text);
  CU_ASSERT (tt_digest_equal (&decoded->document.hash, &digest));
  CU_ASSERT_PTR_NULL (decoded->document.document);
  CU_ASSERT_EQUAL (decoded->document.error.code, TT_E_INVALID);
  tt_object_free (decoded);
  key[20] = key[20] == '0' ? '1' : '0';
  CU_ASSERT_EQUAL (tt_object_decode (key, text, size, &decoded, &error), TT_E_MALFORMED);
  free (text);

  CU_ASSERT_EQUAL_FATAL (tt_object_decode ("audit/4", audit, strlen (audit), &decoded, &error),
                         TT_OK);
  CU_ASSERT_EQUAL (tt_digest_compute (audit, strlen (audit), &digest), TT_OK);
  CU_ASSERT (tt_digest_equal (&decoded->audit.hash, &digest));
  CU_ASSERT (decoded->audit.previous_hash.bytes[31] == 0xff
             && decoded->audit.domains[0].in_force_s == 7);
  tt_object_free (decoded);
}

/// Guards against invalid texts that are accepted, and against errors that do not contain the path
/// of the invalid value.
static void
invalid_texts (void)
{
  static const struct
  {
    const char *key;
    const char *text;
    const char *detail;
  } cases[] = {
    { "config/head", "{\"generation\":1,\"epoch\":-1,\"teams\":[]}", "epoch: expected a whole" },
    { "config/head", "{\"generation\":1,\"epoch\":1}", "teams: expected an array" },
    { "config/head", "{\n\"generation\":1,", "line 2: expected more text" },
    { "config/head", "{\"generation\":1,\"epoch\":1,\"teams\":[]} x", "line 1: unexpected text" },
    { "config/head", "null", "line 1: expected a value" },
    { "claims/1", "{\"entries\":[{}]}", "entries[0].key: expected a value" },
    { "orders/m", "{\"fencing\":1.5,\"wanted\":[]}", "fencing: expected a whole number" },
    { "hosts",
      "{\"hosts\":[{\"name\":\"x\",\"address\":\"1.2.3.4\",\"port\":70000,\"domain\":\"d\"}]}",
      "hosts[0].port: expected a whole number below 65536" },
    { "hosts", "{\"hosts\":[{\"name\":\"x\",\"address\":\"host\",\"port\":7,\"domain\":\"d\"}]}",
      "hosts[0].address: expected an IP number" },
    { "other/x", "{}", "unknown key" },
  };

  for (size_t i = 0; i < sizeof cases / sizeof cases[0]; i++)
    {
      TtObject *decoded;
      TtError error = { 0 };

      CU_ASSERT_EQUAL (
          tt_object_decode (cases[i].key, cases[i].text, strlen (cases[i].text), &decoded, &error),
          TT_E_MALFORMED);
      CU_ASSERT_PTR_NULL (decoded);
      CU_ASSERT_STRING_EQUAL (error.peer, cases[i].key);
      CU_ASSERT_PTR_NOT_NULL (strstr (error.detail, cases[i].detail));
      if (strstr (error.detail, cases[i].detail) == NULL)
        printf ("[case %zu: %s] ", i, error.detail);
    }
}

static const UnitTest tests[] = {
  { "small_objects_round_trip", small_objects_round_trip },
  { "arrays_round_trip", arrays_round_trip },
  { "claims_round_trip", claims_round_trip },
  { "size_limits", size_limits },
  { "text_hashes", text_hashes },
  { "invalid_texts", invalid_texts },
};

UNIT_MAIN ("object", tests)
