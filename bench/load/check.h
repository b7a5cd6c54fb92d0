/// Checks that a response is complete and belongs to its request. The stand-ins derive their
/// responses from the request: an engine its words from the hash of the body, a service its
/// response from the idempotency key.
#pragma once

#include "load_defs.h"

/// Writes the content that the response to a chat's request must have to @text, which is
/// overwritten.
void load_check_write_expected (const LoadRequest *request, GString *text);

/// Classifies the outcome of an ended call.
LoadOutcome load_check_outcome (const LoadRequest *request, const TtError *error);
