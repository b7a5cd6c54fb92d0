/// Randomized fault soak: one process runs a store, backend servers, callers and proxies around
/// real daemon processes. See docs/soak.md.
#pragma once

#include "tarragontrack/board/list.h"
#include "tarragontrack/board/rng.h"
#include "tarragontrack/io/http_client.h"
#include "tarragontrack/io/http_server.h"
#include <json-c/json.h>
#include <stdbool.h>
#include <stdint.h>
#include <uv.h>

enum
{
  SOAK_DAEMONS = 4, ///< of a run without --daemons
  SOAK_MAX_DAEMONS = 48,
  SOAK_DOMAIN_DAEMONS = 8, ///< daemons of a failure domain in a larger run
  SOAK_BACKENDS = 6, ///< the first SOAK_ENGINES are engines, the others provide a plain service
  SOAK_ENGINES = 4,
  SOAK_STREAM_EVENTS = 12, ///< events per stream
  SOAK_REQUEST_BUCKETS = 4096,
  SOAK_ID_MAX = 32,
  SOAK_KEY_MAX = 16,
  SOAK_MEMORY_MB = 64 ///< in the settings of the daemons
};

typedef struct Soak Soak;
typedef struct Proxy Proxy;

/// Kind of a caller's request.
typedef enum
{
  SOAK_KIND_NON_IDEMPOTENT, ///< may be executed at most once
  SOAK_KIND_IDEMPOTENT,     ///< may be executed more than once
  SOAK_KIND_STREAMING,      ///< runs once, or may be resumed on another backend server
  SOAK_KIND_COUNT
} SoakKind;

/// Record of one request, shared by the callers and the backend servers.
typedef struct
{
  TtLink link; ///< on Soak.request_buckets
  char id[SOAK_ID_MAX];
  SoakKind kind;
  bool resumable;      ///< of a stream: may be resumed on another backend server
  unsigned executions; ///< number of times that backend servers accepted it
  bool rejected;   ///< not idempotent, and its caller got a 429 or 503: it must never be executed
  bool deadly;     ///< a part of its prompt crashes each engine that begins to answer it
  unsigned daemon; ///< index of the daemon that it was sent to
  int64_t sent_us;
} SoakRequest;

/// Sums of the resource usage samples of a process.
typedef struct
{
  uint64_t samples;
  uint64_t resident_kb;
  uint64_t descriptors;
} SoakUsage;

/// What a backend server told a daemon about itself. It binds the daemon until it is restarted or
/// frozen.
typedef struct
{
  unsigned incarnation;     ///< of the backend server that told it
  int64_t leaving_told_us;  ///< when the daemon passed on a response that says "leaving"; 0 = not
  int64_t rejected_us;      ///< when it was last rejected with Retry-After; 0 = not
  int64_t retry_after_us;   ///< end of the time that the rejection named
  unsigned requests_inside; ///< requests that arrived within that time
} SoakNotice;

/// A daemon process of the fleet.
typedef struct
{
  Soak *soak;
  unsigned index;
  uv_process_t process;
  bool running;
  bool paused;
  bool terminating;      ///< received SIGTERM
  bool above_memory;     ///< was reported to use more memory than its settings allow
  int64_t last_fault_us; ///< when it was last sent a signal, or a fault of it began or ended
  int64_t started_us;
  int64_t resumed_us; ///< end of the last freeze
  SoakNotice notices[SOAK_BACKENDS];
  uint16_t caller_port;
  uint16_t operator_port;
  uint16_t peer_port;
  Proxy *store_proxy;
  const char *limits; ///< limits in the settings
  char settings_path[128];
  char log_path[128];
  SoakUsage early_usage; ///< samples in the second fifth of the run
  SoakUsage late_usage;  ///< samples in the last fifth of the run
} SoakDaemon;

/// A simulated backend server.
typedef struct
{
  Soak *soak;
  unsigned index;
  TtHttpServer *server; ///< NULL while it is down
  uint16_t port;
  Proxy *proxy;
  unsigned incarnation;        ///< number of starts; part of the instance id
  bool draining;               ///< its entry in the store is in the state draining
  int64_t draining_since_us;   ///< when the store accepted the draining entry; 0 = not draining
  bool says_leaving;           ///< in all its responses
  bool path_faulty;            ///< the path from the daemons is disturbed
  int64_t path_fault_us;       ///< when a fault of the path last began or ended, or a reset
  unsigned truncate_responses; ///< number of upcoming responses to truncate
  unsigned reject_requests;    ///< number of upcoming requests to reject with Retry-After
  unsigned spoil_answers;      ///< number of upcoming answers to spoil with garbage
  int64_t started_us;
  unsigned final_phase_requests; ///< that it got in the final phase
} SoakBackend;

/// An object of the store.
typedef struct
{
  TtLink link; ///< on SoakStore.objects
  char kind[SOAK_KEY_MAX];
  char name[48];
  uint64_t revision;
  bool removed; ///< kept as a tombstone for watches
  json_object *spec;
} SoakObject;

/// Content of the store at a time.
typedef struct
{
  TtList objects; ///< SoakObject.link
  uint64_t revision;
  uint64_t compacted_revision;
} SoakStoreCopy;

/// The simulated store.
typedef struct
{
  Soak *soak;
  TtHttpServer *server;
  uint16_t port;
  TtList objects;
  TtList watches; ///< SoakWatch.link
  uint64_t era;   ///< rises with each return from a copy
  uint64_t revision;
  uint64_t compacted_revision; ///< changes up to this revision are compacted
  bool unavailable;            ///< responds with 503
  bool silent;                 ///< sends no responses
  bool loses_answers;          ///< does what calls ask for; its answers, also to watches, are lost
  unsigned lose_write_responses; ///< number of upcoming writes whose responses are to be lost
  /// Last time that any fault of the soak began or ended. A planned SIGTERM does not count, but the
  /// restart of the daemon after it does.
  int64_t last_fault_us;
} SoakStore;

struct Soak
{
  uv_loop_t *loop;
  TtHttpClient *http;
  TtRng rng;
  TtRng crowd_rng;   ///< of crowds, apart for the same reason as garbage_rng
  TtRng history_rng; ///< of the store's history, apart for the same reason
  TtRng garbage_rng; ///< of spoilt answers and of streams that may not be resumed; apart, so that
                     ///< the other faults of a seed stay the same
  uint64_t seed;
  int64_t start_us;
  int64_t faults_end_us; ///< no fault is injected after this time
  int64_t end_us;
  bool maintenance_only; ///< planned maintenance instead of faults
  bool verbose;          ///< print what soak_log() is given
  const char *program;   ///< path of the daemon
  char directory[64];
  SoakDaemon daemons[SOAK_MAX_DAEMONS];
  unsigned daemon_count;
  SoakBackend backends[SOAK_BACKENDS];
  SoakStore store;
  uint64_t config_version;   ///< of the newest configuration
  json_object *config_spec;  ///< of that configuration
  int64_t config_written_us; ///< when the store accepted it
  bool extra_route;          ///< whether the newest configuration has the route /extra/
  TtList request_buckets[SOAK_REQUEST_BUCKETS];
  uint64_t next_request;
  unsigned calls_in_flight;
  unsigned sent;
  unsigned served;
  unsigned refused;
  unsigned failed;
  unsigned crowds;           ///< that were let loose
  unsigned spoilt;           ///< answers that backend servers spoilt
  unsigned final_phase_sent; ///< requests sent in the final phase, after recovery from all faults
  unsigned final_phase_served;
  unsigned violations;
  bool sends_deadly_requests;
  unsigned deadly_crashes; ///< engines that crashed on a deadly part
  int64_t fifth_deadly_crash_us;
  unsigned late_deadly_requests; ///< that reached engines later than DEADLY_STOP_US after it
  uv_timer_t request_timer;
  uv_timer_t fault_timer;
  uv_timer_t tick_timer; ///< drives the store, the backend servers and the probes
};

/// Counts and prints a violated guarantee.
void soak_violation (Soak *soak, const char *guarantee, const char *format, ...)
    __attribute__ ((format (printf, 3, 4)));

/// Logs an action of the soak with the time since its start, if --verbose is set.
void soak_log (Soak *soak, const char *format, ...) __attribute__ ((format (printf, 2, 3)));

/// Number of failure domains, over which daemons and backend servers are divided evenly.
unsigned soak_domain_count (const Soak *soak);

/// Finds a free port. Another process may bind it before the caller does.
uint16_t soak_free_port (const Soak *soak);

/// Creates the directory for settings and logs, the HTTP client and the generators. RETURN false on
/// failure.
bool soak_open (Soak *soak);

/// Starts the store with a configuration, and the backend servers. RETURN false on failure.
bool soak_start_systems (Soak *soak);

/// Starts a daemon on free ports. RETURN false on failure.
bool soak_start_daemon (Soak *soak, unsigned index);

/// Kills the daemons that this process started, and deletes their settings and logs unless a
/// guarantee was violated.
void soak_clean_up (Soak *soak);

int64_t soak_now_us (void);

SoakRequest *soak_request_find (Soak *soak, const char *id);
SoakRequest *soak_request_new (Soak *soak, const char *id, SoakKind kind);

/// Time since the last fault, or 0 while a fault is active. If @daemon is NULL, planned SIGTERMs
/// count as faults, too.
int64_t soak_time_since_fault_us (const Soak *soak, const SoakDaemon *daemon);
