/// Derives the options of the daemon's components from its settings. Strings are not copied, except
/// those of TtBoardConfig.
#pragma once

#include "tarragontrack/board/board_defs.h"
#include "tarragontrack/codec/settings.h"
#include "tarragontrack/io/backend_client.h"
#include "tarragontrack/io/caller_server.h"
#include "tarragontrack/io/platform_client.h"

/// Sets all fields except seed and incarnation.
void tt_router_board_config (const TtSettings *settings, TtBoardConfig *config);

/// Sets all fields except the dialect and the callbacks.
void tt_router_caller_options (const TtSettings *settings, TtCallerServerOptions *options);

/// Sets all fields except the callback.
void tt_router_operator_options (const TtSettings *settings, TtHttpServerOptions *options);

/// Sets timeouts and limits, and clears the other fields.
void tt_router_backend_options (const TtSettings *settings, TtBackendClientOptions *options);

/// Sets the platform's URL.
void tt_router_platform_options (const TtSettings *settings, TtPlatformClientOptions *options);
