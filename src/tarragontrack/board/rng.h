/// Seeded pseudorandom number generator: xxHash of the seed and a counter.
#pragma once

#include "tarragontrack/board/hash.h"
#include <stdint.h>

typedef struct
{
  uint64_t seed[2]; ///< set by the application; in the daemon, from the system's entropy source
  uint64_t counter;
} TtRng;

/// Initializes a generator. Equal seeds produce equal sequences.
void tt_rng_init (TtRng *rng, uint64_t seed_high, uint64_t seed_low);

/// Next 64 random bits; never 0.
uint64_t tt_rng_next (TtRng *rng);

/// Next 128 random bits.
TtId128 tt_rng_id128 (TtRng *rng);

/// Random number in [0, bound), computed as a remainder: uniformly distributed if @bound is much
/// smaller than 2^64. Returns 0 if @bound is 0.
uint64_t tt_rng_below (TtRng *rng, uint64_t bound);

/// Uniformly distributed number in [0, 1).
double tt_rng_unit (TtRng *rng);
