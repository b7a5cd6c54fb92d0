#include "tarragontrack/control/rank.h"
#include "tarragontrack/control/slot.h"

/// Lower bound of the health factor in a weight; a slower backend server is ejected instead of
/// weighted.
#define MIN_HEALTH_FACTOR 0.01
#define LN2 0.693147180559945309

/// Mixes the bits of a number over all 64 bits (the finalizer of MurmurHash3).
static uint64_t
mix_bits (uint64_t bits)
{
  bits ^= bits >> 33;
  bits *= UINT64_C (0xff51afd7ed558ccd);
  bits ^= bits >> 33;
  bits *= UINT64_C (0xc4ceb9fe1a85ec53);
  bits ^= bits >> 33;
  return bits;
}

/// Hash of a mixed key and a mixed id: their exclusive-or times an odd constant, with both halves
/// of the 128-bit product folded together. Takes a third of the instructions of mix_bits(), which
/// matters in the loop over candidates.
static inline uint64_t
hash_mixed_bits (uint64_t key, uint64_t mixed)
{
  unsigned __int128 product = (unsigned __int128) (key ^ mixed) * UINT64_C (0x9e3779b97f4a7c15);

  return (uint64_t) (product >> 64) ^ (uint64_t) product;
}

/// -ln (u) for u = bits / 2^64, with an error below 0.0001. The C library's logarithm takes five
/// times as long, which is too slow for 880 candidates in one decision.
static double
draw_exponential (uint64_t bits)
{
  int zeros = __builtin_clzll (bits | 1);
  uint64_t mantissa = (bits << zeros) << 1;
  double m = (double) (mantissa >> 12) * 0x1.0p-52;
  // ln (1 + m) on [0, 1), Abramowitz and Stegun 4.1.43.
  double ln
      = m
        * (0.99949556 + m * (-0.49190896 + m * (0.28947478 + m * (-0.13606275 + m * 0.03215845))));

  return (zeros + 1) * LN2 - ln;
}

TtCandidateRange
tt_rank_candidates (const TtBoard *board, const TtPool *pool, bool local)
{
  uint32_t first = pool->place.first_candidate + (local ? 0 : pool->place.local_count);

  return (TtCandidateRange){ .items = &board->place.candidates[first],
                             .mixed_ids = &board->place.mixed_ids[first],
                             .count = local ? pool->place.local_count
                                            : pool->place.count - pool->place.local_count,
                             .min_inverse_weight = pool->place.min_inverse_weight };
}

double
tt_rank_cost (uint64_t key, const TtCandidateRange *candidates, uint32_t index)
{
  return draw_exponential (hash_mixed_bits (mix_bits (key), candidates->mixed_ids[index]))
         * candidates->items[index].inverse_weight;
}

/// Inserts a candidate into a ranking that keeps the best @limit candidates.
static inline void
insert_ranked (TtRanking *ranking, uint32_t limit, const TtCandidate *candidate, double cost)
{
  uint32_t position;

  if (ranking->count == limit)
    {
      if (cost >= ranking->items[limit - 1].cost)
        return;
      position = limit - 1;
    }
  else
    position = ranking->count++;
  while (position > 0 && ranking->items[position - 1].cost > cost)
    {
      ranking->items[position] = ranking->items[position - 1];
      position--;
    }
  ranking->items[position] = (TtRankedCandidate){ .candidate = candidate, .cost = cost };
}

/// Lower bound of the hashes with which a candidate can cost less than @cost. Derived from
/// 1 - u < -ln (u), and from the fact that no candidate's inverse weight is below
/// @min_inverse_weight. rank_by_key() skips candidates with a lower hash, so that only about
/// limit * ln (count) of them need the logarithm.
static uint64_t
min_hash_below_cost (double cost, double min_inverse_weight)
{
  double unit = 1.0 - cost / min_inverse_weight;

  return unit > 0.0 ? (uint64_t) (unit * 0x1.0p53) << 11 : 0;
}

/// Ranks the best @limit candidates for a key.
static void
rank_by_key (const TtCandidateRange *candidates, uint64_t key, uint32_t limit, TtRanking *ranking)
{
  const uint64_t *mixed = candidates->mixed_ids;
  uint32_t count = candidates->count;
  uint64_t min_hash = 0;

  key = mix_bits (key);
  ranking->count = 0;
  for (uint32_t i = 0; i < count; i++)
    {
      uint64_t hash = hash_mixed_bits (key, mixed[i]);

      if (hash < min_hash)
        continue;
      insert_ranked (ranking, limit, &candidates->items[i],
                     draw_exponential (hash) * candidates->items[i].inverse_weight);
      if (ranking->count == limit)
        min_hash
            = min_hash_below_cost (ranking->items[limit - 1].cost, candidates->min_inverse_weight);
    }
}

void
tt_rank_by_chat (const TtCandidateRange *candidates, uint64_t chat_key, uint64_t prefix_key,
                 uint32_t spread, TtRanking *ranking)
{
  TtRanking group;
  TtRanking rest;

  ranking->count = 0;
  group.count = 0;
  if (spread > TT_RANK_MAX_GROUP)
    spread = TT_RANK_MAX_GROUP;
  if (prefix_key != 0 && spread > 0 && spread < candidates->count)
    rank_by_key (candidates, prefix_key, spread, &group);
  for (uint32_t i = 0; i < group.count; i++)
    {
      uint32_t index = (uint32_t) (group.items[i].candidate - candidates->items);

      insert_ranked (ranking, TT_RANK_LENGTH, group.items[i].candidate,
                     tt_rank_cost (chat_key, candidates, index));
    }
  if (ranking->count == TT_RANK_LENGTH)
    return;
  rank_by_key (candidates, chat_key, TT_RANK_LENGTH, &rest);
  for (uint32_t i = 0; i < rest.count && ranking->count < TT_RANK_LENGTH; i++)
    {
      bool in_group = false;

      for (uint32_t g = 0; g < group.count; g++)
        in_group |= group.items[g].candidate == rest.items[i].candidate;
      if (!in_group)
        ranking->items[ranking->count++] = rest.items[i];
    }
}

void
tt_rank_by_load (const TtCandidateRange *candidates, uint64_t key, TtRanking *ranking)
{
  key = mix_bits (key);
  ranking->count = 0;
  for (uint32_t i = 0; i < candidates->count; i++)
    {
      const TtCandidate *item = &candidates->items[i];
      // The hash breaks ties between equal loads; it adds less than half an attempt.
      double tie = (double) (hash_mixed_bits (key, candidates->mixed_ids[i]) >> 11) * 0x1.0p-54;
      double load = item->backend->attempts.count + item->backend->place.waiting_requests;

      insert_ranked (ranking, TT_RANK_LENGTH, item, (load + tie) * item->inverse_weight);
    }
}

/// Appends the usable backend servers of a pool to the candidate arrays, those of the daemon's own
/// failure domain first.
static void
collect_pool_candidates (TtBoard *board, TtPool *pool)
{
  TtPlaceSection *section = &board->place;

  pool->place.first_candidate = section->candidate_count;
  pool->place.min_inverse_weight = 1.0 / MIN_HEALTH_FACTOR;
  for (int remote = 0; remote <= 1; remote++)
    {
      TT_LIST_FOREACH (&pool->backends, it)
        {
          TtBackendServer *backend = TT_CONTAINER_OF (it, TtBackendServer, pool_link);
          double factor = backend->health.weight_factor > MIN_HEALTH_FACTOR
                              ? backend->health.weight_factor
                              : MIN_HEALTH_FACTOR;
          double weight = backend->weight > 0.0 ? backend->weight : 1.0;

          if (!tt_slot_is_usable (backend) || remote != (backend->domain_id != board->domain_id))
            continue;
          section->mixed_ids[section->candidate_count] = mix_bits (backend->id);
          section->candidates[section->candidate_count++] = (TtCandidate){
            .id = backend->id, .inverse_weight = 1.0 / (weight * factor), .backend = backend
          };
          if (1.0 / (weight * factor) < pool->place.min_inverse_weight)
            pool->place.min_inverse_weight = 1.0 / (weight * factor);
        }
      if (remote == 0)
        pool->place.local_count = section->candidate_count - pool->place.first_candidate;
    }
  pool->place.count = section->candidate_count - pool->place.first_candidate;
}

void
tt_rank_collect_candidates (TtBoard *board, int64_t now_us)
{
  TtPlaceSection *section = &board->place;

  section->candidate_count = 0;
  section->collected_us = now_us;
  section->collected_backends = board->backends.all.count;
  section->collected_pools = board->backends.pools.count;
  TT_LIST_FOREACH (&board->backends.pools, it)
    collect_pool_candidates (board, TT_CONTAINER_OF (it, TtPool, link));
}
