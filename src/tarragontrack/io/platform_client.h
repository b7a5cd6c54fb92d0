/// HTTP client for the platform's store. A dialect encodes requests and decodes responses.
#pragma once

#include "tarragontrack/board/action_defs.h"
#include "tarragontrack/board/event_defs.h"
#include "tarragontrack/io/platform_dialect_defs.h"
#include <uv.h>

typedef struct TtPlatformClient TtPlatformClient;
typedef struct TtHttpClient TtHttpClient;

enum
{
  TT_PLATFORM_MAX_CALLS = 128, ///< concurrent calls; further ones fail with TT_E_UNAVAILABLE
  TT_PLATFORM_CONNECT_TIMEOUT_MS = 500 ///< the platform responds within milliseconds
};

typedef struct
{
  const char *url;           ///< http://IP:PORT without a path; copied
  size_t max_response_bytes; ///< a longer response fails
  TtPlatformDialect dialect;
  void *context;
  /// Receives the result of a call as an event of type TT_EVENT_PLATFORM_RESPONSE, valid during the
  /// callback.
  void (*on_event) (void *context, const TtEvent *event);
} TtPlatformClientOptions;

/// tt_platform_client_new - creates a client
///
/// ARGUMENTS  http: must outlive the platform client
/// RETURN     the client, or NULL if memory could not be allocated
TtPlatformClient *tt_platform_client_new (uv_loop_t *loop, TtHttpClient *http,
                                          const TtPlatformClientOptions *options);

/// Cancels all calls without events and frees the client once the loop has closed its handles.
void tt_platform_client_free (TtPlatformClient *client);

/// tt_platform_client_call - starts a call; its event is delivered after this function has returned
///
/// ARGUMENTS  action: copied; its object is encoded before this function returns
/// NOTES      the event's code is TT_E_UNAVAILABLE if nothing was sent or the platform rejected the
///            call, TT_E_TIMEOUT if the response was lost; then a write may have taken effect.
///            event->error has the details. No event is delivered if memory for the call could
///            not be allocated.
void tt_platform_client_call (TtPlatformClient *client, const TtPlatformAction *action);
