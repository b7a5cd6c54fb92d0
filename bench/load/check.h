/// Whether an answer is whole and belongs to its request. The stand-ins' answers follow from the
/// request: an engine's words from the hash of the body, a service's answer from the key.
#pragma once

#include "load_defs.h"

/// Text that the answer of a chat must hold. @text is replaced.
void load_check_expected (const LoadRequest *request, GString *text);

/// Outcome of an ended call.
LoadOutcome load_check_outcome (const LoadRequest *request, const TtError *error);
