/// State of `recovery`: retries, hedges and resumed streams.
#pragma once

#include "tarragontrack/board/retry_defs.h"
#include <stdbool.h>
#include <stdint.h>

typedef struct
{
  uint32_t sends; ///< attempts of which at least one byte may have reached a backend server
  uint32_t runs;  ///< sends that did not get a "not executed" response, so that they may have run
  bool hedge_decided;     ///< a hedge was requested, or denied by the route's limit or the retry
                          ///< budget; none follows
  bool hedge_requested;   ///< `dispatch` is to open a second attempt while the first one is open
  uint32_t last_event_id; ///< id of the last stream event relayed to the caller
  uint64_t tried[TT_RETRY_MAX_TRIED]; ///< backend servers of failed attempts; a new entry replaces
                                      ///< the oldest
  uint32_t tried_count; ///< entries added so far; may exceed the size of TtRecoveryRequest.tried;
                        ///< reset when TtDispatchRequest.second_round is set
} TtRecoveryRequest;

typedef struct
{
  uint32_t silent_attempts; ///< attempts cancelled because nothing arrived within the timeout
} TtRecoveryBackend;

typedef struct
{
  uint32_t requested_hedges; ///< requests with TtRecoveryRequest.hedge_requested set
  bool is_tick;              ///< the current step handles a tick
} TtRecoverySection;
