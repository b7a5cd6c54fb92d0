/// HTTP dialect of the users' callers and backend servers, for io/.
#pragma once

#include "tarragontrack/io/dialect_defs.h"

/// Returns the dialect, which is stateless.
TtDialect tt_platform_dialect (void);
