/// Round-robin load balancer over the targets. Like the load balancer of a platform, it skips
/// daemons that are not ready.
#pragma once

#include "load_defs.h"

/// Parses "URL" or "URL,OPERATORS-URL" and adds the target. RETURN false if a URL is too long or
/// there are too many targets.
bool load_balancer_add (Load *load, const char *text);

/// Sends GET /readyz to each target that has an operators' URL.
void load_balancer_probe (Load *load);

/// True while no readiness probe is in flight.
bool load_balancer_probes_finished (const Load *load);

/// Picks the next ready target in round-robin order; @avoid only if no other target is ready.
///
/// RETURN     index of the target; LOAD_NO_TARGET if none is ready
int load_balancer_pick (Load *load, int avoid);
