/// Routing table: maps requests to services, with the access rules, time limits and retry policy of
/// each route. State of `routes`.
#pragma once

#include "tarragontrack/board/hash.h"
#include "tarragontrack/board/limits_defs.h"
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/// Whether a request may be sent again after an attempt that may have run.
typedef enum
{
  TT_ROUTE_RETRY_NEVER,  ///< at most one execution
  TT_ROUTE_RETRY_ALWAYS, ///< idempotent: may be executed more than once
  TT_ROUTE_RETRY_RESUME, ///< a stream that another backend server may resume after the last event
} TtRouteRetry;

typedef struct
{
  uint64_t service_id; ///< hash of the service's name
  char *service;
  uint32_t weight;
} TtRouteTarget;

typedef struct
{
  char *host;   ///< lower case
  char *prefix; ///< begins and ends with a slash
  size_t prefix_length;
  uint64_t host_hash;
  TtRouteRetry retry;
  bool stream;
  bool keyless;          ///< accepts requests without a key of a client account
  bool affinity;         ///< requests are placed by their shared prompt prefix
  uint32_t max_attempts; ///< highest number of times that one request may be sent
  uint32_t timeout_ms;   ///< time limit of a request; 0 = none
  uint32_t goal_ms;      ///< target time until the response, or until the first event of a stream
  uint32_t event_gap_ms; ///< target for the longest gap between events; 0 = not configured
  uint32_t priority;     ///< 0 is the most urgent
  uint32_t target_count;
  TtRouteTarget *targets; ///< services over which the route splits its requests
} TtRoute;

typedef struct
{
  char *name;  ///< NULL: the name cannot be sent in a header
  uint64_t id; ///< hash of the name
  bool has_priority;
  uint32_t priority; ///< overrides the route's priority
} TtRouteAccount;

typedef struct
{
  TtId128 hash;     ///< hash of the key's text
  uint32_t account; ///< index in TtRouteTable.accounts
} TtRouteKey;

typedef struct
{
  char *name;
  uint64_t id; ///< hash of the name
  bool engine; ///< the backend servers are model engines
} TtRouteService;

/// One version of the configuration. Immutable after it was built.
///
/// OWNERSHIP  built by a codec, then owned by `routes`; freed with tt_route_table_free()
typedef struct
{
  uint64_t version;
  TtRoute *routes; ///< sorted by host hash, then by descending prefix length
  uint32_t route_count;
  TtRouteAccount *accounts;
  uint32_t account_count;
  TtRouteKey *keys; ///< sorted by hash
  uint32_t key_count;
  bool requires_key; ///< the document has a list of client accounts, which may be empty
  TtRouteService *services;
  uint32_t service_count;
  uint32_t max_header_bytes;
  uint32_t max_body_bytes;
  uint32_t idle_timeout_ms;
  char *text; ///< source document, for transfer to other daemons
  size_t text_size;
} TtRouteTable;

/// Settings that a request copies from the active routing table on arrival. Later versions of the
/// table do not change them.
typedef struct
{
  bool stream;
  bool affinity;
  TtRouteRetry retry;
  uint32_t max_attempts;
  uint32_t goal_ms;
  uint32_t event_gap_ms;
  uint64_t table_version;
  uint64_t account_id; ///< 0 = none
  char *account;       ///< full name of the client account, freed with the request; NULL = none
  int64_t deadline_us; ///< deadline of the request
} TtRouteRequest;

typedef struct
{
  TtRouteTable *table;          ///< the active table; NULL until the first one was received
  TtRouteTable *previous_table; ///< kept until the next replacement, because queued actions may
                                ///< refer to it; NULL = none
  bool from_peer;               ///< received from another daemon and not yet confirmed by the store
} TtRouteSection;
