/// Simulated callers of the soak, which send requests and check each response.
#pragma once

#include "soak_defs.h"

/// Sends the next request to a random daemon, if a load balancer would still send requests to it.
void soak_caller_send (Soak *soak);

/// Sends the next request to a daemon.
void soak_caller_send_to (Soak *soak, SoakDaemon *daemon);

/// Requests the route /extra/, which configuration changes add and remove, from each daemon that
/// should have applied the newest configuration.
void soak_caller_probe_route (Soak *soak);
