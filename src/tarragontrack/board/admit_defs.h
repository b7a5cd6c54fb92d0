/// State of `admit`: client accounts, limits and queues.
#pragma once

#include "tarragontrack/board/document_defs.h"
#include "tarragontrack/board/list.h"
#include <stdbool.h>
#include <stdint.h>

enum
{
  TT_ACCOUNT_BUCKETS = 256,
  TT_IDLE_FLOWS = 1024
};

/// A client account of a document in force.
typedef struct TtClientAccount
{
  TtLink link;        ///< on TtAdmitSection.accounts
  TtLink bucket_link; ///< on TtAdmitSection.buckets
  TtAccountSpec spec;
  uint64_t team_id;
  uint32_t in_flight; ///< requests of this daemon past the queue
  uint32_t queued;
  uint32_t fleet_in_flight; ///< sum over the fleet, from gossip
  double allowance;         ///< requests it may start now (token bucket)
  int64_t refilled_us;
  bool retired; ///< in no document any more; freed with its last request
} TtClientAccount;

typedef struct TtPool TtPool;

/// Requests of one account, service, priority and length class that wait, in order of arrival.
///
/// Start-time fair queueing: the flow with the lowest start tag is served next; serving a request
/// raises the tag by its cost divided by the account's weight. A request that is shed costs
/// nothing.
typedef struct
{
  TtLink link;        ///< on TtAdmitPool.queues, TtAdmitSection.idle_flows or .free_flows
  TtLink bucket_link; ///< on TtAdmitSection.flow_buckets
  TtPool *pool;
  TtClientAccount *account;
  uint32_t priority;
  bool is_long;
  TtList requests; ///< TtAdmitRequest.flow_link, oldest first
  double start;    ///< start tag of the oldest request
  double backlog;  ///< sum of the costs of the waiting requests
} TtAdmitFlow;

typedef struct
{
  TtLink flow_link;  ///< on TtAdmitFlow.requests
  TtAdmitFlow *flow; ///< NULL unless it waits
  double cost;
  int64_t queued_us;
  bool released; ///< counted in its account's in_flight
} TtAdmitRequest;

typedef struct
{
  TtList queues[TT_PRIORITY_COUNT];       ///< TtAdmitFlow.link, by start tag
  uint32_t waiting[TT_PRIORITY_COUNT];    ///< requests in each
  double virtual_time[TT_PRIORITY_COUNT]; ///< start tag served last
  double offered;                         ///< cost of the arrivals, decays with 40 s
  int64_t offered_us;                     ///< last decay
  uint32_t queued;
  uint32_t ready;      ///< released and not placed yet
  uint32_t long_ready; ///< part of them that are long
  uint32_t releases;   ///< since the last one given to aged work
  int64_t released_us; ///< last release
  double service_us;   ///< mean time between two releases, for the expected wait
} TtAdmitPool;

/// BOUNDS     max_accounts accounts; max_queued requests, beyond it requests are shed; one flow
///            for each request and TT_IDLE_FLOWS more, of which the one idle longest is replaced
typedef struct
{
  TtList accounts;
  TtList free_accounts;
  TtClientAccount *pool;
  TtList buckets[TT_ACCOUNT_BUCKETS]; ///< TtClientAccount.bucket_link, by id
  TtAdmitFlow *flows;
  TtList flow_buckets[TT_ACCOUNT_BUCKETS]; ///< TtAdmitFlow.bucket_link, by key
  TtList idle_flows;                       ///< nothing waits; the tag is kept, oldest first
  TtList free_flows;
  int64_t next_sum_us;
  uint32_t max_accounts;
  uint32_t queued;
  uint32_t max_queued;
} TtAdmitSection;
