/// Measurements of single parts, printed as Markdown.
#pragma once

#include <stdint.h>

/// Records, and malloc'd bytes of a board at two sizes of the fleet.
void parts_print_memory (uint64_t seed);

/// Bytes of each message against the number of its records.
void parts_print_messages (void);

/// Bytes of the platform's objects; time of a claim shard against its entries.
void parts_print_objects (void);

/// Processor time of steps against the open requests of a daemon.
void parts_print_open (uint64_t seed);

/// Calls and bytes of a daemon's start in a running fleet.
void parts_print_restart (uint64_t seed);

/// Changes and calls while a region is parted for an hour and when a failure domain fails.
void parts_print_faults (uint64_t seed);
