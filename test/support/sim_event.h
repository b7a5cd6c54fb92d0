/// Event queue of the simulation, for its source files and its embedder.
#pragma once

#include "support/sim.h"

typedef enum
{
  SIM_BOARD_EVENT,    ///< an event for a daemon's board
  SIM_PLATFORM_CALL,  ///< a call arrives at the platform
  SIM_PLATFORM_WATCH, ///< a pending watch; it expires at SimEvent.time_us
  SIM_EMBEDDER_EVENT  ///< an event of the embedder
} SimEventType;

struct SimEvent
{
  TtLink link; ///< on Sim.watches
  int64_t time_us;
  uint64_t sequence; ///< order of events with the same time; 0 = not queued yet
  SimEventType type;
  uint32_t node;
  /// SimNode.start_count of the process that the event is for; 0 = any process.
  uint64_t process_start_count;
  int64_t platform_arrival_us; ///< time at which a call first arrived at the platform; 0 = not yet
  TtEvent event;
  TtPlatformAction platform_call;
  TtPeerMessage *message; ///< owned
  TtObject *object;       ///< owned
  // For the embedder.
  bool at_backend;      ///< the attempt has arrived at the backend server
  uint32_t backend;     ///< index into Fleet.backends
  uint32_t sent_tokens; ///< tokens that were sent, including those of earlier attempts
  TtAttemptAction attempt;
};

/// Creates an event for the current process of a daemon.
SimEvent *sim_event_new (const Sim *sim, SimEventType type, uint32_t node);

void sim_event_free (SimEvent *event);

/// Queues an event. An event that already has a sequence number keeps it.
void sim_push_event (Sim *sim, SimEvent *event, int64_t time_us);

/// Removes the earliest event from the queue, which must not be empty.
SimEvent *sim_pop_event (Sim *sim);

/// The current time plus a random duration from the range.
int64_t sim_random_time (Sim *sim, SimDelayRange range);

/// Sends a board's call to the platform.
void sim_send_platform_call (Sim *sim, uint32_t node, const TtPlatformAction *call);

/// Executes a call at the platform and sends its response.
///
/// RETURN     false if the event is a watch that stays pending and must not be freed
bool sim_execute_platform_call (Sim *sim, SimEvent *event);
