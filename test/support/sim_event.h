/// Events of the simulation, shared by its files.
#pragma once

#include "support/sim.h"

typedef enum
{
  SIM_TICK,
  SIM_MESSAGE,
  SIM_CALL,   ///< a call reaches the platform
  SIM_ANSWER, ///< its answer reaches the daemon
  SIM_WATCH   ///< a watch that waits; ends at its time
} SimEventType;

struct SimEvent
{
  int64_t time_us;
  uint64_t sequence;
  SimEventType type;
  uint32_t node;
  uint32_t from;
  uint64_t start; ///< run of the daemon that the event belongs to
  TtPeerMessage *message;
  TtPlatformAction call;
  TtObject *object;
  TtPlatformEvent answer;
  bool done;
};

/// Makes an event for a daemon.
SimEvent *sim_event (const Sim *sim, SimEventType type, uint32_t node);

/// Adds an event at a time.
void sim_push (Sim *sim, SimEvent *event, int64_t time_us);

/// A time between two delays from now.
int64_t sim_delay (Sim *sim, int64_t least_us, int64_t most_us);

/// Points a document's text and parsed form at the simulation's own copy.
void sim_set_document (const Sim *sim, const TtDigest *hash, const char **text, uint32_t *size,
                       const TtDocument **document);

/// Executes a call at the platform and sends its answer.
void sim_execute (Sim *sim, SimEvent *event);
