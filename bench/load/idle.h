/// Connections that send nothing, for the memory that a daemon needs for each.
#pragma once

#include "load_defs.h"

/// Opens the connections and waits for them. RETURN false if one could not be opened.
bool load_idle_open (Load *load);

/// Closes the connections when the loop runs next.
void load_idle_close (Load *load);
