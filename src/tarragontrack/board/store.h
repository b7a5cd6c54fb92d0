/// Memory of store entries and their strings: one block for an array of entries.
#pragma once

#include "tarragontrack/board/store_defs.h"
#include <stddef.h>

/// Place for the next string behind an array of entries.
typedef struct
{
  char *at;
  char *end;
} TtStoreText;

/// tt_store_entries_alloc - allocates an array of entries with room for their strings
///
/// ARGUMENTS  text_size: bytes of all strings with their final NULs; text: set to the room
/// RETURN     the zeroed array, which free() frees with the strings; NULL if memory could not be
///            allocated
TtStoreEntry *tt_store_entries_alloc (uint32_t count, size_t text_size, TtStoreText *text);

/// Copies @size bytes and a final NUL into the room. RETURN the copy, or "" if the room is too
/// small.
const char *tt_store_text_add (TtStoreText *text, const char *bytes, size_t size);

/// Allocates a copy of @count entries of kind TT_STORE_SERVERS; NULL if memory could not be
/// allocated.
TtStoreEntry *tt_store_servers_copy (const TtStoreEntry *entries, uint32_t count);
