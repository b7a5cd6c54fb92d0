#include "tarragontrack/io/http_client_defs.h"
#include "tarragontrack/io/http_result.h"
#include "tarragontrack/io/http_socket.h"
#include <ctype.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>

enum
{
  HEADER_NAME_MAX = 128 ///< with the final NUL; headers with longer names are skipped
};

void
tt_http_call_set_list (TtHttpCall *call, TtList *list)
{
  if (call->list != NULL)
    tt_list_remove (call->list, &call->link);
  call->list = list;
  if (list != NULL)
    tt_list_append (list, &call->link);
}

void
tt_http_call_set_sent_list (TtHttpCall *call, TtList *list)
{
  if (call->sent_list != NULL)
    tt_list_remove (call->sent_list, &call->sent_link);
  call->sent_list = list;
  if (list != NULL)
    tt_list_append (list, &call->sent_link);
}

void
tt_http_call_free (TtHttpCall *call)
{
  tt_http_call_set_list (call, NULL);
  tt_http_call_set_sent_list (call, NULL);
  if (tt_link_is_linked (&call->resume_link))
    tt_list_remove (&call->client->resumed, &call->resume_link);
  if (call->easy != NULL)
    curl_easy_cleanup (call->easy);
  curl_slist_free_all (call->headers);
  free (call);
}

bool
tt_http_call_has_sent_bytes (const TtHttpCall *call)
{
  long size = 0;

  (void) curl_easy_getinfo (call->easy, CURLINFO_REQUEST_SIZE, &size);
  return size > 0;
}

void
tt_http_call_report_sent (TtHttpCall *call)
{
  if (call->sent_list == NULL || call->cancelled)
    return;
  tt_http_call_set_sent_list (call, NULL);
  if (call->request.on_sent != NULL)
    call->request.on_sent (call->request.context);
}

/// Decides whether a request may be sent on a connection.
///
/// Prevents libcurl from automatically resending a request on a new connection. A server that
/// accepted the request and then closed a reused connection without a response would execute it
/// twice. Nor is a connection used on which bytes arrived that belong to no response.
static int
check_before_request (void *context, char *remote, char *local, int remote_port, int local_port)
{
  TtHttpCall *call = context;

  (void) local;
  if (tt_http_call_has_sent_bytes (call))
    return CURL_PREREQFUNC_ABORT;
  call->restart_due
      = tt_http_socket_has_unread_bytes (call->client, local_port, remote, remote_port);
  return call->restart_due ? CURL_PREREQFUNC_ABORT : CURL_PREREQFUNC_OK;
}

/// Notes that the server sent bytes that are no response. RETURN 0, which ends the call.
static size_t
reject_bytes (TtHttpCall *call, const char *place, const char *data, size_t size)
{
  call->rejected_place = place;
  call->rejected_size = size < sizeof call->rejected ? size : sizeof call->rejected;
  memcpy (call->rejected, data, call->rejected_size);
  return 0;
}

/// Ends the call if the response is whole and the request is not. libcurl would go on to write the
/// request, to a server that may not read it. RETURN true if the call ends.
static bool
end_early (TtHttpCall *call)
{
  bool whole = tt_http_result_has_no_body (call)
               || (call->head.has_length && call->body_size >= call->head.length)
               || (call->head.chunked && call->chunks.state == TT_CHUNK_DONE);

  if (!whole || !tt_http_result_is_upload_partial (call))
    return false;
  call->ended_early = true;
  return true;
}

static size_t
read_header (char *data, size_t size, size_t count, void *context)
{
  TtHttpCall *call = context;
  long status = 0;
  bool last = size * count <= 2 && (data[0] == '\r' || data[0] == '\n');

  if (call->cancelled)
    return 0;
  call->head_size += size * count;
  if (call->head_size > TT_HTTP_MAX_HEAD_BYTES)
    {
      call->head_exceeded = true;
      return 0;
    }
  if (call->headers_done)
    return size * count;
  if (!tt_http_head_read_line (&call->head, data, size * count))
    return reject_bytes (call, "head", data, size * count);
  if (!last)
    return size * count;
  (void) curl_easy_getinfo (call->easy, CURLINFO_RESPONSE_CODE, &status);
  if (status < 200)
    return size * count;
  call->headers_done = true;
  tt_http_call_report_sent (call);
  if (!call->cancelled && call->request.on_headers != NULL)
    call->request.on_headers (call->request.context, call, (unsigned) status);
  return call->cancelled || end_early (call) ? 0 : size * count;
}

/// Passes the body on. libcurl hands out a body in chunks as it was sent: it accepts garbage in the
/// place of a chunk's size, and reports a bad size as a failed connection, which counts as a crash.
static size_t
read_body (TtHttpCall *call, const char *data, size_t size)
{
  size_t at = 0;

  while (call->head.chunked && at < size && call->chunks.state < TT_CHUNK_DONE)
    {
      const char *body;
      size_t body_size;

      at += tt_chunk_read (&call->chunks, data + at, size - at, &body, &body_size);
      if (body_size > 0 && call->request.on_data != NULL)
        call->request.on_data (call->request.context, body, body_size);
      if (call->cancelled)
        return 0;
      if (call->chunks.state == TT_CHUNK_MALFORMED)
        return reject_bytes (call, "framing", data + at, size - at);
    }
  if (!call->head.chunked && call->request.on_data != NULL)
    call->request.on_data (call->request.context, data, size);
  call->body_size += size;
  return call->cancelled || end_early (call) ? 0 : size;
}

static size_t
read_data (char *data, size_t size, size_t count, void *context)
{
  TtHttpCall *call = context;

  // Without a final head, the bytes are no response.
  if (call->cancelled || !call->headers_done || call->rejected_place != NULL)
    return 0;
  if (call->pause_requested)
    {
      call->paused = true;
      return CURL_WRITEFUNC_PAUSE;
    }
  return read_body (call, data, size * count);
}

bool
tt_http_call_restart (TtHttpCall *call)
{
  if (!call->restart_due || call->restarted || call->cancelled)
    return false;
  call->restarted = true;
  (void) curl_multi_remove_handle (call->client->multi, call->easy);
  (void) curl_easy_setopt (call->easy, CURLOPT_FRESH_CONNECT, 1L);
  return curl_multi_add_handle (call->client->multi, call->easy) == CURLM_OK;
}

void
tt_http_call_end (TtHttpCall *call, CURLcode result)
{
  TtError error;

  if (call->ended_early && result == CURLE_WRITE_ERROR)
    result = CURLE_OK;
  tt_http_result_map (call, result, &error);
  (void) curl_multi_remove_handle (call->client->multi, call->easy);
  call->ending = true;
  if (error.code != TT_E_UNAVAILABLE)
    tt_http_call_report_sent (call);
  if (!call->cancelled)
    call->request.on_end (call->request.context, &error);
  tt_http_call_free (call);
}

static bool
add_header (TtHttpCall *call, const char *line)
{
  struct curl_slist *headers = curl_slist_append (call->headers, line);

  if (headers == NULL)
    return false;
  call->headers = headers;
  return true;
}

/// Copies the request's headers, and suppresses the Expect and Content-Type headers that libcurl
/// would add.
static bool
set_headers (TtHttpCall *call)
{
  bool has_content_type = false;

  for (const char *const *line = call->request.headers; line != NULL && *line != NULL; line++)
    {
      has_content_type = has_content_type || strncasecmp (*line, "Content-Type:", 13) == 0;
      if (!add_header (call, *line))
        return false;
    }
  if (!add_header (call, "Expect:") || (!has_content_type && !add_header (call, "Content-Type:")))
    return false;
  return curl_easy_setopt (call->easy, CURLOPT_HTTPHEADER, call->headers) == CURLE_OK;
}

static bool
set_method (TtHttpCall *call)
{
  const TtHttpRequest *request = &call->request;

  if (strcmp (request->method, "GET") == 0 && request->body_size == 0)
    return true;
  if (strcmp (request->method, "HEAD") == 0)
    return curl_easy_setopt (call->easy, CURLOPT_NOBODY, 1L) == CURLE_OK;
  if ((request->body_size > 0 || strcmp (request->method, "DELETE") != 0)
      && (curl_easy_setopt (call->easy, CURLOPT_POST, 1L) != CURLE_OK
          || curl_easy_setopt (call->easy, CURLOPT_POSTFIELDSIZE_LARGE,
                               (curl_off_t) request->body_size)
                 != CURLE_OK
          || curl_easy_setopt (call->easy, CURLOPT_COPYPOSTFIELDS,
                               request->body_size > 0 ? request->body : "")
                 != CURLE_OK))
    return false;
  return curl_easy_setopt (call->easy, CURLOPT_CUSTOMREQUEST, request->method) == CURLE_OK;
}

/// Enables TCP keepalive on a socket. If the peer has failed or the network path has lost the
/// connection's state, the kernel closes an idle connection after TT_HTTP_KEEPALIVE_PROBES
/// unanswered probes, about TT_HTTP_KEEPALIVE_INTERVAL_S * (TT_HTTP_KEEPALIVE_PROBES + 1) seconds.
static int
enable_tcp_keepalive (void *context, curl_socket_t fd, curlsocktype purpose)
{
  const int on = 1;
  const int seconds = TT_HTTP_KEEPALIVE_INTERVAL_S;
  const int probes = TT_HTTP_KEEPALIVE_PROBES;

  (void) context, (void) purpose;
  (void) setsockopt (fd, SOL_SOCKET, SO_KEEPALIVE, &on, sizeof on);
  (void) setsockopt (fd, IPPROTO_TCP, TCP_KEEPIDLE, &seconds, sizeof seconds);
  (void) setsockopt (fd, IPPROTO_TCP, TCP_KEEPINTVL, &seconds, sizeof seconds);
  (void) setsockopt (fd, IPPROTO_TCP, TCP_KEEPCNT, &probes, sizeof probes);
  return CURL_SOCKOPT_OK;
}

static bool
set_options (TtHttpCall *call)
{
  const TtHttpRequest *request = &call->request;
  CURL *easy = call->easy;

  (void) curl_easy_setopt (easy, CURLOPT_PRIVATE, call);
  (void) curl_easy_setopt (easy, CURLOPT_PROTOCOLS_STR, "http");
  if (request->target != NULL)
    (void) curl_easy_setopt (easy, CURLOPT_REQUEST_TARGET, request->target);
  (void) curl_easy_setopt (easy, CURLOPT_PROXY, ""); // ignores proxy environment variables
  (void) curl_easy_setopt (easy, CURLOPT_NOSIGNAL, 1L);
  (void) curl_easy_setopt (easy, CURLOPT_HTTP_VERSION, (long) CURL_HTTP_VERSION_1_1);
  (void) curl_easy_setopt (easy, CURLOPT_HTTP_TRANSFER_DECODING, 0L); // see read_body()
  (void) curl_easy_setopt (easy, CURLOPT_MAXAGE_CONN, (long) TT_HTTP_IDLE_TIMEOUT_S);
  (void) curl_easy_setopt (easy, CURLOPT_FRESH_CONNECT, request->fresh_connection ? 1L : 0L);
  (void) curl_easy_setopt (easy, CURLOPT_FORBID_REUSE, request->single_use ? 1L : 0L);
  (void) curl_easy_setopt (easy, CURLOPT_CONNECTTIMEOUT_MS, (long) request->connect_timeout_ms);
  (void) curl_easy_setopt (easy, CURLOPT_TIMEOUT_MS, (long) request->total_timeout_ms);
  if (!request->single_use)
    tt_http_socket_track (call);
  if (request->tcp_keepalive)
    (void) curl_easy_setopt (easy, CURLOPT_SOCKOPTFUNCTION, enable_tcp_keepalive);
  (void) curl_easy_setopt (easy, CURLOPT_PREREQFUNCTION, check_before_request);
  (void) curl_easy_setopt (easy, CURLOPT_PREREQDATA, call);
  (void) curl_easy_setopt (easy, CURLOPT_HEADERFUNCTION, read_header);
  (void) curl_easy_setopt (easy, CURLOPT_HEADERDATA, call);
  (void) curl_easy_setopt (easy, CURLOPT_WRITEFUNCTION, read_data);
  (void) curl_easy_setopt (easy, CURLOPT_WRITEDATA, call);
  return curl_easy_setopt (easy, CURLOPT_URL, request->url) == CURLE_OK && set_method (call)
         && set_headers (call);
}

TtHttpCall *
tt_http_client_start (TtHttpClient *client, const TtHttpRequest *request)
{
  TtHttpCall *call = calloc (1, sizeof *call);

  if (call == NULL)
    return NULL;
  call->client = client;
  call->request = *request;
  tt_link_init (&call->link);
  tt_link_init (&call->sent_link);
  tt_link_init (&call->resume_link);
  call->easy = curl_easy_init ();
  if (call->easy == NULL || !set_options (call))
    {
      tt_http_call_free (call);
      return NULL;
    }
  if (client->curl_depth == 0 && curl_multi_add_handle (client->multi, call->easy) != CURLM_OK)
    {
      tt_http_call_free (call);
      return NULL;
    }
  tt_http_call_set_list (call, client->curl_depth > 0 ? &client->pending : &client->active);
  tt_http_call_set_sent_list (call, &client->unsent);
  return call;
}

const char *
tt_http_call_get_header (const TtHttpCall *call, const char *name)
{
  struct curl_header *header;

  return curl_easy_header (call->easy, name, 0, CURLH_HEADER, -1, &header) == CURLHE_OK
             ? header->value
             : NULL;
}

size_t
tt_http_call_content_length (const TtHttpCall *call)
{
  return call->head.has_length ? (size_t) call->head.length : SIZE_MAX;
}

const char *
tt_http_call_rejected_bytes (const TtHttpCall *call, const char **data, size_t *size)
{
  *data = call->rejected;
  *size = call->rejected_size;
  return call->rejected_place;
}

void
tt_http_call_visit_headers (TtHttpCall *call,
                            void (*visit) (void *context, const char *name, const char *value),
                            void *context)
{
  struct curl_header *header = NULL;
  char name[HEADER_NAME_MAX];

  while ((header = curl_easy_nextheader (call->easy, CURLH_HEADER, -1, header)) != NULL)
    {
      size_t length = 0;

      for (; header->name[length] != '\0' && length < sizeof name - 1; length++)
        name[length] = (char) tolower ((unsigned char) header->name[length]);
      name[length] = '\0';
      if (header->name[length] == '\0')
        visit (context, name, header->value);
    }
}

void
tt_http_call_pause (TtHttpCall *call, bool paused)
{
  TtHttpClient *client = call->client;

  call->pause_requested = paused;
  if (paused || !call->paused || call->ending || tt_link_is_linked (&call->resume_link))
    return;
  tt_list_append (&client->resumed, &call->resume_link);
  (void) uv_timer_start (&client->resume_timer, tt_http_client_resume_calls, 0, 0);
}

void
tt_http_call_cancel (TtHttpCall *call)
{
  TtHttpClient *client = call->client;
  bool in_multi = call->list == &client->active;

  if (call->ending || call->cancelled)
    return;
  call->cancelled = true;
  if (in_multi && client->curl_depth > 0)
    {
      tt_http_call_set_sent_list (call, NULL);
      tt_http_call_set_list (call, &client->cancelled);
      return;
    }
  if (in_multi)
    (void) curl_multi_remove_handle (client->multi, call->easy);
  tt_http_call_free (call);
}
