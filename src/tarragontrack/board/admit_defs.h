/// State of the admission controller: client accounts, limits and queues.
#pragma once

#include "tarragontrack/board/document_defs.h"
#include "tarragontrack/board/list.h"
#include <stdbool.h>
#include <stdint.h>

enum
{
  TT_ACCOUNT_BUCKETS = 256,
  TT_MAX_IDLE_FLOWS = 1024
};

/// A client account of a document in force.
typedef struct TtClientAccount
{
  TtLink link;        ///< on TtAdmitSection.accounts or .free_accounts
  TtLink bucket_link; ///< on TtAdmitSection.buckets
  TtAccountSpec spec;
  uint64_t team_id;
  uint32_t in_flight; ///< released requests of this daemon
  uint32_t queued;
  uint32_t fleet_in_flight; ///< sum of in_flight over the fleet, from gossip
  double rate_tokens;       ///< tokens of the rate limiter; one request costs one
  int64_t refilled_us;
  bool retired; ///< in no document in force; freed once its last request has finished
} TtClientAccount;

typedef struct TtPool TtPool;

/// Queued requests of one account, service, priority and length class, in order of arrival.
///
/// Start-time fair queueing: the flow with the lowest start tag is served next. Serving a request
/// advances the flow's start tag by the request's cost divided by the account's weight. A shed
/// request does not advance it.
typedef struct
{
  TtLink link;        ///< on TtAdmitPool.queues, TtAdmitSection.idle_flows or .free_flows
  TtLink bucket_link; ///< on TtAdmitSection.flow_buckets
  TtPool *pool;
  TtClientAccount *account;
  uint32_t priority;
  bool is_long;
  TtList requests;     ///< TtAdmitRequest.flow_link, oldest first
  double start_tag;    ///< start tag of the oldest request
  double backlog_cost; ///< sum of the costs of the queued requests
} TtAdmitFlow;

typedef struct
{
  TtLink flow_link;  ///< on TtAdmitFlow.requests
  TtAdmitFlow *flow; ///< NULL unless the request is queued
  double cost;
  int64_t queued_us;
  bool released; ///< counted in its account's in_flight
} TtAdmitRequest;

typedef struct
{
  TtList queues[TT_PRIORITY_COUNT];               ///< TtAdmitFlow.link, by start tag
  uint32_t queued_by_priority[TT_PRIORITY_COUNT]; ///< queued requests by priority
  double virtual_time[TT_PRIORITY_COUNT];         ///< highest start tag served so far, by priority
  double offered_load;        ///< cost of the arrived requests; decays with a time constant of 40 s
  int64_t offered_decayed_us; ///< time of the last decay
  uint32_t queued;
  uint32_t unplaced;            ///< requests released and not yet placed on a backend server
  uint32_t long_unplaced;       ///< long requests released and not yet placed
  uint32_t releases_since_aged; ///< releases since the last selection of an aged request
  int64_t released_us;          ///< time of the last release
  double release_interval_us;   ///< mean time between two releases; predicts the wait
} TtAdmitPool;

/// BOUNDS     max_accounts accounts; max_queued queued requests, beyond which requests are shed;
///            one flow per request plus TT_MAX_IDLE_FLOWS idle flows, of which the one that has
///            been idle longest is replaced
typedef struct
{
  TtList accounts;
  TtList free_accounts;
  TtClientAccount *account_records;
  TtList buckets[TT_ACCOUNT_BUCKETS]; ///< TtClientAccount.bucket_link, by id
  TtAdmitFlow *flow_records;
  TtList flow_buckets[TT_ACCOUNT_BUCKETS]; ///< TtAdmitFlow.bucket_link, by key
  TtList idle_flows; ///< flows without requests, which keep their start tag; longest idle first
  TtList free_flows;
  int64_t next_fleet_update_us;
  uint32_t max_accounts;
  uint32_t queued;
  uint32_t max_queued;
} TtAdmitSection;
