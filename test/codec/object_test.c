#include "support/unit.h"
#include "tarragontrack/codec/digest.h"
#include "tarragontrack/codec/object.h"
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

static TtObject object;

/// Writes the object, reads it back, and checks that it is written as the same text again.
static TtObject *
exchange (const char *key)
{
  TtObject *read = NULL;
  char *text[2] = { NULL, NULL };
  size_t size[2] = { 0, 0 };
  TtError error;

  CU_ASSERT_EQUAL_FATAL (tt_object_write (&object, key, &text[0], &size[0], &error), TT_OK);
  CU_ASSERT_EQUAL_FATAL (tt_object_read (key, text[0], size[0], &read, &error), TT_OK);
  CU_ASSERT_EQUAL_FATAL (tt_object_write (read, key, &text[1], &size[1], &error), TT_OK);
  CU_ASSERT_STRING_EQUAL (text[0], text[1]);
  CU_ASSERT_EQUAL (read->type, object.type);
  free (text[0]);
  free (text[1]);
  return read;
}

static void
start_object (TtObjectType type)
{
  memset (&object, 0, sizeof object);
  object.type = type;
}

/// Guards against lost fields, and 64-bit numbers that JSON readers round.
static void
small_objects_are_kept (void)
{
  TtObject *read;

  start_object (TT_OBJECT_HEAD);
  object.head = (TtHeadObject){ .generation = 2, .epoch = UINT64_MAX, .team_count = 1 };
  object.head.teams[0] = (TtHeadTeam){ .team = "a \"b\"/", .epoch = 8, .hash.bytes = { 1, 255 } };
  read = exchange ("config/head");
  CU_ASSERT_EQUAL (read->head.epoch, UINT64_MAX);
  CU_ASSERT_STRING_EQUAL (read->head.teams[0].team, "a \"b\"/");
  CU_ASSERT (tt_digest_equal (&read->head.teams[0].hash, &object.head.teams[0].hash));
  tt_object_free (read);

  start_object (TT_OBJECT_ACCEPTED);
  object.accepted = (TtAcceptedObject){ 1, 2, 3 };
  read = exchange ("config/accepted");
  CU_ASSERT (read->accepted.epoch == 2 && read->accepted.audit_number == 3);
  tt_object_free (read);

  start_object (TT_OBJECT_DOMAIN);
  object.domain = (TtDomainObject){ "north", UINT64_MAX - 1, 1, 2, 3, -4, 5 };
  read = exchange ("domains/north");
  CU_ASSERT_EQUAL (read->domain.reporter_id, UINT64_MAX - 1);
  CU_ASSERT_EQUAL (read->domain.confirmed_s, -4);
  tt_object_free (read);

  start_object (TT_OBJECT_LEASE);
  object.lease = (TtLeaseObject){ 7, "d1", 12, 6000, true };
  read = exchange ("leases/acceptor");
  CU_ASSERT (read->lease.fencing == 12 && read->lease.released);
  tt_object_free (read);
}

/// Guards against lost records of the objects with arrays.
static void
lists_are_kept (void)
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
            .fencing = true } };
  TtObject *read;

  start_object (TT_OBJECT_ORDERS);
  object.orders = (TtOrdersObject){ 5, wanted, 2 };
  read = exchange ("orders/m");
  CU_ASSERT_STRING_EQUAL (read->orders.wanted[1].role.role, "decode");
  tt_object_free (read);
  start_object (TT_OBJECT_HOSTS);
  object.hosts = (TtHostsObject){ hosts, 2 };
  read = exchange (TT_OBJECT_HOSTS_KEY);
  CU_ASSERT (read->hosts.hosts[0].entry_host && read->hosts.hosts[1].leaving);
  CU_ASSERT (read->hosts.hosts[1].weight == 0.1);
  tt_object_free (read);
}

/// Guards against recorded outcomes that change, such as bytes lost in base64 padding.
static void
claims_are_kept (void)
{
  static const uint32_t sizes[] = { 0, 1, 2, 3, TT_CLAIM_OUTCOME_MAX };
  static char outcome[TT_CLAIM_OUTCOME_MAX];
  TtClaimEntry entries[5];
  TtObject *read;

  for (uint32_t i = 0; i < sizeof outcome; i++)
    outcome[i] = (char) (i * 7);
  for (uint32_t i = 0; i < 5; i++)
    entries[i] = (TtClaimEntry){ .key = { i, UINT64_MAX },
                                 .attempt = { 1, 2 },
                                 .body_hash = UINT64_MAX - i,
                                 .state = (TtClaimState) (i % 4),
                                 .written_s = 1796371200,
                                 .status = 200,
                                 .outcome_cut = i == 4,
                                 .outcome_size = sizes[i],
                                 .outcome = outcome };
  start_object (TT_OBJECT_CLAIMS);
  object.claims = (TtClaimsObject){ entries, 5 };
  read = exchange ("claims/17");
  for (uint32_t i = 0; i < 5; i++)
    {
      const TtClaimEntry *entry = &read->claims.entries[i];

      CU_ASSERT (tt_id128_equal (entry->key, entries[i].key) && entry->state == entries[i].state);
      CU_ASSERT_EQUAL (entry->body_hash, entries[i].body_hash);
      CU_ASSERT_EQUAL (entry->outcome_size, sizes[i]);
      CU_ASSERT (sizes[i] == 0 || memcmp (entry->outcome, outcome, sizes[i]) == 0);
    }
  tt_object_free (read);
}

/// Guards against an object that the platform cannot hold.
static void
size_is_bounded (void)
{
  static char outcome[TT_CLAIM_OUTCOME_MAX];
  TtClaimEntry *entries = calloc (1000, sizeof *entries);
  TtError error;
  char *text;
  size_t size;
  TtObject *read;

  start_object (TT_OBJECT_CLAIMS);
  object.claims = (TtClaimsObject){ entries, 1000 };
  for (uint32_t i = 0; i < 1000; i++)
    entries[i] = (TtClaimEntry){ .outcome = outcome, .outcome_size = sizeof outcome };
  CU_ASSERT_EQUAL (tt_object_write (&object, "claims/1", &text, &size, &error), TT_E_LIMIT);
  CU_ASSERT_PTR_NULL (text);
  object.claims.count = TT_CLAIM_SHARD_ENTRIES + 1;
  object.type = TT_OBJECT_ORDERS;
  object.orders.count = TT_OBJECT_MAX_RECORDS + 1;
  CU_ASSERT_EQUAL (tt_object_write (&object, "orders/m", &text, &size, &error), TT_E_INVALID);
  CU_ASSERT_EQUAL (tt_object_read ("config/head", "{}", TT_OBJECT_MAX_BYTES + 1, &read, &error),
                   TT_E_LIMIT);
  free (entries);
}

/// Guards against a document that differs from its hash, and an audit entry with a wrong hash.
static void
hashes_are_of_the_text (void)
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
  TtObject *read;

  start_object (TT_OBJECT_DOCUMENT);
  object.document = (TtDocumentObject){
    .team = "t", .author = "a", .staged_s = 3, .text = "{\n// \"x\"\n}", .text_size = 10
  };
  CU_ASSERT_EQUAL_FATAL (tt_object_write (&object, key, &text, &size, &error), TT_OK);
  CU_ASSERT_EQUAL (tt_digest_compute (text, size, &digest), TT_OK);
  tt_digest_format (&digest, key + strlen (key));
  CU_ASSERT_EQUAL_FATAL (tt_object_read (key, text, size, &read, &error), TT_OK);
  CU_ASSERT_STRING_EQUAL (read->document.text, object.document.text);
  CU_ASSERT (tt_digest_equal (&read->document.hash, &digest));
  CU_ASSERT_PTR_NULL (read->document.document);
  CU_ASSERT_EQUAL (read->document.error.code, TT_E_INVALID);
  tt_object_free (read);
  key[20] = key[20] == '0' ? '1' : '0';
  CU_ASSERT_EQUAL (tt_object_read (key, text, size, &read, &error), TT_E_MALFORMED);
  free (text);

  CU_ASSERT_EQUAL_FATAL (tt_object_read ("audit/4", audit, strlen (audit), &read, &error), TT_OK);
  CU_ASSERT_EQUAL (tt_digest_compute (audit, strlen (audit), &digest), TT_OK);
  CU_ASSERT (tt_digest_equal (&read->audit.hash, &digest));
  CU_ASSERT (read->audit.previous_hash.bytes[31] == 0xff && read->audit.domains[0].in_force_s == 7);
  tt_object_free (read);
}

/// Guards against wrong texts that are accepted, and errors that do not name the place.
static void
wrong_texts (void)
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
    { "other/x", "{}", "unknown key" },
  };

  for (size_t i = 0; i < sizeof cases / sizeof cases[0]; i++)
    {
      TtObject *read;
      TtError error = { 0 };

      CU_ASSERT_EQUAL (
          tt_object_read (cases[i].key, cases[i].text, strlen (cases[i].text), &read, &error),
          TT_E_MALFORMED);
      CU_ASSERT_PTR_NULL (read);
      CU_ASSERT_STRING_EQUAL (error.peer, cases[i].key);
      CU_ASSERT_PTR_NOT_NULL (strstr (error.detail, cases[i].detail));
      if (strstr (error.detail, cases[i].detail) == NULL)
        printf ("[case %zu: %s] ", i, error.detail);
    }
}

static const UnitTest tests[] = {
  { "small_objects_are_kept", small_objects_are_kept },
  { "lists_are_kept", lists_are_kept },
  { "claims_are_kept", claims_are_kept },
  { "size_is_bounded", size_is_bounded },
  { "hashes_are_of_the_text", hashes_are_of_the_text },
  { "wrong_texts", wrong_texts },
};

UNIT_MAIN ("object", tests)
