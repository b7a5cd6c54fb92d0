/// The daemon: one event loop, one board, and the components of the front end.
#pragma once

#include "tarragontrack/board/error_defs.h"
#include "tarragontrack/codec/settings.h"

typedef struct TtRouter TtRouter;

/// tt_router_new - creates the board and starts to listen
///
/// ARGUMENTS  settings: must outlive the router; path: of the settings file
/// RETURN     the router, or NULL with @error set
TtRouter *tt_router_new (const TtSettings *settings, const char *path, TtError *error);

/// Serves until the drain after SIGTERM or SIGINT is complete. SIGHUP, or a change of the settings
/// file, reloads the settings, the certificate and the keys for connections between daemons.
void tt_router_run (TtRouter *router);

/// Frees the router. @router may be NULL.
void tt_router_free (TtRouter *router);
