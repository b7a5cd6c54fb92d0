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
  double request_duration_s; ///< time that an engine takes for a request
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
  double sent_messages;
  double reads; ///< platform reads, watches included
  double writes;
  double watches;
} FleetRates;

/// Results of a run. Rates by role are means of the daemons with this role.
typedef struct
{
  FleetRates mean;           ///< all daemons
  FleetRates member;         ///< daemons that are not gateways
  FleetRates second_gateway; ///< second gateway of each failure domain
  FleetRates first_gateway;  ///< first gateway of each failure domain, which is its reporter
  FleetRates busiest;        ///< daemon with the most bytes, sent and received
  double message_bytes[TT_PEER_LEAVE + 1]; ///< mean size, by message type
  double messages[TT_PEER_LEAVE + 1];      ///< sent by one daemon per second, by message type
  double step_us[FLEET_STEP_TYPES];        ///< mean processor time of a step, by event type
  double steps[FLEET_STEP_TYPES];          ///< steps of one daemon per second, by event type
  double max_step_us;                      ///< processor time of the longest step
  double open_requests;    ///< requests that run at the end of the measured time, mean per daemon
  double completed_per_s;  ///< completed requests of the fleet per second
  double not_completed;    ///< fraction of the requests that did not complete
  double false_suspicions; ///< suspicions by one daemon per second; false, as all daemons are alive
  uint64_t pool_full;      ///< allocations refused because a pool was full
  double account_error;    ///< mean relative error of TtClientAccount.fleet_in_flight
  double max_owned_engines; ///< highest number of engines of one slot owner
  double max_in_force_s;    ///< longest time until a change is in force on all daemons; infinite if
                            ///< this takes longer than FleetSize.change_period_s
  uint32_t changes;         ///< configuration changes in the measured time
} FleetResult;

/// fleet_measure - runs a fleet and measures the cost of its control plane
///
/// NOTES      counts and bytes are deterministic for a seed; processor times are not
void fleet_measure (const FleetSize *size, FleetResult *result);

/// Creates a simulation with the engines and settings documents of a fleet, but without daemons.
Sim *fleet_prepare (const FleetSize *size);

/// Adds all daemons of the fleet and stops all but the first @count. The stopped ones stay in the
/// host list.
void fleet_add_daemons (Sim *sim, const FleetSize *size, uint32_t count);

/// Encoded size of a peer message in bytes.
size_t fleet_message_bytes (const TtPeerMessage *message);
