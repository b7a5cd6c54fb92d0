/// State of the retry controller: budget of retries and hedges, and progress per request.
#pragma once

#include <stdbool.h>
#include <stdint.h>

enum
{
  TT_RETRY_MAX_TRIED = 4 ///< recorded backend servers: of the first attempt and three retries
};

typedef struct
{
  uint32_t retries;
  uint32_t hedges;
  int64_t not_before_us; ///< earliest next attempt
  int64_t wait_until_us; ///< latest start of the next attempt; 0 = no attempt has failed
  bool possibly_sent;    ///< an attempt may have reached a backend server
  bool budget_counted;   ///< the request has already added to the retry budget
  uint64_t tried[TT_RETRY_MAX_TRIED]; ///< ring buffer: backend servers of failed attempts
  uint32_t tried_count;               ///< number of failed attempts
} TtRetryRequest;

typedef struct
{
  double budget_tokens; ///< token bucket of retries and hedges; each request adds
                        ///< TT_RETRY_BUDGET_PER_REQUEST
} TtRetrySection;
