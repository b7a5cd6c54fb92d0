#include "tarragontrack/board/hash.h"
#include <math.h>
#include <string.h>
#include <xxhash.h>

uint64_t
tt_hash_bytes (const void *data, size_t size)
{
  uint64_t hash = XXH3_64bits (data, size);

  return hash != 0 ? hash : 1;
}

uint64_t
tt_hash_string (const char *text)
{
  return tt_hash_bytes (text, strlen (text));
}

uint64_t
tt_hash_pair (uint64_t first, uint64_t second)
{
  uint64_t pair[2] = { first, second };

  return tt_hash_bytes (pair, sizeof pair);
}

TtId128
tt_hash_id128 (uint64_t scope, const void *data, size_t size)
{
  XXH128_hash_t hash = XXH3_128bits_withSeed (data, size, scope);

  return (TtId128){ .high = hash.high64, .low = hash.low64 };
}

double
tt_hash_rendezvous_score (uint64_t key, uint64_t node, double weight)
{
  // A double's mantissa holds 53 bits. Adding 0.5 keeps the argument of log() inside (0, 1).
  double unit = ((double) (tt_hash_pair (key, node) >> 11) + 0.5) * 0x1.0p-53;

  return -weight / log (unit);
}

bool
tt_id128_equal (TtId128 first, TtId128 second)
{
  return first.high == second.high && first.low == second.low;
}

bool
tt_id128_is_zero (TtId128 id)
{
  return id.high == 0 && id.low == 0;
}

bool
tt_digest_equal (const TtDigest *first, const TtDigest *second)
{
  return memcmp (first->bytes, second->bytes, sizeof first->bytes) == 0;
}
