#include "platform_responder.h"
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>

enum
{
  MAX_HELD_RESPONSES = 8192, ///< further requests get a 429
  SILENT_MS = 60000          ///< time until a connection without a response is closed
};

typedef struct RequestGuard RequestGuard;

/// A held response.
typedef struct
{
  TtLink link; ///< on PlatformResponder.held
  PlatformResponder *responder;
  RequestGuard *guard;
  h2o_req_t *request;
  uint64_t due_ms;
  unsigned status; ///< 0 = the connection is closed instead
  uint64_t version;
  char key[TT_KEY_MAX]; ///< of the watched object; empty = not a watch
  char *body;
  size_t size;
} HeldResponse;

/// Allocated in the request's h2o memory pool, so that h2o calls its destructor when it frees the
/// request. The destructor discards a held response.
struct RequestGuard
{
  HeldResponse *held; ///< NULL once the response was sent
};

void
platform_responder_init (PlatformResponder *responder, uv_loop_t *loop, uint64_t seed)
{
  memset (responder, 0, sizeof *responder);
  responder->loop = loop;
  tt_list_init (&responder->held);
  tt_rng_init (&responder->rng, seed, 1);
}

void
platform_responder_send_now (h2o_req_t *request, unsigned status, uint64_t version,
                             const char *body, size_t size)
{
  char text[24];
  int length = snprintf (text, sizeof text, "%llu", (unsigned long long) version);
  h2o_iovec_t etag = h2o_strdup (&request->pool, text, (size_t) length);

  request->res.status = (int) status;
  request->res.reason = "Platform";
  request->res.content_length = size;
  h2o_add_header (&request->pool, &request->res.headers, H2O_TOKEN_ETAG, NULL, etag.base, etag.len);
  if (size > 0)
    h2o_add_header (&request->pool, &request->res.headers, H2O_TOKEN_CONTENT_TYPE, NULL,
                    H2O_STRLIT ("application/json"));
  h2o_send_inline (request, body != NULL ? body : "", size);
}

void
platform_responder_close_connection (h2o_req_t *request)
{
  h2o_socket_t *sock = request->conn->callbacks->get_socket (request->conn);

  (void) shutdown (h2o_socket_get_fd (sock), SHUT_RDWR);
  // Completes the request in h2o; the closed socket discards the response.
  platform_responder_send_now (request, 500, 0, NULL, 0);
}

/// Removes a held response from the list and from its request.
static void
detach_response (HeldResponse *held)
{
  if (held->guard != NULL)
    held->guard->held = NULL;
  held->guard = NULL;
  tt_list_remove (&held->responder->held, &held->link);
}

static void
free_response (HeldResponse *held)
{
  free (held->body);
  free (held);
}

static void
on_request_freed (void *data)
{
  HeldResponse *held = ((RequestGuard *) data)->held;

  if (held == NULL)
    return;
  detach_response (held);
  free_response (held);
}

/// Holds a response for @wait_ms. RETURN NULL after sending a 429 if too many responses are held.
static HeldResponse *
hold_response (PlatformResponder *responder, h2o_req_t *request, uint64_t wait_ms)
{
  HeldResponse *held;

  if (responder->held.count >= MAX_HELD_RESPONSES)
    {
      platform_responder_send_now (request, 429, 0, NULL, 0);
      return NULL;
    }
  held = calloc (1, sizeof *held);
  if (held == NULL)
    abort ();
  held->responder = responder;
  held->request = request;
  held->due_ms = uv_now (responder->loop) + wait_ms;
  held->guard = h2o_mem_alloc_shared (&request->pool, sizeof *held->guard, on_request_freed);
  held->guard->held = held;
  tt_list_append (&responder->held, &held->link);
  return held;
}

void
platform_responder_send (PlatformResponder *responder, h2o_req_t *request, unsigned status,
                         uint64_t version, const char *body, size_t size)
{
  uint64_t delay_ms = responder->delay_ms > 0 ? (uint64_t) responder->delay_ms : 0;
  HeldResponse *held;

  if (delay_ms == 0)
    {
      platform_responder_send_now (request, status, version, body, size);
      return;
    }
  held = hold_response (responder, request,
                        delay_ms / 2 + tt_rng_below (&responder->rng, delay_ms + 1));
  if (held == NULL)
    return;
  held->status = status;
  held->version = version;
  held->size = size;
  held->body = malloc (size + 1);
  if (held->body == NULL)
    abort ();
  if (size > 0)
    memcpy (held->body, body, size);
}

void
platform_responder_hold_silent (PlatformResponder *responder, h2o_req_t *request)
{
  (void) hold_response (responder, request, SILENT_MS);
}

void
platform_responder_hold_watch (PlatformResponder *responder, h2o_req_t *request, const char *key,
                               uint64_t version, uint64_t wait_ms)
{
  HeldResponse *held = hold_response (responder, request, wait_ms);

  if (held == NULL)
    return;
  held->status = 304;
  held->version = version;
  (void) snprintf (held->key, sizeof held->key, "%s", key);
}

/// Turns a held response into one that never arrives.
static void
lose_response (HeldResponse *held)
{
  held->key[0] = '\0';
  held->status = 0;
  held->due_ms = uv_now (held->responder->loop) + SILENT_MS;
}

void
platform_responder_close_held (PlatformResponder *responder)
{
  TT_LIST_FOREACH (&responder->held, it)
    {
      HeldResponse *held = TT_CONTAINER_OF (it, HeldResponse, link);

      held->key[0] = '\0';
      held->status = 0;
      held->due_ms = uv_now (responder->loop);
    }
}

void
platform_responder_notify_watches (PlatformResponder *responder, PlatformStore *store)
{
  TT_LIST_FOREACH (&responder->held, it)
    {
      HeldResponse *held = TT_CONTAINER_OF (it, HeldResponse, link);
      const PlatformObject *object;

      if (held->key[0] == '\0')
        continue;
      object = platform_store_find (store, held->key);
      if ((object != NULL ? object->version : 0) == held->version)
        continue;
      if (responder->lose_watches > 0)
        {
          responder->lose_watches--;
          lose_response (held);
          continue;
        }
      detach_response (held);
      if (object == NULL)
        platform_responder_send_now (held->request, 404, 0, NULL, 0);
      else
        platform_responder_send_now (held->request, 200, object->version, object->text,
                                     object->size);
      free_response (held);
    }
}

void
platform_responder_send_due (PlatformResponder *responder)
{
  TT_LIST_FOREACH (&responder->held, it)
    {
      HeldResponse *held = TT_CONTAINER_OF (it, HeldResponse, link);

      if (held->due_ms > uv_now (responder->loop))
        continue;
      detach_response (held);
      if (held->status == 0)
        platform_responder_close_connection (held->request);
      else
        platform_responder_send_now (held->request, held->status, held->version, held->body,
                                     held->size);
      free_response (held);
    }
}
