#include "support/unit.h"
#include "tarragontrack/board/rng.h"
#include "tarragontrack/codec/msgpack_validate.h"
#include "tarragontrack/codec/peer.h"
#include <msgpack.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

enum
{
  /// Limit of the control traffic per daemon; see docs/design.md, section 1.2 (M1).
  CONTROL_BYTES_PER_S = 11000,
  GOSSIP_MESSAGES_PER_S = 2 ///< see docs/design.md, section 5.8
};

enum
{
  MAX_BYTES = (1 << 20) + TT_PEER_OVERHEAD_BYTES ///< of a message
};

static TtPeerMessage message;

/// Fills in a gossip message with the maximum number of records.
static void
fill_gossip (void)
{
  TtPeerGossip *gossip = &message.gossip;

  memset (&message, 0, sizeof message);
  message.type = TT_PEER_GOSSIP;
  message.sender_id = UINT64_MAX;
  message.sender_incarnation = UINT64_C (1796371200000000);
  gossip->member_count = TT_PEER_MAX_MEMBERS;
  gossip->load_count = TT_PEER_MAX_LOADS;
  gossip->account_count = TT_PEER_MAX_ACCOUNTS;
  gossip->suspect_count = TT_PEER_MAX_SUSPECTS;
  gossip->leaving_count = TT_PEER_MAX_SLOTS;
  gossip->domain_count = TT_PEER_MAX_DOMAINS;
  for (uint32_t i = 0; i < TT_PEER_MAX_MEMBERS; i++)
    {
      TtMemberEntry *entry = &gossip->members[i];

      *entry = (TtMemberEntry){ .id = UINT64_MAX - i,
                                .domain_id = UINT64_MAX / (i % 8 == 7 ? 3 : 2),
                                .incarnation = message.sender_incarnation,
                                .heartbeat = 100000,
                                .state = (TtMemberState) (i % 4),
                                .epoch = 70000,
                                .generation = 1,
                                .port = 17001 };
      (void) snprintf (entry->address, sizeof entry->address, i % 9 == 8 ? "fd00::%x" : "10.0.0.%u",
                       i + 1);
    }
  for (uint32_t i = 0; i < TT_PEER_MAX_LOADS; i++)
    gossip->loads[i] = (TtPeerLoad){ UINT64_MAX - i, i, 200 };
  for (uint32_t i = 0; i < TT_PEER_MAX_ACCOUNTS; i++)
    gossip->accounts[i] = (TtPeerAccount){ UINT64_MAX - i, UINT64_MAX, 300 };
  for (uint32_t i = 0; i < TT_PEER_MAX_SUSPECTS; i++)
    gossip->suspects[i] = (TtPeerSuspect){ UINT64_MAX - i, UINT64_MAX, 2 };
  for (uint32_t i = 0; i < TT_PEER_MAX_SLOTS; i++)
    gossip->leaving[i] = UINT64_MAX - i;
  for (uint32_t i = 0; i < TT_PEER_MAX_DOMAINS; i++)
    gossip->domains[i] = (TtPeerDomain){ UINT64_MAX - i, 1, 70000, 33 };
}

/// Encodes and decodes the message. RETURN the decoder's error code.
static int
encode_and_decode (TtPeerDecoder *decoder, const char *fleet, const TtPeerMessage **decoded,
                   size_t *size)
{
  char *data = NULL;
  TtError error = { 0 };
  int code;

  CU_ASSERT_EQUAL_FATAL (tt_peer_encode (&message, fleet, &data, size), TT_OK);
  code = tt_peer_decode (decoder, data, *size, decoded, &error);
  CU_ASSERT_EQUAL (code, error.code);
  free (data);
  return code;
}

/// True if both messages have the same encoding.
static bool
same_encoding (const TtPeerMessage *first, const TtPeerMessage *second)
{
  char *data[2] = { NULL, NULL };
  size_t size[2] = { 0, 0 };
  bool same = tt_peer_encode (first, "fleet", &data[0], &size[0]) == TT_OK
              && tt_peer_encode (second, "fleet", &data[1], &size[1]) == TT_OK && size[0] == size[1]
              && memcmp (data[0], data[1], size[0]) == 0;

  free (data[0]);
  free (data[1]);
  return same;
}

/// Guards against fields that change in encoding or decoding, and against full gossip messages that
/// exceed the limit of the control traffic (M1).
static void
gossip_round_trip (void)
{
  TtPeerDecoder *decoder = tt_peer_decoder_new ("fleet", MAX_BYTES);
  const TtPeerMessage *decoded;
  size_t size;

  fill_gossip ();
  CU_ASSERT_EQUAL_FATAL (encode_and_decode (decoder, "fleet", &decoded, &size), TT_OK);
  CU_ASSERT (same_encoding (decoded, &message));
  CU_ASSERT_STRING_EQUAL (decoded->gossip.members[8].address, "fd00::9");
  CU_ASSERT_EQUAL (decoded->gossip.members[3].domain_id, UINT64_MAX / 2);
  CU_ASSERT_EQUAL (decoded->gossip.members[3].port, 17001);
  CU_ASSERT_EQUAL (decoded->gossip.loads[47].load, 47);
  CU_ASSERT_EQUAL (decoded->gossip.accounts[31].in_flight, 300);
  CU_ASSERT_EQUAL (decoded->gossip.suspects[15].strikes, 2);
  CU_ASSERT_EQUAL (decoded->gossip.domains[31].members, 33);
  printf ("[full gossip message: %zu bytes] ", size);
  CU_ASSERT (size * GOSSIP_MESSAGES_PER_S < CONTROL_BYTES_PER_S);
  tt_peer_decoder_free (decoder);
}

/// Guards against fields of slot grant and leave messages that change in encoding or decoding.
static void
slot_grant_and_leave_round_trip (void)
{
  TtPeerDecoder *decoder = tt_peer_decoder_new ("fleet", MAX_BYTES);
  const TtPeerMessage *decoded;
  size_t size;

  memset (&message, 0, sizeof message);
  message.type = TT_PEER_SLOT_GRANT;
  message.sender_id = 5;
  message.share.sequence = UINT32_MAX;
  message.share.slot_count = TT_PEER_MAX_SLOTS;
  for (uint32_t i = 0; i < TT_PEER_MAX_SLOTS; i++)
    message.share.slots[i] = (TtPeerSlot){ i + 1, i, 2 * i, 2000 };
  CU_ASSERT_EQUAL_FATAL (encode_and_decode (decoder, "fleet", &decoded, &size), TT_OK);
  CU_ASSERT (same_encoding (decoded, &message));
  CU_ASSERT_EQUAL (decoded->share.slots[31].lease_period_ms, 2000);
  memset (&message, 0, sizeof message);
  message.type = TT_PEER_LEAVE;
  message.sender_id = 5;
  CU_ASSERT_EQUAL_FATAL (encode_and_decode (decoder, "fleet", &decoded, &size), TT_OK);
  CU_ASSERT (decoded->type == TT_PEER_LEAVE && decoded->sender_id == 5);
  tt_peer_decoder_free (decoder);
}

static void
fill_document (const char *text)
{
  memset (&message, 0, sizeof message);
  message.type = TT_PEER_DOCUMENT;
  message.sender_id = 5;
  message.document.generation = 2;
  message.document.epoch = 9;
  message.document.staged_s = -1;
  memset (message.document.hash.bytes, 0xab, sizeof message.document.hash.bytes);
  (void) snprintf (message.document.team, TT_NAME_MAX, "licensing");
  (void) snprintf (message.document.author, TT_NAME_MAX, "op");
  message.document.text = text;
  message.document.text_size = (uint32_t) strlen (text);
}

/// Guards against a document that the decoder does not parse, and against losing the epoch of an
/// invalid document.
static void
document_is_parsed (void)
{
  static const char valid_text[]
      = "{\"team\": \"licensing\", \"schema\": 1, \"services\": [], \"accounts\": []} // note";
  TtPeerDecoder *decoder = tt_peer_decoder_new ("fleet", MAX_BYTES);
  const TtPeerMessage *decoded;
  size_t size;

  fill_document (valid_text);
  CU_ASSERT_EQUAL_FATAL (encode_and_decode (decoder, "fleet", &decoded, &size), TT_OK);
  CU_ASSERT_STRING_EQUAL (decoded->document.text, valid_text);
  CU_ASSERT_EQUAL (decoded->document.staged_s, -1);
  CU_ASSERT (tt_digest_equal (&decoded->document.hash, &message.document.hash));
  CU_ASSERT_PTR_NOT_NULL_FATAL (decoded->document.document);
  CU_ASSERT_STRING_EQUAL (decoded->document.document->team, "licensing");
  fill_document ("{\"team\": 3}");
  CU_ASSERT_EQUAL_FATAL (encode_and_decode (decoder, "fleet", &decoded, &size), TT_OK);
  CU_ASSERT_PTR_NULL (decoded->document.document);
  CU_ASSERT_EQUAL (decoded->document.error.code, TT_E_INVALID);
  CU_ASSERT_EQUAL (decoded->document.epoch, 9);
  tt_peer_decoder_free (decoder);
}

/// Decodes a message that is packed without tt_peer_encode(), with @extra unknown fields at its
/// end. RETURN the error code.
static int
decode_hand_packed (unsigned version, unsigned type, unsigned extra)
{
  TtPeerDecoder *decoder = tt_peer_decoder_new ("fleet", MAX_BYTES);
  const TtPeerMessage *decoded;
  msgpack_sbuffer buffer;
  msgpack_packer packer;
  int code;

  msgpack_sbuffer_init (&buffer);
  msgpack_packer_init (&packer, &buffer, msgpack_sbuffer_write);
  msgpack_pack_array (&packer, 6 + extra);
  msgpack_pack_uint32 (&packer, version);
  msgpack_pack_str_with_body (&packer, "fleet", 5);
  msgpack_pack_uint32 (&packer, type);
  msgpack_pack_uint64 (&packer, 7);
  msgpack_pack_uint64 (&packer, 8);
  msgpack_pack_array (&packer, 3);
  msgpack_pack_uint64 (&packer, 11);
  msgpack_pack_uint64 (&packer, 12);
  msgpack_pack_double (&packer, 0.5);
  for (unsigned i = 0; i < extra; i++)
    msgpack_pack_map (&packer, 0);
  code = tt_peer_decode (decoder, buffer.data, buffer.size, &decoded, NULL);
  if (code == TT_OK && type == TT_PEER_DOCUMENT_REQUEST)
    CU_ASSERT_EQUAL (decoded->document.epoch, 12);
  msgpack_sbuffer_destroy (&buffer);
  tt_peer_decoder_free (decoder);
  return code;
}

/// Guards against rejecting additional fields of a newer version, and against accepting an unknown
/// protocol version or message type.
static void
protocol_versions (void)
{
  CU_ASSERT_EQUAL (decode_hand_packed (1, TT_PEER_DOCUMENT_REQUEST, 0), TT_OK);
  CU_ASSERT_EQUAL (decode_hand_packed (1, TT_PEER_DOCUMENT_REQUEST, 3), TT_OK);
  CU_ASSERT_EQUAL (decode_hand_packed (1, TT_PEER_LEAVE, 2), TT_OK);
  CU_ASSERT_EQUAL (decode_hand_packed (2, TT_PEER_LEAVE, 0), TT_E_VERSION);
  CU_ASSERT_EQUAL (decode_hand_packed (0, TT_PEER_LEAVE, 0), TT_E_VERSION);
  CU_ASSERT_EQUAL (decode_hand_packed (1, TT_PEER_LEAVE + 1, 0), TT_E_MALFORMED);
}

/// Guards against accepting messages of another fleet.
static void
message_of_other_fleet (void)
{
  TtPeerDecoder *decoder = tt_peer_decoder_new ("fleet", MAX_BYTES);
  const TtPeerMessage *decoded;
  size_t size;

  fill_gossip ();
  CU_ASSERT_EQUAL (encode_and_decode (decoder, "fleet2", &decoded, &size), TT_E_AUTH);
  CU_ASSERT_PTR_NULL (decoded);
  tt_peer_decoder_free (decoder);
}

/// Guards against dereferencing the pointer of an empty string, which msgpack-c sets to NULL.
static void
empty_fleet_name (void)
{
  static const char text[] = "\x96\x01\xa0\x06\x07\x08\x90";
  TtPeerDecoder *decoder = tt_peer_decoder_new ("fleet", MAX_BYTES);
  const TtPeerMessage *decoded;

  CU_ASSERT_EQUAL (tt_peer_decode (decoder, text, sizeof text - 1, &decoded, NULL), TT_E_AUTH);
  tt_peer_decoder_free (decoder);
}

/// Guards against lengths that exceed the input, which would allocate gigabytes.
static void
excessive_lengths (void)
{
  static const char *const texts[] = { "\xdd\xff\xff\xff\xff",
                                       "\xdf\xff\xff\xff\xff",
                                       "\xc6\xff\xff\xff\xff",
                                       "\xdb\x7f\xff",
                                       "\x96\xdd\x00\x00\x00\x06",
                                       "\xc1",
                                       "\x91",
                                       "\x01\x01" };
  static const size_t sizes[] = { 5, 5, 5, 3, 6, 1, 1, 2 };
  static char nested[200];
  TtPeerDecoder *decoder = tt_peer_decoder_new ("fleet", MAX_BYTES);
  const TtPeerMessage *decoded;

  for (unsigned i = 0; i < sizeof sizes / sizeof sizes[0]; i++)
    {
      CU_ASSERT_FALSE (tt_msgpack_validate (texts[i], sizes[i]));
      CU_ASSERT_EQUAL (tt_peer_decode (decoder, texts[i], sizes[i], &decoded, NULL),
                       TT_E_MALFORMED);
    }
  memset (nested, 0x91, sizeof nested - 1);
  CU_ASSERT_EQUAL (tt_peer_decode (decoder, nested, sizeof nested, &decoded, NULL), TT_E_LIMIT);
  CU_ASSERT_EQUAL (tt_peer_decode (decoder, nested, MAX_BYTES + 1, &decoded, NULL), TT_E_LIMIT);
  CU_ASSERT_EQUAL (tt_peer_decode (decoder, nested, 0, &decoded, NULL), TT_E_MALFORMED);
  tt_peer_decoder_free (decoder);
}

/// Guards against out-of-bounds reads of truncated or corrupted messages. Each truncated message is
/// in an allocation of its exact size, so that the sanitizers detect such reads.
static void
truncated_or_corrupted (void)
{
  TtPeerDecoder *decoder = tt_peer_decoder_new ("fleet", MAX_BYTES);
  const TtPeerMessage *decoded;
  TtRng rng;
  char *data;
  size_t size;

  tt_rng_init (&rng, 1, 2);
  fill_gossip ();
  if (tt_peer_encode (&message, "fleet", &data, &size) != TT_OK || size == 0)
    {
      CU_FAIL_FATAL ("the message was not encoded");
      return;
    }
  for (size_t length = 0; length < size; length += 1 + length / 64)
    {
      char *part = malloc (length > 0 ? length : 1);

      memcpy (part, data, length);
      CU_ASSERT_EQUAL (tt_peer_decode (decoder, part, length, &decoded, NULL), TT_E_MALFORMED);
      free (part);
    }
  for (unsigned i = 0; i < 3000; i++)
    {
      size_t position = (size_t) (tt_rng_next (&rng) % size);
      char original = data[position];

      data[position] = (char) tt_rng_next (&rng);
      (void) tt_peer_decode (decoder, data, size, &decoded, NULL);
      data[position] = original;
    }
  CU_ASSERT_EQUAL (tt_peer_decode (decoder, data, size, &decoded, NULL), TT_OK);
  free (data);
  tt_peer_decoder_free (decoder);
}

/// Encodes and decodes the message. The decoded message refers to @data, which the caller frees.
static const TtPeerMessage *
round_trip (TtPeerDecoder *decoder, char **data)
{
  const TtPeerMessage *decoded = NULL;
  size_t size;

  UNIT_REQUIRE (tt_peer_encode (&message, "fleet", data, &size) == TT_OK);
  UNIT_REQUIRE (tt_peer_decode (decoder, *data, size, &decoded, NULL) == TT_OK);
  return decoded;
}

/// Guards against the statement of a reader that changes in encoding or decoding, in a status
/// message and in sums.
static void
confirmation_round_trip (void)
{
  TtPeerDecoder *decoder = tt_peer_decoder_new ("fleet", MAX_BYTES);
  const TtConfirmation confirmation = { 41, { INT64_MAX, 8 }, 9, UINT32_MAX };
  const TtPeerMessage *decoded;
  char *data;

  memset (&message, 0, sizeof message);
  message.type = TT_PEER_STATUS;
  message.sender_id = 7;
  message.status.table_version = confirmation.table_version;
  message.status.servers = message.status.change = (TtStorePoint){ 5, 6 };
  message.status.confirmation = confirmation;
  decoded = round_trip (decoder, &data);
  CU_ASSERT (memcmp (&decoded->status.confirmation, &confirmation, sizeof confirmation) == 0);
  CU_ASSERT (decoded->status.servers.era == 5 && decoded->status.change.era == 5);
  free (data);

  memset (&message, 0, sizeof message);
  message.type = TT_PEER_LOAD_SUMS;
  message.sender_id = 7;
  message.sums.table_version = confirmation.table_version;
  message.sums.change = (TtStorePoint){ 5, 6 };
  message.sums.confirmation = confirmation;
  decoded = round_trip (decoder, &data);
  CU_ASSERT (memcmp (&decoded->sums.confirmation, &confirmation, sizeof confirmation) == 0);
  CU_ASSERT_EQUAL (decoded->sums.change.era, 5);
  free (data);
  tt_peer_decoder_free (decoder);
}

/// Guards against loads, prefix holders and suspects of status messages that change in encoding or
/// decoding.
static void
status_round_trip (void)
{
  TtPeerDecoder *decoder = tt_peer_decoder_new ("fleet", MAX_BYTES);
  const TtPeerMessage *decoded;
  char *data;

  memset (&message, 0, sizeof message);
  message.type = TT_PEER_STATUS;
  message.sender_id = 7;
  (void) snprintf (message.status.name, sizeof message.status.name, "d2");
  (void) snprintf (message.status.address, sizeof message.status.address, "10.1.0.4");
  message.status.port = 7340;
  message.status.table_version = 41;
  message.status.servers = (TtStorePoint){ .era = INT64_MAX, .revision = UINT64_MAX };
  message.status.load_count = TT_MAX_STATUS_LOADS;
  message.status.loads[TT_MAX_STATUS_LOADS - 1] = (TtStatusLoad){ 9, 12, true };
  message.status.notice_count = TT_PEER_MAX_NOTICES;
  message.status.notices[TT_PEER_MAX_NOTICES - 1] = (TtPeerNotice){ 11, 12 };
  message.status.part_count = TT_PEER_MAX_PARTS;
  message.status.parts[0] = (TtPeerPart){ .key = 21, .ages_ms = { 22 } };
  for (uint32_t i = 1; i < TT_PEER_MAX_PARTS; i++)
    {
      message.status.parts[i] = (TtPeerPart){ .key = i, .strike_count = TT_MAX_PART_STRIKES };
      message.status.parts[i].crash_ids[TT_MAX_PART_STRIKES - 1] = UINT64_MAX;
      message.status.parts[i].ages_ms[TT_MAX_PART_STRIKES - 1] = TT_PEER_MAX_PART_AGE_MS;
    }
  message.status.prefix_holder_count = TT_MAX_STATUS_HOLDERS;
  message.status.prefix_holders[TT_MAX_STATUS_HOLDERS - 1] = (TtStatusPrefixHolder){ 5, 6 };
  message.status.suspect_count = 1;
  message.status.suspects[0] = (TtPeerSuspect){ 1, 2, 3 };
  decoded = round_trip (decoder, &data);
  CU_ASSERT_STRING_EQUAL (decoded->status.name, "d2");
  CU_ASSERT_STRING_EQUAL (decoded->status.address, "10.1.0.4");
  CU_ASSERT (decoded->status.port == 7340 && decoded->status.table_version == 41);
  CU_ASSERT_EQUAL (decoded->status.servers.era, INT64_MAX);
  CU_ASSERT_EQUAL (decoded->status.servers.revision, UINT64_MAX);
  UNIT_REQUIRE (decoded->status.load_count == TT_MAX_STATUS_LOADS);
  CU_ASSERT (decoded->status.loads[TT_MAX_STATUS_LOADS - 1].backend_id == 9
             && decoded->status.loads[TT_MAX_STATUS_LOADS - 1].running == 12
             && decoded->status.loads[TT_MAX_STATUS_LOADS - 1].avoiding == 1);
  UNIT_REQUIRE (decoded->status.notice_count == TT_PEER_MAX_NOTICES);
  CU_ASSERT (decoded->status.notices[TT_PEER_MAX_NOTICES - 1].backend_id == 11
             && decoded->status.notices[TT_PEER_MAX_NOTICES - 1].process_start_ms == 12);
  UNIT_REQUIRE (decoded->status.part_count == TT_PEER_MAX_PARTS);
  CU_ASSERT (decoded->status.parts[0].key == 21 && decoded->status.parts[0].strike_count == 0
             && decoded->status.parts[0].ages_ms[0] == 22);
  for (uint32_t i = 1; i < TT_PEER_MAX_PARTS; i++)
    {
      const TtPeerPart *part = &decoded->status.parts[i];

      CU_ASSERT (part->key == i && part->strike_count == TT_MAX_PART_STRIKES);
      CU_ASSERT (part->crash_ids[0] == 0 && part->crash_ids[TT_MAX_PART_STRIKES - 1] == UINT64_MAX);
      CU_ASSERT (part->ages_ms[0] == 0
                 && part->ages_ms[TT_MAX_PART_STRIKES - 1] == TT_PEER_MAX_PART_AGE_MS);
    }
  UNIT_REQUIRE (decoded->status.prefix_holder_count == TT_MAX_STATUS_HOLDERS);
  CU_ASSERT (decoded->status.prefix_holders[TT_MAX_STATUS_HOLDERS - 1].key == 5
             && decoded->status.prefix_holders[TT_MAX_STATUS_HOLDERS - 1].backend_id == 6);
  UNIT_REQUIRE (decoded->status.suspect_count == 1);
  CU_ASSERT (decoded->status.suspects[0].fingerprint == 1
             && decoded->status.suspects[0].strikes == 3);
  free (data);

  memset (&message, 0, sizeof message);
  message.type = TT_PEER_LOAD_SUMS;
  message.sender_id = 7;
  message.sums.domain_id = 4;
  message.sums.load_count = 1;
  message.sums.loads[0] = (TtStatusLoad){ 9, 300, 2 };
  message.sums.prefix_holder_count = 1;
  message.sums.prefix_holders[0] = (TtStatusPrefixHolder){ 5, 6 };
  decoded = round_trip (decoder, &data);
  CU_ASSERT (decoded->sums.domain_id == 4 && decoded->sums.load_count == 1
             && decoded->sums.loads[0].running == 300 && decoded->sums.loads[0].avoiding == 2
             && decoded->sums.prefix_holders[0].backend_id == 6);
  free (data);
  tt_peer_decoder_free (decoder);
}

/// Guards against a routing table or a list of backend servers that changes in encoding or
/// decoding.
static void
table_and_servers_round_trip (void)
{
  TtPeerDecoder *decoder = tt_peer_decoder_new ("fleet", MAX_BYTES);
  TtStoreEntry entry = { .kind = TT_STORE_SERVERS, .name = "i-1", .valid = true, .revision = 4 };
  const TtPeerMessage *decoded;
  char *data;

  memset (&message, 0, sizeof message);
  message.type = TT_PEER_TABLE;
  message.sender_id = 7;
  message.table = (TtPeerTable){ .text = "{}", .text_size = 2 };
  decoded = round_trip (decoder, &data);
  CU_ASSERT (decoded->table.text_size == 2 && memcmp (decoded->table.text, "{}", 2) == 0);
  free (data);
  memset (&message, 0, sizeof message);
  message.type = TT_PEER_SERVERS;
  message.sender_id = 7;
  entry.server.leaving = true;
  entry.server.port = 8080;
  entry.server.process_start_ms = UINT64_MAX;
  (void) snprintf (entry.server.address, sizeof entry.server.address, "10.1.2.3");
  message.servers = (TtStoreEntries){ .entries = &entry, .count = 1, .revision = 9 };
  decoded = round_trip (decoder, &data);
  UNIT_REQUIRE (decoded->servers.count == 1);
  CU_ASSERT (decoded->servers.from_peer && decoded->servers.is_list
             && decoded->servers.revision == 9);
  CU_ASSERT (decoded->servers.entries[0].server.leaving
             && decoded->servers.entries[0].server.port == 8080
             && decoded->servers.entries[0].server.process_start_ms == UINT64_MAX);
  CU_ASSERT_STRING_EQUAL (decoded->servers.entries[0].server.address, "10.1.2.3");
  CU_ASSERT_STRING_EQUAL (decoded->servers.entries[0].name, "i-1");
  CU_ASSERT (decoded->servers.entries[0].valid && !decoded->servers.entries[0].removed);
  free (data);

  entry.removed = true;
  message.type = TT_PEER_SERVER_CHANGES;
  message.servers = (TtStoreEntries){
    .entries = &entry, .count = 1, .revision = 9, .base_revision = 8, .lapse_ms = 7
  };
  decoded = round_trip (decoder, &data);
  UNIT_REQUIRE (decoded->servers.count == 1);
  CU_ASSERT (decoded->servers.entries[0].removed && !decoded->servers.is_list
             && decoded->servers.from_peer);
  CU_ASSERT (decoded->servers.base_revision == 8 && decoded->servers.lapse_ms == 7);
  free (data);
  tt_peer_decoder_free (decoder);
}

/// Guards against names of backend servers and services that are cut, or make a list undecodable.
static void
long_names_round_trip (void)
{
  TtPeerDecoder *decoder = tt_peer_decoder_new ("fleet", MAX_BYTES);
  const TtPeerMessage *decoded;
  char name[301];
  TtStoreEntry entries[2]
      = { { .name = name, .valid = true, .server = { .service = name, .port = 1 } },
          { .name = "", .removed = true } };
  char *data;

  memset (name, 'n', sizeof name);
  name[sizeof name - 1] = '\0';
  memset (&message, 0, sizeof message);
  message.type = TT_PEER_SERVER_CHANGES;
  message.sender_id = 7;
  message.servers = (TtStoreEntries){ .entries = entries, .count = 2, .revision = 9 };
  decoded = round_trip (decoder, &data);
  UNIT_REQUIRE (decoded->servers.count == 2);
  CU_ASSERT_STRING_EQUAL (decoded->servers.entries[0].name, name);
  CU_ASSERT_STRING_EQUAL (decoded->servers.entries[0].server.service, name);
  CU_ASSERT_STRING_EQUAL (decoded->servers.entries[1].name, "");
  CU_ASSERT_STRING_EQUAL (decoded->servers.entries[1].server.service, "");
  free (data);
  tt_peer_decoder_free (decoder);
}

static const UnitTest tests[] = {
  { "long_names_round_trip", long_names_round_trip },
  { "gossip_round_trip", gossip_round_trip },
  { "slot_grant_and_leave_round_trip", slot_grant_and_leave_round_trip },
  { "document_is_parsed", document_is_parsed },
  { "protocol_versions", protocol_versions },
  { "message_of_other_fleet", message_of_other_fleet },
  { "empty_fleet_name", empty_fleet_name },
  { "excessive_lengths", excessive_lengths },
  { "truncated_or_corrupted", truncated_or_corrupted },
  { "status_round_trip", status_round_trip },
  { "confirmation_round_trip", confirmation_round_trip },
  { "table_and_servers_round_trip", table_and_servers_round_trip },
};

UNIT_MAIN ("peer", tests)
