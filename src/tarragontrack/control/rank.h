/// Ranking of a pool's backend servers by weighted rendezvous hashing. Used by place.c only.
#pragma once

#include "tarragontrack/board/board_defs.h"

enum
{
  TT_RANK_MAX = 64, ///< largest group of a shared prefix
  TT_RANK_KEEP = 8  ///< backend servers of a ranking that are kept in order
};

typedef struct
{
  const TtCandidate *candidate;
  double cost; ///< the lowest ranks first
} TtRanked;

/// The first backend servers of a ranking, best first.
typedef struct
{
  TtRanked items[TT_RANK_MAX];
  uint32_t count;
} TtRanking;

/// tt_rank_collect - builds the candidate arrays of all pools from the backend servers
///
/// NOTES      only live backend servers that are not ejected are candidates
void tt_rank_collect (TtBoard *board, int64_t now_us);

/// Candidates of a pool or a part of them.
typedef struct
{
  const TtCandidate *items;
  const uint64_t *mixed;
  uint32_t count;
  double least_inverse; ///< lowest TtCandidate.inverse
} TtCandidates;

/// Candidates of a pool in the own failure domain, or in the others.
TtCandidates tt_rank_candidates (const TtBoard *board, const TtPool *pool, bool local);

/// Cost of a candidate for a key: an exponential variate divided by the weight.
double tt_rank_cost (uint64_t key, const TtCandidates *candidates, uint32_t index);

/// tt_rank_chat - ranks candidates for a chat in two steps
///
/// ARGUMENTS  prefix_key: selects a group of @spread that ranks before all others; 0 = none
void tt_rank_chat (const TtCandidates *candidates, uint64_t chat_key, uint64_t prefix_key,
                   uint32_t spread, TtRanking *ranking);

/// Ranks candidates by open attempts of this daemon per weight; ties by @key.
void tt_rank_load (const TtCandidates *candidates, uint64_t key, TtRanking *ranking);
