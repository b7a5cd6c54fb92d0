#include "tarragontrack/board/rng.h"

void
tt_rng_init (TtRng *rng, uint64_t seed_high, uint64_t seed_low)
{
  rng->seed[0] = seed_high;
  rng->seed[1] = seed_low;
  rng->counter = 0;
}

uint64_t
tt_rng_next (TtRng *rng)
{
  rng->counter++;
  return tt_hash_bytes (rng, sizeof *rng);
}

TtId128
tt_rng_id128 (TtRng *rng)
{
  rng->counter++;
  return tt_hash_id128 (0, rng, sizeof *rng);
}

uint64_t
tt_rng_below (TtRng *rng, uint64_t bound)
{
  return bound > 0 ? tt_rng_next (rng) % bound : 0;
}

double
tt_rng_unit (TtRng *rng)
{
  return (double) (tt_rng_next (rng) >> 11) * 0x1.0p-53;
}
