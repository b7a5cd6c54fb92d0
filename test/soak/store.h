/// Simulated store of the soak: objects by kind and name, with lists and long-poll watches.
#pragma once

#include "soak_defs.h"

/// Starts the store. RETURN false on failure.
bool soak_store_start (Soak *soak);

/// Writes an object, as an operator or a backend server does. Takes ownership of @spec.
void soak_store_put (SoakStore *store, const char *kind, const char *name, json_object *spec);

/// Removes an object.
void soak_store_remove (SoakStore *store, const char *kind, const char *name);

/// Compacts the change history. Open watches, and later ones from an older revision, get a 410.
void soak_store_compact (SoakStore *store);

/// Responds to watches that have changes or whose wait time has expired. Called at every tick.
void soak_store_tick (SoakStore *store);
