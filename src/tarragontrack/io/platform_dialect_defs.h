/// Callbacks that encode requests to the platform's store and decode its responses.
#pragma once

#include "tarragontrack/board/action_defs.h"
#include "tarragontrack/board/event_defs.h"
#include <stddef.h>

typedef struct
{
  const char *method;
  char *path;                ///< with the query; freed by the client with free()
  char condition_header[64]; ///< conditional header line (If-Match, If-None-Match); empty = none
  char *body;                ///< freed by the client with free(); NULL = none
  size_t body_size;
  uint32_t timeout_ms; ///< without a response for longer, the connection is considered lost
} TtPlatformRequest;

typedef struct
{
  TtPlatformOp op;
  const char *key;
  TtStoreKind kind;
  unsigned status;
  uint64_t version; ///< from the ETag header; 0 = none
  uint64_t era;     ///< from TtPlatformDialect.era_header; 0 = absent
  const char *data; ///< NUL-terminated
  size_t size;
} TtPlatformResponse;

typedef struct
{
  void *context;
  /// Response header with the number of the store's history (TtStorePoint.era).
  const char *era_header;
  /// Encodes an action as an HTTP request. RETURN 0 or a negative error number.
  int (*encode_request) (void *context, const TtPlatformAction *action, TtPlatformRequest *request,
                         TtError *error);
  /// Decodes a complete response into the event, including TtPlatformEvent.code. RETURN the code.
  int (*decode_response) (void *context, const TtPlatformResponse *response, TtPlatformEvent *event,
                          TtError *error);
  /// Frees memory that TtPlatformDialect.decode_response allocated.
  void (*free_response) (void *context, TtPlatformEvent *event);
} TtPlatformDialect;
