/// Idle connections to a daemon, to measure its memory per connection.
#pragma once

#include "load_defs.h"

/// Opens the connections and waits until each is established or has failed.
///
/// RETURN     false if one failed or the URL of the first target has no IP address and port
bool load_idle_open (Load *load);

/// Closes the connections; the handles are released in the next iteration of the event loop.
void load_idle_close (Load *load);
