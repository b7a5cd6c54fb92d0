/// Faults of the store's history: returns from older copies, and answers that are lost for good.
#pragma once

#include "soak_defs.h"

/// Takes a copy of the store now and then. Called at every tick.
void soak_history_tick (Soak *soak);

/// Injects, with some of the other faults, a return of the store from a copy or a loss of all its
/// answers; either may be followed by the next one. Draws from a generator of its own.
void soak_history_inject (Soak *soak);
