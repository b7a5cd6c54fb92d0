#include "tarragontrack/codec/peer_fields.h"
#include "tarragontrack/board/limits_defs.h"
#include <arpa/inet.h>
#include <string.h>

bool
tt_peer_fields_has_next (const TtPeerFieldCursor *fields)
{
  return fields->next < fields->count;
}

void
tt_peer_fields_fail (const TtPeerFieldCursor *fields, int code)
{
  if (*fields->code == TT_OK)
    *fields->code = code;
}

const msgpack_object *
tt_peer_fields_next (TtPeerFieldCursor *fields, msgpack_object_type type)
{
  const msgpack_object *item;

  if (*fields->code == TT_OK && fields->next < fields->count)
    {
      item = &fields->items[fields->next++];
      if (item->type == type)
        return item;
    }
  tt_peer_fields_fail (fields, TT_E_MALFORMED);
  return NULL;
}

uint64_t
tt_peer_fields_next_u64 (TtPeerFieldCursor *fields)
{
  const msgpack_object *item = tt_peer_fields_next (fields, MSGPACK_OBJECT_POSITIVE_INTEGER);

  return item != NULL ? item->via.u64 : 0;
}

uint32_t
tt_peer_fields_next_u32 (TtPeerFieldCursor *fields, uint32_t limit)
{
  uint64_t number = tt_peer_fields_next_u64 (fields);

  if (number <= limit)
    return (uint32_t) number;
  tt_peer_fields_fail (fields, TT_E_MALFORMED);
  return 0;
}

uint64_t
tt_peer_fields_next_revision (TtPeerFieldCursor *fields)
{
  uint64_t number = tt_peer_fields_next_u64 (fields);

  if (number <= INT64_MAX)
    return number;
  tt_peer_fields_fail (fields, TT_E_MALFORMED);
  return 0;
}

int64_t
tt_peer_fields_next_i64 (TtPeerFieldCursor *fields)
{
  const msgpack_object *item;

  if (fields->next < fields->count
      && fields->items[fields->next].type == MSGPACK_OBJECT_NEGATIVE_INTEGER)
    {
      item = tt_peer_fields_next (fields, MSGPACK_OBJECT_NEGATIVE_INTEGER);
      return item != NULL ? item->via.i64 : 0;
    }
  item = tt_peer_fields_next (fields, MSGPACK_OBJECT_POSITIVE_INTEGER);
  if (item != NULL && item->via.u64 <= INT64_MAX)
    return (int64_t) item->via.u64;
  tt_peer_fields_fail (fields, TT_E_MALFORMED);
  return 0;
}

const char *
tt_peer_fields_next_text (TtPeerFieldCursor *fields, size_t *size)
{
  const msgpack_object *item = tt_peer_fields_next (fields, MSGPACK_OBJECT_STR);

  *size = 0;
  if (item == NULL || item->via.str.size == 0) // an empty string may have a NULL pointer
    return "";
  if (memchr (item->via.str.ptr, 0, item->via.str.size) != NULL)
    {
      tt_peer_fields_fail (fields, TT_E_MALFORMED);
      return "";
    }
  *size = item->via.str.size;
  return item->via.str.ptr;
}

void
tt_peer_fields_next_string (TtPeerFieldCursor *fields, char *text, size_t size)
{
  size_t length;
  const char *bytes = tt_peer_fields_next_text (fields, &length);

  text[0] = '\0';
  if (length >= size)
    {
      tt_peer_fields_fail (fields, TT_E_MALFORMED);
      return;
    }
  memcpy (text, bytes, length);
  text[length] = '\0';
}

void
tt_peer_fields_next_address (TtPeerFieldCursor *fields, char *address)
{
  const msgpack_object *item;
  int family = AF_UNSPEC;

  if (fields->next < fields->count && fields->items[fields->next].type == MSGPACK_OBJECT_STR)
    {
      tt_peer_fields_next_string (fields, address, 1);
      return;
    }
  item = tt_peer_fields_next (fields, MSGPACK_OBJECT_BIN);
  if (item != NULL && item->via.bin.size == 4)
    family = AF_INET;
  else if (item != NULL && item->via.bin.size == 16)
    family = AF_INET6;
  if (family == AF_UNSPEC || inet_ntop (family, item->via.bin.ptr, address, TT_ADDRESS_MAX) == NULL)
    tt_peer_fields_fail (fields, TT_E_MALFORMED);
}

TtPeerFieldCursor
tt_peer_fields_next_array (TtPeerFieldCursor *fields, uint32_t limit)
{
  const msgpack_object *item = tt_peer_fields_next (fields, MSGPACK_OBJECT_ARRAY);
  TtPeerFieldCursor array = { .code = fields->code };

  if (item == NULL)
    return array;
  if (item->via.array.size > limit)
    {
      tt_peer_fields_fail (fields, TT_E_LIMIT);
      return array;
    }
  array.items = item->via.array.ptr;
  array.count = item->via.array.size;
  return array;
}
