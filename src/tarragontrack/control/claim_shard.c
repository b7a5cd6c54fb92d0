#include "tarragontrack/control/claim_shard.h"
#include "tarragontrack/board/hash.h"
#include <stdlib.h>
#include <string.h>

#define OUTCOME_RETENTION_S INT64_C (86400)        ///< recorded responses are returned for one day
#define KEY_RETENTION_S (30 * OUTCOME_RETENTION_S) ///< a key cannot be claimed again for 30 days
#define NOT_RUN_RETENTION_S INT64_C (3600) ///< "not run" has the same effect as a missing entry
#define INITIAL_CAPACITY 16U
#define ENTRY_BYTES 200U ///< JSON size of the keys, numbers and punctuation of an entry

TtClaimShard *
tt_claim_shard_activate (TtBoard *board, TtId128 key, int64_t now_us)
{
  TtClaimShard *shard = &board->claim.shards[key.low % TT_CLAIM_SHARDS];

  if (!tt_link_is_linked (&shard->link))
    tt_list_append (&board->claim.active, &shard->link);
  shard->last_used_us = now_us;
  return shard;
}

TtClaimEntry *
tt_claim_shard_find (TtClaimShard *shard, TtId128 key)
{
  for (uint32_t i = 0; i < shard->count; i++)
    if (tt_id128_equal (shard->entries[i].key, key))
      return &shard->entries[i];
  return NULL;
}

void
tt_claim_shard_clear (TtClaimShard *shard)
{
  for (uint32_t i = 0; i < shard->count; i++)
    free (shard->entries[i].outcome);
  free (shard->entries);
  free (shard->object);
  shard->object = NULL;
  shard->entries = NULL;
  shard->count = 0;
  shard->capacity = 0;
  shard->loaded = false;
}

/// Copies an outcome's bytes. If memory is exhausted, the outcome is empty and marked as truncated.
static void
copy_outcome (TtClaimEntry *entry, const char *bytes, uint32_t size)
{
  entry->outcome = size > 0 ? malloc (size) : NULL;
  entry->outcome_size = entry->outcome != NULL ? size : 0;
  if (entry->outcome != NULL)
    memcpy (entry->outcome, bytes, size);
  else if (size > 0)
    entry->outcome_truncated = true;
}

int
tt_claim_shard_load (TtClaimShard *shard, const TtClaimsObject *object, uint64_t version,
                     int64_t now_us)
{
  uint32_t count = object != NULL ? object->count : 0;

  tt_claim_shard_clear (shard);
  if (count > 0)
    {
      shard->entries = calloc (count, sizeof *shard->entries);
      if (shard->entries == NULL)
        return TT_E_NO_MEMORY;
      shard->capacity = count;
    }
  for (uint32_t i = 0; i < count; i++)
    {
      shard->entries[i] = object->entries[i];
      copy_outcome (&shard->entries[i], object->entries[i].outcome,
                    object->entries[i].outcome_size);
    }
  shard->count = count;
  shard->version = version;
  shard->loaded = true;
  shard->read_us = now_us;
  return TT_OK;
}

/// Estimates, on the high side, the object's size as JSON with outcomes in base64.
static uint32_t
estimate_bytes (const TtClaimShard *shard)
{
  uint32_t bytes = shard->count * ENTRY_BYTES;

  for (uint32_t i = 0; i < shard->count; i++)
    bytes += shard->entries[i].outcome_size * 4 / 3;
  return bytes;
}

/// Adds a zeroed entry for a key; NULL with @code set if the shard is full or memory is exhausted.
static TtClaimEntry *
add_entry (TtClaimShard *shard, TtId128 key, int *code)
{
  TtClaimEntry *entry;

  *code = TT_E_LIMIT;
  if (shard->count >= TT_CLAIM_SHARD_MAX_ENTRIES
      || estimate_bytes (shard) > TT_CLAIM_SHARD_MAX_BYTES)
    return NULL;
  if (shard->count == shard->capacity)
    {
      uint32_t capacity = shard->capacity > 0 ? 2 * shard->capacity : INITIAL_CAPACITY;
      TtClaimEntry *entries;

      *code = TT_E_NO_MEMORY;
      entries = realloc (shard->entries, capacity * sizeof *entries);
      if (entries == NULL)
        return NULL;
      shard->entries = entries;
      shard->capacity = capacity;
    }
  *code = TT_OK;
  entry = &shard->entries[shard->count++];
  memset (entry, 0, sizeof *entry);
  entry->key = key;
  return entry;
}

int
tt_claim_shard_put (TtClaimShard *shard, const TtClaimEntry *entry)
{
  TtClaimEntry *target = tt_claim_shard_find (shard, entry->key);
  int code = TT_OK;

  if (target == NULL)
    target = add_entry (shard, entry->key, &code);
  if (target == NULL)
    return code;
  free (target->outcome);
  *target = *entry;
  return TT_OK;
}

void
tt_claim_shard_requeue_writes (TtClaimShard *shard, bool effect_unknown)
{
  while (shard->writing.count > 0)
    {
      TtLink *link = shard->writing.head.prev;
      TtRequest *request = TT_CONTAINER_OF (link, TtRequest, claim.link);

      tt_list_remove (&shard->writing, link);
      if (request->claim.step == TT_CLAIM_STEP_WRITING)
        {
          request->claim.step = TT_CLAIM_STEP_WAITING;
          request->claim.write_uncertain = request->claim.write_uncertain || effect_unknown;
        }
      tt_list_prepend (&shard->waiting, link);
    }
  shard->loaded = false;
}

void
tt_claim_shard_give_up_call (TtClaimShard *shard)
{
  shard->call = 0;
  tt_claim_shard_requeue_writes (shard, true);
}

int
tt_claim_shard_claim (TtClaimShard *shard, const TtRequest *request, int64_t wall_clock_s)
{
  TtId128 key = request->spec.idempotency_key;
  TtClaimEntry *entry = tt_claim_shard_find (shard, key);
  int code = TT_OK;

  if (entry == NULL)
    entry = add_entry (shard, key, &code);
  if (entry == NULL)
    return code;
  entry->attempt = request->claim.attempt;
  entry->body_hash = request->spec.body_hash;
  entry->state = TT_CLAIM_CLAIMED;
  entry->written_s = wall_clock_s;
  return TT_OK;
}

int
tt_claim_shard_settle (TtClaimShard *shard, TtRequest *request, int64_t wall_clock_s)
{
  TtClaimRequest *claim = &request->claim;
  TtClaimEntry *entry = tt_claim_shard_find (shard, request->spec.idempotency_key);
  int code = TT_OK;

  if (entry == NULL)
    entry = add_entry (shard, request->spec.idempotency_key, &code);
  else if (!tt_id128_equal (entry->attempt, claim->attempt))
    return TT_OK;
  if (entry == NULL)
    return code;
  entry->attempt = claim->attempt;
  entry->body_hash = request->spec.body_hash;
  entry->state = claim->final_state;
  entry->written_s = wall_clock_s;
  entry->status = claim->status;
  entry->outcome_truncated = claim->outcome_truncated;
  free (entry->outcome);
  entry->outcome = NULL;
  entry->outcome_size = 0;
  if (estimate_bytes (shard) + claim->outcome_size * 4 / 3 <= TT_CLAIM_SHARD_MAX_BYTES)
    copy_outcome (entry, claim->outcome, claim->outcome_size);
  else
    entry->outcome_truncated = true;
  return TT_OK;
}

/// Returns the retention of an entry.
static int64_t
retention_s (const TtClaimEntry *entry)
{
  return entry->state == TT_CLAIM_NOT_RUN ? NOT_RUN_RETENTION_S : KEY_RETENTION_S;
}

void
tt_claim_shard_prune (TtClaimShard *shard, int64_t wall_clock_s)
{
  uint32_t kept_count = 0;

  for (uint32_t i = 0; i < shard->count; i++)
    {
      TtClaimEntry *entry = &shard->entries[i];
      int64_t age_s = wall_clock_s - entry->written_s;

      if (age_s > OUTCOME_RETENTION_S && entry->outcome != NULL)
        {
          free (entry->outcome);
          entry->outcome = NULL;
          entry->outcome_size = 0;
          entry->outcome_truncated = true;
        }
      if (age_s > retention_s (entry))
        free (entry->outcome);
      else
        shard->entries[kept_count++] = *entry;
    }
  shard->count = kept_count;
}
