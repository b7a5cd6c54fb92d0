/// Balancer in front of the targets, as a platform has one: skips daemons that are not ready.
#pragma once

#include "load_defs.h"

/// Reads "URL" or "URL,OPERATORS-URL". RETURN false if it does not fit.
bool load_balancer_add (Load *load, const char *text);

/// Asks each target with an operators' port for /readyz.
void load_balancer_probe (Load *load);

/// True once each target was probed.
bool load_balancer_known (const Load *load);

/// Next target in turn that is ready, other than @avoid if there is another one;
/// LOAD_NO_TARGET if none is ready.
int load_balancer_pick (Load *load, int avoid);
