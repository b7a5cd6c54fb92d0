/// Memory and descriptors of the daemons over a long run.
#pragma once

#include "soak_defs.h"

/// Adds a sample of each daemon to its sums.
void soak_age_sample (Soak *soak);

/// Prints what each daemon used early and late; growth is a broken promise.
void soak_age_check (Soak *soak);
