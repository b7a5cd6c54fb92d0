#include "tarragontrack/board/error.h"
#include "tarragontrack/codec/peer.h"
#include "tarragontrack/codec/peer_fields.h"
#include <arpa/inet.h>
#include <msgpack.h>
#include <string.h>

static void
pack_string (msgpack_packer *packer, const char *text)
{
  if (text == NULL)
    text = "";
  (void) msgpack_pack_str_with_body (packer, text, strlen (text));
}

/// Packs an IP address as 4 or 16 bytes, which keeps gossip messages small, and any other text as
/// an empty string.
static void
pack_address (msgpack_packer *packer, const char *address)
{
  unsigned char bytes[16];

  if (inet_pton (AF_INET, address, bytes) == 1)
    (void) msgpack_pack_bin_with_body (packer, bytes, 4);
  else if (inet_pton (AF_INET6, address, bytes) == 1)
    (void) msgpack_pack_bin_with_body (packer, bytes, 16);
  else
    pack_string (packer, "");
}

/// Packs the member entries. A failure domain equal to that of the first entry, the sender, is
/// packed as 0.
static void
pack_members (msgpack_packer *packer, const TtPeerGossip *gossip)
{
  (void) msgpack_pack_array (packer, gossip->member_count);
  for (uint32_t i = 0; i < gossip->member_count; i++)
    {
      const TtMemberEntry *entry = &gossip->members[i];
      bool same = i > 0 && entry->domain_id == gossip->members[0].domain_id;

      (void) msgpack_pack_array (packer, 9);
      (void) msgpack_pack_uint64 (packer, entry->id);
      (void) msgpack_pack_uint64 (packer, same ? 0 : entry->domain_id);
      (void) msgpack_pack_uint64 (packer, entry->incarnation);
      (void) msgpack_pack_uint32 (packer, entry->heartbeat);
      (void) msgpack_pack_uint32 (packer, (uint32_t) entry->state);
      (void) msgpack_pack_uint64 (packer, entry->epoch);
      (void) msgpack_pack_uint64 (packer, entry->generation);
      pack_address (packer, entry->address);
      (void) msgpack_pack_uint16 (packer, entry->port);
    }
}

static void
pack_loads (msgpack_packer *packer, const TtPeerGossip *gossip)
{
  (void) msgpack_pack_array (packer, gossip->load_count);
  for (uint32_t i = 0; i < gossip->load_count; i++)
    {
      (void) msgpack_pack_array (packer, 3);
      (void) msgpack_pack_uint64 (packer, gossip->loads[i].backend_id);
      (void) msgpack_pack_uint32 (packer, gossip->loads[i].load);
      (void) msgpack_pack_uint32 (packer, gossip->loads[i].slot_limit);
    }
}

static void
pack_accounts (msgpack_packer *packer, const TtPeerGossip *gossip)
{
  (void) msgpack_pack_array (packer, gossip->account_count);
  for (uint32_t i = 0; i < gossip->account_count; i++)
    {
      (void) msgpack_pack_array (packer, 3);
      (void) msgpack_pack_uint64 (packer, gossip->accounts[i].account_id);
      (void) msgpack_pack_uint64 (packer, gossip->accounts[i].member_id);
      (void) msgpack_pack_uint32 (packer, gossip->accounts[i].in_flight);
    }
}

static void
pack_suspects (msgpack_packer *packer, const TtPeerSuspect *suspects, uint32_t count)
{
  (void) msgpack_pack_array (packer, count);
  for (uint32_t i = 0; i < count; i++)
    {
      (void) msgpack_pack_array (packer, 3);
      (void) msgpack_pack_uint64 (packer, suspects[i].fingerprint);
      (void) msgpack_pack_uint64 (packer, suspects[i].crash_id);
      (void) msgpack_pack_uint32 (packer, suspects[i].strikes);
    }
}

static int
pack_gossip (msgpack_packer *packer, const TtPeerGossip *gossip)
{
  if (gossip->member_count > TT_PEER_MAX_MEMBERS || gossip->load_count > TT_PEER_MAX_LOADS
      || gossip->account_count > TT_PEER_MAX_ACCOUNTS
      || gossip->suspect_count > TT_PEER_MAX_SUSPECTS || gossip->leaving_count > TT_PEER_MAX_SLOTS
      || gossip->domain_count > TT_PEER_MAX_DOMAINS
      || gossip->heartbeat_count > TT_PEER_MAX_HEARTBEATS)
    return TT_E_INVALID;
  (void) msgpack_pack_array (packer, 7);
  pack_members (packer, gossip);
  pack_loads (packer, gossip);
  pack_accounts (packer, gossip);
  pack_suspects (packer, gossip->suspects, gossip->suspect_count);
  (void) msgpack_pack_array (packer, gossip->leaving_count);
  for (uint32_t i = 0; i < gossip->leaving_count; i++)
    (void) msgpack_pack_uint64 (packer, gossip->leaving[i]);
  (void) msgpack_pack_array (packer, gossip->domain_count);
  for (uint32_t i = 0; i < gossip->domain_count; i++)
    {
      (void) msgpack_pack_array (packer, 4);
      (void) msgpack_pack_uint64 (packer, gossip->domains[i].domain_id);
      (void) msgpack_pack_uint64 (packer, gossip->domains[i].generation);
      (void) msgpack_pack_uint64 (packer, gossip->domains[i].epoch);
      (void) msgpack_pack_uint32 (packer, gossip->domains[i].members);
    }
  (void) msgpack_pack_array (packer, (size_t) 3 * gossip->heartbeat_count);
  for (uint32_t i = 0; i < gossip->heartbeat_count; i++)
    {
      (void) msgpack_pack_uint32 (packer, gossip->heartbeats[i].id);
      (void) msgpack_pack_uint8 (packer, gossip->heartbeats[i].incarnation);
      (void) msgpack_pack_uint32 (packer, gossip->heartbeats[i].heartbeat);
    }
  return TT_OK;
}

static int
pack_slots (msgpack_packer *packer, const TtPeerSlotMessage *message)
{
  if (message->slot_count > TT_PEER_MAX_SLOTS)
    return TT_E_INVALID;
  (void) msgpack_pack_array (packer, 2);
  (void) msgpack_pack_uint32 (packer, message->sequence);
  (void) msgpack_pack_array (packer, message->slot_count);
  for (uint32_t i = 0; i < message->slot_count; i++)
    {
      (void) msgpack_pack_array (packer, 4);
      (void) msgpack_pack_uint64 (packer, message->slots[i].backend_id);
      (void) msgpack_pack_uint32 (packer, message->slots[i].used);
      (void) msgpack_pack_uint32 (packer, message->slots[i].slots);
      (void) msgpack_pack_uint32 (packer, message->slots[i].lease_period_ms);
    }
  return TT_OK;
}

static int
pack_document (msgpack_packer *packer, const TtPeerDocument *document)
{
  if (document->text_size > TT_MAX_DOCUMENT_BYTES)
    return TT_E_INVALID;
  (void) msgpack_pack_array (packer, 7);
  (void) msgpack_pack_uint64 (packer, document->generation);
  (void) msgpack_pack_uint64 (packer, document->epoch);
  pack_string (packer, document->team);
  pack_string (packer, document->author);
  (void) msgpack_pack_int64 (packer, document->staged_s);
  (void) msgpack_pack_bin_with_body (packer, document->hash.bytes, sizeof document->hash.bytes);
  (void) msgpack_pack_str_with_body (packer, document->text, document->text_size);
  return TT_OK;
}

static void
pack_status_loads (msgpack_packer *packer, const TtStatusLoad *loads, uint32_t count)
{
  (void) msgpack_pack_array (packer, count);
  for (uint32_t i = 0; i < count; i++)
    {
      (void) msgpack_pack_array (packer, 3);
      (void) msgpack_pack_uint64 (packer, loads[i].backend_id);
      (void) msgpack_pack_uint32 (packer, loads[i].running);
      (void) msgpack_pack_uint32 (packer, loads[i].avoiding);
    }
}

static void
pack_holders (msgpack_packer *packer, const TtStatusPrefixHolder *holders, uint32_t count)
{
  (void) msgpack_pack_array (packer, count);
  for (uint32_t i = 0; i < count; i++)
    {
      (void) msgpack_pack_array (packer, 2);
      (void) msgpack_pack_uint64 (packer, holders[i].key);
      (void) msgpack_pack_uint64 (packer, holders[i].backend_id);
    }
}

static void
pack_notices (msgpack_packer *packer, const TtPeerNotice *notices, uint32_t count)
{
  (void) msgpack_pack_array (packer, count);
  for (uint32_t i = 0; i < count; i++)
    {
      (void) msgpack_pack_array (packer, 2);
      (void) msgpack_pack_uint64 (packer, notices[i].backend_id);
      (void) msgpack_pack_uint64 (packer, notices[i].process_start_ms);
    }
}

/// Packs parts: key, then crash and age of each strike, or only the age of a success.
static void
pack_parts (msgpack_packer *packer, const TtPeerPart *parts, uint32_t count)
{
  (void) msgpack_pack_array (packer, count);
  for (uint32_t i = 0; i < count; i++)
    {
      uint32_t strikes = parts[i].strike_count;

      (void) msgpack_pack_array (packer, strikes > 0 ? 1 + 2 * strikes : 2);
      (void) msgpack_pack_uint64 (packer, parts[i].key);
      if (strikes == 0)
        (void) msgpack_pack_uint32 (packer, parts[i].ages_ms[0]);
      for (uint32_t j = 0; j < strikes; j++)
        {
          (void) msgpack_pack_uint64 (packer, parts[i].crash_ids[j]);
          (void) msgpack_pack_uint32 (packer, parts[i].ages_ms[j]);
        }
    }
}

/// Packs the point and the age of a confirmation. The routing table is that of the message.
static void
pack_confirmation (msgpack_packer *packer, const TtConfirmation *confirmation)
{
  (void) msgpack_pack_uint64 (packer, confirmation->servers.era);
  (void) msgpack_pack_uint64 (packer, confirmation->servers.revision);
  (void) msgpack_pack_uint32 (packer, confirmation->ms_ago);
  (void) msgpack_pack_uint32 (packer, confirmation->served_ms);
}

static void
pack_sums (msgpack_packer *packer, const TtLoadSums *sums)
{
  (void) msgpack_pack_array (packer, 10);
  (void) msgpack_pack_uint64 (packer, sums->domain_id);
  (void) msgpack_pack_uint64 (packer, sums->table_version);
  (void) msgpack_pack_uint64 (packer, sums->change.revision);
  pack_status_loads (packer, sums->loads, sums->load_count);
  pack_holders (packer, sums->prefix_holders, sums->prefix_holder_count);
  (void) msgpack_pack_uint64 (packer, sums->change.era);
  pack_confirmation (packer, &sums->confirmation);
}

static void
pack_status (msgpack_packer *packer, const TtDaemonStatus *status)
{
  (void) msgpack_pack_array (packer, 18);
  pack_string (packer, status->name);
  pack_address (packer, status->address);
  (void) msgpack_pack_uint16 (packer, status->port);
  (void) msgpack_pack_uint64 (packer, status->table_version);
  (void) msgpack_pack_uint64 (packer, status->servers.revision);
  pack_status_loads (packer, status->loads, status->load_count);
  pack_holders (packer, status->prefix_holders, status->prefix_holder_count);
  pack_suspects (packer, status->suspects, status->suspect_count);
  (void) msgpack_pack_uint64 (packer, status->domain_id);
  (void) msgpack_pack_uint32 (packer, status->reads_store ? 1 : 0);
  (void) msgpack_pack_uint64 (packer, status->change.revision);
  pack_notices (packer, status->notices, status->notice_count);
  pack_parts (packer, status->parts, status->part_count);
  (void) msgpack_pack_uint64 (packer, status->servers.era);
  pack_confirmation (packer, &status->confirmation);
}

static void
pack_servers (msgpack_packer *packer, const TtStoreEntries *servers)
{
  (void) msgpack_pack_array (packer, 5);
  (void) msgpack_pack_uint64 (packer, servers->revision);
  (void) msgpack_pack_array (packer, servers->count);
  for (uint32_t i = 0; i < servers->count; i++)
    {
      const TtStoreEntry *entry = &servers->entries[i];

      (void) msgpack_pack_array (packer, 10);
      pack_string (packer, entry->name);
      (void) msgpack_pack_uint64 (packer, entry->revision);
      pack_string (packer, entry->server.service);
      pack_address (packer, entry->server.address);
      (void) msgpack_pack_uint16 (packer, entry->server.port);
      (void) msgpack_pack_uint64 (packer, entry->server.domain_id);
      (void) msgpack_pack_uint32 (packer, entry->server.slots);
      (void) msgpack_pack_uint32 (packer, entry->server.leaving ? 1 : 0);
      (void) msgpack_pack_uint64 (packer, entry->server.process_start_ms);
      (void) msgpack_pack_uint32 (packer, entry->removed ? TT_PEER_ENTRY_REMOVED
                                          : entry->valid ? TT_PEER_ENTRY_VALID
                                                         : TT_PEER_ENTRY_INVALID);
    }
  (void) msgpack_pack_uint64 (packer, servers->base_revision);
  (void) msgpack_pack_uint32 (packer, servers->lapse_ms);
  (void) msgpack_pack_uint64 (packer, servers->era);
}

static int
pack_body (msgpack_packer *packer, const TtPeerMessage *message)
{
  switch (message->type)
    {
    case TT_PEER_GOSSIP:
      return pack_gossip (packer, &message->gossip);
    case TT_PEER_SLOT_REQUEST:
    case TT_PEER_SLOT_GRANT:
      return pack_slots (packer, &message->share);
    case TT_PEER_DOCUMENT_REQUEST:
      (void) msgpack_pack_array (packer, 2);
      (void) msgpack_pack_uint64 (packer, message->document.generation);
      (void) msgpack_pack_uint64 (packer, message->document.epoch);
      return TT_OK;
    case TT_PEER_DOCUMENT:
      return pack_document (packer, &message->document);
    case TT_PEER_STATUS:
    case TT_PEER_TABLE_REQUEST:
    case TT_PEER_SERVERS_REQUEST:
      pack_status (packer, &message->status);
      return TT_OK;
    case TT_PEER_TABLE:
      (void) msgpack_pack_array (packer, 1);
      (void) msgpack_pack_str_with_body (packer, message->table.text, message->table.text_size);
      return TT_OK;
    case TT_PEER_SERVERS:
    case TT_PEER_SERVER_CHANGES:
      pack_servers (packer, &message->servers);
      return TT_OK;
    case TT_PEER_LOAD_SUMS:
      pack_sums (packer, &message->sums);
      return TT_OK;
    case TT_PEER_LEAVE:
      (void) msgpack_pack_array (packer, 0);
      return TT_OK;
    default:
      return TT_E_INVALID;
    }
}

/// Output buffer. A failed allocation sets `failed`, so that one check after packing is enough.
typedef struct
{
  msgpack_sbuffer buffer;
  bool failed;
} PackBuffer;

static int
append_packed (void *context, const char *data, size_t size)
{
  PackBuffer *output = context;

  output->failed = output->failed || msgpack_sbuffer_write (&output->buffer, data, size) != 0;
  return 0;
}

int
tt_peer_encode (const TtPeerMessage *message, const char *fleet, char **data, size_t *size)
{
  PackBuffer output = { .failed = false };
  msgpack_packer packer;
  int code;

  msgpack_sbuffer_init (&output.buffer);
  msgpack_packer_init (&packer, &output, append_packed);
  (void) msgpack_pack_array (&packer, 6);
  (void) msgpack_pack_uint32 (&packer, TT_PEER_VERSION);
  pack_string (&packer, fleet);
  (void) msgpack_pack_uint32 (&packer, (uint32_t) message->type);
  (void) msgpack_pack_uint64 (&packer, message->sender_id);
  (void) msgpack_pack_uint64 (&packer, message->sender_incarnation);
  code = pack_body (&packer, message);
  if (code == TT_OK && output.failed)
    code = TT_E_NO_MEMORY;
  if (code != TT_OK)
    {
      msgpack_sbuffer_destroy (&output.buffer);
      return code;
    }
  *size = output.buffer.size;
  *data = msgpack_sbuffer_release (&output.buffer);
  return TT_OK;
}
