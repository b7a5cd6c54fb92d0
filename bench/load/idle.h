/// Idle connections, to measure how much memory a daemon needs for each.
#pragma once

#include "load_defs.h"

/// Opens the connections and waits until each is established or has failed. RETURN false if one
/// failed.
bool load_idle_open (Load *load);

/// Closes the connections; the handles are released in the next iteration of the event loop.
void load_idle_close (Load *load);
