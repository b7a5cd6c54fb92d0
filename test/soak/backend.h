/// Simulated backend servers of the soak, which check each request that they receive.
#pragma once

#include "soak_defs.h"

/// Starts a backend server and registers it. RETURN false on failure.
bool soak_backend_start (SoakBackend *backend);

/// Writes the backend server's entry in the store.
void soak_backend_register (SoakBackend *backend);

/// Simulates a crash: stops the server and resets all its connections. @remove_entry also removes
/// its entry from the store, as when the entry expires.
void soak_backend_crash (SoakBackend *backend, bool remove_entry);

/// Removes the entries of the backend server's earlier starts.
void soak_backend_expire_entries (const SoakBackend *backend);

/// Sets the state of the backend server's entry in the store to draining.
void soak_backend_drain (SoakBackend *backend);

/// Sends the responses and stream events that are due.
void soak_backend_tick (Soak *soak);
