/// Sequential decoding of the msgpack arrays in messages between daemons. Only for codec/peer.c.
#pragma once

#include "tarragontrack/board/error_defs.h"
#include <msgpack.h>
#include <stdbool.h>
#include <stdint.h>

/// Cursor over the fields of one array. The first error is stored in `code`, which all cursors of a
/// message share; after an error, decoded numbers are 0 and decoded strings are empty.
typedef struct
{
  const msgpack_object *items;
  uint32_t count;
  uint32_t next;
  int *code;
} TtPeerFieldCursor;

/// State of an entry in a list of backend servers.
enum
{
  TT_PEER_ENTRY_VALID,
  TT_PEER_ENTRY_REMOVED,
  TT_PEER_ENTRY_INVALID
};

/// True if the array has another field. Fields of later versions are at the end.
bool tt_peer_fields_has_next (const TtPeerFieldCursor *fields);

/// Stores an error code, unless an earlier error is stored.
void tt_peer_fields_fail (const TtPeerFieldCursor *fields, int code);

/// Decodes the next field; NULL if it does not have the given type.
const msgpack_object *tt_peer_fields_next (TtPeerFieldCursor *fields, msgpack_object_type type);

uint64_t tt_peer_fields_next_u64 (TtPeerFieldCursor *fields);

/// Decodes a number of at most @limit.
uint32_t tt_peer_fields_next_u32 (TtPeerFieldCursor *fields, uint32_t limit);

/// Decodes a revision of the store, at most INT64_MAX: none would count as newer than a higher one.
uint64_t tt_peer_fields_next_revision (TtPeerFieldCursor *fields);

int64_t tt_peer_fields_next_i64 (TtPeerFieldCursor *fields);

/// Decodes a string without NUL bytes into @text of @size bytes.
void tt_peer_fields_next_string (TtPeerFieldCursor *fields, char *text, size_t size);

/// Decodes a string of any length without NUL bytes. RETURN its bytes, which are not terminated,
/// or "" if it is malformed.
const char *tt_peer_fields_next_text (TtPeerFieldCursor *fields, size_t *size);

/// Decodes an IP address of 4 or 16 bytes, or an empty string. Host names are rejected, because
/// resolving a name would block. On failure, @address is empty or unchanged.
void tt_peer_fields_next_address (TtPeerFieldCursor *fields, char *address);

/// Decodes an array field of at most @limit values.
TtPeerFieldCursor tt_peer_fields_next_array (TtPeerFieldCursor *fields, uint32_t limit);
