#include "tarragontrack/board/store.h"
#include <stdlib.h>
#include <string.h>

TtStoreEntry *
tt_store_entries_alloc (uint32_t count, size_t text_size, TtStoreText *text)
{
  size_t array_size = (count > 0 ? count : 1) * sizeof (TtStoreEntry);
  char *block = calloc (1, array_size + text_size);

  *text = (TtStoreText){ NULL, NULL };
  if (block == NULL)
    return NULL;
  *text = (TtStoreText){ block + array_size, block + array_size + text_size };
  return (TtStoreEntry *) block;
}

const char *
tt_store_text_add (TtStoreText *text, const char *bytes, size_t size)
{
  char *copy = text->at;

  if (size >= (size_t) (text->end - text->at))
    return "";
  memcpy (copy, bytes, size);
  copy[size] = '\0';
  text->at += size + 1;
  return copy;
}

static size_t
text_size (const char *string)
{
  return string != NULL ? strlen (string) + 1 : 0;
}

TtStoreEntry *
tt_store_servers_copy (const TtStoreEntry *entries, uint32_t count)
{
  TtStoreText text;
  TtStoreEntry *copy;
  size_t size = 0;

  for (uint32_t i = 0; i < count; i++)
    size += text_size (entries[i].name) + text_size (entries[i].server.service);
  copy = tt_store_entries_alloc (count, size, &text);
  for (uint32_t i = 0; copy != NULL && i < count; i++)
    {
      copy[i] = entries[i];
      if (entries[i].name != NULL)
        copy[i].name = tt_store_text_add (&text, entries[i].name, strlen (entries[i].name));
      if (entries[i].server.service != NULL)
        copy[i].server.service = tt_store_text_add (&text, entries[i].server.service,
                                                    strlen (entries[i].server.service));
    }
  return copy;
}
