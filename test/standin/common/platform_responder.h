/// Responses of the platform stand-in: sent immediately, after a delay, when an object changes, or
/// never.
#pragma once

#include "platform_store.h"
#include "tarragontrack/board/rng.h"
#include <h2o.h>

typedef struct
{
  uv_loop_t *loop;
  TtList held; ///< HeldResponse.link
  TtRng rng;
  long delay_ms;         ///< responses are delayed by half to one and a half times this
  uint32_t lose_watches; ///< number of upcoming responses to watches that are lost
} PlatformResponder;

void platform_responder_init (PlatformResponder *responder, uv_loop_t *loop, uint64_t seed);

/// Sends a response immediately.
void platform_responder_send_now (h2o_req_t *request, unsigned status, uint64_t version,
                                  const char *body, size_t size);

/// Sends a response, delayed if PlatformResponder.delay_ms is set.
void platform_responder_send (PlatformResponder *responder, h2o_req_t *request, unsigned status,
                              uint64_t version, const char *body, size_t size);

/// Closes the connection without a response.
void platform_responder_close_connection (h2o_req_t *request);

/// Sends no response; closes the connection after a minute.
void platform_responder_hold_silent (PlatformResponder *responder, h2o_req_t *request);

/// Responds as soon as the version of the object differs from @version, or with 304 after @wait_ms.
void platform_responder_hold_watch (PlatformResponder *responder, h2o_req_t *request,
                                    const char *key, uint64_t version, uint64_t wait_ms);

/// Responds to the watches whose object changed.
void platform_responder_notify_watches (PlatformResponder *responder, PlatformStore *store);

/// Closes the connections of all held responses.
void platform_responder_close_held (PlatformResponder *responder);

/// Sends the held responses that are due.
void platform_responder_send_due (PlatformResponder *responder);
