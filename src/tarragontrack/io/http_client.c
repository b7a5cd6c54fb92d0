#include "tarragontrack/io/http_client_defs.h"
#include <stdlib.h>

typedef struct
{
  uv_poll_t poll;
  TtHttpClient *client;
  curl_socket_t fd;
} Socket;

/// Performs the operations that were queued while libcurl ran, and calls on_sent and on_end of the
/// calls for which they are due.
static void
process_queued_calls (TtHttpClient *client)
{
  TtLink *link;
  CURLMsg *message;
  int messages_left;

  if (client->curl_depth > 0)
    return;
  while ((link = tt_list_first (&client->cancelled)) != NULL)
    {
      TtHttpCall *call = TT_CONTAINER_OF (link, TtHttpCall, link);

      (void) curl_multi_remove_handle (client->multi, call->easy);
      tt_http_call_free (call);
    }
  TT_LIST_FOREACH (&client->unsent, it)
    {
      TtHttpCall *call = TT_CONTAINER_OF (it, TtHttpCall, sent_link);

      if (tt_http_call_has_sent_bytes (call))
        tt_http_call_set_sent_list (call, &client->sent);
    }
  while ((link = tt_list_first (&client->sent)) != NULL)
    tt_http_call_report_sent (TT_CONTAINER_OF (link, TtHttpCall, sent_link));
  while ((message = curl_multi_info_read (client->multi, &messages_left)) != NULL)
    {
      TtHttpCall *call = NULL;
      CURLcode result = message->data.result;

      if (message->msg != CURLMSG_DONE)
        continue;
      (void) curl_easy_getinfo (message->easy_handle, CURLINFO_PRIVATE, (char **) &call);
      if (!tt_http_call_restart (call))
        tt_http_call_end (call, result);
    }
  while ((link = tt_list_first (&client->pending)) != NULL)
    {
      TtHttpCall *call = TT_CONTAINER_OF (link, TtHttpCall, link);

      tt_http_call_set_list (call, &client->active);
      if (curl_multi_add_handle (client->multi, call->easy) != CURLM_OK)
        tt_http_call_end (call, CURLE_FAILED_INIT);
    }
}

static void
run_curl (TtHttpClient *client, curl_socket_t fd, int events)
{
  int running;

  client->curl_depth++;
  (void) curl_multi_socket_action (client->multi, fd, events, &running);
  client->curl_depth--;
  process_queued_calls (client);
}

static void
on_poll (uv_poll_t *poll, int status, int events)
{
  Socket *sock = poll->data;
  int flags = status < 0 ? CURL_CSELECT_ERR : 0;

  flags |= (events & UV_READABLE) != 0 ? CURL_CSELECT_IN : 0;
  flags |= (events & UV_WRITABLE) != 0 ? CURL_CSELECT_OUT : 0;
  run_curl (sock->client, sock->fd, flags);
}

static void
on_timer (uv_timer_t *timer)
{
  run_curl (timer->data, CURL_SOCKET_TIMEOUT, 0);
}

static int
update_curl_timer (CURLM *multi, long timeout_ms, void *context)
{
  TtHttpClient *client = context;

  (void) multi;
  if (client->stopping || timeout_ms < 0)
    (void) uv_timer_stop (&client->timeout_timer);
  else
    (void) uv_timer_start (&client->timeout_timer, on_timer, (uint64_t) timeout_ms, 0);
  return 0;
}

/// Decrements the count of open handles, and frees the client after the last one.
static void
release_handle (TtHttpClient *client)
{
  if (--client->open_handles > 0)
    return;
  free (client);
  curl_global_cleanup ();
}

static void
on_socket_closed (uv_handle_t *handle)
{
  Socket *sock = handle->data;
  TtHttpClient *client = sock->client;

  free (sock);
  release_handle (client);
}

static void
on_handle_closed (uv_handle_t *handle)
{
  release_handle (handle->data);
}

static int
update_socket_poll (CURL *easy, curl_socket_t fd, int what, void *context, void *socket_context)
{
  TtHttpClient *client = context;
  Socket *sock = socket_context;
  int events = 0;

  (void) easy;
  if (what == CURL_POLL_REMOVE)
    {
      if (sock == NULL)
        return 0;
      (void) uv_poll_stop (&sock->poll);
      uv_close ((uv_handle_t *) &sock->poll, on_socket_closed);
      (void) curl_multi_assign (client->multi, fd, NULL);
      return 0;
    }
  if (sock == NULL)
    {
      sock = calloc (1, sizeof *sock);
      if (sock == NULL)
        return -1;
      sock->client = client;
      sock->fd = fd;
      sock->poll.data = sock;
      if (uv_poll_init_socket (client->loop, &sock->poll, fd) != 0)
        {
          free (sock);
          return -1;
        }
      client->open_handles++;
      (void) curl_multi_assign (client->multi, fd, sock);
    }
  events |= what != CURL_POLL_OUT ? UV_READABLE : 0;
  events |= what != CURL_POLL_IN ? UV_WRITABLE : 0;
  return uv_poll_start (&sock->poll, events, on_poll) == 0 ? 0 : -1;
}

void
tt_http_client_resume_calls (uv_timer_t *timer)
{
  TtHttpClient *client = timer->data;
  TtLink *link;

  while ((link = tt_list_pop (&client->resumed)) != NULL)
    {
      TtHttpCall *call = TT_CONTAINER_OF (link, TtHttpCall, resume_link);
      CURLcode result;

      if (call->pause_requested || !call->paused)
        continue;
      call->paused = false;
      client->curl_depth++;
      result = curl_easy_pause (call->easy, CURLPAUSE_CONT);
      client->curl_depth--;
      // libcurl doesn't end a call whose stored data was rejected.
      if (result != CURLE_OK && call->rejected_place != NULL && !call->cancelled)
        tt_http_call_end (call, result);
      process_queued_calls (client);
    }
}

TtHttpClient *
tt_http_client_new (uv_loop_t *loop)
{
  TtHttpClient *client = calloc (1, sizeof *client);

  if (client == NULL)
    return NULL;
  if (curl_global_init (CURL_GLOBAL_DEFAULT) != CURLE_OK)
    {
      free (client);
      return NULL;
    }
  client->multi = curl_multi_init ();
  if (client->multi == NULL)
    {
      curl_global_cleanup ();
      free (client);
      return NULL;
    }
  client->loop = loop;
  tt_list_init (&client->active);
  tt_list_init (&client->pending);
  tt_list_init (&client->cancelled);
  tt_list_init (&client->unsent);
  tt_list_init (&client->sent);
  tt_list_init (&client->resumed);
  tt_list_init (&client->kept_sockets);
  (void) uv_timer_init (loop, &client->timeout_timer);
  (void) uv_timer_init (loop, &client->resume_timer);
  client->timeout_timer.data = client;
  client->resume_timer.data = client;
  client->open_handles = 2;
  (void) curl_multi_setopt (client->multi, CURLMOPT_SOCKETFUNCTION, update_socket_poll);
  (void) curl_multi_setopt (client->multi, CURLMOPT_SOCKETDATA, client);
  (void) curl_multi_setopt (client->multi, CURLMOPT_TIMERFUNCTION, update_curl_timer);
  (void) curl_multi_setopt (client->multi, CURLMOPT_TIMERDATA, client);
  (void) curl_multi_setopt (client->multi, CURLMOPT_MAXCONNECTS,
                            (long) TT_HTTP_MAX_IDLE_CONNECTIONS);
  (void) curl_multi_setopt (client->multi, CURLMOPT_PIPELINING, (long) CURLPIPE_NOTHING);
  return client;
}

void
tt_http_client_free (TtHttpClient *client)
{
  TtLink *link;

  if (client == NULL)
    return;
  client->stopping = true;
  while ((link = tt_list_first (&client->active)) != NULL
         || (link = tt_list_first (&client->pending)) != NULL)
    tt_http_call_cancel (TT_CONTAINER_OF (link, TtHttpCall, link));
  (void) curl_multi_cleanup (client->multi);
  uv_close ((uv_handle_t *) &client->timeout_timer, on_handle_closed);
  uv_close ((uv_handle_t *) &client->resume_timer, on_handle_closed);
}
