#include "support/intake_server.h"
#include "support/unit.h"
#include <h2o.h>
#include <stdlib.h>
#include <string.h>

#define RUN_LIMIT_MS 10000 ///< for what a test waits for

enum
{
  CALLERS = 8,
  MB = 1 << 20,
  BODY_BYTES = 256 << 10, ///< limit of the server
  MEMORY_BYTES = 4 * MB   ///< of which the account has a quarter
};

/// A caller's connection.
typedef struct
{
  uv_tcp_t tcp;
  uv_connect_t connect;
  unsigned writes; ///< in progress
  size_t size;
  bool ended;  ///< the server closed the connection in order
  bool failed; ///< the connection was reset
  char response[8192];
} Caller;

typedef struct
{
  uv_write_t write;
  char bytes[];
} Write;

static IntakeServer fixture;
static Caller callers[CALLERS];
static unsigned requests;
static size_t last_body_size;
static bool held; ///< requests are not answered
static h2o_req_t *held_request;

static void
answer (h2o_req_t *request)
{
  tt_http_server_send_response (request, 200, "text/plain", "ok", 2);
}

static void
on_request (void *context, h2o_req_t *request)
{
  (void) context;
  requests++;
  last_body_size = request->entity.len;
  for (size_t i = 0; i < request->entity.len; i++)
    if (request->entity.base[i] != 'x')
      last_body_size = 0;
  if (held)
    held_request = request;
  else
    answer (request);
}

static void
open_server (size_t memory_bytes, uint32_t max_connections)
{
  const TtHttpServerOptions options = { .max_connections = max_connections,
                                        .max_body_bytes = BODY_BYTES,
                                        .max_header_bytes = 4096,
                                        .read_timeout_ms = 60000,
                                        .on_request = on_request };

  intake_server_open (&fixture, &options, memory_bytes);
  memset (callers, 0, sizeof callers);
  requests = 0;
  held = false;
}

static void
provide_buffer (uv_handle_t *handle, size_t size, uv_buf_t *buffer)
{
  Caller *caller = (Caller *) handle;

  (void) size;
  *buffer = uv_buf_init (caller->response + caller->size,
                         (unsigned) (sizeof caller->response - 1 - caller->size));
}

static void
on_read (uv_stream_t *stream, ssize_t size, const uv_buf_t *buffer)
{
  Caller *caller = (Caller *) stream;

  (void) buffer;
  if (size > 0)
    caller->size += (size_t) size;
  caller->ended = caller->ended || size == UV_EOF;
  caller->failed = caller->failed || (size < 0 && size != UV_EOF);
  if (size < 0)
    (void) uv_read_stop (stream);
}

static void
on_connected (uv_connect_t *connect, int status)
{
  UNIT_REQUIRE (status == 0);
  (void) uv_read_start (connect->handle, provide_buffer, on_read);
}

static void
connect_caller (unsigned index)
{
  Caller *caller = &callers[index];
  struct sockaddr_in address;

  (void) uv_ip4_addr ("127.0.0.1", fixture.port, &address);
  (void) uv_tcp_init (&fixture.loop, &caller->tcp);
  (void) uv_tcp_nodelay (&caller->tcp, 1);
  (void) uv_tcp_connect (&caller->connect, &caller->tcp, (const struct sockaddr *) &address,
                         on_connected);
}

static void
on_written (uv_write_t *write, int status)
{
  (void) status;
  ((Caller *) write->handle)->writes--;
  free (write->data);
}

static void
send_bytes (unsigned index, const char *bytes, size_t size)
{
  Write *write = malloc (sizeof *write + size);
  uv_buf_t buffer = uv_buf_init (write->bytes, (unsigned) size);

  memcpy (write->bytes, bytes, size);
  write->write.data = write;
  callers[index].writes++;
  if (uv_write (&write->write, (uv_stream_t *) &callers[index].tcp, &buffer, 1, on_written) != 0)
    {
      callers[index].writes--;
      free (write);
    }
}

static void
send_text (unsigned index, const char *text)
{
  send_bytes (index, text, strlen (text));
}

/// Sends bytes of a body.
static void
send_body (unsigned index, size_t size)
{
  char *bytes = malloc (size);

  memset (bytes, 'x', size);
  send_bytes (index, bytes, size);
  free (bytes);
}

static void
run (unsigned ms)
{
  intake_server_run (&fixture, ms);
}

/// Runs the loop until a caller's response contains a text, or its connection has ended. RETURN
/// true if it contains the text.
static bool
wait_for (unsigned index, const char *text)
{
  Caller *caller = &callers[index];

  for (unsigned ms = 0; ms < RUN_LIMIT_MS; ms++)
    {
      run (1);
      if (strstr (caller->response, text) != NULL)
        return true;
      if (caller->ended || caller->failed)
        break;
    }
  return strstr (caller->response, text) != NULL;
}

static bool
wait_for_end (unsigned index)
{
  for (unsigned ms = 0; ms < RUN_LIMIT_MS && !callers[index].ended && !callers[index].failed; ms++)
    run (1);
  return callers[index].ended;
}

/// Closes the callers' connections and the server. The account must be empty then.
static void
close_server (void)
{
  for (unsigned i = 0; i < CALLERS; i++)
    if (callers[i].tcp.loop != NULL)
      uv_close ((uv_handle_t *) &callers[i].tcp, NULL);
  intake_server_close (&fixture);
}

/// Guards against a refusal that is lost because the connection is reset while the caller sends.
static void
refusal_is_readable (void)
{
  static const struct
  {
    const char *head;
    const char *status;
    unsigned body_bytes;
  } cases[] = {
    { "Content-Length: 10000000\r\n\r\n", "HTTP/1.1 413", 400000 },
    { "Transfer-Encoding: chunked\r\n\r\n30000\r\n", "HTTP/1.1 413", 0x30000 },
    { "Transfer-Encoding: chunked\r\n\r\n2zz\r\n", "HTTP/1.1 400", 400000 },
    { "X-Pad: ", "HTTP/1.1 431", 400000 },
  };

  for (size_t i = 0; i < sizeof cases / sizeof cases[0]; i++)
    {
      open_server (MEMORY_BYTES, 16);
      connect_caller (0);
      send_text (0, "POST /a HTTP/1.1\r\nHost: h\r\n");
      send_text (0, cases[i].head);
      for (unsigned k = 0; k < 4; k++)
        {
          send_body (0, cases[i].body_bytes);
          if (cases[i].body_bytes == 0x30000)
            send_text (0, "\r\n30000\r\n");
          run (5);
        }
      CU_ASSERT (wait_for (0, cases[i].status));
      CU_ASSERT (strstr (callers[0].response, "Connection: close") != NULL);
      CU_ASSERT (wait_for_end (0));
      CU_ASSERT (!callers[0].failed);
      CU_ASSERT_EQUAL (requests, 0);
      CU_ASSERT_EQUAL (fixture.board->counters[TT_COUNT_CALLERS_REFUSED], 1);
      close_server ();
    }
}

/// Guards against a refusal that takes the place of the answer to an earlier request on the
/// connection.
static void
refusal_after_earlier_answer (void)
{
  open_server (MEMORY_BYTES, 16);
  held = true;
  connect_caller (0);
  send_text (0, "GET /a HTTP/1.1\r\nHost: h\r\n\r\n"
                "POST /b HTTP/1.1\r\nHost: h\r\nContent-Length: 10000000\r\n\r\nx");
  for (unsigned ms = 0; ms < RUN_LIMIT_MS && requests == 0; ms++)
    run (1);
  run (20);
  CU_ASSERT_EQUAL (callers[0].size, 0);
  answer (held_request);
  CU_ASSERT (wait_for (0, "HTTP/1.1 413"));
  CU_ASSERT_EQUAL (strncmp (callers[0].response, "HTTP/1.1 200", 12), 0);
  CU_ASSERT_EQUAL (requests, 1);
  close_server ();
}

/// Guards against requests on a kept connection whose ends are missed, however their bytes arrive.
static void
kept_connection (void)
{
  static const char text[] = "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nxxx"
                             "GET /b HTTP/1.1\r\nHost: h\r\n\r\n"
                             "POST /c HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
                             "1\r\nx\r\n2;a=b\r\nxx\r\n0\r\nT: v\r\n\r\n";
  static const size_t pieces[] = { 1, 7, 50, sizeof text };

  for (size_t i = 0; i < sizeof pieces / sizeof pieces[0]; i++)
    {
      open_server (MEMORY_BYTES, 16);
      connect_caller (0);
      for (unsigned round = 1; round <= 3; round++)
        {
          for (size_t at = 0; at < sizeof text - 1; at += pieces[i])
            {
              size_t rest = sizeof text - 1 - at;

              send_bytes (0, text + at, rest < pieces[i] ? rest : pieces[i]);
              run (0);
            }
          for (unsigned ms = 0; ms < RUN_LIMIT_MS && requests < 3 * round; ms++)
            run (1);
          CU_ASSERT_EQUAL (requests, 3 * round);
          CU_ASSERT_EQUAL (last_body_size, 3);
        }
      send_text (0, "POST /c HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n0x2\r\n");
      CU_ASSERT (wait_for (0, "HTTP/1.1 400"));
      CU_ASSERT_EQUAL (requests, 9);
      close_server ();
    }
}

/// Guards against a caller that waits for "100 Continue" and is told to send a body that is
/// refused.
static void
expect_continue (void)
{
  open_server (MEMORY_BYTES, 16);
  connect_caller (0);
  send_text (0, "POST /a HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\n"
                "Content-Length: 10000000\r\n\r\n");
  CU_ASSERT (wait_for (0, "HTTP/1.1 413"));
  CU_ASSERT (strstr (callers[0].response, "HTTP/1.1 100") == NULL);
  connect_caller (1);
  send_text (1, "POST /a HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\n"
                "Content-Length: 3\r\n\r\n");
  CU_ASSERT (wait_for (1, "HTTP/1.1 100"));
  send_text (1, "xxx");
  CU_ASSERT (wait_for (1, "HTTP/1.1 200"));
  close_server ();
}

/// Guards against an account that refuses a single body at the limit, or damages it.
static void
lone_body (void)
{
  open_server (MEMORY_BYTES, 16);
  connect_caller (0);
  for (unsigned i = 1; i <= 3; i++)
    {
      send_text (0, "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 262144\r\n\r\n");
      send_body (0, BODY_BYTES);
      for (unsigned ms = 0; ms < RUN_LIMIT_MS && requests < i; ms++)
        run (1);
      CU_ASSERT_EQUAL (requests, i);
      CU_ASSERT_EQUAL (last_body_size, BODY_BYTES);
    }
  CU_ASSERT_EQUAL (fixture.board->counters[TT_COUNT_CALLERS_REFUSED], 0);
  close_server ();
}

/// Guards against a limit that refuses a body in chunks which is exactly as long.
static void
chunks_at_the_limit (void)
{
  open_server (MEMORY_BYTES, 16);
  connect_caller (0);
  send_text (0, "POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n40000\r\n");
  send_body (0, BODY_BYTES);
  send_text (0, "\r\n0\r\n\r\n");
  CU_ASSERT (wait_for (0, "HTTP/1.1 200"));
  CU_ASSERT_EQUAL (last_body_size, BODY_BYTES);
  send_text (0, "POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n40000\r\n");
  send_body (0, BODY_BYTES);
  send_text (0, "\r\n1\r\n");
  CU_ASSERT (wait_for (0, "HTTP/1.1 413"));
  CU_ASSERT_EQUAL (requests, 1);
  close_server ();
}

/// Guards against stalled bodies that shut out others, and against refusals that do not say when to
/// come back. A refused request must never run, whatever still arrives.
static void
stalled_bodies (void)
{
  open_server (MEMORY_BYTES, 16);
  for (unsigned i = 0; i < 6; i++)
    {
      connect_caller (i);
      send_text (i, "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 262144\r\n\r\n");
      send_body (i, BODY_BYTES - 1);
      run (50);
    }
  CU_ASSERT (wait_for (0, "HTTP/1.1 503"));
  CU_ASSERT (strstr (callers[0].response, "retry-after: ") != NULL);
  send_body (0, 1);
  connect_caller (6);
  send_text (6, "GET /b HTTP/1.1\r\nHost: h\r\n\r\n");
  CU_ASSERT (wait_for (6, "HTTP/1.1 200"));
  CU_ASSERT (fixture.board->intake.held_bytes <= fixture.board->intake.max_bytes);
  send_body (5, 1);
  CU_ASSERT (wait_for (5, "HTTP/1.1 200"));
  CU_ASSERT_EQUAL (requests, 2);
  close_server ();
}

/// Guards against silent connections that take all of a port.
static void
full_port (void)
{
  open_server (MEMORY_BYTES, 3);
  for (unsigned i = 0; i < 6; i++)
    {
      connect_caller (i);
      run (5);
    }
  connect_caller (6);
  send_text (6, "GET /b HTTP/1.1\r\nHost: h\r\n\r\n");
  CU_ASSERT (wait_for (6, "HTTP/1.1 200"));
  CU_ASSERT (wait_for_end (0));
  CU_ASSERT_FALSE (callers[5].ended);
  close_server ();
}

/// Guards against a caller that sends on while its request is served: the kernel keeps what it
/// sends, and the account must not lose count.
static void
caller_gone_while_served (void)
{
  open_server (MEMORY_BYTES, 16);
  held = true;
  connect_caller (0);
  send_text (0, "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 262144\r\n\r\n");
  send_body (0, BODY_BYTES);
  for (unsigned ms = 0; ms < RUN_LIMIT_MS && requests == 0; ms++)
    run (1);
  send_body (0, MB);
  run (20);
  uv_close ((uv_handle_t *) &callers[0].tcp, NULL);
  callers[0].tcp.loop = NULL;
  run (20);
  answer (held_request);
  close_server ();
}

static const UnitTest tests[] = {
  { "refusal_is_readable", refusal_is_readable },
  { "refusal_after_earlier_answer", refusal_after_earlier_answer },
  { "kept_connection", kept_connection },
  { "expect_continue", expect_continue },
  { "lone_body", lone_body },
  { "chunks_at_the_limit", chunks_at_the_limit },
  { "stalled_bodies", stalled_bodies },
  { "full_port", full_port },
  { "caller_gone_while_served", caller_gone_while_served },
};

UNIT_MAIN ("http_intake", tests)
