/// Answers that a backend server sends before it has read a request, and ends by a reset.
#include "support/routed_front.h"
#include "support/unit.h"
#include "tarragontrack/board/backend.h"
#include "tarragontrack/io/clock.h"
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>

enum
{
  LONG_BODY = 4 << 20, ///< more than the kernel takes while the backend server reads nothing
  SHORT_BODY = 2,
  PART_BYTES = 7,
  RESET_DELAY_MS = 30, ///< in which the part reaches the daemon
  TIMEOUT_MS = 5000,
  CHUNK_BYTES = 65536,
  RECEIVED_MAX = 4096
};

typedef enum
{
  READS_HEAD, ///< answers the head, and reads nothing after the first bytes
  READS_ON,   ///< answers the head, and reads on
  READS_ALL
} Reading;

typedef enum
{
  ENDS_BY_RESET,
  ENDS_BY_CLOSE, ///< which resets the connection if bytes are unread
  ENDS_IN_ORDER  ///< closes its side and reads on
} Ending;

typedef struct
{
  const char *name;
  const char *head; ///< status line and framing of the answer
  const char *body;
  Reading reading;
  Ending ending;
  unsigned delay_ms;
} Answer;

typedef struct
{
  const char *name;
  const char *path;
  const char *headers;
  size_t body_size;
  bool chunked;
} Upload;

/// A connection to the backend server.
typedef struct
{
  uv_tcp_t tcp;
  uv_timer_t timer;
  uv_write_t write;
  uv_shutdown_t shutdown;
  size_t received;
  size_t expected; ///< bytes of head and body; 0 = not known yet
  bool answered;
  bool closed;
  char bytes[RECEIVED_MAX];
  char text[512];
} Connection;

static RoutedFront front;
static uv_tcp_t listener;
static Connection connections[4];
static unsigned connection_count;
static const Answer *answer;

static struct
{
  uv_tcp_t tcp;
  uv_timer_t timer;
  uv_connect_t connect;
  uv_write_t writes[3];
  char head[512];
  char *body;
  size_t size;
  bool ended; ///< the daemon closed the connection in order
  bool failed;
  bool timed_out;
  char data[RECEIVED_MAX + 1];
} caller;

/// Value of the length that a head states; NULL if it states none.
static const char *
find_length (const char *head)
{
  static const char name[] = "\r\ncontent-length:";
  const char *line = strstr (head, "\r\n");

  while (line != NULL && strncasecmp (line, name, sizeof name - 1) != 0)
    line = strstr (line + 2, "\r\n");
  return line != NULL ? line + sizeof name - 1 : NULL;
}

static void
close_connection (Connection *connection)
{
  if (connection->closed)
    return;
  connection->closed = true;
  uv_close ((uv_handle_t *) &connection->timer, NULL);
  if (answer->ending == ENDS_BY_RESET)
    (void) uv_tcp_close_reset (&connection->tcp, NULL);
  else
    uv_close ((uv_handle_t *) &connection->tcp, NULL);
}

static void
on_end_timer (uv_timer_t *timer)
{
  Connection *connection = timer->data;

  if (answer->ending == ENDS_IN_ORDER)
    (void) uv_shutdown (&connection->shutdown, (uv_stream_t *) &connection->tcp, NULL);
  else
    close_connection (connection);
}

static void
send_answer (Connection *connection)
{
  uv_buf_t buffer;

  connection->answered = true;
  (void) snprintf (connection->text, sizeof connection->text,
                   "HTTP/1.1 %sAttempt-Id: r1\r\nResponse-Signature: s\r\n\r\n%s", answer->head,
                   answer->body);
  buffer = uv_buf_init (connection->text, (unsigned) strlen (connection->text));
  (void) uv_write (&connection->write, (uv_stream_t *) &connection->tcp, &buffer, 1, NULL);
  if (answer->reading == READS_HEAD)
    (void) uv_read_stop ((uv_stream_t *) &connection->tcp);
  (void) uv_timer_start (&connection->timer, on_end_timer, answer->delay_ms, 0);
}

static void
provide_buffer (uv_handle_t *handle, size_t size, uv_buf_t *buffer)
{
  static char discarded[CHUNK_BYTES];
  Connection *connection = handle->data;

  (void) size;
  if (connection->received < sizeof connection->bytes - 1)
    *buffer = uv_buf_init (connection->bytes + connection->received,
                           (unsigned) (sizeof connection->bytes - 1 - connection->received));
  else
    *buffer = uv_buf_init (discarded, sizeof discarded);
}

/// Size of a request whose head has arrived; 0 before.
static size_t
request_size (const Connection *connection)
{
  const char *end = strstr (connection->bytes, "\r\n\r\n");
  const char *length = find_length (connection->bytes);

  if (end == NULL || length == NULL)
    return 0;
  return (size_t) (end - connection->bytes) + 4 + strtoul (length, NULL, 10);
}

static void
on_request_bytes (uv_stream_t *stream, ssize_t size, const uv_buf_t *buffer)
{
  Connection *connection = stream->data;

  (void) buffer;
  if (size < 0)
    {
      close_connection (connection);
      return;
    }
  connection->received += (size_t) size;
  if (connection->expected == 0)
    connection->expected = request_size (connection);
  if (!connection->answered && connection->expected > 0
      && (answer->reading != READS_ALL || connection->received >= connection->expected))
    send_answer (connection);
}

static void
on_connection (uv_stream_t *stream, int status)
{
  Connection *connection = &connections[connection_count];

  (void) status;
  UNIT_REQUIRE (connection_count < sizeof connections / sizeof connections[0]);
  connection_count++;
  memset (connection, 0, sizeof *connection);
  (void) uv_tcp_init (stream->loop, &connection->tcp);
  (void) uv_timer_init (stream->loop, &connection->timer);
  connection->tcp.data = connection->timer.data = connection;
  (void) uv_accept (stream, (uv_stream_t *) &connection->tcp);
  (void) uv_read_start ((uv_stream_t *) &connection->tcp, provide_buffer, on_request_bytes);
}

static void
open_front (const Answer *next_answer, const Upload *upload)
{
  struct sockaddr_in address;
  int size = sizeof address;

  answer = next_answer;
  connection_count = 0;
  routed_front_open_sized (&front, 1, 2 * LONG_BODY);
  (void) uv_ip4_addr ("127.0.0.1", 0, &address);
  (void) uv_tcp_init (&front.loop, &listener);
  (void) uv_tcp_bind (&listener, (const struct sockaddr *) &address, 0);
  UNIT_REQUIRE (uv_listen ((uv_stream_t *) &listener, 16, on_connection) == 0);
  (void) uv_tcp_getsockname (&listener, (struct sockaddr *) &address, &size);
  if (strncmp (upload->path, "/two/", 5) != 0) // engines are listed by the fixture
    routed_board_list_servers (&front.routed, ROUTED_PLAIN_SERVICE, 1, "p1");
  TT_LIST_FOREACH (&front.routed.board->backends.all, it)
    TT_CONTAINER_OF (it, TtBackendServer, link)->port = ntohs (address.sin_port);
}

static void
close_front (void)
{
  for (unsigned i = 0; i < connection_count; i++)
    close_connection (&connections[i]);
  uv_close ((uv_handle_t *) &listener, NULL);
  routed_front_close (&front);
}

static void
on_timeout (uv_timer_t *timer)
{
  caller.timed_out = true;
  uv_stop (timer->loop);
}

static void
provide_answer_buffer (uv_handle_t *handle, size_t size, uv_buf_t *buffer)
{
  (void) handle, (void) size;
  *buffer = uv_buf_init (caller.data + caller.size, (unsigned) (RECEIVED_MAX - caller.size));
}

static bool
is_whole_failure (void)
{
  const char *body = strstr (caller.data, "\r\n\r\n");
  const char *length = find_length (caller.data);

  return body != NULL && length != NULL && strncmp (caller.data, "HTTP/1.1 200", 12) != 0
         && strlen (body + 4) >= strtoul (length, NULL, 10);
}

static void
on_answer_bytes (uv_stream_t *stream, ssize_t size, const uv_buf_t *buffer)
{
  (void) buffer;
  caller.ended = size == UV_EOF;
  caller.failed = size < 0 && size != UV_EOF;
  if (size > 0)
    caller.size += (size_t) size;
  if (size < 0 || is_whole_failure ())
    uv_stop (stream->loop);
}

static void
on_connected (uv_connect_t *connect, int status)
{
  const Upload *upload = connect->data;
  uv_buf_t parts[] = { uv_buf_init (caller.head, (unsigned) strlen (caller.head)),
                       uv_buf_init (caller.body, (unsigned) upload->body_size),
                       uv_buf_init ("\r\n0\r\n\r\n", upload->chunked ? 7 : 0) };

  UNIT_REQUIRE (status == 0);
  (void) uv_write (&caller.writes[0], connect->handle, parts, 3, NULL);
  (void) uv_read_start (connect->handle, provide_answer_buffer, on_answer_bytes);
}

/// Sends a request, and waits for an answer with a whole body or the end of the connection.
static void
send_upload (const Upload *upload)
{
  struct sockaddr_in address;
  char framing[64];

  memset (&caller, 0, sizeof caller);
  caller.body = malloc (upload->body_size);
  memset (caller.body, 'x', upload->body_size);
  (void) snprintf (framing, sizeof framing,
                   upload->chunked ? "Transfer-Encoding: chunked\r\n\r\n%zx\r\n"
                                   : "Content-Length: %zu\r\n\r\n",
                   upload->body_size);
  (void) snprintf (
      caller.head, sizeof caller.head,
      "POST %s HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer k\r\nAttempt-Id: r1\r\n%s%s",
      upload->path, upload->headers, framing);
  caller.connect.data = (void *) upload;
  (void) uv_ip4_addr ("127.0.0.1", (int) front.port, &address);
  (void) uv_tcp_init (&front.loop, &caller.tcp);
  (void) uv_timer_init (&front.loop, &caller.timer);
  (void) uv_timer_start (&caller.timer, on_timeout, TIMEOUT_MS, 0);
  (void) uv_tcp_connect (&caller.connect, &caller.tcp, (const struct sockaddr *) &address,
                         on_connected);
  (void) uv_run (&front.loop, UV_RUN_DEFAULT);
  uv_close ((uv_handle_t *) &caller.timer, NULL);
  uv_close ((uv_handle_t *) &caller.tcp, NULL);
  for (unsigned i = 0; i < TIMEOUT_MS && tt_caller_server_count_open_requests (front.callers) > 0;
       i++)
    routed_front_run (&front, 1);
  free (caller.body);
}

/// Head of the final answer; an interim one is skipped.
static const char *
final_head (void)
{
  const char *head = caller.data;

  if (strncmp (head, "HTTP/1.1 100", 12) == 0 && strstr (head, "\r\n\r\n") != NULL)
    head = strstr (head, "\r\n\r\n") + 4;
  return head;
}

/// True if the caller has a success that looks complete.
static bool
looks_complete (void)
{
  const char *head = final_head ();
  const char *body = strstr (head, "\r\n\r\n");
  const char *length = find_length (head);

  if (strncmp (head, "HTTP/1.1 200", 12) != 0 || body == NULL)
    return false;
  if (length != NULL && length < body)
    return strlen (body + 4) >= strtoul (length, NULL, 10);
  if (strstr (head, "chunked") != NULL)
    return strstr (body, "\r\n0\r\n\r\n") != NULL;
  return caller.ended;
}

static const Upload uploads[] = {
  { "length", "/once/x", "Connection: close\r\n", LONG_BODY, false },
  { "chunks", "/once/x", "Connection: close\r\n", LONG_BODY, true },
  { "kept connection", "/once/x", "", LONG_BODY, false },
  { "Expect", "/once/x", "Expect: 100-continue\r\n", LONG_BODY, false },
  { "repeatable", "/get/x", "Connection: close\r\n", LONG_BODY, false },
  { "stream", "/two/x", "Connection: close\r\n", LONG_BODY, false },
  { "short body", "/once/x", "Connection: close\r\n", SHORT_BODY, false },
};

/// Sends each upload to a backend server with each answer. RETURN the number of cases for which
/// the caller saw something else than a broken answer or a failure that promises nothing.
static unsigned
count_wrong (const Answer *answers, size_t count)
{
  unsigned wrong = 0;

  for (size_t i = 0; i < count; i++)
    for (size_t k = 0; k < sizeof uploads / sizeof uploads[0]; k++)
      {
        const char *head;
        bool is_refusal;

        if (answers[i].reading != READS_ALL && answers[i].ending != ENDS_BY_RESET
            && uploads[k].body_size == SHORT_BODY)
          continue; // has arrived with the head, so the connection is closed in order
        open_front (&answers[i], &uploads[k]);
        send_upload (&uploads[k]);
        head = final_head ();
        is_refusal
            = strncmp (head, "HTTP/1.1 503", 12) == 0 || strncmp (head, "HTTP/1.1 429", 12) == 0
              || strncmp (head, "HTTP/1.1 408", 12) == 0 || strncmp (head, "HTTP/1.1 421", 12) == 0;
        if (looks_complete () || is_refusal || caller.timed_out
            || strncmp (head, "HTTP/1.1 000", 12) == 0 || connection_count == 0)
          {
            wrong++;
            printf ("%s, upload %s: %s%s%.60s\n", answers[i].name, uploads[k].name,
                    looks_complete () ? "looks complete " : "",
                    caller.timed_out ? "timed out " : "", head);
          }
        close_front ();
      }
  return wrong;
}

#define STREAM "Content-Type: text/event-stream\r\n"

/// Guards against a part of an answer that looks complete because its connection was reset while
/// the request was still being written.
static void
reset_while_writing (void)
{
  static const Answer answers[] = {
    { "no length, reset", "200 OK\r\n", "partial", READS_HEAD, ENDS_BY_RESET, RESET_DELAY_MS },
    { "no length, reset at once", "200 OK\r\n", "partial", READS_HEAD, ENDS_BY_RESET, 0 },
    { "no length, closed", "200 OK\r\n", "partial", READS_HEAD, ENDS_BY_CLOSE, RESET_DELAY_MS },
    { "no length, closed at once", "200 OK\r\n", "partial", READS_HEAD, ENDS_BY_CLOSE, 0 },
    { "no length, reads on, closed", "200 OK\r\n", "partial", READS_ON, ENDS_BY_CLOSE, 0 },
    { "no length, reads on, reset", "200 OK\r\n", "partial", READS_ON, ENDS_BY_RESET, 0 },
    { "no length, ended", "200 OK\r\n", "partial", READS_HEAD, ENDS_IN_ORDER, RESET_DELAY_MS },
    { "no length, no body, reset", "200 OK\r\n", "", READS_HEAD, ENDS_BY_RESET, RESET_DELAY_MS },
    { "chunks, reset", "200 OK\r\nTransfer-Encoding: chunked\r\n", "7\r\npartial\r\n", READS_HEAD,
      ENDS_BY_RESET, RESET_DELAY_MS },
    { "part of the length, reset", "200 OK\r\nContent-Length: 20\r\n", "partial", READS_HEAD,
      ENDS_BY_RESET, RESET_DELAY_MS },
    { "stream without length, reset", "200 OK\r\n" STREAM, "id: 1\ndata: x\n\n", READS_HEAD,
      ENDS_BY_RESET, RESET_DELAY_MS },
  };

  CU_ASSERT_EQUAL (count_wrong (answers, sizeof answers / sizeof answers[0]), 0);
}

/// Guards against the same after the last byte of the request was written.
static void
reset_after_writing (void)
{
  static const Answer answers[] = {
    { "no length, reset", "200 OK\r\n", "partial", READS_ALL, ENDS_BY_RESET, RESET_DELAY_MS },
    { "no length, reset at once", "200 OK\r\n", "partial", READS_ALL, ENDS_BY_RESET, 0 },
    { "chunks, reset", "200 OK\r\nTransfer-Encoding: chunked\r\n", "7\r\npartial\r\n", READS_ALL,
      ENDS_BY_RESET, RESET_DELAY_MS },
    { "part of the length, closed", "200 OK\r\nContent-Length: 20\r\n", "partial", READS_ALL,
      ENDS_BY_CLOSE, RESET_DELAY_MS },
  };

  CU_ASSERT_EQUAL (count_wrong (answers, sizeof answers / sizeof answers[0]), 0);
}

/// Guards against an answer whose status is no status.
static void
status_of_no_form (void)
{
  static const Answer answers[] = {
    { "000", "000 X\r\nContent-Length: 7\r\n", "partial", READS_ALL, ENDS_IN_ORDER, 0 },
    { "000, no length", "000 X\r\n", "partial", READS_ALL, ENDS_IN_ORDER, 0 },
    { "000 before the body was read", "000 X\r\nContent-Length: 7\r\n", "partial", READS_HEAD,
      ENDS_BY_RESET, RESET_DELAY_MS },
    { "000 without a reason", "000\r\nContent-Length: 7\r\n", "partial", READS_ALL, ENDS_IN_ORDER,
      0 },
    { "099", "099 X\r\nContent-Length: 7\r\n", "partial", READS_ALL, ENDS_IN_ORDER, 0 },
    { "600", "600 X\r\nContent-Length: 7\r\n", "partial", READS_ALL, ENDS_IN_ORDER, 0 },
  };

  CU_ASSERT_EQUAL (count_wrong (answers, sizeof answers / sizeof answers[0]), 0);
}

/// Guards against a check that fails sound answers: whole ones, also without a length, or before
/// the request was read.
static void
sound_answers (void)
{
  static const Answer answers[] = {
    { "no length", "200 OK\r\n", "whole", READS_ALL, ENDS_IN_ORDER, 0 },
    { "length", "200 OK\r\nContent-Length: 5\r\n", "whole", READS_ALL, ENDS_IN_ORDER, 0 },
    { "chunks", "200 OK\r\nTransfer-Encoding: chunked\r\n", "5\r\nwhole\r\n0\r\n\r\n", READS_ALL,
      ENDS_IN_ORDER, 0 },
    { "length, early", "200 OK\r\nContent-Length: 5\r\n", "whole", READS_HEAD, ENDS_IN_ORDER, 500 },
  };

  for (size_t i = 0; i < sizeof answers / sizeof answers[0]; i++)
    for (size_t k = 0; k < sizeof uploads / sizeof uploads[0]; k++)
      {
        if (strcmp (uploads[k].name, "stream") == 0 || strcmp (uploads[k].headers, "") == 0
            || strncmp (uploads[k].headers, "Expect", 6) == 0)
          continue; // the caller waits for the end of the connection
        open_front (&answers[i], &uploads[k]);
        send_upload (&uploads[k]);
        if (!looks_complete ())
          printf ("%s, upload %s: %.80s\n", answers[i].name, uploads[k].name, caller.data);
        CU_ASSERT (looks_complete ());
        CU_ASSERT (strstr (caller.data, "whole") != NULL);
        close_front ();
      }
}

static const UnitTest tests[] = {
  { "reset_while_writing", reset_while_writing },
  { "reset_after_writing", reset_after_writing },
  { "status_of_no_form", status_of_no_form },
  { "sound_answers", sound_answers },
};

UNIT_MAIN ("early_answer", tests)
