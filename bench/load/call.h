/// Sends requests and takes their answers.
#pragma once

#include "load_defs.h"

/// Sends a request to the next ready target; the request is freed when it has its outcome.
void load_call_start (LoadRequest *request);

/// Reads the executions of all service stand-ins; Load.service_calls is 0 when all have ended.
void load_call_read_services (Load *load);
