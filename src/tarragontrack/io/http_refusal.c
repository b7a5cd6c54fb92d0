/// Refusals of requests that have not arrived whole.
#include "tarragontrack/board/error.h"
#include "tarragontrack/codec/chat.h"
#include "tarragontrack/control/retry_after.h"
#include "tarragontrack/io/http_server_defs.h"
#include <stdio.h>
#include <stdlib.h>
#include <sys/mman.h>
#include <sys/socket.h>
#include <unistd.h>

enum
{
  STATUS_UNAVAILABLE = 503,
  REFUSAL_BYTES = 1024,
  HEADERS_BYTES = 512,
  DISCARD_BYTES = 16384 ///< fewer are left in the buffer
};

typedef struct
{
  char text[HEADERS_BYTES];
  size_t length;
} RefusalHeaders;

size_t
tt_http_refusal_discard_pages (char *bytes, size_t size)
{
  uintptr_t page = (uintptr_t) sysconf (_SC_PAGESIZE);
  uintptr_t first = ((uintptr_t) bytes + page - 1) / page * page;
  uintptr_t last = ((uintptr_t) bytes + size) / page * page;

  if (first >= last || madvise ((void *) first, last - first, MADV_DONTNEED) != 0)
    return 0;
  return last - first;
}

size_t
tt_http_server_format_refusal (void *context, const TtReplyAction *reply, TtAddHeader add,
                               void *target, char *body, size_t size)
{
  char text[16];

  (void) context;
  if (reply->retry_after_ms > 0)
    {
      (void) snprintf (text, sizeof text, "%u", (reply->retry_after_ms + 999) / 1000);
      add (target, "retry-after", text);
    }
  add (target, "content-type", "application/json");
  add (target, "x-outcome", tt_chat_outcome_name (reply->outcome));
  return tt_chat_format_error (body, size, reply->status, "", reply->outcome, reply->error.detail);
}

static void
on_refusal_written (h2o_socket_t *socket, const char *error)
{
  // The caller sees the end of the response; what it still sends is read and discarded.
  if (error == NULL && socket->ssl == NULL)
    (void) shutdown (h2o_socket_get_fd (socket), SHUT_WR);
}

/// Adds a header to a refusal (a TtAddHeader callback).
static void
add_refusal_header (void *target, const char *name, const char *value)
{
  RefusalHeaders *headers = target;
  int length = snprintf (headers->text + headers->length, sizeof headers->text - headers->length,
                         "%s: %s\r\n", name, value);

  if (length > 0 && (size_t) length < sizeof headers->text - headers->length)
    headers->length += (size_t) length;
}

/// Writes a response past h2o, which has none for a request that is not complete.
static void
write_response (TtHttpConnection *connection, unsigned status, const char *reason)
{
  const TtHttpServerOptions *options = &connection->server->options;
  RefusalHeaders headers = { .length = 0 };
  TtReplyAction reply = { .outcome = TT_OUTCOME_NOT_RUN, .status = status };
  char body[TT_ERROR_JSON_MAX];
  h2o_iovec_t bytes;
  size_t size;
  int length;

  if (connection->socket->_cb.write != NULL || connection->refusal_text != NULL)
    return; // an interim response is being written
  connection->refusal_text = malloc (REFUSAL_BYTES + TT_ERROR_JSON_MAX);
  if (connection->refusal_text == NULL)
    return;
  (void) tt_error_set (&reply.error, TT_E_LIMIT, TT_STEP_CALLER_READ, "caller", "%s", reason);
  if (status == STATUS_UNAVAILABLE)
    reply.retry_after_ms = tt_retry_after_elsewhere_ms ();
  size = options->format_refusal != NULL
             ? options->format_refusal (options->context, &reply, add_refusal_header, &headers,
                                        body, sizeof body)
             : tt_http_server_format_refusal (NULL, &reply, add_refusal_header, &headers, body,
                                              sizeof body);
  length = snprintf (connection->refusal_text, REFUSAL_BYTES + TT_ERROR_JSON_MAX,
                     "HTTP/1.1 %u \r\nConnection: close\r\n%.*sContent-Length: %zu\r\n\r\n%.*s",
                     status, (int) headers.length, headers.text, size, (int) size, body);
  bytes = h2o_iovec_init (connection->refusal_text, (size_t) length);
  h2o_socket_write (connection->socket, &bytes, 1, on_refusal_written);
}

void
tt_http_refusal_write (TtHttpConnection *connection, unsigned status, const char *reason)
{
  h2o_buffer_t *input = connection->socket->input;
  // h2o keeps the buffer and may refer to a head that it has parsed.
  size_t kept = connection->scan.in_body ? connection->scan.head_bytes : 0;

  write_response (connection, status, reason);
  if (kept < input->size)
    {
      input->size = kept;
      (void) tt_http_refusal_discard_pages (
          input->bytes + kept, input->capacity - (size_t) (input->bytes - input->_buf) - kept);
    }
  connection->known_size = input->size;
}

void
tt_http_refusal_discard (TtHttpConnection *connection)
{
  h2o_buffer_t *input = connection->socket->input;
  size_t size = input->size - connection->known_size;

  input->size = connection->known_size;
  if (size > DISCARD_BYTES)
    (void) tt_http_refusal_discard_pages (input->bytes + input->size, size);
}
