/// Checks the daemons for growing memory and file descriptor use over a long run.
#pragma once

#include "soak_defs.h"

/// Samples the resource usage of each daemon during the second and the last fifth of the run.
void soak_usage_sample (Soak *soak);

/// Prints the mean early and late usage of each daemon. Growth is a violation. Does nothing after a
/// short run.
void soak_usage_check (Soak *soak);

/// Highest resident memory that a process has had so far, in KB; 0 if it is gone.
uint64_t soak_usage_peak_kb (int pid);

/// Number of descriptors that a process has open; 0 if it is gone.
uint64_t soak_usage_descriptors (int pid);
