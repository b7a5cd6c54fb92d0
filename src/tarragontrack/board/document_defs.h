/// A team's configuration document: services, priorities, client accounts and kinds of work.
#pragma once

#include "tarragontrack/board/limits_defs.h"
#include <stdbool.h>
#include <stdint.h>

enum
{
  TT_DOCUMENT_MAX_SCHEMA = 1,     ///< highest schema number that this version supports
  TT_DOCUMENT_MAX_SERVICES = 32,  ///< services in one document
  TT_DOCUMENT_MAX_ACCOUNTS = 256, ///< client accounts in one document
  TT_DOCUMENT_MAX_KINDS = 16,     ///< kinds of work in one document
  TT_PRIORITY_COUNT = 4           ///< 0 is the most urgent
};

typedef enum
{
  TT_SERVICE_MODEL, ///< model engines, OpenAI-compatible chat requests
  TT_SERVICE_PLAIN  ///< HTTP by path prefix
} TtServiceType;

/// How a team's changes and requests are handled while a failure domain has no platform contact;
/// see docs/design.md, configuration.
typedef enum
{
  TT_DETACHED_WAIT,  ///< the change stays staged; the domain keeps serving
  TT_DETACHED_REFUSE ///< the domain rejects the team's requests; the change is accepted without it
} TtDetachedMode;

typedef struct
{
  char name[TT_NAME_MAX]; ///< model name, or name of the plain service
  uint64_t id;            ///< hash of the name
  TtServiceType type;
  char path_prefix[TT_PATH_MAX]; ///< plain services only
  bool repeatable;               ///< false: its POST requests run at most once
  uint32_t prefix_spread; ///< number of engines in the group of a shared prefix; 0 = no groups
  double load_multiple;   ///< maximum load of an engine, as a multiple of the mean
  double long_share;      ///< fraction of an engine's batch limit that long requests may use
  uint32_t long_tokens;   ///< minimum predicted tokens of a long request
  uint32_t first_token_timeout_ms;
  uint32_t progress_timeout_ms; ///< maximum interval between two tokens or bytes
  uint32_t min_replicas;        ///< minimum number of engines that keep the model loaded
} TtServiceSpec;

typedef struct
{
  char name[TT_NAME_MAX];
  uint64_t id;            ///< hash of the name
  double weight;          ///< weight in fair queueing, relative to other client accounts
  uint32_t max_in_flight; ///< for the whole fleet; 0 = no limit
  double requests_per_s;  ///< for the whole fleet; 0 = no limit
  uint64_t key_hash;      ///< hash of the bearer token; 0 = the account's name is sufficient
} TtAccountSpec;

typedef struct
{
  char name[TT_NAME_MAX]; ///< value of the X-Work-Kind header
  uint64_t id;
  uint32_t priority;          ///< 0 is the most urgent
  uint32_t queue_deadline_ms; ///< maximum time in the queue before the response "not run"
  bool idempotent;            ///< false: requires Idempotency-Key, also for a model
} TtKindSpec;

/// BOUNDS     TT_MAX_TEAMS documents a fleet, TT_MAX_DOCUMENT_BYTES of text each
typedef struct
{
  char team[TT_NAME_MAX];
  uint64_t team_id;
  uint32_t schema;
  TtDetachedMode detached;
  uint32_t detach_after_s;
  uint32_t default_priority;
  uint32_t default_queue_deadline_ms;
  uint32_t service_count;
  uint32_t account_count;
  uint32_t kind_count;
  TtServiceSpec services[TT_DOCUMENT_MAX_SERVICES];
  TtAccountSpec accounts[TT_DOCUMENT_MAX_ACCOUNTS];
  TtKindSpec kinds[TT_DOCUMENT_MAX_KINDS];
} TtDocument;
