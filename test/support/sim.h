/// Many boards in one process with simulated time: messages with delay and loss, a small platform
/// in memory, and faults. For tests of membership, configuration and leases.
#pragma once

#include "tarragontrack/board/board.h"

enum
{
  SIM_NODES = 400,
  SIM_OBJECTS = 1024,
  SIM_HOSTS = 1280,
  SIM_DOMAINS = 16
};

typedef struct
{
  TtBoard *board; ///< NULL = the daemon does not run
  char name[TT_NAME_MAX];
  uint32_t domain;
  int64_t paused_until_us;
  uint64_t starts;
  uint64_t sent;
  uint64_t sent_bytes;
  uint64_t received_bytes;
  uint64_t reads;
  uint64_t writes;
  uint64_t watches;
} SimNode;

typedef struct
{
  char key[TT_KEY_MAX];
  uint64_t version; ///< 0 = absent
  TtObject object;
  uint64_t old_version; ///< content before the last write, for stale reads
  TtObject old_object;
} SimObject;

typedef struct SimEvent SimEvent;

typedef struct
{
  int64_t now_us;
  TtRng rng;
  SimNode nodes[SIM_NODES];
  uint32_t node_count;
  SimObject *objects;
  uint32_t object_count;
  TtHostEntry *hosts;
  uint32_t host_count;
  uint64_t hosts_version;
  char domains[SIM_DOMAINS][TT_NAME_MAX];
  uint32_t domain_count;
  TtDocument *documents[SIM_OBJECTS]; ///< by number; the digest's first bytes are the number
  uint32_t document_count;
  char text[2000]; ///< stands for the text of each document
  SimEvent **heap;
  uint32_t heap_count;
  uint32_t heap_size;
  uint64_t sequence;
  // Faults.
  double loss;            ///< part of the messages that are lost
  double repeat;          ///< part of the messages that arrive twice, the second time late
  double lost_answers;    ///< part of the writes whose answer is lost
  bool stale_reads;       ///< reads answer with the content before the last write
  bool platform_down;     ///< for all daemons
  bool cut[SIM_DOMAINS];  ///< the failure domain reaches neither the others nor the platform
  uint64_t dispatched;    ///< orders sent
  uint64_t order_fencing; ///< number of the last order
  int64_t order_us;       ///< time of the last order
  char order_role[TT_NAME_MAX];
  uint32_t max_requests; ///< of each board, also of its accounts and attempts; 0 = 16
  /// Told of each action before it is carried out; may be NULL.
  void (*acted) (void *context, SimNode *node, const TtAction *action);
  void *context;
} Sim;

Sim *sim_new (uint64_t seed);
void sim_free (Sim *sim);

/// Adds a daemon on a new entry host and starts it.
SimNode *sim_add (Sim *sim, const char *name, const char *domain);

/// Adds backend servers to the host list.
void sim_add_engines (Sim *sim, uint32_t count, const char *service, const char *domain);

/// Starts a daemon that does not run; it remembers nothing.
void sim_start (Sim *sim, SimNode *node);

/// Ends a daemon without notice.
void sim_stop (SimNode *node);

/// Tells a daemon of an event and carries out what its board asks for.
void sim_step (Sim *sim, SimNode *node, const TtEvent *event);

/// Runs all daemons until the given time.
void sim_run (Sim *sim, int64_t until_us);

/// An operator's apply: writes the document, then raises the head conditionally.
///
/// ARGUMENTS  valid: false for a document that routers refuse
/// RETURN     the epoch of the change
uint64_t sim_apply (Sim *sim, const char *team, TtDetachedMode detached, bool valid);

/// The object of a key, or NULL if it is absent.
SimObject *sim_object (Sim *sim, const char *key);

/// Copies all objects, to restore them later.
SimObject *sim_backup (const Sim *sim, uint32_t *count);

/// Puts the objects back as they were copied, with their old versions.
void sim_restore (Sim *sim, const SimObject *backup, uint32_t count);

/// True if all running daemons of failure domains that are not cut off have the epoch in force.
bool sim_in_force (const Sim *sim, uint64_t epoch);
