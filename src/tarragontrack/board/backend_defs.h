/// Backend servers and pools. A pool is the set of backend servers of one service.
#pragma once

#include "tarragontrack/board/admit_defs.h"
#include "tarragontrack/board/breaker_defs.h"
#include "tarragontrack/board/budget_defs.h"
#include "tarragontrack/board/dispatch_defs.h"
#include "tarragontrack/board/document_defs.h"
#include "tarragontrack/board/fleet_defs.h"
#include "tarragontrack/board/health_defs.h"
#include "tarragontrack/board/histogram_defs.h"
#include "tarragontrack/board/length_defs.h"
#include "tarragontrack/board/limits_defs.h"
#include "tarragontrack/board/list.h"
#include "tarragontrack/board/notice_defs.h"
#include "tarragontrack/board/order_defs.h"
#include "tarragontrack/board/place_defs.h"
#include "tarragontrack/board/recovery_defs.h"
#include "tarragontrack/board/registry_defs.h"
#include "tarragontrack/board/return_defs.h"
#include "tarragontrack/board/roster_defs.h"
#include "tarragontrack/board/share_defs.h"
#include <stdbool.h>
#include <stdint.h>

enum
{
  TT_MAX_BACKENDS = 1024, ///< backend servers per daemon; further ones are rejected and counted
  TT_BACKEND_BUCKETS = 256
};

struct TtBackendServer
{
  TtLink link;        ///< on TtBackendSection.all or .free_backends
  TtLink bucket_link; ///< on TtBackendSection.buckets
  TtLink pool_link;   ///< on TtPool.backends
  uint64_t id;        ///< hash of the name
  uint64_t domain_id;
  uint64_t service_id;
  char *name; ///< of any length
  char address[TT_ADDRESS_MAX];
  uint16_t port;
  double weight;         ///< relative capacity (accelerators)
  uint32_t batch_limit;  ///< maximum number of concurrent requests
  bool supports_fencing; ///< the backend server rejects orders with an outdated fencing token
  TtPool *pool;
  TtList attempts; ///< open attempts of this daemon, TtAttempt.backend_link
  // Last load report, which lags behind the actual load.
  uint32_t reported_running;
  uint32_t reported_waiting;
  int64_t reported_us;
  TtRosterBackend roster;
  TtHealthBackend health;
  TtShareBackend share;
  TtPlaceBackend place;
  TtOrderBackend order;
  TtNoticeBackend notice;
  TtRegistryBackend registry;
  TtFleetBackend fleet;
  TtBreakerBackend breaker;
  TtDispatchBackend dispatch;
  TtRecoveryBackend recovery;
};

/// A service and its backend servers. The service comes from a document in force or, on a board
/// with a routing table, from that table or the registry.
struct TtPool
{
  TtLink link; ///< on TtBackendSection.pools
  uint64_t id; ///< hash of the service's name
  TtServiceSpec spec;
  uint64_t team_id;
  char *name;                     ///< full name of the service; that of `spec` is abbreviated
  bool configured;                ///< the routing table has the service
  uint32_t request_count;         ///< requests that belong to the pool
  TtList backends;                ///< TtBackendServer.pool_link, all failure domains
  TtHistogram first_byte_latency; ///< latency until the first part of a response
  TtHistogram response_latency;   ///< latency until the response is complete
  TtAdmitPool admit;
  TtBudgetPool budget;
  TtReturnPool returns;
  TtHealthPool health;
  TtLengthPool length;
  TtSharePool share;
  TtPlacePool place;
};

/// BOUNDS     TT_MAX_BACKENDS backend servers; further ones are rejected and counted
typedef struct
{
  TtList all;                         ///< TtBackendServer.link
  TtList pools;                       ///< TtPool.link
  TtList buckets[TT_BACKEND_BUCKETS]; ///< TtBackendServer.bucket_link, by id
  TtList free_backends;
  TtBackendServer *backend_records;
} TtBackendSection;
