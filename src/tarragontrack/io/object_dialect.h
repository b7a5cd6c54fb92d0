/// HTTP dialect of the project's own object API.
///
/// GET /objects/KEY returns the stored text with its version in ETag; 404 if absent. PUT has an
/// If-Match header (0 = create); 412 on a conflict. A watch is GET with ?watch=VERSION&wait_ms=N;
/// 304 if unchanged. GET /hosts?domain=KEY accepts If-None-Match; without a key it lists the whole
/// fleet.
#pragma once

#include "tarragontrack/io/platform_dialect_defs.h"

/// Returns the dialect, which is stateless.
TtPlatformDialect tt_object_dialect (void);
