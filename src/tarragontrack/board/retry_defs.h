/// State of `retry`: budgets for second attempts and per-request progress.
#pragma once

#include <stdbool.h>
#include <stdint.h>

enum
{
  TT_RETRY_TRIED = 4 ///< backend servers remembered: the first attempt and three retries
};

typedef struct
{
  uint32_t retries;
  uint32_t hedges;
  int64_t not_before_us;          ///< earliest next attempt
  int64_t wait_until_us;          ///< latest start of the next attempt; 0 = no attempt has failed
  bool sent;                      ///< an attempt may have reached a backend server
  bool counted;                   ///< its first attempt has added to the budget
  uint64_t tried[TT_RETRY_TRIED]; ///< backend servers of failed attempts, the oldest is replaced
  uint32_t tried_count;           ///< failed attempts so far
} TtRetryRequest;

typedef struct
{
  double tokens; ///< budget of second attempts; each first attempt adds a tenth
} TtRetrySection;
