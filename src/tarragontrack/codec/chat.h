/// Requests of callers: OpenAI-compatible chat completions and calls of plain services.
#pragma once

#include "tarragontrack/board/config_defs.h"
#include "tarragontrack/board/error_defs.h"
#include "tarragontrack/board/request_defs.h"
#include <stddef.h>

enum
{
  TT_CHAT_PREFIX_MIN = 1024,   ///< bytes of a system prompt from which chats are ranked by it
  TT_CHAT_BYTES_PER_TOKEN = 4, ///< for the estimate of prompt tokens
  TT_ERROR_JSON_MAX = 2048     ///< bytes of an error answer with the final NUL
};

/// Request headers that a spec is made from. An absent header is NULL.
typedef struct
{
  const char *account;         ///< X-Client-Account
  const char *authorization;   ///< Authorization
  const char *chat_id;         ///< X-Chat-Id
  const char *chat_route;      ///< X-Chat-Route, as tt_chat_format_route() wrote it
  const char *work_kind;       ///< X-Work-Kind
  const char *idempotency_key; ///< Idempotency-Key
} TtCallerHeaders;

/// tt_chat_read - reads the body of POST /v1/chat/completions
///
/// ARGUMENTS  spec: filled in but for request_id
/// RETURN     0, TT_E_MALFORMED (no JSON) or TT_E_INVALID (a value is wrong)
int tt_chat_read (const char *body, size_t size, const TtCallerHeaders *headers,
                  TtRequestSpec *spec, TtError *error);

/// tt_chat_read_plain - finds the plain service with the longest path prefix in the documents in
/// force
///
/// ARGUMENTS  path: with its query; spec: filled in but for request_id
/// RETURN     0, TT_E_NOT_FOUND (no service has the path) or TT_E_INVALID
int tt_chat_read_plain (const TtConfigSection *documents, const char *method, const char *path,
                        const char *body, size_t size, const TtCallerHeaders *headers,
                        TtRequestSpec *spec, TtError *error);

/// Key of a claim: an Idempotency-Key within its client account. @account may be NULL.
TtId128 tt_chat_idempotency_key (const char *account, const char *key);

/// Name of an outcome as in the X-Outcome header.
const char *tt_chat_outcome_name (TtOutcome outcome);

/// Writes an OpenAI-style error object. RETURN its length, cut to @size - 1.
size_t tt_chat_format_error (char *buffer, size_t size, unsigned status, const char *request,
                             TtOutcome outcome, const char *message);

/// Writes a backend server's id for X-Chat-Route. @buffer has 17 bytes.
void tt_chat_format_route (uint64_t backend_id, char *buffer);
