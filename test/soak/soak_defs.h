/// The fault soak: a store, backend servers, callers and proxies in one process, around real
/// daemons. See docs/soak.md.
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
  SOAK_DAEMONS = 4,
  SOAK_WORKERS = 6, ///< the first four are engines, the others a plain service
  SOAK_ENGINES = 4,
  SOAK_EVENTS = 12, ///< of a stream
  SOAK_BUCKETS = 4096,
  SOAK_ID_MAX = 32,
  SOAK_KEY_MAX = 16
};

typedef struct Soak Soak;
typedef struct Proxy Proxy;

/// What a caller's request is.
typedef enum
{
  SOAK_ONCE,   ///< may run once
  SOAK_GET,    ///< may be repeated
  SOAK_STREAM, ///< may be resumed
  SOAK_KINDS
} SoakKind;

/// What the callers and the backend servers saw of one request.
typedef struct
{
  TtLink link; ///< on Soak.buckets
  char id[SOAK_ID_MAX];
  SoakKind kind;
  unsigned runs;
  bool refused; ///< its caller was told that it has not run and never will
} SoakRequest;

/// Sums of samples of a process.
typedef struct
{
  uint64_t samples;
  uint64_t resident_kb;
  uint64_t descriptors;
} SoakAge;

/// A process of the fleet.
typedef struct
{
  Soak *soak;
  unsigned index;
  uv_process_t process;
  bool running;
  bool paused;
  bool leaving;        ///< got SIGTERM
  int64_t troubled_us; ///< last time something was done to it
  int64_t started_us;
  uint16_t caller_port;
  uint16_t ready_port;
  uint16_t peer_port;
  Proxy *store_proxy;
  char settings[128];
  char log[128];
  SoakAge early; ///< in the second fifth of the run
  SoakAge late;  ///< in its last fifth
} SoakDaemon;

typedef struct
{
  Soak *soak;
  unsigned index;
  TtHttpServer *server; ///< NULL while it is down
  uint16_t port;
  Proxy *proxy;
  unsigned boot; ///< number of the process; part of the id
  bool leaving;
  int64_t left_us; ///< when the store took the leaving entry; 0 = it has not
  unsigned spoil;  ///< next answers that break off
} SoakWorker;

/// One object of the store.
typedef struct
{
  TtLink link; ///< on SoakStore.objects
  char kind[SOAK_KEY_MAX];
  char name[48];
  uint64_t revision;
  bool removed; ///< kept for those that follow
  json_object *spec;
} SoakObject;

typedef struct
{
  Soak *soak;
  TtHttpServer *server;
  uint16_t port;
  TtList objects;
  TtList waiting; ///< SoakFollow.link
  uint64_t revision;
  uint64_t oldest; ///< history up to this revision is gone
  bool refusing;   ///< answers 503
  bool silent;     ///< answers nothing
  unsigned lose;   ///< next writes whose answers are lost
  int64_t troubled_us;
} SoakStore;

struct Soak
{
  uv_loop_t *loop;
  TtHttpClient *http;
  TtRng rng;
  uint64_t seed;
  int64_t start_us;
  int64_t faults_end_us; ///< no new trouble after this time
  int64_t end_us;
  bool planned;        ///< planned work instead of trouble
  const char *program; ///< path of the daemon
  char folder[64];
  SoakDaemon daemons[SOAK_DAEMONS];
  SoakWorker workers[SOAK_WORKERS];
  SoakStore store;
  uint64_t version;   ///< of the configuration
  int64_t version_us; ///< when the store took it
  bool extra_route;   ///< the newest configuration has the route /extra/
  TtList buckets[SOAK_BUCKETS];
  uint64_t next_request;
  unsigned open_calls;
  unsigned sent;
  unsigned served;
  unsigned refused;
  unsigned failed;
  unsigned late_sent; ///< requests after the trouble has settled
  unsigned late_served;
  unsigned violations;
  uv_timer_t pace;
  uv_timer_t trouble;
  uv_timer_t clock;
};

/// Counts and prints a broken promise.
void soak_violation (Soak *soak, const char *promise, const char *format, ...)
    __attribute__ ((format (printf, 3, 4)));

/// Prints what was done, with the time since the start.
void soak_note (Soak *soak, const char *format, ...) __attribute__ ((format (printf, 2, 3)));

/// A port that was free a moment ago.
uint16_t soak_free_port (uv_loop_t *loop);

int64_t soak_now_us (void);

SoakRequest *soak_request_find (Soak *soak, const char *id);
SoakRequest *soak_request_new (Soak *soak, const char *id, SoakKind kind);

/// Time since the last trouble of any kind; 0 while some lasts.
int64_t soak_calm_us (const Soak *soak, const SoakDaemon *daemon);
