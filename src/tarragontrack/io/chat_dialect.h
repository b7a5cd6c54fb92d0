/// Dialect of the native interface: OpenAI-compatible chat completions, and plain services selected
/// by path prefix.
#pragma once

#include "tarragontrack/io/dialect_defs.h"

/// Returns the dialect, which is stateless.
TtDialect tt_chat_dialect (void);
