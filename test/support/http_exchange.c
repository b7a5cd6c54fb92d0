#include "support/http_exchange.h"
#include "support/free_port.h"
#include "support/unit.h"
#include <h2o.h>
#include <string.h>

#define TEST_TIMEOUT_MS 5000
#define IDLE_TIMEOUT_MS 200 ///< idle time after which no further response is expected

static void
on_request (void *context, h2o_req_t *request)
{
  HttpExchange *exchange = context;

  exchange->requests++;
  tt_http_server_send_response (request, 200, "text/plain", "ok", 2);
}

static void
stop_loop (uv_timer_t *timer)
{
  uv_stop (timer->loop);
}

static void
provide_buffer (uv_handle_t *handle, size_t size, uv_buf_t *buffer)
{
  HttpExchange *exchange = handle->data;

  (void) size;
  *buffer = uv_buf_init (exchange->response + exchange->size,
                         (unsigned) (sizeof exchange->response - 1 - exchange->size));
}

static void
on_read (uv_stream_t *stream, ssize_t size, const uv_buf_t *buffer)
{
  HttpExchange *exchange = stream->data;

  (void) buffer;
  if (size < 0)
    {
      uv_stop (stream->loop);
      return;
    }
  exchange->size += (size_t) size;
  (void) uv_timer_start (&exchange->timeout_timer, stop_loop, IDLE_TIMEOUT_MS, 0);
}

static void
on_connect (uv_connect_t *connect, int status)
{
  HttpExchange *exchange = connect->handle->data;
  uv_buf_t buffer = uv_buf_init ((char *) exchange->bytes, (unsigned) strlen (exchange->bytes));

  CU_ASSERT_EQUAL (status, 0);
  (void) uv_write (&exchange->write, connect->handle, &buffer, 1, NULL);
  (void) uv_read_start (connect->handle, provide_buffer, on_read);
}

void
http_exchange_open (HttpExchange *exchange, const char *bytes)
{
  TtHttpServerOptions options = { .address = "127.0.0.1",
                                  .max_connections = 4,
                                  .max_body_bytes = 4096,
                                  .max_header_bytes = 4096,
                                  .read_timeout_ms = TEST_TIMEOUT_MS,
                                  .context = exchange,
                                  .on_request = on_request };
  struct sockaddr_in address;
  TtError error = { 0 };

  memset (exchange, 0, sizeof *exchange);
  exchange->bytes = bytes;
  (void) uv_loop_init (&exchange->loop);
  (void) uv_timer_init (&exchange->loop, &exchange->timeout_timer);
  (void) uv_timer_start (&exchange->timeout_timer, stop_loop, TEST_TIMEOUT_MS, 0);
  options.port = (uint16_t) free_port_find ();
  exchange->server = tt_http_server_new (&exchange->loop, &options, &error);
  UNIT_REQUIRE (exchange->server != NULL);
  (void) uv_ip4_addr ("127.0.0.1", options.port, &address);
  (void) uv_tcp_init (&exchange->loop, &exchange->caller);
  exchange->caller.data = exchange;
  (void) uv_tcp_connect (&exchange->connect, &exchange->caller, (const struct sockaddr *) &address,
                         on_connect);
  (void) uv_run (&exchange->loop, UV_RUN_DEFAULT);
}

void
http_exchange_close (HttpExchange *exchange)
{
  uv_close ((uv_handle_t *) &exchange->caller, NULL);
  uv_close ((uv_handle_t *) &exchange->timeout_timer, NULL);
  (void) uv_run (&exchange->loop, UV_RUN_NOWAIT);
  tt_http_server_free (exchange->server);
  (void) uv_loop_close (&exchange->loop);
}
