/// The blackboard: the whole state of one daemon, divided into sections with one owner each.
#pragma once

#include "tarragontrack/board/acceptor_defs.h"
#include "tarragontrack/board/action_defs.h"
#include "tarragontrack/board/backend_defs.h"
#include "tarragontrack/board/bounds_defs.h"
#include "tarragontrack/board/claim_section_defs.h"
#include "tarragontrack/board/counter_defs.h"
#include "tarragontrack/board/drain_defs.h"
#include "tarragontrack/board/event_defs.h"
#include "tarragontrack/board/evidence_defs.h"
#include "tarragontrack/board/fleet_defs.h"
#include "tarragontrack/board/intake_defs.h"
#include "tarragontrack/board/lease_defs.h"
#include "tarragontrack/board/notice_defs.h"
#include "tarragontrack/board/order_section_defs.h"
#include "tarragontrack/board/quarantine_defs.h"
#include "tarragontrack/board/reader_defs.h"
#include "tarragontrack/board/rng.h"
#include "tarragontrack/board/store_defs.h"

#define TT_TICK_INTERVAL_US (50 * TT_MILLISECOND_US)

enum
{
  TT_BOARD_MAX_PASSES = 16, ///< passes over all controllers in one step
  TT_MAX_CONTROLLERS = 24
};

typedef struct TtBoard TtBoard;

/// A controller: updates its section from events, and appends actions to the outbox.
typedef struct
{
  TtLink link; ///< on TtBoard.controllers, in execution order
  const char *name;
  void *context;
  int (*open) (void *context, TtBoard *board);   ///< allocates the section; 0 or TT_E_NO_MEMORY
  void (*close) (void *context, TtBoard *board); ///< frees the section
  void (*on_event) (void *context, TtBoard *board, const TtEvent *event, int64_t now_us);
  void (*run) (void *context, TtBoard *board, int64_t now_us);
  /// Called once for each request, after the pass in which the request reached its outcome.
  void (*on_finished) (void *context, TtBoard *board, TtRequest *request, int64_t now_us);
} TtController;

/// Parameters of a board, set when it is created.
typedef struct
{
  char fleet[TT_NAME_MAX];
  char name[TT_NAME_MAX];   ///< name of this daemon, unique in the fleet
  char domain[TT_NAME_MAX]; ///< failure domain
  char region[TT_NAME_MAX];
  char address[TT_ADDRESS_MAX]; ///< IP address that peers connect to
  uint16_t peer_port;
  uint64_t incarnation;  ///< higher than at the previous start, e.g. wall clock in microseconds
  uint64_t seed[2];      ///< seed of TtRng; a daemon reads it from the system's entropy source
  uint32_t max_requests; ///< open requests; further ones get the outcome "not run"
  uint32_t max_attempts;
  uint32_t max_accounts;
  size_t memory_bytes;         ///< that the process may use
  uint32_t descriptors;        ///< that the process may have open
  uint32_t request_timeout_ms; ///< for the arrival of a whole request; 0 = no limit
  uint32_t send_timeout_ms;    ///< without progress in the sending of a response; 0 = no limit
  bool uses_tls;               ///< on the port of callers
  bool uses_routing_table;     ///< requests are placed by a routing table, not by team documents
  TtBounds bounds;
} TtBoardConfig;

typedef struct
{
  TtList stages[TT_STAGE_COUNT]; ///< TtRequest.stage_link
  TtList *buckets;               ///< hash table by request id, of TtRequest.bucket_link
  TtRequest *pool;
  uint32_t request_capacity;
  TtList free_attempts; ///< TtAttempt.request_link
  TtAttempt *attempts;
  uint32_t attempt_capacity;
} TtRequestSection;

struct TtBoard
{
  TtBoardConfig config;
  uint64_t domain_id;
  TtRng rng;
  int64_t wall_clock_s; ///< wall clock, set by the front end; for timestamps and for the expiry of
                        ///< recorded outcomes. Deadlines use the monotonic clock.
  uint64_t last_id;
  bool dirty; ///< set by a controller that requires another pass in this step
  TtList controllers;
  TtController controller_pool[TT_MAX_CONTROLLERS];
  uint32_t controller_count;

  TtRequestSection requests;
  TtBackendSection backends;
  TtRosterSection roster;
  TtMemberSection member;
  TtConfigSection team_config;
  TtLeaseSection lease;
  TtAcceptorSection acceptor;
  TtHealthSection health;
  TtLengthSection length;
  TtPoisonSection poison;
  TtQuarantineSection quarantine;
  TtAdmitSection admit;
  TtClaimSection claim;
  TtShareSection share;
  TtPlaceSection place;
  TtRetrySection retry;
  TtOrderSection order;
  TtDrainSection drain;
  TtIntakeSection intake;
  TtEvidenceSection evidence;
  TtFeedSection feed;
  TtRouteSection routes;
  TtNoticeSection notice;
  TtRegistrySection registry;
  TtFleetSection fleet;
  TtReaderSection reader;
  TtBreakerSection breaker;
  TtDispatchSection dispatch;
  TtRecoverySection recovery;

  TtList outbox; ///< TtAction.link, oldest first
  TtList free_actions;
  uint64_t counters[TT_COUNT_END];
};
