#include "tarragontrack/board/name.h"
#include "tarragontrack/board/hash.h"
#include <stdio.h>
#include <string.h>

enum
{
  SUFFIX_LENGTH = 9 ///< "~" and 8 hexadecimal digits
};

/// Replaces the characters that would end a line of the log or a label of a metric.
static void
replace_odd_characters (char *text)
{
  for (; *text != '\0'; text++)
    if ((unsigned char) *text < ' ' || *text == 0x7f || *text == '"' || *text == '\\')
      *text = '?';
}

void
tt_name_abbreviate (char *target, const char *name)
{
  size_t length = strlen (name);

  if (length < TT_NAME_MAX)
    memcpy (target, name, length + 1);
  else
    {
      length = TT_NAME_MAX - 1 - SUFFIX_LENGTH;
      while (length > 0 && ((unsigned char) name[length] & 0xc0) == 0x80)
        length--;
      (void) snprintf (target, TT_NAME_MAX, "%.*s~%08x", (int) length, name,
                       (unsigned) tt_hash_string (name));
    }
  replace_odd_characters (target);
}

bool
tt_name_is_header_value (const char *name)
{
  size_t length = strlen (name);

  if (length > 0 && (name[0] == ' ' || name[length - 1] == ' '))
    return false;
  for (size_t i = 0; i < length; i++)
    if ((unsigned char) name[i] < ' ' || name[i] == 0x7f)
      return false;
  return true;
}
