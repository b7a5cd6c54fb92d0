/// State of `retry`: budgets for second attempts and per-request progress.
#pragma once

#include <stdbool.h>
#include <stdint.h>

typedef struct
{
  uint32_t retries;
  uint32_t hedges;
  int64_t not_before_us; ///< earliest next attempt
  uint64_t last_backend_id;
} TtRetryRequest;

typedef struct
{
  double tokens; ///< budget of second attempts; each first attempt adds a tenth
} TtRetrySection;
