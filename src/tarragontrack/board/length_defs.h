/// State of `length`: predicted length of a request's answer.
#pragma once

#include "tarragontrack/board/list.h"
#include <stdbool.h>
#include <stdint.h>

typedef struct
{
  uint32_t predicted_tokens;
  bool is_long;
} TtLengthRequest;

typedef struct
{
  double mean_tokens; ///< over all answers of the pool; 0 = no sample
} TtLengthPool;

/// Mean length by client account and kind of work.
typedef struct
{
  uint64_t key; ///< hash of account, kind and service; 0 = unused
  float mean_tokens;
  float deviation_tokens;
  int64_t learned_us;
} TtLengthEntry;

/// BOUNDS     entry_count entries, a fixed table; the one of a set that learned longest ago is
///            replaced
typedef struct
{
  TtLengthEntry *entries;
  uint32_t entry_count;
  int64_t next_check_us;
} TtLengthSection;
