/// State of the `roster` controller: which backend servers exist and whether they accept new work.
#pragma once

#include "tarragontrack/board/limits_defs.h"
#include <stdbool.h>
#include <stdint.h>

typedef enum
{
  TT_BACKEND_LIVE,
  TT_BACKEND_DAMPED,  ///< flap damping: unused until it has been stable for a while
  TT_BACKEND_LEAVING, ///< draining: no new work
  TT_BACKEND_GONE     ///< not listed; kept for a while so that a return counts as a flap
} TtBackendState;

typedef struct
{
  TtBackendState state;
  int64_t changed_us;          ///< time of the last change of state
  int64_t hold_until_us;       ///< earliest end of the leaving or damped state
  uint32_t flaps;              ///< returns within the damping window
  int64_t last_flap_us;        ///< time of the last return, initially of the first listing
  int64_t missing_since_us;    ///< start of its absence from the host lists; 0 = listed
  int64_t last_load_report_us; ///< last load report from the backend server
  bool leaving_on_list;        ///< marked as leaving on a host list, not only by gossip
} TtRosterBackend;

/// A failure domain named by the platform's host lists.
typedef struct
{
  uint64_t id; ///< hash of the name
  char name[TT_NAME_MAX];
  uint32_t entry_hosts; ///< entry hosts on the last fleet list, leaving ones excluded
} TtRosterDomain;

/// BOUNDS     TT_MAX_DOMAINS failure domains; further ones are ignored and counted in
///            TT_COUNT_POOL_FULL
typedef struct
{
  uint64_t domain_list_version; ///< version of the last host list of this daemon's failure domain
  uint64_t fleet_list_version;  ///< version of the last fleet-wide host list
  int64_t next_domain_poll_us;
  int64_t next_fleet_poll_us;
  int64_t next_scan_us;
  uint64_t domain_call_id; ///< last platform call for the host list of this daemon's failure domain
  uint64_t fleet_call_id;  ///< last platform call for the fleet-wide host list
  int64_t last_leaving_us; ///< when a backend server last started leaving; triggers gossip
  TtRosterDomain domains[TT_MAX_DOMAINS];
  uint32_t domain_count;
} TtRosterSection;
