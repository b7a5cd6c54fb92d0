/// Checks that a response is complete and belongs to its request. The stand-ins derive their
/// responses from the request: an engine derives the words from the hash of the body, and a service
/// returns the idempotency key.
#pragma once

#include "load_defs.h"

/// Replaces @text by the content that the response to a chat request must have.
void load_check_write_expected (const LoadRequest *request, GString *text);

/// Classifies the outcome of an ended call.
LoadOutcome load_check_outcome (const LoadRequest *request, const TtError *error);
