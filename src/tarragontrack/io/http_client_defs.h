/// Private types of the HTTP client, for http_client.c (event loop) and http_call.c (single calls).
#pragma once

#include "tarragontrack/board/list.h"
#include "tarragontrack/codec/chunk.h"
#include "tarragontrack/codec/http_head.h"
#include "tarragontrack/io/http_client.h"
#include <curl/curl.h>

enum
{
  TT_HTTP_MAX_IDLE_CONNECTIONS = 1024, ///< idle connections kept for reuse
  /// A server may send header lines or responses of status 1xx without end.
  TT_HTTP_MAX_HEAD_BYTES = 65536,
  TT_HTTP_REJECTED_BYTES = 48, ///< kept of the bytes that are no response, for the log
  /// Idle connections are not reused after this time. Servers commonly close idle connections
  /// after 5 s or more; if the server does so while a request is in transit, it is unknown whether
  /// the request was executed.
  TT_HTTP_IDLE_TIMEOUT_S = 3,
  /// TCP keepalive: after TT_HTTP_KEEPALIVE_INTERVAL_S seconds without data, the kernel sends
  /// probes at this interval and closes the connection after TT_HTTP_KEEPALIVE_PROBES probes
  /// without a response. A failed connection must be detected within the few seconds in which a
  /// change has to take effect on all daemons.
  TT_HTTP_KEEPALIVE_INTERVAL_S = 1,
  TT_HTTP_KEEPALIVE_PROBES = 2
};

/// libcurl is not reentrant, so operations that callbacks request while libcurl runs are queued on
/// lists.
struct TtHttpClient
{
  uv_loop_t *loop;
  CURLM *multi;
  uv_timer_t timeout_timer; ///< libcurl's timeout
  /// Resumes paused calls from the event loop, not from the stack of tt_http_call_pause().
  uv_timer_t resume_timer;
  unsigned open_handles; ///< libuv handles that are not closed yet
  unsigned curl_depth;   ///< above 0 while libcurl runs and must not be re-entered
  bool stopping;         ///< tt_http_client_free() was called
  TtList active;         ///< TtHttpCall.link, calls added to `multi`
  TtList pending;        ///< TtHttpCall.link, started while libcurl ran
  TtList cancelled;      ///< TtHttpCall.link, cancelled while libcurl ran
  TtList unsent;         ///< TtHttpCall.sent_link, no byte sent yet
  TtList sent;           ///< TtHttpCall.sent_link, on_sent is due
  TtList resumed;        ///< TtHttpCall.resume_link, calls to resume
  TtList kept_sockets;   ///< of connections that further requests may use; see http_socket.h
};

struct TtHttpCall
{
  TtLink link;
  TtLink sent_link;
  TtLink resume_link;
  TtList *list;      ///< list that contains `link`
  TtList *sent_list; ///< list that contains `sent_link`; NULL after on_sent was called
  TtHttpClient *client;
  CURL *easy;
  struct curl_slist *headers;
  TtHttpRequest request;
  bool cancelled;
  bool ending;                ///< tt_http_call_end() runs and will free the call
  size_t head_size;           ///< bytes of response heads received, those of status 1xx included
  bool head_exceeded;         ///< the heads exceeded TT_HTTP_MAX_HEAD_BYTES
  bool headers_done;          ///< the final response head was received
  TtHttpHead head;            ///< checks the lines of the heads
  TtChunkDecoder chunks;      ///< decodes the body if it is in chunks
  uint64_t body_size;         ///< received so far, with the framing of chunks
  bool ended_early;           ///< the response was whole before the request was
  const char *rejected_place; ///< "head" or "framing" if the server sent bytes that are no response
  char rejected[TT_HTTP_REJECTED_BYTES]; ///< the first of these bytes
  size_t rejected_size;
  bool restart_due;     ///< the connection had unread bytes, so that nothing was sent on it
  bool restarted;       ///< the call was started again on a new connection
  bool pause_requested; ///< the owner of the call has paused reading
  bool paused;          ///< libcurl has paused the transfer
};

/// Moves a call to a list; NULL removes it from its list.
void tt_http_call_set_list (TtHttpCall *call, TtList *list);

/// Moves a call to TtHttpClient.unsent or TtHttpClient.sent; NULL removes it.
void tt_http_call_set_sent_list (TtHttpCall *call, TtList *list);

/// True if at least one byte of the request was written to the connection.
bool tt_http_call_has_sent_bytes (const TtHttpCall *call);

/// Calls on_sent unless it was called before.
void tt_http_call_report_sent (TtHttpCall *call);

/// Starts a call again on a new connection, once, if the first had unread bytes. RETURN false if
/// the call has to end.
bool tt_http_call_restart (TtHttpCall *call);

/// Calls on_end and frees the call.
void tt_http_call_end (TtHttpCall *call, CURLcode result);

/// Frees a call that was removed from libcurl's multi handle.
void tt_http_call_free (TtHttpCall *call);

/// Timer callback that resumes the calls on TtHttpClient.resumed.
void tt_http_client_resume_calls (uv_timer_t *timer);
