#include "tarragontrack/control/prefix_table.h"
#include "tarragontrack/board/backend.h"
#include "tarragontrack/board/error_defs.h"
#include <stdlib.h>

int
tt_prefix_table_open (TtDispatchSection *section)
{
  section->prefix_table = calloc (TT_MAX_PREFIX_ENTRIES, sizeof *section->prefix_table);
  return section->prefix_table != NULL ? TT_OK : TT_E_NO_MEMORY;
}

/// Finds the entry of a key; if there is none, the least recently used entry of the key's set.
static TtPrefixTableEntry *
find_entry (TtDispatchSection *section, uint64_t key)
{
  TtPrefixTableEntry *set
      = &section->prefix_table[key % (TT_MAX_PREFIX_ENTRIES / TT_PREFIX_WAYS) * TT_PREFIX_WAYS];
  TtPrefixTableEntry *oldest = set;

  for (int i = 0; i < TT_PREFIX_WAYS; i++)
    {
      if (set[i].key == key)
        return &set[i];
      if (set[i].used_us < oldest->used_us)
        oldest = &set[i];
    }
  return oldest;
}

/// Engine of an entry; NULL if it is unknown or accepts no new requests.
static TtBackendServer *
live_backend (TtBoard *board, const TtPrefixTableEntry *entry)
{
  TtBackendServer *backend = tt_backend_find (board, entry->backend_id);

  return backend != NULL && backend->roster.state == TT_BACKEND_LIVE ? backend : NULL;
}

TtBackendServer *
tt_prefix_table_find (TtBoard *board, uint64_t key, int64_t now_us)
{
  TtPrefixTableEntry *entry = find_entry (&board->dispatch, key);

  if (entry->key != key)
    return NULL;
  entry->used_us = now_us;
  return live_backend (board, entry);
}

TtBackendServer *
tt_prefix_table_copy_source (TtBoard *board, uint64_t key, int64_t now_us)
{
  const TtPrefixTableEntry *entry = find_entry (&board->dispatch, key);
  TtBackendServer *backend = entry->key == key ? tt_backend_find (board, entry->backend_id) : NULL;

  return backend != NULL && tt_backend_accepts (backend, now_us)
                 && backend->breaker.state == TT_BREAKER_CLOSED
             ? backend
             : NULL;
}

void
tt_prefix_table_set (TtBoard *board, uint64_t key, const TtBackendServer *backend, int64_t now_us)
{
  TtPrefixTableEntry *entry = find_entry (&board->dispatch, key);

  if (entry->unadvertised && entry->key != key)
    board->dispatch.unadvertised_count--;
  if (!entry->unadvertised || entry->key != key)
    board->dispatch.unadvertised_count++;
  *entry = (TtPrefixTableEntry){
    .key = key, .backend_id = backend->id, .used_us = now_us, .unadvertised = true
  };
}

void
tt_prefix_table_merge (TtBoard *board, const TtStatusPrefixHolder *advertised, bool advertise,
                       int64_t now_us)
{
  TtPrefixTableEntry *entry = find_entry (&board->dispatch, advertised->key);
  bool known = entry->key == advertised->key;

  if (advertised->key == 0 || (known && entry->backend_id == advertised->backend_id))
    return;
  if (known && live_backend (board, entry) != NULL
      && tt_hash_rendezvous_score (advertised->key, entry->backend_id, 1.0)
             > tt_hash_rendezvous_score (advertised->key, advertised->backend_id, 1.0))
    return;
  if (entry->unadvertised)
    board->dispatch.unadvertised_count--;
  *entry = (TtPrefixTableEntry){ .key = advertised->key,
                                 .backend_id = advertised->backend_id,
                                 .used_us = now_us,
                                 .unadvertised = advertise };
  board->dispatch.unadvertised_count += advertise ? 1 : 0;
}

uint32_t
tt_prefix_table_pop_changes (TtBoard *board, TtStatusPrefixHolder *entries)
{
  TtDispatchSection *section = &board->dispatch;
  uint32_t count = 0;

  for (uint32_t i = 0; i < TT_MAX_PREFIX_ENTRIES && section->unadvertised_count > 0
                       && count < TT_MAX_STATUS_HOLDERS;
       i++)
    {
      TtPrefixTableEntry *entry = &section->prefix_table[i];

      if (!entry->unadvertised)
        continue;
      entry->unadvertised = false;
      section->unadvertised_count--;
      entries[count++]
          = (TtStatusPrefixHolder){ .key = entry->key, .backend_id = entry->backend_id };
    }
  return count;
}

uint32_t
tt_prefix_table_next_entries (TtBoard *board, TtStatusPrefixHolder *entries)
{
  TtDispatchSection *section = &board->dispatch;
  uint32_t count = 0;

  for (uint32_t i = 0; i < TT_MAX_PREFIX_ENTRIES && count < TT_MAX_STATUS_HOLDERS; i++)
    {
      const TtPrefixTableEntry *entry
          = &section->prefix_table[section->readvertise_index++ % TT_MAX_PREFIX_ENTRIES];

      if (entry->key != 0 && live_backend (board, entry) != NULL)
        entries[count++]
            = (TtStatusPrefixHolder){ .key = entry->key, .backend_id = entry->backend_id };
    }
  return count;
}
