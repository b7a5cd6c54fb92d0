/// Measurements of single components, printed as Markdown.
#pragma once

#include <stdint.h>

/// Sizes of a board's pools, and heap bytes of a daemon at two fleet sizes.
void parts_print_memory (uint64_t seed);

/// Size of each peer message type as a function of the number of its records.
void parts_print_messages (void);

/// Sizes of the platform objects; encoding and decoding time of a claim shard as a function of its
/// entries.
void parts_print_objects (void);

/// Processor time of steps as a function of the open requests of a daemon.
void parts_print_step_times (uint64_t seed);

/// Platform calls, messages and bytes of a daemon that restarts in a running fleet.
void parts_print_restart (uint64_t seed);

/// Configuration changes, messages and platform calls while a region is partitioned for an hour,
/// and configuration changes after all daemons of a failure domain have stopped.
void parts_print_faults (uint64_t seed);
