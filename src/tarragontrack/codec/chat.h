/// Parsing of caller requests (OpenAI-compatible chat completions and plain service calls), and
/// formatting of error responses.
#pragma once

#include "tarragontrack/board/config_defs.h"
#include "tarragontrack/board/error_defs.h"
#include "tarragontrack/board/request_defs.h"
#include <stddef.h>

enum
{
  TT_CHAT_PREFIX_MIN_BYTES = 1024, ///< a shorter system prompt gets no prefix key
  TT_CHAT_BYTES_PER_TOKEN = 4,     ///< average used to estimate the number of prompt tokens
  TT_ERROR_JSON_MAX = 2048         ///< bytes of an error response, including the final NUL
};

/// Request headers from which a TtRequestSpec is filled in. An absent header is NULL.
typedef struct
{
  const char *account;         ///< X-Client-Account
  const char *authorization;   ///< Authorization
  const char *chat_id;         ///< X-Chat-Id
  const char *chat_route;      ///< X-Chat-Route, in the format of tt_chat_format_route()
  const char *work_kind;       ///< X-Work-Kind
  const char *idempotency_key; ///< Idempotency-Key
} TtCallerHeaders;

/// tt_chat_parse - parses the body and headers of POST /v1/chat/completions
///
/// ARGUMENTS  spec: filled in from the body and headers; all other fields, such as
///            TtRequestSpec.request_id, are set to 0
/// RETURN     0, TT_E_MALFORMED (not JSON) or TT_E_INVALID (a value is invalid)
int tt_chat_parse (const char *body, size_t size, const TtCallerHeaders *headers,
                   TtRequestSpec *spec, TtError *error);

/// tt_chat_parse_plain_call - parses a plain service call; its service is the one with the longest
/// matching path prefix in the active documents
///
/// ARGUMENTS  path: including the query; spec: filled in from the call; all other fields, such as
///            TtRequestSpec.request_id, are set to 0
/// RETURN     0, TT_E_NOT_FOUND (no service matches the path) or TT_E_INVALID
int tt_chat_parse_plain_call (const TtConfigSection *documents, const char *method,
                              const char *path, const char *body, size_t size,
                              const TtCallerHeaders *headers, TtRequestSpec *spec, TtError *error);

/// Key of a claim: hash of an Idempotency-Key, scoped to its client account. @account may be NULL.
TtId128 tt_chat_idempotency_key (const char *account, const char *key);

/// Value of the X-Outcome header for an outcome.
const char *tt_chat_outcome_name (TtOutcome outcome);

/// Formats an OpenAI-style error object. RETURN its length, truncated to @size - 1.
size_t tt_chat_format_error (char *buffer, size_t size, unsigned status, const char *request,
                             TtOutcome outcome, const char *message);

/// Formats a backend server's id for X-Chat-Route: 16 hexadecimal digits. @buffer has 17 bytes.
void tt_chat_format_route (uint64_t backend_id, char *buffer);
