#include "tarragontrack/codec/peer.h"
#include "tarragontrack/board/backend_defs.h"
#include "tarragontrack/board/error.h"
#include "tarragontrack/board/name.h"
#include "tarragontrack/board/store.h"
#include "tarragontrack/codec/document.h"
#include "tarragontrack/codec/msgpack_validate.h"
#include "tarragontrack/codec/peer_fields.h"
#include <msgpack.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

struct TtPeerDecoder
{
  char fleet[TT_NAME_MAX];
  size_t max_bytes; ///< of a message
  TtPeerMessage message;
  TtDocument document;
  TtStoreEntry *servers; ///< entries of the last list of backend servers or its changes
  size_t message_size;   ///< bytes of the message that is being decoded
  char text[TT_MAX_DOCUMENT_BYTES + 1];
};

enum
{
  MAX_RECORD_FIELDS = 64 ///< maximum fields of one record, including those of newer versions
};

static void
decode_members (TtPeerFieldCursor *body, TtPeerGossip *gossip)
{
  TtPeerFieldCursor list = tt_peer_fields_next_array (body, TT_PEER_MAX_MEMBERS);

  for (uint32_t i = 0; i < list.count; i++)
    {
      TtPeerFieldCursor fields = tt_peer_fields_next_array (&list, MAX_RECORD_FIELDS);
      TtMemberEntry *entry = &gossip->members[i];

      entry->id = tt_peer_fields_next_u64 (&fields);
      entry->domain_id = tt_peer_fields_next_u64 (&fields);
      if (entry->domain_id == 0) // 0: the failure domain of the sender
        entry->domain_id = gossip->members[0].domain_id;
      entry->incarnation = tt_peer_fields_next_u64 (&fields);
      entry->heartbeat = tt_peer_fields_next_u32 (&fields, UINT32_MAX);
      entry->state = (TtMemberState) tt_peer_fields_next_u32 (&fields, TT_MEMBER_GONE);
      entry->epoch = tt_peer_fields_next_u64 (&fields);
      entry->generation = tt_peer_fields_next_u64 (&fields);
      tt_peer_fields_next_address (&fields, entry->address);
      entry->port = (uint16_t) tt_peer_fields_next_u32 (&fields, UINT16_MAX);
    }
  gossip->member_count = list.count;
}

static void
decode_loads (TtPeerFieldCursor *body, TtPeerGossip *gossip)
{
  TtPeerFieldCursor list = tt_peer_fields_next_array (body, TT_PEER_MAX_LOADS);

  for (uint32_t i = 0; i < list.count; i++)
    {
      TtPeerFieldCursor fields = tt_peer_fields_next_array (&list, MAX_RECORD_FIELDS);

      gossip->loads[i].backend_id = tt_peer_fields_next_u64 (&fields);
      gossip->loads[i].load = tt_peer_fields_next_u32 (&fields, UINT32_MAX);
      gossip->loads[i].slot_limit = tt_peer_fields_next_u32 (&fields, UINT32_MAX);
    }
  gossip->load_count = list.count;
}

static void
decode_accounts (TtPeerFieldCursor *body, TtPeerGossip *gossip)
{
  TtPeerFieldCursor list = tt_peer_fields_next_array (body, TT_PEER_MAX_ACCOUNTS);

  for (uint32_t i = 0; i < list.count; i++)
    {
      TtPeerFieldCursor fields = tt_peer_fields_next_array (&list, MAX_RECORD_FIELDS);

      gossip->accounts[i].account_id = tt_peer_fields_next_u64 (&fields);
      gossip->accounts[i].member_id = tt_peer_fields_next_u64 (&fields);
      gossip->accounts[i].in_flight = tt_peer_fields_next_u32 (&fields, UINT32_MAX);
    }
  gossip->account_count = list.count;
}

static void
decode_suspects (TtPeerFieldCursor *body, TtPeerSuspect *suspects, uint32_t *count)
{
  TtPeerFieldCursor list = tt_peer_fields_next_array (body, TT_PEER_MAX_SUSPECTS);

  for (uint32_t i = 0; i < list.count; i++)
    {
      TtPeerFieldCursor fields = tt_peer_fields_next_array (&list, MAX_RECORD_FIELDS);

      suspects[i].fingerprint = tt_peer_fields_next_u64 (&fields);
      suspects[i].crash_id = tt_peer_fields_next_u64 (&fields);
      suspects[i].strikes = tt_peer_fields_next_u32 (&fields, UINT32_MAX);
    }
  *count = list.count;
}

static void
decode_gossip (TtPeerFieldCursor *body, TtPeerGossip *gossip)
{
  TtPeerFieldCursor list;

  decode_members (body, gossip);
  decode_loads (body, gossip);
  decode_accounts (body, gossip);
  decode_suspects (body, gossip->suspects, &gossip->suspect_count);
  list = tt_peer_fields_next_array (body, TT_PEER_MAX_SLOTS);
  for (uint32_t i = 0; i < list.count; i++)
    gossip->leaving[i] = tt_peer_fields_next_u64 (&list);
  gossip->leaving_count = list.count;
  list = tt_peer_fields_next_array (body, TT_PEER_MAX_DOMAINS);
  for (uint32_t i = 0; i < list.count; i++)
    {
      TtPeerFieldCursor fields = tt_peer_fields_next_array (&list, MAX_RECORD_FIELDS);

      gossip->domains[i].domain_id = tt_peer_fields_next_u64 (&fields);
      gossip->domains[i].generation = tt_peer_fields_next_u64 (&fields);
      gossip->domains[i].epoch = tt_peer_fields_next_u64 (&fields);
      gossip->domains[i].members = tt_peer_fields_next_u32 (&fields, UINT32_MAX);
    }
  gossip->domain_count = list.count;
  // Heartbeats are a flat array of three numbers each, not an array of records.
  list = tt_peer_fields_next_array (body, 3 * TT_PEER_MAX_HEARTBEATS);
  if (list.count % 3 != 0)
    tt_peer_fields_fail (&list, TT_E_MALFORMED);
  gossip->heartbeat_count = list.count / 3;
  for (uint32_t i = 0; i < gossip->heartbeat_count; i++)
    {
      gossip->heartbeats[i].id = tt_peer_fields_next_u32 (&list, UINT32_MAX);
      gossip->heartbeats[i].incarnation = (uint8_t) tt_peer_fields_next_u32 (&list, 127);
      gossip->heartbeats[i].heartbeat = tt_peer_fields_next_u32 (&list, UINT32_MAX);
    }
}

static void
decode_slots (TtPeerFieldCursor *body, TtPeerSlotMessage *message)
{
  TtPeerFieldCursor list;

  message->sequence = tt_peer_fields_next_u32 (body, UINT32_MAX);
  list = tt_peer_fields_next_array (body, TT_PEER_MAX_SLOTS);
  for (uint32_t i = 0; i < list.count; i++)
    {
      TtPeerFieldCursor fields = tt_peer_fields_next_array (&list, MAX_RECORD_FIELDS);

      message->slots[i].backend_id = tt_peer_fields_next_u64 (&fields);
      message->slots[i].used = tt_peer_fields_next_u32 (&fields, UINT32_MAX);
      message->slots[i].slots = tt_peer_fields_next_u32 (&fields, UINT32_MAX);
      message->slots[i].lease_period_ms = tt_peer_fields_next_u32 (&fields, UINT32_MAX);
    }
  message->slot_count = list.count;
}

static void
decode_document (TtPeerDecoder *decoder, TtPeerFieldCursor *body)
{
  TtPeerDocument *document = &decoder->message.document;
  const msgpack_object *item;

  document->generation = tt_peer_fields_next_u64 (body);
  document->epoch = tt_peer_fields_next_u64 (body);
  tt_peer_fields_next_string (body, document->team, sizeof document->team);
  tt_peer_fields_next_string (body, document->author, sizeof document->author);
  document->staged_s = tt_peer_fields_next_i64 (body);
  item = tt_peer_fields_next (body, MSGPACK_OBJECT_BIN);
  if (item != NULL && item->via.bin.size == sizeof document->hash.bytes)
    memcpy (document->hash.bytes, item->via.bin.ptr, sizeof document->hash.bytes);
  else
    tt_peer_fields_fail (body, TT_E_MALFORMED);
  tt_peer_fields_next_string (body, decoder->text, sizeof decoder->text);
  if (*body->code != TT_OK)
    return;
  document->text = decoder->text;
  document->text_size = (uint32_t) strlen (decoder->text);
  if (tt_document_parse (decoder->text, document->text_size, document->team, &decoder->document,
                         &document->error)
      == TT_OK)
    document->document = &decoder->document;
}

/// Decodes at most TT_MAX_STATUS_LOADS loads. RETURN their number.
static uint32_t
decode_status_loads (TtPeerFieldCursor *body, TtStatusLoad *loads)
{
  TtPeerFieldCursor list = tt_peer_fields_next_array (body, TT_MAX_STATUS_LOADS);

  for (uint32_t i = 0; i < list.count; i++)
    {
      TtPeerFieldCursor fields = tt_peer_fields_next_array (&list, MAX_RECORD_FIELDS);

      loads[i].backend_id = tt_peer_fields_next_u64 (&fields);
      loads[i].running = tt_peer_fields_next_u32 (&fields, UINT16_MAX);
      loads[i].avoiding = tt_peer_fields_next_u32 (&fields, TT_MAX_DAEMONS);
    }
  return list.count;
}

/// Decodes at most TT_MAX_STATUS_HOLDERS prefix holders. RETURN their number.
static uint32_t
decode_holders (TtPeerFieldCursor *body, TtStatusPrefixHolder *holders)
{
  TtPeerFieldCursor list = tt_peer_fields_next_array (body, TT_MAX_STATUS_HOLDERS);

  for (uint32_t i = 0; i < list.count; i++)
    {
      TtPeerFieldCursor fields = tt_peer_fields_next_array (&list, MAX_RECORD_FIELDS);

      holders[i].key = tt_peer_fields_next_u64 (&fields);
      holders[i].backend_id = tt_peer_fields_next_u64 (&fields);
    }
  return list.count;
}

/// Decodes at most TT_PEER_MAX_NOTICES notices. RETURN their number.
static uint32_t
decode_notices (TtPeerFieldCursor *body, TtPeerNotice *notices)
{
  TtPeerFieldCursor list = tt_peer_fields_next_array (body, TT_PEER_MAX_NOTICES);

  for (uint32_t i = 0; i < list.count; i++)
    {
      TtPeerFieldCursor fields = tt_peer_fields_next_array (&list, MAX_RECORD_FIELDS);

      notices[i].backend_id = tt_peer_fields_next_u64 (&fields);
      notices[i].process_start_ms = tt_peer_fields_next_u64 (&fields);
    }
  return list.count;
}

/// Decodes at most TT_PEER_MAX_PARTS parts. RETURN their number.
static uint32_t
decode_parts (TtPeerFieldCursor *body, TtPeerPart *parts)
{
  TtPeerFieldCursor list = tt_peer_fields_next_array (body, TT_PEER_MAX_PARTS);

  for (uint32_t i = 0; i < list.count; i++)
    {
      TtPeerFieldCursor fields = tt_peer_fields_next_array (&list, 1 + 2 * TT_MAX_PART_STRIKES);

      parts[i].key = tt_peer_fields_next_u64 (&fields);
      parts[i].strike_count = fields.count > 2 ? (fields.count - 1) / 2 : 0;
      if (fields.count < 2)
        tt_peer_fields_fail (&fields, TT_E_MALFORMED);
      else if (fields.count == 2)
        parts[i].ages_ms[0] = tt_peer_fields_next_u32 (&fields, TT_PEER_MAX_PART_AGE_MS);
      for (uint32_t j = 0; j < parts[i].strike_count; j++)
        {
          parts[i].crash_ids[j] = tt_peer_fields_next_u64 (&fields);
          parts[i].ages_ms[j] = tt_peer_fields_next_u32 (&fields, TT_PEER_MAX_PART_AGE_MS);
        }
    }
  return list.count;
}

static TtConfirmation
decode_confirmation (TtPeerFieldCursor *body, uint64_t table_version)
{
  TtConfirmation confirmation = { .table_version = table_version };

  confirmation.servers.era = tt_peer_fields_next_revision (body);
  confirmation.servers.revision = tt_peer_fields_next_revision (body);
  confirmation.ms_ago = tt_peer_fields_next_u32 (body, TT_NEVER_CONFIRMED);
  confirmation.served_ms = tt_peer_fields_next_u32 (body, UINT32_MAX);
  return confirmation;
}

static void
decode_sums (TtPeerFieldCursor *body, TtLoadSums *sums)
{
  sums->domain_id = tt_peer_fields_next_u64 (body);
  sums->table_version = tt_peer_fields_next_u64 (body);
  sums->change.revision = tt_peer_fields_next_u64 (body);
  sums->load_count = decode_status_loads (body, sums->loads);
  sums->prefix_holder_count = decode_holders (body, sums->prefix_holders);
  sums->confirmation.ms_ago = TT_NEVER_CONFIRMED;
  if (!tt_peer_fields_has_next (body))
    return; // sent by an older version
  sums->change.era = tt_peer_fields_next_revision (body);
  sums->confirmation = decode_confirmation (body, sums->table_version);
}

static void
decode_status (TtPeerFieldCursor *body, TtDaemonStatus *status)
{
  tt_peer_fields_next_string (body, status->name, sizeof status->name);
  tt_peer_fields_next_address (body, status->address);
  status->port = (uint16_t) tt_peer_fields_next_u32 (body, UINT16_MAX);
  status->table_version = tt_peer_fields_next_u64 (body);
  status->servers.revision = tt_peer_fields_next_u64 (body);
  status->load_count = decode_status_loads (body, status->loads);
  status->prefix_holder_count = decode_holders (body, status->prefix_holders);
  decode_suspects (body, status->suspects, &status->suspect_count);
  status->confirmation.ms_ago = TT_NEVER_CONFIRMED;
  if (!tt_peer_fields_has_next (body))
    return; // sent by an older version
  status->domain_id = tt_peer_fields_next_u64 (body);
  status->reads_store = tt_peer_fields_next_u32 (body, 1) != 0;
  status->change.revision = tt_peer_fields_next_u64 (body);
  if (tt_peer_fields_has_next (body))
    status->notice_count = decode_notices (body, status->notices);
  if (tt_peer_fields_has_next (body))
    status->part_count = decode_parts (body, status->parts);
  if (!tt_peer_fields_has_next (body))
    return;
  status->servers.era = status->change.era = tt_peer_fields_next_revision (body);
  status->confirmation = decode_confirmation (body, status->table_version);
}

/// Decodes a routing table. TtPeerTable.text points into the bytes of the message.
static void
decode_table (TtPeerFieldCursor *body, TtPeerTable *table)
{
  const msgpack_object *item = tt_peer_fields_next (body, MSGPACK_OBJECT_STR);

  if (item == NULL)
    return;
  table->text = item->via.str.ptr;
  table->text_size = item->via.str.size;
}

/// Decodes a string into the room for the strings of entries.
static const char *
next_name (TtPeerFieldCursor *fields, TtStoreText *text)
{
  size_t size;
  const char *bytes = tt_peer_fields_next_text (fields, &size);

  return tt_store_text_add (text, bytes, size);
}

static void
decode_servers (TtPeerDecoder *decoder, TtPeerFieldCursor *body, TtStoreEntries *servers)
{
  TtPeerFieldCursor list;
  TtStoreText text;

  servers->kind = TT_STORE_SERVERS;
  servers->is_list = decoder->message.type == TT_PEER_SERVERS;
  servers->is_first_page = servers->is_list;
  servers->from_peer = true;
  servers->revision = tt_peer_fields_next_revision (body);
  list = tt_peer_fields_next_array (body, TT_MAX_BACKENDS);
  free (decoder->servers);
  // A string and its final NUL need at most one byte more than in the message.
  decoder->servers
      = tt_store_entries_alloc (list.count, decoder->message_size + (size_t) 2 * list.count, &text);
  if (decoder->servers == NULL)
    {
      tt_peer_fields_fail (body, TT_E_LIMIT);
      return;
    }
  for (uint32_t i = 0; i < list.count; i++)
    {
      TtPeerFieldCursor fields = tt_peer_fields_next_array (&list, MAX_RECORD_FIELDS);
      TtStoreEntry *entry = &decoder->servers[i];
      uint32_t state;

      entry->kind = TT_STORE_SERVERS;
      entry->name = next_name (&fields, &text);
      entry->revision = tt_peer_fields_next_revision (&fields);
      entry->server.service = next_name (&fields, &text);
      tt_peer_fields_next_address (&fields, entry->server.address);
      entry->server.port = (uint16_t) tt_peer_fields_next_u32 (&fields, UINT16_MAX);
      entry->server.domain_id = tt_peer_fields_next_u64 (&fields);
      entry->server.slots = tt_peer_fields_next_u32 (&fields, UINT32_MAX);
      entry->server.leaving = tt_peer_fields_next_u32 (&fields, 1) != 0;
      entry->server.process_start_ms = tt_peer_fields_next_u64 (&fields);
      entry->valid = entry->server.port != 0 && entry->name != NULL && entry->name[0] != '\0'
                     && tt_name_is_header_value (entry->name);
      if (!tt_peer_fields_has_next (&fields))
        continue; // sent by an older version
      state = tt_peer_fields_next_u32 (&fields, TT_PEER_ENTRY_INVALID);
      entry->removed = state == TT_PEER_ENTRY_REMOVED;
      entry->valid = entry->valid && state == TT_PEER_ENTRY_VALID;
    }
  if (tt_peer_fields_has_next (body))
    {
      servers->base_revision = tt_peer_fields_next_revision (body);
      servers->lapse_ms = tt_peer_fields_next_u32 (body, UINT32_MAX);
    }
  if (tt_peer_fields_has_next (body))
    servers->era = tt_peer_fields_next_revision (body);
  servers->entries = decoder->servers;
  servers->count = list.count;
}

static void
decode_body (TtPeerDecoder *decoder, TtPeerFieldCursor *body)
{
  TtPeerMessage *message = &decoder->message;

  switch (message->type)
    {
    case TT_PEER_GOSSIP:
      decode_gossip (body, &message->gossip);
      break;
    case TT_PEER_SLOT_REQUEST:
    case TT_PEER_SLOT_GRANT:
      decode_slots (body, &message->share);
      break;
    case TT_PEER_DOCUMENT_REQUEST:
      message->document.generation = tt_peer_fields_next_u64 (body);
      message->document.epoch = tt_peer_fields_next_u64 (body);
      break;
    case TT_PEER_DOCUMENT:
      decode_document (decoder, body);
      break;
    case TT_PEER_STATUS:
    case TT_PEER_TABLE_REQUEST:
    case TT_PEER_SERVERS_REQUEST:
      decode_status (body, &message->status);
      break;
    case TT_PEER_TABLE:
      decode_table (body, &message->table);
      break;
    case TT_PEER_SERVERS:
    case TT_PEER_SERVER_CHANGES:
      decode_servers (decoder, body, &message->servers);
      break;
    case TT_PEER_LOAD_SUMS:
      decode_sums (body, &message->sums);
      break;
    default: // TT_PEER_LEAVE has no fields
      break;
    }
}

/// Decodes the header of the message, then its body. Sets *top->code on failure.
static void
decode_message (TtPeerDecoder *decoder, TtPeerFieldCursor *top)
{
  TtPeerMessage *message = &decoder->message;
  char fleet[TT_NAME_MAX];
  uint64_t version = tt_peer_fields_next_u64 (top);
  TtPeerFieldCursor body;

  if (version > TT_PEER_VERSION || version == 0)
    tt_peer_fields_fail (top, TT_E_VERSION);
  tt_peer_fields_next_string (top, fleet, sizeof fleet);
  if (strcmp (fleet, decoder->fleet) != 0)
    tt_peer_fields_fail (top, TT_E_AUTH);
  message->type = (TtPeerType) tt_peer_fields_next_u32 (top, TT_PEER_LOAD_SUMS);
  message->sender_id = tt_peer_fields_next_u64 (top);
  message->sender_incarnation = tt_peer_fields_next_u64 (top);
  if (message->type < TT_PEER_GOSSIP || message->sender_id == 0)
    tt_peer_fields_fail (top, TT_E_MALFORMED);
  body = tt_peer_fields_next_array (top, MAX_RECORD_FIELDS);
  if (*top->code == TT_OK)
    decode_body (decoder, &body);
}

TtPeerDecoder *
tt_peer_decoder_new (const char *fleet, size_t max_bytes)
{
  TtPeerDecoder *decoder = calloc (1, sizeof *decoder);

  if (decoder == NULL)
    return NULL;
  (void) snprintf (decoder->fleet, sizeof decoder->fleet, "%s", fleet);
  decoder->max_bytes = max_bytes;
  return decoder;
}

void
tt_peer_decoder_free (TtPeerDecoder *decoder)
{
  if (decoder != NULL)
    free (decoder->servers);
  free (decoder);
}

int
tt_peer_decode (TtPeerDecoder *decoder, const void *data, size_t size,
                const TtPeerMessage **message, TtError *error)
{
  msgpack_unpacked unpacked;
  msgpack_unpack_return result;
  size_t offset = 0;
  int code = TT_OK;
  TtPeerFieldCursor outer = { .count = 1, .code = &code };

  *message = NULL;
  memset (&decoder->message, 0, sizeof decoder->message);
  decoder->message_size = size;
  if (size > decoder->max_bytes)
    return tt_error_set (error, TT_E_LIMIT, TT_STEP_PEER_RECEIVE, NULL,
                         "message of %zu bytes, expected at most %zu", size, decoder->max_bytes);
  if (!tt_msgpack_validate (data, size))
    return tt_error_set (error, TT_E_MALFORMED, TT_STEP_PEER_RECEIVE, NULL,
                         "message is not one whole msgpack value");
  msgpack_unpacked_init (&unpacked);
  result = msgpack_unpack_next (&unpacked, data, size, &offset);
  if (result == MSGPACK_UNPACK_SUCCESS)
    {
      outer.items = &unpacked.data;
      TtPeerFieldCursor top = tt_peer_fields_next_array (&outer, MAX_RECORD_FIELDS);
      decode_message (decoder, &top);
    }
  else
    // msgpack-c returns the same error for nesting above 32 levels and for a failed allocation.
    code = result == MSGPACK_UNPACK_NOMEM_ERROR ? TT_E_LIMIT : TT_E_MALFORMED;
  msgpack_unpacked_destroy (&unpacked);
  if (code != TT_OK)
    return tt_error_set (error, code, TT_STEP_PEER_RECEIVE, NULL, "message of %zu bytes", size);
  *message = &decoder->message;
  return TT_OK;
}
