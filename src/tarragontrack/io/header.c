#include "tarragontrack/io/header.h"
#include <string.h>
#include <strings.h>

const char *
tt_header_find (const TtHeaders *headers, const char *name)
{
  for (size_t i = 0; i < headers->count; i++)
    if (strcmp (headers->entries[i].name, name) == 0)
      return headers->entries[i].value;
  return NULL;
}

bool
tt_header_is_event_stream (const char *value)
{
  static const char type[] = "text/event-stream";

  if (value == NULL || strncasecmp (value, type, sizeof type - 1) != 0)
    return false;
  value += sizeof type - 1;
  value += strspn (value, " \t");
  return *value == '\0' || *value == ';';
}

bool
tt_header_is_ambiguous (const TtHeaders *headers, const char *name)
{
  const char *first = tt_header_find (headers, name);

  for (size_t i = 0; first != NULL && i < headers->count; i++)
    if (strcmp (headers->entries[i].name, name) == 0
        && strcmp (headers->entries[i].value, first) != 0)
      return true;
  return false;
}
