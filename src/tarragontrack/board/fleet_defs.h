/// State of `fleet`: the other daemons and the last status that each of them sent.
#pragma once

#include "tarragontrack/board/evidence_defs.h"
#include "tarragontrack/board/limits_defs.h"
#include "tarragontrack/board/list.h"
#include "tarragontrack/board/notice_defs.h"
#include "tarragontrack/board/poison_defs.h"
#include "tarragontrack/board/quarantine_defs.h"
#include <stdbool.h>
#include <stdint.h>

enum
{
  TT_MAX_DAEMONS = 512,      ///< other daemons in the table; further ones are ignored and counted
  TT_MAX_STATUS_LOADS = 256, ///< backend servers in one status message
  TT_MAX_STATUS_HOLDERS = 64 ///< prefix holders in one status message
};

/// Load that one or several daemons cause on a backend server.
typedef struct
{
  uint64_t backend_id;
  uint32_t running;  ///< requests that they run on it
  uint32_t avoiding; ///< number of them whose circuit breaker for it is open, or that it rejects
} TtStatusLoad;

/// Loads that a status message or a collector reported.
typedef struct
{
  bool counted;    ///< the loads are included in TtFleetBackend
  bool own_domain; ///< a daemon of this failure domain reported them
  uint32_t count;
  TtStatusLoad loads[TT_MAX_STATUS_LOADS];
} TtLoadReport;

/// The engine that holds a shared prompt prefix.
typedef struct
{
  uint64_t key; ///< hash of the prompt prefix
  uint64_t backend_id;
} TtStatusPrefixHolder;

/// Status message, which a daemon sends to the others several times a second.
typedef struct
{
  char name[TT_NAME_MAX];
  char address[TT_ADDRESS_MAX];
  uint16_t port;
  uint64_t table_version;
  TtStorePoint servers; ///< sender's list of backend servers
  uint64_t domain_id;   ///< failure domain of the sender; 0 = not stated by an older version
  bool reads_store;     ///< the sender watches the store and its calls succeed
  TtStorePoint change;  ///< last change of backend servers that it knows; of the same era
  TtConfirmation confirmation;
  uint32_t load_count;
  TtStatusLoad loads[TT_MAX_STATUS_LOADS];
  uint32_t prefix_holder_count;
  TtStatusPrefixHolder prefix_holders[TT_MAX_STATUS_HOLDERS];
  uint32_t suspect_count;
  TtPeerSuspect suspects[TT_PEER_MAX_SUSPECTS];
  uint32_t notice_count;
  TtPeerNotice notices[TT_PEER_MAX_NOTICES]; ///< leaving backend servers that the sender noticed
  uint32_t part_count;
  TtPeerPart parts[TT_PEER_MAX_PARTS]; ///< suspect and cleared parts of prompts
} TtDaemonStatus;

/// Sums of loads. A collector sends them to the daemons of its failure domain, summed over all
/// daemons but the receiver, and to the collectors of other failure domains, summed over its own
/// one.
typedef struct
{
  uint64_t domain_id; ///< failure domain of the sender
  uint64_t table_version;
  TtStorePoint change; ///< as in TtDaemonStatus
  TtConfirmation confirmation;
  uint32_t load_count;
  TtStatusLoad loads[TT_MAX_STATUS_LOADS];
  uint32_t prefix_holder_count;
  TtStatusPrefixHolder prefix_holders[TT_MAX_STATUS_HOLDERS];
} TtLoadSums;

typedef struct
{
  TtLink link; ///< on TtFleetSection.daemons
  uint64_t id; ///< hash of the name
  char name[TT_NAME_MAX];
  char address[TT_ADDRESS_MAX];
  uint16_t port;
  bool listed;            ///< the store has an entry for the daemon
  bool alive;             ///< a status message arrived within the liveness timeout
  int64_t last_status_us; ///< arrival of the last status message; 0 = none arrived
  uint64_t table_version;
  TtStorePoint servers;
  uint64_t domain_id; ///< failure domain; 0 = unknown
  bool reads_store;   ///< as in the last status message
  TtStorePoint change;
  TtLoadReport report; ///< from the last status message
  TtLoadReport *sums;  ///< of its failure domain, if it is the collector of another one; or NULL
  int64_t sums_us;     ///< arrival of the last sums; 0 = none arrived
} TtDaemon;

typedef struct
{
  uint32_t peer_requests;   ///< requests that other daemons run on the backend server
  uint32_t peers_avoiding;  ///< other daemons that avoid the backend server; see TtStatusLoad
  uint32_t domain_requests; ///< part of peer_requests that daemons of this failure domain reported
  uint32_t domain_avoiding; ///< part of peers_avoiding that daemons of this failure domain reported
} TtFleetBackend;

/// State of fetching a newer copy from other daemons.
typedef struct
{
  int64_t stale_since_us; ///< since when another daemon has a newer copy; 0 = none has
  uint32_t fetches;       ///< requests for it since then
} TtCopy;

/// How this daemon learns the loads of the other daemons.
typedef enum
{
  TT_LOADS_DIRECT,   ///< from the status messages of each of them
  TT_LOADS_REPORTED, ///< from the collector of its failure domain, to which it reports its own
  TT_LOADS_COLLECTED ///< it is the collector of its failure domain
} TtLoadsMode;

typedef struct
{
  TtList daemons; ///< TtDaemon.link; records are allocated one by one, TT_MAX_DAEMONS at most
  int64_t next_status_us;
  bool advertise;            ///< a status message is to be sent without waiting for the next period
  int64_t next_advertise_us; ///< earliest time of such a message
  int64_t next_loads_us;     ///< next report to the collector, or next sums of the collector
  TtLoadsMode loads_mode;
  TtStorePoint counted;       ///< list of backend servers when loads were added up
  TtLoadReport rest;          ///< sums over all other daemons, from the collector
  int64_t rest_us;            ///< arrival of those sums; 0 = none arrived
  int64_t next_copy_check_us; ///< next comparison of versions with the other daemons
  int64_t next_fetch_us;
  TtCopy table_copy;
  TtCopy servers_copy;
  uint32_t listed_count; ///< other daemons with an entry in the store
  uint32_t alive_count;  ///< other daemons with TtDaemon.alive set
} TtFleetSection;
