/// A whole fleet under load in one process, from the simulation of the tests.
#pragma once

#include "support/sim.h"

enum
{
  FLEET_MODELS = 17,
  FLEET_ACCOUNTS = 1105, ///< 65 in each of the 17 documents
  FLEET_STEP_TYPES = TT_EVENT_DRAIN + 1
};

typedef struct
{
  uint64_t seed;
  uint32_t domains;
  uint32_t daemons;
  uint32_t engines;
  double rate;        ///< requests a second of one daemon
  double duration_s;  ///< of a request at its engine
  uint32_t warm_s;    ///< before the measured time
  uint32_t measure_s; ///< simulated seconds
  uint32_t records;   ///< requests, attempts and accounts of each board
  double change_s;    ///< period of changes; 0 = none
} FleetSize;

/// Rates of one daemon, a second.
typedef struct
{
  double sent_bytes;
  double received_bytes;
  double sent;
  double reads;
  double writes;
  double watches;
} FleetRates;

typedef struct
{
  FleetRates mean;    ///< of all daemons
  FleetRates member;  ///< of those that are no gateways
  FleetRates gateway; ///< the first two of each failure domain, without the first
  FleetRates first;   ///< reporter of a failure domain
  FleetRates busiest; ///< most bytes, sent and received
  double message_bytes[TT_PEER_LEAVE + 1];
  double messages[TT_PEER_LEAVE + 1]; ///< of one daemon, a second
  double step_us[FLEET_STEP_TYPES];   ///< processor time of a step
  double steps[FLEET_STEP_TYPES];     ///< of one daemon, a second
  double worst_us;                    ///< longest step
  double open_requests;               ///< of one daemon at the end
  double done;                        ///< requests completed a second
  double not_run;                     ///< part of the requests
  double suspicions;    ///< of other daemons, by one daemon, a second; all of them are alive
  uint64_t pool_full;   ///< records refused because of a bound
  double account_error; ///< mean error of fleet_in_flight, part of the truth
  double keepers_most;  ///< engines of the keeper with the most
  double in_force_s;    ///< slowest change, until in force on all daemons
  uint32_t changes;
} FleetResult;

/// fleet_measure - runs a fleet and measures its control
///
/// NOTES      counts and bytes follow from the seed; processor times do not
void fleet_measure (const FleetSize *size, FleetResult *result);

/// Makes the hosts and documents of a fleet, without its daemons.
Sim *fleet_prepare (const FleetSize *size);

/// Adds the daemons of all failure domains but leaves those above @count as host list entries.
void fleet_add_daemons (Sim *sim, const FleetSize *size, uint32_t count);

/// Bytes of a message as the encoder writes it.
size_t fleet_message_bytes (const TtPeerMessage *message);
