/// Ranks the backend servers of a pool by weighted rendezvous hashing. Used by place.c only.
#pragma once

#include "tarragontrack/board/board_defs.h"

enum
{
  TT_RANK_MAX_GROUP = 64, ///< largest group of engines that share a prompt prefix
  TT_RANK_LENGTH = 8      ///< highest number of backend servers in a chat's ranking
};

typedef struct
{
  const TtCandidate *candidate;
  double cost; ///< the lowest cost ranks first
} TtRankedCandidate;

/// The highest-ranked backend servers, best first.
typedef struct
{
  TtRankedCandidate items[TT_RANK_MAX_GROUP];
  uint32_t count;
} TtRanking;

/// tt_rank_collect_candidates - rebuilds the candidate arrays of all pools from the backend servers
///
/// NOTES      only live backend servers that are not ejected are candidates
void tt_rank_collect_candidates (TtBoard *board, int64_t now_us);

/// A contiguous range of a pool's candidates.
typedef struct
{
  const TtCandidate *items;
  const uint64_t *mixed_ids;
  uint32_t count;
  double min_inverse_weight; ///< lowest TtCandidate.inverse_weight
} TtCandidateRange;

/// Candidates of a pool in the daemon's own failure domain (@local), or in the others.
TtCandidateRange tt_rank_candidates (const TtBoard *board, const TtPool *pool, bool local);

/// Cost of a candidate for a key: an exponential variate divided by the weight.
double tt_rank_cost (uint64_t key, const TtCandidateRange *candidates, uint32_t index);

/// tt_rank_by_chat - ranks candidates for a chat: the group of its prompt prefix first, then the
/// others
///
/// ARGUMENTS  prefix_key: selects a group of @spread candidates that rank before all others; 0 =
///            none
void tt_rank_by_chat (const TtCandidateRange *candidates, uint64_t chat_key, uint64_t prefix_key,
                      uint32_t spread, TtRanking *ranking);

/// Ranks candidates by this daemon's open and waiting requests per weight; @key breaks ties.
void tt_rank_by_load (const TtCandidateRange *candidates, uint64_t key, TtRanking *ranking);
