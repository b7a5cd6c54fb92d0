#include "tarragontrack/io/http_result.h"
#include "tarragontrack/board/error.h"
#include <errno.h>
#include <string.h>

enum
{
  STATUS_SWITCHING_PROTOCOLS = 101
};

bool
tt_http_result_has_no_body (TtHttpCall *call)
{
  return strcmp (call->request.method, "HEAD") == 0 || call->head.status == 204
         || call->head.status == 304;
}

bool
tt_http_result_is_upload_partial (TtHttpCall *call)
{
  curl_off_t uploaded = 0;

  return call->request.body_size > 0
         && curl_easy_getinfo (call->easy, CURLINFO_SIZE_UPLOAD_T, &uploaded) == CURLE_OK
         && (size_t) uploaded < call->request.body_size;
}

/// True if the end of the response can be verified. Without a length or chunks, the end of the
/// connection ends the response, so a truncated response is indistinguishable from a complete one.
static bool
has_verifiable_end (TtHttpCall *call)
{
  return tt_http_result_has_no_body (call) || call->head.has_length || call->head.chunked;
}

/// True if the body in chunks has not ended.
static bool
is_within_chunks (TtHttpCall *call)
{
  return call->head.chunked && !tt_http_result_has_no_body (call)
         && call->chunks.state != TT_CHUNK_DONE;
}

static bool
has_switched_protocols (const TtHttpCall *call)
{
  long status = 0;

  (void) curl_easy_getinfo (call->easy, CURLINFO_RESPONSE_CODE, &status);
  return !call->headers_done && status == STATUS_SWITCHING_PROTOCOLS;
}

/// True if the server sent bytes that are no response. libcurl reports a header line above its own
/// limit as a lack of memory.
static bool
is_malformed_response (TtHttpCall *call, CURLcode result)
{
  return call->head_exceeded || call->rejected_place != NULL || has_switched_protocols (call)
         || result == CURLE_UNSUPPORTED_PROTOCOL || result == CURLE_WEIRD_SERVER_REPLY
         || result == CURLE_BAD_CONTENT_ENCODING
         || (result == CURLE_OUT_OF_MEMORY && !call->headers_done)
         || (result == CURLE_OK && call->headers_done && is_within_chunks (call))
         // Nothing is received while a call is paused: the rest of the chunks was bad.
         || (result == CURLE_RECV_ERROR && call->paused && call->head.chunked);
}

/// Error number of the last failed system call on the connection.
static long
os_error (const TtHttpCall *call)
{
  long number = 0;

  (void) curl_easy_getinfo (call->easy, CURLINFO_OS_ERRNO, &number);
  return number;
}

void
tt_http_result_map (TtHttpCall *call, CURLcode result, TtError *error)
{
  TtStep step = tt_http_call_has_sent_bytes (call) ? TT_STEP_RECEIVE : TT_STEP_CONNECT;
  const char *detail = curl_easy_strerror (result);
  int code = TT_E_TIMEOUT;

  if (result == CURLE_OK && call->headers_done && call->rejected_place == NULL
      && !is_within_chunks (call))
    {
      // A server that fails while it is sent a request may close its connection in order, and the
      // bytes that arrive later reset it.
      bool trusted = call->request.close_ends_response && !tt_http_result_is_upload_partial (call);

      code = trusted || has_verifiable_end (call) ? TT_OK : TT_E_CRASHED;
      detail = code == TT_OK ? "" : "the answer has no length, so its end cannot be verified";
    }
  else if (step == TT_STEP_CONNECT)
    code = TT_E_UNAVAILABLE;
  else if (is_malformed_response (call, result))
    {
      code = TT_E_MALFORMED;
      detail = "the server sent bytes that are no response";
    }
  else if (result == CURLE_OK)
    {
      code = TT_E_CRASHED;
      detail = "the answer broke off within its head";
    }
  else if (result == CURLE_RECV_ERROR && os_error (call) == ETIMEDOUT)
    code = TT_E_TIMEOUT; // TCP gave up: the peer may be alive
  else if (result == CURLE_GOT_NOTHING || result == CURLE_RECV_ERROR || result == CURLE_SEND_ERROR
           || result == CURLE_PARTIAL_FILE || result == CURLE_ABORTED_BY_CALLBACK)
    code = TT_E_CRASHED;
  (void) tt_error_set (error, code, step, call->request.peer, "%s", detail);
}
