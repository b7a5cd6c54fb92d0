/// HTTP dialect of the users' callers and backend servers, as used by io/.
#pragma once

#include "tarragontrack/io/dialect_defs.h"

/// Returns the dialect, which is stateless.
TtDialect tt_platform_dialect (void);
