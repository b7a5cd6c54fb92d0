/// State of `share`: the engine's room and the part of it lent to this daemon.
#pragma once

#include "tarragontrack/board/list.h"
#include <stdbool.h>
#include <stdint.h>

/// Slots of one engine lent to one daemon. Kept by the engine's keeper.
typedef struct
{
  TtLink link; ///< on TtShareBackend.loans or TtShareSection.free_loans
  uint64_t member_id;
  uint32_t slots;
  int64_t expires_us;
} TtLoan;

typedef struct
{
  // As borrower.
  uint32_t lent; ///< slots this daemon may use
  uint32_t used; ///< open attempts of this daemon
  int64_t lent_until_us;
  uint32_t asked; ///< slots asked for and not answered yet
  int64_t asked_us;
  uint64_t keeper_id;
  // As keeper.
  TtList loans;
  int64_t keeper_since_us; ///< 0 = not the keeper
  uint32_t room;           ///< slots the keeper may lend in all
  // From gossip, about engines kept elsewhere.
  uint32_t seen_load;
  uint32_t seen_room;
  int64_t seen_us;
} TtShareBackend;

typedef struct
{
  uint32_t free_slots;      ///< unused lent slots of this daemon over the pool
  uint32_t free_long_slots; ///< part of them that long jobs may use
  double mean_load;         ///< over the pool's engines in the own failure domain
} TtSharePool;

/// BOUNDS     max_loans loans; a borrower beyond it is answered with zero slots
typedef struct
{
  TtList free_loans;
  TtLoan *loans;
  uint32_t max_loans;
  int64_t next_renewal_us;
} TtShareSection;
