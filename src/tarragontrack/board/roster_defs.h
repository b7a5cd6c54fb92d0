/// State of `roster`: which backend servers exist and whether they take new work.
#pragma once

#include "tarragontrack/board/limits_defs.h"
#include <stdbool.h>
#include <stdint.h>

typedef enum
{
  TT_BACKEND_LIVE,
  TT_BACKEND_DAMPED,  ///< it flapped; absent until it has been steady for a while
  TT_BACKEND_LEAVING, ///< no new work
  TT_BACKEND_GONE     ///< not on the list; kept for a while so that a return counts as a flap
} TtBackendState;

typedef struct
{
  TtBackendState state;
  int64_t changed_us;    ///< time of the last change of state
  int64_t hold_until_us; ///< a leaving state or the damping cannot be undone before this time
  uint32_t flaps;        ///< returns within the damping window
  int64_t flapped_us;    ///< time of the last return
  int64_t missing_us;    ///< since when the lists lack it; 0 = listed
  int64_t active_us;     ///< last load report or answer of the backend server
  bool told_by_list;     ///< its leaving was on a host list, not only in gossip
} TtRosterBackend;

/// A failure domain of the platform's host lists.
typedef struct
{
  uint64_t id; ///< hash of the name
  char name[TT_NAME_MAX];
  uint32_t entry_hosts; ///< on the last list, leaving ones excluded
} TtRosterDomain;

/// BOUNDS     TT_MAX_DOMAINS failure domains; more are counted as refused
typedef struct
{
  uint64_t hosts_version; ///< of the own failure domain's last list
  uint64_t fleet_version; ///< of the whole fleet's last list
  int64_t next_poll_us;
  int64_t next_fleet_us;
  int64_t next_age_us;
  uint64_t poll_call;  ///< last call for the own failure domain's list
  uint64_t fleet_call; ///< last call for the whole fleet's list
  int64_t leaving_us;  ///< when a backend server was last learnt to leave, for gossip
  TtRosterDomain domains[TT_MAX_DOMAINS];
  uint32_t domain_count;
} TtRosterSection;
