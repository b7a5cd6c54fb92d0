/// Dialect of the users' platform: HTTP headers of callers' requests, attempts and responses.
#pragma once

#include "tarragontrack/io/dialect_defs.h"

/// Returns the dialect, which is stateless.
TtDialect tt_platform_dialect (void);
