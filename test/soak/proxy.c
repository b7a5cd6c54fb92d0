#include "proxy.h"
#include "tarragontrack/board/list.h"
#include <netinet/in.h>
#include <stdlib.h>
#include <string.h>

#define BACKLOG 128
#define READ_BYTES 16384

struct Proxy
{
  uv_loop_t *loop;
  uv_tcp_t listener;
  uint16_t port;
  uint16_t target;
  ProxyMode mode;
  uint32_t delay_ms;
  TtList connections;
};

/// A proxied connection.
typedef struct
{
  TtLink link;
  Proxy *proxy;
  uv_tcp_t downstream; ///< to the daemon
  uv_tcp_t upstream;   ///< to the external system
  uv_connect_t connect;
  unsigned references; ///< open sockets and chunks in transit; freed at 0
  bool closing;
  bool discards_data; ///< until it is closed, as behind a middlebox that lost its state
  uint32_t delay_ms;  ///< of responses; constant per connection, so that bytes stay in order
} Connection;

/// Data in transit.
typedef struct
{
  uv_write_t write;
  uv_timer_t timer;
  Connection *connection;
  uv_stream_t *destination;
  size_t size;
  char bytes[READ_BYTES];
} Chunk;

static void
on_closed (uv_handle_t *handle)
{
  Connection *connection = handle->data;

  if (--connection->references == 0)
    free (connection);
}

static void
close_connection (Connection *connection, bool reset)
{
  if (connection->closing)
    return;
  connection->closing = true;
  tt_list_remove (&connection->proxy->connections, &connection->link);
  if (reset && uv_tcp_close_reset (&connection->downstream, on_closed) == 0)
    ;
  else
    uv_close ((uv_handle_t *) &connection->downstream, on_closed);
  uv_close ((uv_handle_t *) &connection->upstream, on_closed);
}

static void
allocate_buffer (uv_handle_t *handle, size_t size, uv_buf_t *buffer)
{
  Chunk *chunk = malloc (sizeof *chunk);

  (void) size;
  chunk->connection = handle->data;
  *buffer = uv_buf_init (chunk->bytes, READ_BYTES);
}

static void
on_written (uv_write_t *write, int status)
{
  Chunk *chunk = write->data;
  Connection *connection = chunk->connection;

  if (status < 0)
    close_connection (connection, false);
  if (--connection->references == 0)
    free (connection);
  free (chunk);
}

static void
write_chunk (Chunk *chunk)
{
  uv_buf_t buffer = uv_buf_init (chunk->bytes, (unsigned) chunk->size);

  chunk->write.data = chunk;
  if (chunk->connection->closing
      || uv_write (&chunk->write, chunk->destination, &buffer, 1, on_written) != 0)
    {
      if (--chunk->connection->references == 0)
        free (chunk->connection);
      free (chunk);
    }
}

static void
on_timer_closed (uv_handle_t *handle)
{
  write_chunk (handle->data);
}

static void
on_delay_elapsed (uv_timer_t *timer)
{
  uv_close ((uv_handle_t *) timer, on_timer_closed);
}

/// Forwards data immediately or after a delay. The chunk holds a reference to the connection until
/// it is written.
static void
forward_chunk (Chunk *chunk, uv_stream_t *destination, size_t size, uint32_t delay_ms)
{
  chunk->destination = destination;
  chunk->size = size;
  chunk->connection->references++;
  if (delay_ms == 0)
    {
      write_chunk (chunk);
      return;
    }
  (void) uv_timer_init (chunk->connection->proxy->loop, &chunk->timer);
  chunk->timer.data = chunk;
  (void) uv_timer_start (&chunk->timer, on_delay_elapsed, delay_ms, 0);
}

static void
on_read (uv_stream_t *stream, ssize_t size, const uv_buf_t *buffer)
{
  Connection *connection = stream->data;
  bool is_response = stream == (uv_stream_t *) &connection->upstream;
  Chunk *chunk = buffer->base != NULL ? TT_CONTAINER_OF (buffer->base, Chunk, bytes) : NULL;

  if (connection->proxy->mode == PROXY_DISCARD_ALL
      || (is_response && connection->proxy->mode == PROXY_DISCARD_RESPONSES))
    connection->discards_data = true;
  if (chunk != NULL && size > 0 && !connection->discards_data)
    {
      forward_chunk (
          chunk, (uv_stream_t *) (is_response ? &connection->downstream : &connection->upstream),
          (size_t) size, is_response ? connection->delay_ms : 0);
      return;
    }
  free (chunk);
  if (size < 0 && (!is_response || !connection->discards_data))
    close_connection (connection, false);
}

static void
on_connected (uv_connect_t *connect, int status)
{
  Connection *connection = connect->data;

  if (connection->closing)
    return;
  if (status != 0)
    {
      close_connection (connection, true);
      return;
    }
  (void) uv_read_start ((uv_stream_t *) &connection->downstream, allocate_buffer, on_read);
  (void) uv_read_start ((uv_stream_t *) &connection->upstream, allocate_buffer, on_read);
}

static void
on_connection (uv_stream_t *listener, int status)
{
  Proxy *proxy = listener->data;
  Connection *connection = status == 0 ? calloc (1, sizeof *connection) : NULL;
  struct sockaddr_in address;

  if (connection == NULL)
    return;
  connection->proxy = proxy;
  connection->delay_ms = proxy->delay_ms;
  connection->references = 2;
  connection->downstream.data = connection->upstream.data = connection->connect.data = connection;
  (void) uv_tcp_init (proxy->loop, &connection->downstream);
  (void) uv_tcp_init (proxy->loop, &connection->upstream);
  connection->downstream.data = connection->upstream.data = connection;
  tt_list_append (&proxy->connections, &connection->link);
  if (uv_accept (listener, (uv_stream_t *) &connection->downstream) != 0
      || proxy->mode == PROXY_RESET)
    {
      close_connection (connection, true);
      return;
    }
  (void) uv_tcp_nodelay (&connection->downstream, 1);
  (void) uv_tcp_nodelay (&connection->upstream, 1);
  (void) uv_ip4_addr ("127.0.0.1", proxy->target, &address);
  if (uv_tcp_connect (&connection->connect, &connection->upstream,
                      (const struct sockaddr *) &address, on_connected)
      != 0)
    close_connection (connection, true);
}

Proxy *
proxy_new (uv_loop_t *loop, uint16_t target_port)
{
  Proxy *proxy = calloc (1, sizeof *proxy);
  struct sockaddr_in address;
  int length = sizeof address;

  if (proxy == NULL)
    return NULL;
  proxy->loop = loop;
  proxy->target = target_port;
  tt_list_init (&proxy->connections);
  (void) uv_ip4_addr ("127.0.0.1", 0, &address);
  (void) uv_tcp_init (loop, &proxy->listener);
  proxy->listener.data = proxy;
  if (uv_tcp_bind (&proxy->listener, (const struct sockaddr *) &address, 0) != 0
      || uv_listen ((uv_stream_t *) &proxy->listener, BACKLOG, on_connection) != 0
      || uv_tcp_getsockname (&proxy->listener, (struct sockaddr *) &address, &length) != 0)
    {
      free (proxy); // the program exits; the handle is not closed
      return NULL;
    }
  proxy->port = ntohs (address.sin_port);
  return proxy;
}

uint16_t
proxy_port (const Proxy *proxy)
{
  return proxy->port;
}

void
proxy_set_target (Proxy *proxy, uint16_t port)
{
  proxy->target = port;
}

void
proxy_set_mode (Proxy *proxy, ProxyMode mode)
{
  proxy->mode = mode;
}

void
proxy_set_delay (Proxy *proxy, uint32_t delay_ms)
{
  proxy->delay_ms = delay_ms;
}

void
proxy_reset (Proxy *proxy)
{
  TtLink *link;

  while ((link = tt_list_first (&proxy->connections)) != NULL)
    close_connection (TT_CONTAINER_OF (link, Connection, link), true);
}
