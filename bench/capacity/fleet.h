/// Runs a whole fleet under load in one process, with the simulation of test/support.
#pragma once

#include "support/sim.h"

enum
{
  FLEET_MODELS = 17,
  FLEET_ACCOUNTS = 1105, ///< 65 in each of the 17 settings documents
  FLEET_STEP_TYPES = TT_EVENT_DRAIN + 1
};

typedef struct
{
  uint64_t seed;
  uint32_t domains;
  uint32_t daemons;
  uint32_t engines;
  double requests_per_s;     ///< requests per second at each daemon
  double request_duration_s; ///< time that a request runs on its engine
  uint32_t warmup_s;         ///< warm-up before the measured time, simulated seconds
  uint32_t measure_s;        ///< measured time, simulated seconds
  uint32_t max_records;      ///< capacity of the request, attempt and account pools of each board
  double change_period_s;    ///< period of configuration changes; 0 = none
} FleetSize;

/// Control traffic of one daemon, per second.
typedef struct
{
  double sent_bytes;
  double received_bytes;
  double sent_messages; ///< messages
  double reads;         ///< of the platform, watches included
  double writes;
  double watches;
} FleetRates;

typedef struct
{
  FleetRates mean;           ///< mean of all daemons
  FleetRates member;         ///< mean of the daemons that are not gateways
  FleetRates second_gateway; ///< mean of the second gateways, one in each failure domain
  FleetRates
      first_gateway;  ///< mean of the first gateways, which are also reporters of their domains
  FleetRates busiest; ///< daemon with the most bytes, sent and received
  double message_bytes[TT_PEER_LEAVE + 1]; ///< mean size, by type
  double messages[TT_PEER_LEAVE + 1];      ///< sent by one daemon per second, by type
  double step_us[FLEET_STEP_TYPES];        ///< mean processor time of a step, by event type
  double steps[FLEET_STEP_TYPES];          ///< steps of one daemon per second, by event type
  double max_step_us;                      ///< processor time of the longest step
  double open_requests;                    ///< running requests of one daemon at the end, mean
  double completed_per_s;                  ///< requests of the fleet that complete, per second
  double not_completed;                    ///< fraction of the requests that did not complete
  double false_suspicions;  ///< false suspicions by one daemon per second: all daemons are alive
  uint64_t pool_full;       ///< allocations refused because a pool was full
  double account_error;     ///< mean relative error of TtClientAccount.fleet_in_flight
  double max_owned_engines; ///< most engines that one slot owner has
  double max_in_force_s;    ///< time of the slowest change until it is in force on all daemons
  uint32_t changes;         ///< configuration changes in the measured time
} FleetResult;

/// fleet_measure - runs a fleet and measures the cost of its control plane
///
/// NOTES      counts and bytes are deterministic for a seed; processor times are not
void fleet_measure (const FleetSize *size, FleetResult *result);

/// Creates a simulation with the engine hosts and settings documents of a fleet, without its
/// daemons.
Sim *fleet_prepare (const FleetSize *size);

/// Adds the daemons of all failure domains and stops all but the first @count, which leaves them in
/// the host list only.
void fleet_add_daemons (Sim *sim, const FleetSize *size, uint32_t count);

/// Encoded size of a peer message in bytes.
size_t fleet_message_bytes (const TtPeerMessage *message);
