#include "platform_answer.h"
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>

enum
{
  MAX_PENDING = 8192, ///< held responses; further requests get a 429
  SILENT_MS = 60000
};

typedef struct PendingGuard PendingGuard;

/// A held response.
typedef struct
{
  TtLink link; ///< on PlatformAnswers.pending
  PlatformAnswers *answers;
  PendingGuard *guard;
  h2o_req_t *request;
  uint64_t due_ms;
  unsigned status; ///< 0 = the connection is closed instead
  uint64_t version;
  char key[TT_KEY_MAX]; ///< of the watched object; empty = not a watch
  char *body;
  size_t size;
} Pending;

/// Lives in the request's h2o memory pool, so that its destructor reports when the request is
/// freed.
struct PendingGuard
{
  Pending *pending; ///< NULL once the response was sent
};

void
platform_answers_init (PlatformAnswers *answers, uv_loop_t *loop, uint64_t seed)
{
  memset (answers, 0, sizeof *answers);
  answers->loop = loop;
  tt_list_init (&answers->pending);
  tt_rng_init (&answers->rng, seed, 1);
}

void
platform_answer_now (h2o_req_t *request, unsigned status, uint64_t version, const char *body,
                     size_t size)
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
platform_answer_break (h2o_req_t *request)
{
  h2o_socket_t *sock = request->conn->callbacks->get_socket (request->conn);

  (void) shutdown (h2o_socket_get_fd (sock), SHUT_RDWR);
  // Completes the request in h2o; the closed socket discards the response.
  platform_answer_now (request, 500, 0, NULL, 0);
}

/// Removes a held response from the list and from its request.
static void
detach_pending (Pending *pending)
{
  if (pending->guard != NULL)
    pending->guard->pending = NULL;
  pending->guard = NULL;
  tt_list_remove (&pending->answers->pending, &pending->link);
}

static void
free_pending (Pending *pending)
{
  free (pending->body);
  free (pending);
}

static void
on_request_freed (void *data)
{
  Pending *pending = ((PendingGuard *) data)->pending;

  if (pending == NULL)
    return;
  detach_pending (pending);
  free_pending (pending);
}

/// Holds a response for @wait_ms. RETURN NULL if too many are held; the request then gets a 429.
static Pending *
hold_request (PlatformAnswers *answers, h2o_req_t *request, uint64_t wait_ms)
{
  Pending *pending;

  if (answers->pending.count >= MAX_PENDING)
    {
      platform_answer_now (request, 429, 0, NULL, 0);
      return NULL;
    }
  pending = calloc (1, sizeof *pending);
  if (pending == NULL)
    abort ();
  pending->answers = answers;
  pending->request = request;
  pending->due_ms = uv_now (answers->loop) + wait_ms;
  pending->guard = h2o_mem_alloc_shared (&request->pool, sizeof *pending->guard, on_request_freed);
  pending->guard->pending = pending;
  tt_list_append (&answers->pending, &pending->link);
  return pending;
}

void
platform_answer (PlatformAnswers *answers, h2o_req_t *request, unsigned status, uint64_t version,
                 const char *body, size_t size)
{
  uint64_t slow_ms = answers->slow_ms > 0 ? (uint64_t) answers->slow_ms : 0;
  Pending *pending;

  if (slow_ms == 0)
    {
      platform_answer_now (request, status, version, body, size);
      return;
    }
  pending
      = hold_request (answers, request, slow_ms / 2 + tt_rng_below (&answers->rng, slow_ms + 1));
  if (pending == NULL)
    return;
  pending->status = status;
  pending->version = version;
  pending->size = size;
  pending->body = malloc (size + 1);
  if (pending->body == NULL)
    abort ();
  if (size > 0)
    memcpy (pending->body, body, size);
}

void
platform_answer_silent (PlatformAnswers *answers, h2o_req_t *request)
{
  (void) hold_request (answers, request, SILENT_MS);
}

void
platform_answer_watch (PlatformAnswers *answers, h2o_req_t *request, const char *key,
                       uint64_t version, uint64_t wait_ms)
{
  Pending *pending = hold_request (answers, request, wait_ms);

  if (pending == NULL)
    return;
  pending->status = 304;
  pending->version = version;
  (void) snprintf (pending->key, sizeof pending->key, "%s", key);
}

void
platform_answer_wake (PlatformAnswers *answers, PlatformStore *store)
{
  TT_LIST_FOREACH (&answers->pending, it)
    {
      Pending *pending = TT_CONTAINER_OF (it, Pending, link);
      const PlatformObject *object;

      if (pending->key[0] == '\0')
        continue;
      object = platform_store_find (store, pending->key);
      if ((object != NULL ? object->version : 0) == pending->version)
        continue;
      detach_pending (pending);
      if (object == NULL)
        platform_answer_now (pending->request, 404, 0, NULL, 0);
      else
        platform_answer_now (pending->request, 200, object->version, object->text, object->size);
      free_pending (pending);
    }
}

void
platform_answer_due (PlatformAnswers *answers)
{
  TT_LIST_FOREACH (&answers->pending, it)
    {
      Pending *pending = TT_CONTAINER_OF (it, Pending, link);

      if (pending->due_ms > uv_now (answers->loop))
        continue;
      detach_pending (pending);
      if (pending->status == 0)
        platform_answer_break (pending->request);
      else
        platform_answer_now (pending->request, pending->status, pending->version, pending->body,
                             pending->size);
      free_pending (pending);
    }
}
