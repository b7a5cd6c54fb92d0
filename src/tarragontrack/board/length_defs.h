/// State of the response length predictor.
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
  double mean_tokens; ///< moving average over all responses of the pool; 0 = no sample
} TtLengthPool;

/// Moving average of the response length of one client account, kind of work and service.
typedef struct
{
  uint64_t key; ///< hash of account, kind and service; 0 = unused
  float mean_tokens;
  float deviation_tokens;
  int64_t updated_us; ///< last update
} TtLengthEntry;

/// BOUNDS     entry_count entries in a set-associative table of fixed size; the least recently
///            updated entry of a set is replaced
typedef struct
{
  TtLengthEntry *entries;
  uint32_t entry_count;
  int64_t next_renewal_us;
} TtLengthSection;
