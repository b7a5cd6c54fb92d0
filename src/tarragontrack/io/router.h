/// The daemon: one loop, one board, and the parts of the front end around them.
#pragma once

#include "tarragontrack/board/error_defs.h"
#include "tarragontrack/codec/settings.h"

typedef struct TtRouter TtRouter;

/// tt_router_new - makes the board and listens
///
/// ARGUMENTS  settings: must outlive the router; path: of their file
/// RETURN     the router, or NULL with @error set
TtRouter *tt_router_new (const TtSettings *settings, const char *path, TtError *error);

/// Serves until the drain after SIGTERM or SIGINT is complete. SIGHUP, or a change
/// of the settings file, reads the settings, the certificate and the keys for other daemons again.
void tt_router_run (TtRouter *router);

/// Frees the router. @router may be NULL.
void tt_router_free (TtRouter *router);
