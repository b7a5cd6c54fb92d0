/// Simulated backend servers of the soak, which check each request that they receive.
#pragma once

#include "soak_defs.h"

/// Starts a backend server and registers it. RETURN false on failure.
bool soak_backend_start (SoakBackend *backend);

/// Simulates a crash: resets all connections. Removes the backend server's entry from the store if
/// @remove_entry is set, as when the entry expires; otherwise the entry stays.
void soak_backend_crash (SoakBackend *backend, bool remove_entry);

/// Sets the state of the backend server's entry in the store to draining.
void soak_backend_drain (SoakBackend *backend);

/// Sends the responses and stream events that are due.
void soak_backend_tick (Soak *soak);
