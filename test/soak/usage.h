/// Checks the daemons for growing memory and file descriptor use over a long run.
#pragma once

#include "soak_defs.h"

/// Samples the resource usage of each daemon during the second and the last fifth of the run.
void soak_usage_sample (Soak *soak);

/// Prints the mean early and late usage of each daemon. Growth is a violation. Does nothing after a
/// short run.
void soak_usage_check (Soak *soak);
