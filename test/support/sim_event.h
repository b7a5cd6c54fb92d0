/// Events of the simulation, shared by its files and by its embedder.
#pragma once

#include "support/sim.h"

typedef enum
{
  SIM_BOARD, ///< an event for a daemon
  SIM_CALL,  ///< a call reaches the platform
  SIM_WATCH, ///< a watch that waits; ends at its time
  SIM_OWN    ///< of the embedder
} SimEventType;

struct SimEvent
{
  TtLink link; ///< on Sim.watches
  int64_t time_us;
  uint64_t sequence; ///< order of events for the same time
  SimEventType type;
  uint32_t node;
  uint64_t start;   ///< run of the daemon that the event belongs to; 0 = any
  int64_t since_us; ///< WATCH: when it reached the platform
  TtEvent event;
  TtPlatformAction call;
  TtPeerMessage *message; ///< owned
  TtObject *object;       ///< owned
  // For the embedder.
  bool arrived; ///< the attempt is at the backend server
  uint32_t backend;
  uint32_t step;
  TtAttemptAction attempt;
};

/// Makes an event for the present run of a daemon.
SimEvent *sim_event (const Sim *sim, SimEventType type, uint32_t node);

void sim_free_event (SimEvent *event);

/// Adds an event at a time.
void sim_push (Sim *sim, SimEvent *event, int64_t time_us);

/// Removes the earliest event.
SimEvent *sim_pop (Sim *sim);

/// A time from now that is drawn from the range.
int64_t sim_delay (Sim *sim, SimRange range);

/// Sends a board's call to the platform.
void sim_call_platform (Sim *sim, uint32_t node, const TtPlatformAction *call);

/// Executes a call at the platform and sends its answer.
///
/// RETURN     false if it is a watch that waits and must not be freed
bool sim_execute (Sim *sim, SimEvent *event);
