/// Stand-ins for the cases of the review: the platform's store, backend servers and callers, which
/// run as threads of one process, and the daemons, which run as processes of their own. Loopback
/// only.
#pragma once

#include <pthread.h>
#include <stdarg.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <sys/types.h>

enum
{
  RIG_HEAD_MAX = 65536,
  RIG_NAME_MAX = 64,
  RIG_CONNECTIONS_MAX = 256
};

/// A request as a backend server or the store reads it.
typedef struct
{
  int fd;
  char *head; ///< request line and headers, NUL-terminated
  char method[16];
  char target[4096];
  char *body;
  size_t body_size;
} RigRequest;

/// An answer as a caller reads it.
typedef struct
{
  int status;    ///< 0: no status line of the protocol arrived
  bool complete; ///< length or last chunk reached; without either, the connection was ended without
                 ///< a reset
  bool has_length; ///< the answer has a length or chunks
  bool reset;      ///< the connection was reset
  bool timed_out;  ///< the caller's time ended first
  double ms;
  char head[8192];
  size_t body_size;
  char body[4096]; ///< first bytes
} RigAnswer;

typedef struct RigWorker RigWorker;

/// Handles one request. RETURN true to keep the connection.
typedef bool (*RigHandler) (RigWorker *worker, RigRequest *request);

/// A backend server.
struct RigWorker
{
  char id[RIG_NAME_MAX];
  char service[RIG_NAME_MAX];
  char zone[RIG_NAME_MAX];
  int port;
  int slots;
  long long born;
  bool leaving;
  int listener;
  bool up;
  RigHandler handler;
  void *context;
  pthread_t thread;
  pthread_mutex_t mutex;
  int connections[RIG_CONNECTIONS_MAX];
};

/// A daemon process.
typedef struct
{
  char name[RIG_NAME_MAX];
  char zone[RIG_NAME_MAX];
  int front_port;
  int ready_port;
  int metrics_port;
  int peer_port;
  pid_t pid;
  char settings[512];
  char log[512];
} RigDaemon;

/// Reads TROUBLE and the folder of the case, opens record.txt, makes the temporary folder, and
/// starts the store. ARGUMENTS  case_dir: where record.txt is written; program: path of
/// tarragontrackd
void rig_init (const char *case_dir, const char *program);
bool rig_trouble (void);
double rig_now (void); ///< seconds since rig_init()
void rig_record (const char *format, ...) __attribute__ ((format (printf, 1, 2)));
/// Ends all daemons, removes the temporary folder and exits. 0: rule held; 1: rule broken; 2: could
/// not run.
void rig_finish (int code) __attribute__ ((noreturn));
void rig_sleep (double seconds);

// Store.
void rig_store_put (const char *kind, const char *name, const char *spec);
void rig_store_delete (const char *kind, const char *name);
void rig_store_page (int entries); ///< entries of one page of a list; default 500
void rig_store_cut_watches (void); ///< ends the waiting watches without an answer
void rig_store_delay_ms (int ms);  ///< time that an answer of the store takes; default 4

// Backend servers.
void rig_worker_start (RigWorker *worker); ///< takes a port if it has none, listens and registers
void
rig_worker_crash (RigWorker *worker); ///< resets all connections, stops listening; the entry stays
void rig_worker_register (const RigWorker *worker);
bool rig_header (const char *head, const char *name, char *value, size_t size);
void rig_send (int fd, const char *data, size_t size);
void rig_sendf (int fd, const char *format, ...) __attribute__ ((format (printf, 2, 3)));
/// Sends a signed 200 with the request's id.
void rig_send_ok (RigRequest *request, const char *body);
/// True if Expect-Instance names this worker; sends 421 otherwise.
bool rig_check_instance (RigWorker *worker, RigRequest *request);

// Daemons.
void rig_daemon_start (RigDaemon *daemon);
void rig_daemon_signal (RigDaemon *daemon, int number);
bool rig_daemon_wait_ready (RigDaemon *daemon, double seconds);
bool rig_daemon_running (RigDaemon *daemon); ///< false once the process ended

// Callers.
/// Sends a request on a connection of its own and reads the answer.
void rig_call (int port, const char *method, const char *path, const char *headers,
               const char *body, size_t body_size, int timeout_ms, RigAnswer *answer);
int rig_free_port (void);
