/// Reads of the HTTP server's connections: scans requests before h2o buffers them, charges them to
/// the board's account, and carries out its verdicts.
#include "tarragontrack/board/error.h"
#include "tarragontrack/control/intake.h"
#include "tarragontrack/io/clock.h"
#include "tarragontrack/io/http_server_defs.h"
#include <h2o/http1.h>
#include <h2o/http2.h>
#include <stdlib.h>
#include <string.h>
#include <sys/ioctl.h>
#include <sys/socket.h>
#include <sys/time.h>

enum
{
  STATUS_BAD_REQUEST = 400,
  STATUS_TIMEOUT = 408,
  STATUS_LONG_BODY = 413,
  STATUS_LONG_HEAD = 431,
  STATUS_UNAVAILABLE = 503,
  /// Bytes of a head that do not count towards the limit on headers: the method, and the separators
  /// of h2o's highest number of headers.
  HEAD_SLACK_BYTES = 1024,
  CHECK_INTERVAL_US = 500000,
  HANDSHAKE_TIMEOUT_US = 10000000
};

/// Part of the account above which the kernel's buffers of connections in service are looked at.
#define UNREAD_DIVISOR 4

static void hook_read (TtHttpConnection *connection);

TtHttpConnection *
tt_http_intake_find (const h2o_req_t *request)
{
  h2o_socket_t *socket = request->conn->callbacks->get_socket (request->conn);

  return socket != NULL ? socket->on_close.data : NULL;
}

static TtBoard *
board_of (const TtHttpConnection *connection)
{
  return connection->server->options.board;
}

/// Whole requests on the connection that are not answered yet.
static uint64_t
count_pending (const TtHttpConnection *connection)
{
  uint64_t arrived = connection->unscanned || connection->accepted > connection->scanned
                         ? connection->accepted
                         : connection->scanned;

  return arrived - connection->answered;
}

void
tt_http_server_release_body (h2o_req_t *request)
{
  TtHttpConnection *connection = tt_http_intake_find (request);
  size_t size = tt_http_refusal_discard_pages (request->entity.base, request->entity.len);

  if (connection != NULL && !connection->http2)
    connection->released_bytes += size;
}

/// Bytes that h2o holds of requests that it has not passed on in its input buffer, which is not
/// made smaller while bytes are in it: its highest touched byte counts.
static size_t
measure_input (TtHttpConnection *connection)
{
  const h2o_buffer_t *input = connection->socket->input;
  size_t extent = input->bytes != NULL ? (size_t) (input->bytes - input->_buf) + input->size : 0;

  if (input != connection->measured)
    {
      connection->measured = input;
      connection->extent = 0;
      connection->released_bytes = 0;
    }
  if (extent > connection->extent)
    connection->extent = extent;
  return connection->extent > connection->released_bytes
             ? connection->extent - connection->released_bytes
             : 0;
}

/// Calls the callback that waits for a connection to be read, as if it had failed.
static void
fail_read (TtHttpConnection *connection, const char *error)
{
  h2o_socket_t *socket = connection->socket;

  if (connection->started)
    hook_read (connection);
  (connection->started ? connection->next_read : socket->_cb.read) (socket, error);
}

/// Closes a failed TLS connection that h2o wants to close in order: it waits for the caller's part,
/// or for a write that libuv has refused, and has no timeout.
static void
close_failed (TtHttpConnection *connection, const char *error)
{
  h2o_socket_t *socket = connection->socket;

  if (socket == NULL || socket->ssl == NULL)
    return;
  if (socket->_cb.write != NULL)
    socket->_cb.write (socket, error);
  else if (socket->_cb.read != NULL)
    fail_read (connection, error);
}

/// Ends a connection. While h2o reads from it, h2o is told that it was closed; otherwise it notices
/// when it writes.
static void
end_connection (TtHttpConnection *connection)
{
  const struct linger reset = { .l_onoff = 1, .l_linger = 0 };
  h2o_socket_t *socket = connection->socket;
  int fd;

  if (socket == NULL)
    return;
  if (socket->_cb.read != NULL)
    {
      fail_read (connection, h2o_socket_error_closed);
      close_failed (connection, h2o_socket_error_closed);
      return;
    }
  fd = h2o_socket_get_fd (socket);
  (void) setsockopt (fd, SOL_SOCKET, SO_LINGER, &reset, sizeof reset);
  (void) shutdown (fd, SHUT_RDWR);
}

/// Refuses the request that is being read, which has not run and never will.
static void
refuse (TtHttpConnection *connection, unsigned status, const char *reason)
{
  TtBoard *board = board_of (connection);

  if (board != NULL)
    tt_intake_record_end (board, &connection->intake, reason, true, tt_clock_now_us ());
  tt_http_refusal_write (connection, status, reason);
  connection->refusal = TT_REQUEST_SCAN_PARTIAL;
  if (board != NULL)
    tt_intake_set_phase (board, &connection->intake, TT_INTAKE_REFUSED, tt_clock_now_us ());
  else
    end_connection (connection);
}

static void
refuse_scanned (TtHttpConnection *connection, TtRequestScanResult result)
{
  if (result == TT_REQUEST_SCAN_LONG_HEAD)
    refuse (connection, STATUS_LONG_HEAD, "the request's headers are too large");
  else if (result == TT_REQUEST_SCAN_LONG_BODY)
    refuse (connection, STATUS_LONG_BODY, "the request's body is too large");
  else
    refuse (connection, STATUS_BAD_REQUEST, "the request's chunks have no known form");
}

/// Carries out a verdict of the account.
static void
carry_out (TtHttpConnection *connection, TtIntakeVerdict verdict)
{
  bool reading = connection->socket != NULL && connection->intake.reading_us > 0
                 && count_pending (connection) == 0 && !connection->unscanned;

  if (reading && verdict == TT_INTAKE_NO_MEMORY)
    refuse (connection, STATUS_UNAVAILABLE, tt_intake_reason (verdict));
  else if (reading && verdict == TT_INTAKE_REQUEST_LATE)
    refuse (connection, STATUS_TIMEOUT, tt_intake_reason (verdict));
  else
    {
      if (verdict != TT_INTAKE_LINGERED && connection->intake.phase != TT_INTAKE_REFUSED)
        tt_intake_record_end (board_of (connection), &connection->intake,
                              tt_intake_reason (verdict), false, tt_clock_now_us ());
      end_connection (connection);
    }
}

/// Carries out all verdicts, also those on connections of other ports.
static void
carry_out_verdicts (TtBoard *board)
{
  TtIntakeEntry *entry;

  while (board != NULL && (entry = tt_intake_pop_ended (board)) != NULL)
    carry_out (TT_CONTAINER_OF (entry, TtHttpConnection, intake), entry->verdict);
}

/// Charges the connection for what it holds now.
static void
charge (TtHttpConnection *connection, size_t received_bytes)
{
  TtBoard *board = board_of (connection);
  bool serving = count_pending (connection) > 0;
  size_t held = measure_input (connection);
  size_t streams = connection->http2 ? connection->frames.held_bytes : 0;
  bool partial = connection->unscanned ? connection->socket->input->size > 0 || streams > 0
                                       : !tt_request_scan_is_between (&connection->scan);
  int64_t now_us;

  connection->known_size = connection->socket->input->size;
  if (board == NULL || connection->intake.phase == TT_INTAKE_REFUSED)
    return;
  now_us = tt_clock_now_us ();
  tt_intake_set_phase (board, &connection->intake,
                       serving                    ? TT_INTAKE_SERVING
                       : connection->answered > 0 ? TT_INTAKE_WAITING
                                                  : TT_INTAKE_NEW,
                       now_us);
  tt_intake_receive (board, &connection->intake, held + streams, received_bytes, partial, now_us);
}

/// Scans the bytes that have arrived. Cuts off those that h2o must not see.
///
/// RETURN     false if there is nothing to pass on, because the request was refused
static bool
scan_input (TtHttpConnection *connection, size_t size)
{
  const TtHttpServerOptions *options = &connection->server->options;
  const TtRequestScanLimits limits
      = { .max_head_bytes = options->max_header_bytes + HEAD_SLACK_BYTES,
          .max_body_bytes = options->max_body_bytes };
  h2o_buffer_t *input = connection->socket->input;
  const char *data = input->bytes + input->size - size;
  size_t whole = 0; // bytes up to the end of the last whole request
  size_t at = 0;

  while (at < size && !connection->unscanned)
    {
      TtRequestScanResult result;

      at += tt_request_scan (&connection->scan, &limits, data + at, size - at, &result);
      if (result == TT_REQUEST_SCAN_COMPLETE)
        {
          connection->scanned++;
          whole = at;
        }
      else if (result == TT_REQUEST_SCAN_HTTP2 || result == TT_REQUEST_SCAN_UNKNOWN)
        {
          connection->unscanned = true;
          connection->http2 = result == TT_REQUEST_SCAN_HTTP2;
          if (connection->http2)
            tt_http2_scan_open (&connection->frames);
        }
      else if (result != TT_REQUEST_SCAN_PARTIAL)
        {
          input->size -= size - whole;
          if (count_pending (connection) == 0)
            {
              refuse_scanned (connection, result);
              return false;
            }
          connection->refusal = result;
          return true;
        }
    }
  if (connection->http2 && at < size)
    tt_http2_scan (&connection->frames, data + at, size - at);
  return true;
}

/// True if an HTTP/2 caller sends more than any request needs.
static bool
is_excessive (const TtHttpConnection *connection)
{
  return connection->frames.failed
         || connection->frames.head_bytes
                > connection->server->options.max_header_bytes + HEAD_SLACK_BYTES;
}

static void
on_read (h2o_socket_t *socket, const char *error)
{
  TtHttpConnection *connection = socket->on_close.data;
  TtBoard *board = board_of (connection);
  size_t size = error == NULL ? socket->bytes_read : 0;

  if (connection->intake.phase == TT_INTAKE_REFUSED && error == NULL)
    {
      tt_http_refusal_discard (connection);
      return;
    }
  // Bytes that were read before this callback was in place: their requests cannot be told apart.
  if (size > 0 && socket->input->size != connection->known_size + size)
    connection->unscanned = true;
  if (size > 0 && !scan_input (connection, size))
    {
      carry_out_verdicts (board);
      return;
    }
  connection->next_read (socket, error);
  if (error != NULL)
    close_failed (connection, error);
  if (connection->socket == NULL)
    return;
  hook_read (connection);
  if (connection->http2 && is_excessive (connection))
    {
      if (board != NULL)
        tt_intake_record_end (board, &connection->intake, "too many streams or too long a head",
                              false, tt_clock_now_us ());
      end_connection (connection);
      return;
    }
  charge (connection, size);
  carry_out_verdicts (board);
}

static void
hook_read (TtHttpConnection *connection)
{
  h2o_socket_t *socket = connection->socket;

  if (socket->_cb.read == NULL || socket->_cb.read == on_read)
    return;
  connection->next_read = socket->_cb.read;
  socket->_cb.read = on_read;
}

/// Called when h2o has closed the socket.
static void
on_socket_closed (void *data)
{
  TtHttpConnection *connection = data;

  connection->socket = NULL;
  tt_list_remove (&connection->server->touched, &connection->touched_link);
  if (board_of (connection) != NULL)
    tt_intake_disconnect (board_of (connection), &connection->intake);
  if (connection->http2)
    tt_http2_scan_close (&connection->frames);
  free (connection->refusal_text);
  connection->refusal_text = NULL;
}

/// Passes a connection to h2o, which begins with the bytes that have arrived.
static void
start_requests (TtHttpConnection *connection, bool http2)
{
  TtHttpServer *server = connection->server;
  h2o_socket_t *socket = connection->socket;
  size_t size = socket->input->size;
  struct timeval now;

  (void) gettimeofday (&now, NULL);
  connection->started = true;
  if (size > 0 && !scan_input (connection, size))
    socket->input->size = connection->known_size = 0; // h2o must not see the refused request
  if (http2)
    h2o_http2_accept (&server->accept, socket, now);
  else
    h2o_http1_accept (&server->accept, socket, now);
  if (connection->socket == NULL)
    return;
  hook_read (connection);
  charge (connection, size);
}

static void
on_handshake (h2o_socket_t *socket, const char *error)
{
  TtHttpConnection *connection = socket->on_close.data;
  h2o_iovec_t protocol;
  bool http2 = false;

  if (error != NULL)
    {
      h2o_socket_close (socket);
      close_failed (connection, error);
      return;
    }
  protocol = h2o_socket_ssl_get_selected_protocol (socket);
  for (const h2o_iovec_t *it = h2o_http2_alpn_protocols; it->len > 0; it++)
    http2 = http2 || h2o_memis (it->base, it->len, protocol.base, protocol.len);
  start_requests (connection, http2);
}

void
tt_http_intake_open (TtHttpConnection *connection, h2o_socket_t *socket)
{
  TtHttpServer *server = connection->server;
  TtBoard *board = board_of (connection);

  tt_link_init (&connection->touched_link);
  connection->socket = socket;
  socket->on_close.cb = on_socket_closed;
  socket->on_close.data = connection;
  if (board != NULL)
    tt_intake_connect (board, &server->port, &connection->intake, tt_clock_now_us ());
  if (server->accept.ssl_ctx != NULL)
    h2o_socket_ssl_handshake (socket, server->accept.ssl_ctx, NULL, on_handshake);
  else
    start_requests (connection, false);
  carry_out_verdicts (board);
}

/// Called when h2o frees a request.
static void
on_request_freed (void *data)
{
  TtHttpConnection *connection = *(TtHttpConnection **) data;

  connection->answered++;
  if (connection->socket != NULL && !tt_link_is_linked (&connection->touched_link))
    tt_list_append (&connection->server->touched, &connection->touched_link);
}

void
tt_http_intake_accept (TtHttpConnection *connection, h2o_req_t *request)
{
  TtHttpConnection **guard
      = h2o_mem_alloc_shared (&request->pool, sizeof (TtHttpConnection *), on_request_freed);

  *guard = connection;
  connection->accepted++;
}

/// Handles the state of a connection on which h2o may have begun to read again.
static void
settle (TtHttpConnection *connection)
{
  hook_read (connection);
  if (count_pending (connection) == 0 && connection->refusal != TT_REQUEST_SCAN_PARTIAL)
    {
      refuse_scanned (connection, connection->refusal);
      return;
    }
  if (count_pending (connection) == 0 && tt_request_scan_is_between (&connection->scan)
      && connection->socket->input->size > 0)
    connection->unscanned = true; // read before the callback was in place
  charge (connection, 0);
}

void
tt_http_intake_settle (uv_prepare_t *prepare)
{
  TtHttpServer *server = prepare->data;
  TtLink *link;

  if (server->touched.count == 0)
    return;
  while ((link = tt_list_pop (&server->touched)) != NULL)
    settle (TT_CONTAINER_OF (link, TtHttpConnection, touched_link));
  carry_out_verdicts (server->options.board);
}

/// Reports what connections in service have not sent, and charges them for what the kernel has
/// received meanwhile, if that may be much.
static void
check_serving (TtHttpServer *server, int64_t now_us)
{
  TtBoard *board = server->options.board;
  const TtList *serving = &server->port.phases[TT_INTAKE_SERVING];
  bool look = (size_t) serving->count * TT_HTTP_RECEIVE_BUFFER_BYTES
              > board->intake.max_bytes / UNREAD_DIVISOR;

  TT_LIST_FOREACH (serving, it)
    {
      TtIntakeEntry *entry = TT_CONTAINER_OF (it, TtIntakeEntry, link);
      TtHttpConnection *connection = TT_CONTAINER_OF (entry, TtHttpConnection, intake);
      int unread = 0;

      tt_intake_report_unsent (
          entry, uv_stream_get_write_queue_size ((const uv_stream_t *) &connection->tcp), now_us);
      if (!look || connection->http2
          || ioctl (h2o_socket_get_fd (connection->socket), FIONREAD, &unread) != 0)
        continue;
      tt_intake_receive (board, entry, measure_input (connection) + (size_t) unread, 0, true,
                         now_us);
    }
}

/// Ends connections whose TLS handshake takes too long.
static void
check_handshakes (const TtHttpServer *server, int64_t now_us)
{
  TT_LIST_FOREACH (&server->port.phases[TT_INTAKE_NEW], it)
    {
      TtIntakeEntry *entry = TT_CONTAINER_OF (it, TtIntakeEntry, link);
      TtHttpConnection *connection = TT_CONTAINER_OF (entry, TtHttpConnection, intake);

      if (now_us - entry->phase_us <= HANDSHAKE_TIMEOUT_US)
        break;
      if (!connection->started)
        end_connection (connection);
    }
}

void
tt_http_server_check (TtHttpServer *server, int64_t now_us)
{
  TtBoard *board = server->options.board;

  if (board == NULL)
    return;
  if (now_us >= server->next_check_us)
    {
      server->next_check_us = now_us + CHECK_INTERVAL_US;
      check_serving (server, now_us);
      if (server->accept.ssl_ctx != NULL)
        check_handshakes (server, now_us);
    }
  carry_out_verdicts (board);
}
