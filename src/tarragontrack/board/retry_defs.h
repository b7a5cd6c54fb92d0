/// State of `retry`: budgets for second attempts and per-request progress.
#pragma once

#include <stdbool.h>
#include <stdint.h>

typedef struct
{
  uint32_t retries;
  uint32_t hedges;
  int64_t not_before_us; ///< earliest next attempt
  int64_t wait_until_us; ///< latest start of the next attempt; 0 = no attempt has failed
  bool sent;             ///< an attempt may have reached a backend server
  bool counted;          ///< its first attempt has added to the budget
  uint64_t last_backend_id;
} TtRetryRequest;

typedef struct
{
  double tokens; ///< budget of second attempts; each first attempt adds a tenth
} TtRetrySection;
