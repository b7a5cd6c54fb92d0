#include "tarragontrack/codec/msgpack_validate.h"
#include <stdint.h>

typedef struct
{
  const uint8_t *data;
  size_t remaining;
} Cursor;

/// Reads a big-endian number of @width bytes.
static bool
read_big_endian (Cursor *cursor, unsigned width, uint64_t *number)
{
  if (cursor->remaining < width)
    return false;
  *number = 0;
  for (unsigned i = 0; i < width; i++)
    *number = (*number << 8) | cursor->data[i];
  cursor->data += width;
  cursor->remaining -= width;
  return true;
}

/// Reads the length after a type byte from 0xc0 to 0xdf. Sets @bytes or @elements to what follows.
static bool
read_header (Cursor *cursor, uint8_t type, uint64_t *bytes, uint64_t *elements)
{
  static const uint8_t widths[32] = { 0, 0, 0, 0, 1, 2, 4, 1, 2, 4, 0, 0, 0, 0, 0, 0,
                                      0, 0, 0, 0, 0, 0, 0, 0, 0, 1, 2, 4, 2, 4, 2, 4 };
  static const uint8_t sizes[32] = { 0, 0, 0, 0, 0, 0, 0, 1, 1,  1, 4, 8, 1, 2, 4, 8,
                                     1, 2, 4, 8, 2, 3, 5, 9, 17, 0, 0, 0, 0, 0, 0, 0 };
  uint64_t length = 0;

  if (type == 0xc1 || !read_big_endian (cursor, widths[type - 0xc0], &length))
    return false;
  if (type >= 0xde) // map16, map32
    *elements = 2 * length;
  else if (type >= 0xdc) // array16, array32
    *elements = length;
  else
    *bytes = sizes[type - 0xc0] + length;
  return true;
}

bool
tt_msgpack_validate (const void *data, size_t size)
{
  Cursor cursor = { .data = data, .remaining = size };
  uint64_t pending = 1; // values announced by headers that were not read yet

  while (pending > 0)
    {
      uint64_t type;
      uint64_t bytes = 0;
      uint64_t elements = 0;

      if (!read_big_endian (&cursor, 1, &type))
        return false;
      if (type >= 0x80 && type <= 0x8f)
        elements = 2 * (type & 0x0f);
      else if (type >= 0x90 && type <= 0x9f)
        elements = type & 0x0f;
      else if (type >= 0xa0 && type <= 0xbf)
        bytes = type & 0x1f;
      else if (type >= 0xc0 && type <= 0xdf
               && !read_header (&cursor, (uint8_t) type, &bytes, &elements))
        return false;
      if (bytes > cursor.remaining)
        return false;
      cursor.data += bytes;
      cursor.remaining -= bytes;
      pending += elements;
      pending--;
      if (pending > cursor.remaining)
        return false;
    }
  return cursor.remaining == 0;
}
