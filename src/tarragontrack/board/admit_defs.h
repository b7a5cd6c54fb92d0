/// State of `admit`: client accounts, limits and queues.
#pragma once

#include "tarragontrack/board/document_defs.h"
#include "tarragontrack/board/list.h"
#include <stdbool.h>
#include <stdint.h>

/// A client account of a document in force.
typedef struct TtClientAccount
{
  TtLink link; ///< on TtAdmitSection.accounts
  TtAccountSpec spec;
  uint64_t team_id;
  uint32_t in_flight; ///< requests of this daemon past the queue
  uint32_t queued;
  uint32_t fleet_in_flight; ///< sum over the fleet, from gossip
  double allowance;         ///< requests it may start now (token bucket)
  int64_t refilled_us;
  double virtual_finish[TT_PRIORITY_COUNT]; ///< start-time fair queueing, one a priority
} TtClientAccount;

typedef struct
{
  TtLink queue_link; ///< on TtAdmitPool.queues
  double virtual_start;
  double virtual_finish;
  int64_t queued_us;
} TtAdmitRequest;

typedef struct
{
  TtList queues[TT_PRIORITY_COUNT]; ///< TtAdmitRequest.queue_link, by virtual start
  double virtual_time[TT_PRIORITY_COUNT];
  uint32_t queued;
  uint32_t ready;    ///< released and not placed yet
  double service_us; ///< mean time between two releases, for the expected wait
} TtAdmitPool;

/// BOUNDS     max_accounts accounts, max_queued requests; beyond it requests are shed
typedef struct
{
  TtList accounts;
  TtList free_accounts;
  TtClientAccount *pool;
  uint32_t max_accounts;
  uint32_t queued;
  uint32_t max_queued;
} TtAdmitSection;
