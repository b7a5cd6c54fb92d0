/// Calls to the platform's store over HTTP. A dialect gives them their form.
#pragma once

#include "tarragontrack/board/action_defs.h"
#include "tarragontrack/board/event_defs.h"
#include "tarragontrack/io/platform_dialect_defs.h"
#include <uv.h>

typedef struct TtPlatformClient TtPlatformClient;
typedef struct TtHttpClient TtHttpClient;

enum
{
  TT_PLATFORM_MAX_CALLS = 128,         ///< open calls; more are answered TT_E_UNAVAILABLE
  TT_PLATFORM_CONNECT_TIMEOUT_MS = 500 ///< the platform answers in milliseconds
};

typedef struct
{
  const char *url; ///< http://IP:PORT without a path; copied
  TtPlatformDialect dialect;
  void *context;
  /// Gives the answer as an event of the type TT_EVENT_PLATFORM_RESPONSE, valid during the call.
  void (*on_event) (void *context, const TtEvent *event);
} TtPlatformClientOptions;

/// tt_platform_client_new - makes a client
///
/// ARGUMENTS  http: must outlive the platform client
/// RETURN     the client, or NULL if memory could not be allocated
TtPlatformClient *tt_platform_client_new (uv_loop_t *loop, TtHttpClient *http,
                                          const TtPlatformClientOptions *options);

/// Cancels all calls without events and frees the client once the loop has closed its handles.
void tt_platform_client_free (TtPlatformClient *client);

/// tt_platform_client_call - starts a call; its event comes after this function returned
///
/// ARGUMENTS  action: copied; its object is written before this function returns
/// NOTES      the event's code is TT_E_UNAVAILABLE when nothing was sent or the platform refused
///            the call, TT_E_TIMEOUT when the answer was lost and a PUT may have taken effect.
///            event->error tells more. No event is given when memory for the call is exhausted.
void tt_platform_client_call (TtPlatformClient *client, const TtPlatformAction *action);
