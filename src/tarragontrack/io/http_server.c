#include "tarragontrack/board/error.h"
#include "tarragontrack/codec/chat.h"
#include "tarragontrack/control/intake.h"
#include "tarragontrack/io/http_server_defs.h"
#include <h2o/http1.h>
#include <h2o/http2.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/socket.h>

#define BACKLOG 512
#define KEEPALIVE_S 60
#define CLOSE_LOOP_ITERATIONS 8 ///< loop iterations in which libuv closes handles

typedef struct
{
  h2o_handler_t handler;
  TtHttpServer *server;
} Handler;

/// Adds a header to the response (a TtAddHeader callback).
static void
add_header (void *target, const char *name, const char *value)
{
  tt_http_server_add_header (target, name, value);
}

/// Rejects a request with an error response, without calling on_request.
static int
reject_request (h2o_req_t *req, unsigned status, const char *message)
{
  TtReplyAction reply = { .outcome = TT_OUTCOME_NOT_RUN, .status = status };
  char body[TT_ERROR_JSON_MAX];
  size_t size;

  (void) tt_error_set (&reply.error, TT_E_LIMIT, TT_STEP_CALLER_READ, "caller", "%s", message);
  size = tt_http_server_format_refusal (NULL, &reply, add_header, req, body, sizeof body);
  tt_http_server_send_response (req, status, NULL, body, size);
  return 0;
}

/// Length of the first line with its line end; 0 if the line is incomplete.
static size_t
line_length (const char *text, size_t size)
{
  const char *end = memchr (text, '\n', size);

  return end != NULL ? (size_t) (end - text) + 1 : 0;
}

/// True if an HTTP/1.1 request specifies the length of its body more than once. h2o would use one
/// of the lengths and parse the rest of the body as the next request (request smuggling).
static bool
has_ambiguous_length (const h2o_req_t *req)
{
  static const char length_name[] = "content-length:";
  static const char coding_name[] = "transfer-encoding:";
  const h2o_socket_t *socket;
  const char *text;
  unsigned length_headers = 0;
  size_t bytes_left;
  size_t line;

  if (req->version >= 0x200)
    return false;
  socket = req->conn->callbacks->get_socket (req->conn);
  if (socket == NULL || socket->input->size == 0)
    return false;
  text = socket->input->bytes; // the head stays at the start until the response is sent
  bytes_left = socket->input->size;
  for (; (line = line_length (text, bytes_left)) > 2; text += line, bytes_left -= line)
    if (strncasecmp (text, length_name, sizeof length_name - 1) == 0
        || strncasecmp (text, coding_name, sizeof coding_name - 1) == 0)
      length_headers++;
  return length_headers > 1;
}

static int
on_req (h2o_handler_t *handler, h2o_req_t *req)
{
  TtHttpServer *server = ((Handler *) handler)->server;
  TtHttpConnection *connection = tt_http_intake_find (req);
  size_t size = req->path.len;

  if (connection != NULL)
    tt_http_intake_accept (connection, req);
  for (size_t i = 0; i < req->headers.size; i++)
    size += req->headers.entries[i].name->len + req->headers.entries[i].value.len;
  if (has_ambiguous_length (req))
    {
      req->http1_is_persistent = 0;
      return reject_request (req, 400, "the length of the body is stated twice");
    }
  if (size > server->options.max_header_bytes)
    return reject_request (req, 431, "the request's headers are too large");
  if (req->entity.len > server->options.max_body_bytes)
    return reject_request (req, 413, "the request's body is too large");
  if (server->draining)
    req->http1_is_persistent = 0;
  server->options.on_request (server->options.context, req);
  return 0;
}

static void
on_connection_closed (uv_handle_t *handle)
{
  TtHttpConnection *connection = (TtHttpConnection *) handle;

  tt_list_remove (&connection->server->connections, &connection->link);
  free (connection);
}

static void
on_connection (uv_stream_t *listener, int status)
{
  TtHttpServer *server = listener->data;
  TtHttpConnection *connection;
  h2o_socket_t *socket;

  if (status != 0)
    return;
  connection = calloc (1, sizeof *connection);
  if (connection == NULL)
    return;
  connection->server = server;
  tt_list_append (&server->connections, &connection->link);
  (void) uv_tcp_init (listener->loop, &connection->tcp);
  if (uv_accept (listener, (uv_stream_t *) &connection->tcp) != 0
      || (server->options.board == NULL
          && server->connections.count > server->options.max_connections))
    {
      uv_close ((uv_handle_t *) &connection->tcp, on_connection_closed);
      return;
    }
  (void) uv_tcp_nodelay (&connection->tcp, 1);
  // h2o has no timeout for closing a TLS connection whose peer is unreachable; TCP keepalive
  // closes it.
  (void) uv_tcp_keepalive (&connection->tcp, 1, KEEPALIVE_S);
  socket = h2o_uv_socket_create ((uv_stream_t *) &connection->tcp, on_connection_closed);
  tt_http_intake_open (connection, socket);
}

/// Loads certificate and key into a new TLS context.
static SSL_CTX *
load_certificate (const TtHttpServerOptions *options, TtError *error)
{
  SSL_CTX *context = SSL_CTX_new (TLS_server_method ());

  if (context == NULL)
    {
      (void) tt_error_set (error, TT_E_NO_MEMORY, TT_STEP_LISTEN, options->address, "TLS context");
      return NULL;
    }
  (void) SSL_CTX_set_min_proto_version (context, TLS1_2_VERSION);
  if (SSL_CTX_use_certificate_chain_file (context, options->certificate_file) != 1
      || SSL_CTX_use_PrivateKey_file (context, options->key_file, SSL_FILETYPE_PEM) != 1
      || SSL_CTX_check_private_key (context) != 1)
    {
      (void) tt_error_set (error, TT_E_INVALID, TT_STEP_LISTEN, options->address,
                           "%s, %s: expected a certificate chain and its key in PEM",
                           options->certificate_file, options->key_file);
      SSL_CTX_free (context);
      return NULL;
    }
  h2o_ssl_register_alpn_protocols (context, h2o_http2_alpn_protocols);
  return context;
}

/// Sets the limit on bodies, to no more than the account can hold.
static void
set_max_body_bytes (TtHttpServer *server, uint32_t max_body_bytes)
{
  const TtBoard *board = server->options.board;

  if (board != NULL && max_body_bytes > tt_intake_max_body_bytes (board))
    max_body_bytes = (uint32_t) tt_intake_max_body_bytes (board);
  server->options.max_body_bytes = max_body_bytes;
  // h2o refuses a body in chunks at its limit; the scanner knows the exact one.
  server->config.max_request_entity_size = (size_t) max_body_bytes + 1;
}

/// Creates h2o's configuration with one handler for all paths.
static void
configure_h2o (TtHttpServer *server)
{
  const TtHttpServerOptions *options = &server->options;
  h2o_hostconf_t *host;
  h2o_pathconf_t *path;
  Handler *handler;

  h2o_config_init (&server->config);
  server->config.server_name = h2o_iovec_init (H2O_STRLIT ("tarragontrack"));
  set_max_body_bytes (server, options->max_body_bytes);
  h2o_socket_buffer_mmap_settings.threshold = SIZE_MAX; // files would take the same memory
  server->config.http1.req_timeout = options->read_timeout_ms;
  server->config.http2.idle_timeout = options->read_timeout_ms;
  host = h2o_config_register_host (&server->config, h2o_iovec_init (H2O_STRLIT ("default")), 65535);
  path = h2o_config_register_path (host, "/", 0);
  handler = (Handler *) h2o_create_handler (path, sizeof *handler);
  handler->handler.on_req = on_req;
  handler->server = server;
}

/// Binds the listening socket and starts to accept connections.
static int
listen_on (TtHttpServer *server, uv_loop_t *loop, TtError *error)
{
  const TtHttpServerOptions *options = &server->options;
  struct sockaddr_storage address;
  int receive_buffer = TT_HTTP_RECEIVE_BUFFER_BYTES;
  int code = uv_ip4_addr (options->address, options->port, (struct sockaddr_in *) &address);

  if (code != 0)
    code = uv_ip6_addr (options->address, options->port, (struct sockaddr_in6 *) &address);
  (void) uv_tcp_init (loop, &server->listener);
  server->listener.data = server;
  if (code == 0)
    code = uv_tcp_bind (&server->listener, (const struct sockaddr *) &address, 0);
  // Connections inherit it. The kernel would otherwise receive megabytes that are not read.
  if (code == 0 && options->board != NULL)
    (void) uv_recv_buffer_size ((uv_handle_t *) &server->listener, &receive_buffer);
  if (code == 0)
    code = uv_listen ((uv_stream_t *) &server->listener, BACKLOG, on_connection);
  if (code == 0)
    return TT_OK;
  uv_close ((uv_handle_t *) &server->listener, NULL);
  return tt_error_set (error, TT_E_UNAVAILABLE, TT_STEP_LISTEN, options->address, "port %u: %s",
                       options->port, uv_strerror (code));
}

TtHttpServer *
tt_http_server_new (uv_loop_t *loop, const TtHttpServerOptions *options, TtError *error)
{
  TtHttpServer *server = calloc (1, sizeof *server);

  if (server == NULL)
    {
      (void) tt_error_set (error, TT_E_NO_MEMORY, TT_STEP_LISTEN, options->address, "server");
      return NULL;
    }
  server->options = *options;
  tt_list_init (&server->connections);
  tt_list_init (&server->touched);
  if (options->board != NULL)
    tt_intake_open_port (options->board, &server->port, options->max_connections);
  if (options->certificate_file != NULL)
    {
      server->accept.ssl_ctx = load_certificate (options, error);
      if (server->accept.ssl_ctx == NULL)
        {
          free (server);
          return NULL;
        }
    }
  configure_h2o (server);
  h2o_context_init (&server->context, loop, &server->config);
  server->accept.ctx = &server->context;
  server->accept.hosts = server->config.hosts;
  (void) uv_prepare_init (loop, &server->prepare);
  server->prepare.data = server;
  (void) uv_prepare_start (&server->prepare, tt_http_intake_settle);
  uv_unref ((uv_handle_t *) &server->prepare);
  // On failure the server is not freed, because h2o's timers stay on the loop; the calling code
  // then exits the process.
  return listen_on (server, loop, error) == TT_OK ? server : NULL;
}

int
tt_http_server_reload_certificate (TtHttpServer *server, TtError *error)
{
  SSL_CTX *context;

  if (server->accept.ssl_ctx == NULL)
    return TT_OK;
  context = load_certificate (&server->options, error);
  if (context == NULL)
    return error->code;
  SSL_CTX_free (server->accept.ssl_ctx); // open connections hold their own reference
  server->accept.ssl_ctx = context;
  return TT_OK;
}

void
tt_http_server_shut_down (TtHttpServer *server)
{
  if (server->closing)
    return;
  server->draining = true;
  server->closing = true;
  uv_close ((uv_handle_t *) &server->listener, NULL);
  h2o_context_request_shutdown (&server->context);
}

void
tt_http_server_set_limits (TtHttpServer *server, uint32_t max_header_bytes, uint32_t max_body_bytes,
                           uint32_t read_timeout_ms)
{
  if (max_header_bytes > 0)
    server->options.max_header_bytes = max_header_bytes;
  if (max_body_bytes > 0)
    set_max_body_bytes (server, max_body_bytes);
  if (read_timeout_ms > 0)
    server->context.http1.req_timeout.timeout = read_timeout_ms;
}

void
tt_http_server_drain (TtHttpServer *server)
{
  server->draining = true;
}

uint32_t
tt_http_server_count_connections (const TtHttpServer *server)
{
  return server->connections.count;
}

/// Runs loop iterations so that libuv closes the handles.
static void
run_close_iterations (const TtHttpServer *server)
{
  for (int i = 0; i < CLOSE_LOOP_ITERATIONS; i++)
    (void) uv_run (server->context.loop, UV_RUN_NOWAIT);
}

/// Closes the connections that callers keep open. h2o has no call for that; it closes a connection
/// without an open request when it reads the end of the stream.
static void
close_idle_connections (TtHttpServer *server)
{
  TT_LIST_FOREACH (&server->connections, it)
    {
      const TtHttpConnection *connection = TT_CONTAINER_OF (it, TtHttpConnection, link);
      int fd;

      if (uv_fileno ((const uv_handle_t *) &connection->tcp, &fd) == 0)
        (void) shutdown (fd, SHUT_RDWR);
    }
  run_close_iterations (server);
}

void
tt_http_server_free (TtHttpServer *server)
{
  if (server == NULL)
    return;
  tt_http_server_shut_down (server);
  run_close_iterations (server);
  close_idle_connections (server);
  // h2o's context cannot be disposed of while requests are open; the process is about to exit.
  if (server->connections.count > 0)
    return;
  // h2o's graceful shutdown leaves its timer linked, and h2o_context_dispose() asserts that it is
  // not.
  h2o_timeout_unlink (&server->context.http2._graceful_shutdown_timeout);
  h2o_context_dispose (&server->context);
  h2o_config_dispose (&server->config);
  uv_close ((uv_handle_t *) &server->prepare, NULL);
  run_close_iterations (server);
  if (server->accept.ssl_ctx != NULL)
    SSL_CTX_free (server->accept.ssl_ctx);
  free (server);
}

const char *
tt_http_server_get_header (h2o_req_t *request, const char *name)
{
  ssize_t index = h2o_find_header_by_str (&request->headers, name, strlen (name), -1);
  h2o_iovec_t value;

  if (index < 0)
    return NULL;
  value = request->headers.entries[index].value;
  return h2o_strdup (&request->pool, value.base, value.len).base;
}

void
tt_http_server_add_header (h2o_req_t *request, const char *name, const char *value)
{
  h2o_iovec_t copy = h2o_strdup (&request->pool, value, SIZE_MAX);
  h2o_iovec_t key = h2o_strdup (&request->pool, name, SIZE_MAX);

  h2o_add_header_by_str (&request->pool, &request->res.headers, key.base, key.len, 1, NULL,
                         copy.base, copy.len);
}

void
tt_http_server_send_response (h2o_req_t *request, unsigned status, const char *content_type,
                              const char *body, size_t size)
{
  request->res.status = (int) status;
  request->res.reason = "";
  // h2o_send_inline() sets no length, and h2o uses chunks for status 200 only. For any other
  // status, the end of a response without a length is indistinguishable from a lost connection.
  request->res.content_length = size;
  if (content_type != NULL)
    tt_http_server_add_header (request, "content-type", content_type);
  h2o_send_inline (request, body, size);
}
