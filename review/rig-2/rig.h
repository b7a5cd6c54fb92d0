/// Stand-ins for the second review: the platform's store, backend servers, callers, and the
/// daemons' processes, on loopback addresses. One process with a thread for each connection.
#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

enum
{
  MAX_DAEMONS = 12,
  MAX_WORKERS = 16,
  MAX_RUNS = 20000,
  MAX_SPEC = 8192
};

/// Milliseconds on the steady clock since rig_open().
int64_t now_ms (void);
void sleep_ms (int64_t ms);
void sleep_until_ms (int64_t ms);

/// Opens FOLDER/record.txt and chooses the addresses. PROGRAM is the daemon's.
void rig_open (const char *folder, const char *program, const char *case_name);
/// Writes a line with the time to record.txt and to standard output.
void note (const char *format, ...) __attribute__ ((format (printf, 1, 2)));
/// Writes a line to record.txt only.
void record (const char *format, ...) __attribute__ ((format (printf, 1, 2)));
/// Ends all processes and exits. CODE: 0 = the rule held, 1 = it was broken, 2 = the case could not
/// run.
void rig_finish (int code) __attribute__ ((noreturn));
/// False with TROUBLE=0.
bool has_trouble (void);

// Store.
typedef enum
{
  STORE_SERVING,
  STORE_SILENT, ///< executes calls; all answers are lost, and their connections return nothing
                ///< further
  STORE_AWAY    ///< connections are reset, new ones are refused
} StoreMode;

void store_start (void);
void store_set_mode (StoreMode mode);
/// Writes an object as the operator or a backend server does. RETURN its revision; 0 if the store
/// is away.
uint64_t store_put (const char *kind, const char *name, const char *spec);
uint64_t store_remove (const char *kind, const char *name);
uint64_t store_head (void);
/// Takes a copy of the objects; the store can come back from it after STORE_AWAY.
void store_copy (void);
void store_come_back_from_copy (void);
/// Number of list and watch calls of a kind that were answered.
unsigned store_answered (const char *kind);

// Backend servers.
typedef struct
{
  char id[32];
  char service[32];
  char zone[32];
  char address[32];
  unsigned port;
  unsigned slots;
  int work_ms;
  int cold_left_ms;
  uint64_t born_ms;
  bool leaving;
  bool stopped;
  int listener;
} Worker;

Worker *worker_start (const char *id, const char *service, const char *zone, unsigned slots,
                      int work_ms);
/// Writes the entry of a backend server as it is now. RETURN its revision.
uint64_t worker_register (Worker *worker);

/// A request that reached a backend server.
typedef struct
{
  char id[40]; ///< Attempt-Id
  char path[96];
  char tenant[32];
  const Worker *worker;
  int64_t at_ms;
  bool ran;
} Run;

size_t run_count (void);
Run run_get (size_t index);

// Daemons.
typedef struct
{
  char name[48];
  char zone[32];
  char ip[32];
  unsigned front_port;
  unsigned ready_port;
  unsigned peer_port;
  int pid;
  char settings[256];
} Daemon;

Daemon *daemon_start (const char *name, const char *zone);
/// Starts the program of a daemon again, after its process has ended.
void daemon_restart (Daemon *daemon);
/// Waits until a daemon's process ends. RETURN its status as of waitpid(), -1 if it still runs
/// after LIMIT_MS.
int daemon_wait_end (Daemon *daemon, int64_t limit_ms);
bool daemon_is_ready (const Daemon *daemon);
/// Waits until all daemons are ready; ends the case with 2 if they are not within LIMIT_MS.
void daemons_await_ready (int64_t limit_ms);
unsigned daemon_count (void);
Daemon *daemon_get (unsigned index);
bool daemons_run (void);

/// Makes the store cut the watches of one daemon and answer its calls with 503, while it serves the
/// others.
void store_refuse (const Daemon *daemon, bool refused);
/// Makes the store silent to one daemon, while it serves the others: it loses the answers to its
/// calls, and their connections return nothing further.
void store_silence (const Daemon *daemon, bool silent);
/// True if a daemon has waited in a watch of the backend servers: it reads the store for its
/// failure domain.
bool store_is_watched_by (const Daemon *daemon);
/// True if a daemon waits in a watch of the backend servers now.
bool store_is_watching (const Daemon *daemon);

// Callers.
typedef struct
{
  int status; ///< 0 = the connection ended without a whole answer
  char signature[64];
  int64_t sent_ms;
  int64_t answered_ms;
  char id[40];
} Answer;

/// Sends a request on a new connection and waits for its answer.
Answer call (const Daemon *daemon, const char *method, const char *host, const char *path,
             const char *key, const char *body, int deadline_ms);

/// Sends COUNT such requests to each daemon, all at the same time, and waits for their answers.
/// RETURN how many were answered with a success.
unsigned call_burst (unsigned count, const char *method, const char *host, const char *path,
                     const char *key, const char *body, int deadline_ms);

/// Calls that were made: their number, and the daemon at which the request with an id was sent by
/// the call INDEX, NULL if that call had another id.
unsigned answer_count (void);
const Daemon *answered_by (unsigned index, const char *id);
