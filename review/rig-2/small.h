/// A small deployment with the bounds of raagmala-sync-grown: 4 daemons in 3 zones, one plain
/// service of 3 backend servers, two keys of one tenant.
#pragma once

#include "rig.h"

#define HOST "desk.example"
#define KEY_KEPT "keyaaaaaaaaaaaaaaaaa"
#define KEY_TAKEN "keybbbbbbbbbbbbbbbbb"
#define CONFIG_MS 3000
#define DRAIN_MS 3000
#define STABLE_MS 4000

/// Writes the manifest. Both keys are in it, or only the first one. ROUTES: number of idle routes
/// beside /grant/. RETURN its revision in the store; 0 if the store is away.
uint64_t put_manifest (int version, int routes, int both_keys);

/// Starts store, backend servers licence-1 to licence-3 and the daemons, and waits until they are
/// ready.
void start_deployment (void);

/// The same with three daemons in each of the three zones.
void start_larger_deployment (void);
