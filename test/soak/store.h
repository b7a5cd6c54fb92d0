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

/// Copies the content; free it with soak_store_free_copy(), which allows NULL.
SoakStoreCopy *soak_store_copy (const SoakStore *store);
void soak_store_free_copy (SoakStoreCopy *copy);

/// Replaces the content by that of a copy, in a new era. What was written since is gone, and its
/// revisions are given out again. Open watches are forgotten; the caller resets their connections.
void soak_store_return_from_copy (SoakStore *store, const SoakStoreCopy *copy);

/// Responds to watches that have changes or whose wait time has expired. Called at every tick.
void soak_store_tick (SoakStore *store);
