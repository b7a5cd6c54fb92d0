/// Hashes of names and keys (xxHash). Results are identical on all daemons and machines.
#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

typedef struct
{
  uint64_t high;
  uint64_t low;
} TtId128;

/// SHA-256 of a stored text. The codec computes it, so that the library does not depend on a
/// cryptography library.
typedef struct
{
  uint8_t bytes[32];
} TtDigest;

/// 64-bit hash of a byte string; never 0, which means "none".
uint64_t tt_hash_bytes (const void *data, size_t size);

/// 64-bit hash of a NUL-terminated string; never 0.
uint64_t tt_hash_string (const char *text);

/// 64-bit hash of two numbers; never 0.
uint64_t tt_hash_pair (uint64_t first, uint64_t second);

/// 128-bit hash of a byte string, seeded with a scope such as the client account's hash.
TtId128 tt_hash_id128 (uint64_t scope, const void *data, size_t size);

/// Weighted rendezvous score of @node for @key; the highest score ranks first.
///
/// ARGUMENTS  weight: relative capacity, greater than 0
double tt_hash_rendezvous_score (uint64_t key, uint64_t node, double weight);

/// True if both numbers are equal.
bool tt_id128_equal (TtId128 first, TtId128 second);

/// True if the number is zero, which means "none".
bool tt_id128_is_zero (TtId128 id);

/// True if both digests are equal.
bool tt_digest_equal (const TtDigest *first, const TtDigest *second);
