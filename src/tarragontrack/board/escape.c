#include "tarragontrack/board/escape.h"
#include <stdio.h>
#include <string.h>

enum
{
  BYTE_TEXT_MAX = 5 ///< "\xHH" with the final NUL
};

static const char omission[] = "...";

/// Writes one byte as text. RETURN the length.
static size_t
escape_byte (char *text, unsigned char byte)
{
  if (byte == '\n')
    return (size_t) snprintf (text, BYTE_TEXT_MAX, "\\n");
  if (byte == '\r')
    return (size_t) snprintf (text, BYTE_TEXT_MAX, "\\r");
  if (byte == '"' || byte == '\\')
    return (size_t) snprintf (text, BYTE_TEXT_MAX, "\\%c", byte);
  if (byte >= ' ' && byte < 0x7f)
    return (size_t) snprintf (text, BYTE_TEXT_MAX, "%c", byte);
  return (size_t) snprintf (text, BYTE_TEXT_MAX, "\\x%02x", byte);
}

void
tt_escape_bytes (char *target, size_t target_size, const char *data, size_t size)
{
  size_t length = 0;
  size_t cut = 0; // length up to which the omission mark still fits after the text

  for (size_t i = 0; i < size; i++)
    {
      char text[BYTE_TEXT_MAX];
      size_t added = escape_byte (text, (unsigned char) data[i]);

      if (length + added >= target_size)
        {
          if (cut + sizeof omission <= target_size)
            memcpy (target + cut, omission, sizeof omission);
          else
            target[0] = '\0';
          return;
        }
      memcpy (target + length, text, added);
      length += added;
      if (length + sizeof omission <= target_size)
        cut = length;
    }
  target[length] = '\0';
}
