/// Sends requests and receives their responses.
#pragma once

#include "load_defs.h"

/// Sends a request to the next ready target. Takes ownership of @request and frees it once its
/// outcome is recorded.
void load_call_start (LoadRequest *request);

/// Starts to fetch the execution counts of all service stand-ins. Load.open_service_calls is 0 when
/// all of these calls have ended.
void load_call_fetch_executions (Load *load);
