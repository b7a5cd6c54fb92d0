#include "crowd.h"
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

enum
{
  LARGE_CHUNK = 65536,
  SMALL_CHUNK = 13,
  MISSING_BYTES = 4096, ///< of a body in chunks that stops short of the limit
  SMALL_BODY = 65536,
  OVER_FACTOR = 3,     ///< size of a body over the limit, as a multiple of it
  PIECE_BYTES = 65536, ///< size of the pieces that are written at once, about
  HEAD_BYTES = 300000, ///< of a head without an end
  ENDLESS_BYTES = 4 << 20,
  UNREAD_REQUESTS = 40000,
  STREAMS = 60, ///< of one HTTP/2 connection
  STREAM_BYTES = 1 << 18,
  FRAME_BYTES = 16384,
  FRAME_HEAD_BYTES = 9,
  FRAME_DATA = 0,
  FRAME_HEADERS = 1,
  FRAME_SETTINGS = 4,
  FLAG_END_STREAM = 1,
  FLAG_END_HEADERS = 4,
  STATUS_TEXT_BYTES = 12, ///< "HTTP/1.1 503"
  REPLY_BYTES = 4096
};

/// What each connection sends: a head of its own, a piece that is repeated, and a tail.
typedef struct
{
  char *piece;
  size_t piece_size;
  uint64_t pieces;
  char *tail;
  size_t tail_size;
} Script;

typedef struct
{
  TtLink link; ///< on SoakCrowd.connections
  uv_tcp_t tcp;
  uv_connect_t connect;
  uv_write_t write;
  SoakCrowd *crowd;
  char *head;
  size_t head_size;
  uint64_t pieces_left;
  bool head_sent;
  bool tail_sent;
  size_t written_size; ///< of the write in progress
  size_t reply_size;
  char reply[STATUS_TEXT_BYTES + 1];
} CrowdConnection;

struct SoakCrowd
{
  Soak *soak;
  SoakDaemon *daemon;
  SoakCrowdKind kind;
  TtList connections;
  Script script;
  uint64_t sent_bytes;
  uint64_t connected;
  bool closing;
  unsigned answers[1000];
};

static const char *const names[SOAK_CROWD_KIND_COUNT] = {
  [SOAK_CROWD_LARGE_CHUNKS] = "large-chunks",
  [SOAK_CROWD_SMALL_CHUNKS] = "small-chunks",
  [SOAK_CROWD_TINY_CHUNKS] = "tiny-chunks",
  [SOAK_CROWD_LENGTH] = "length",
  [SOAK_CROWD_SMALL_BODIES] = "small-bodies",
  [SOAK_CROWD_COMPLETE] = "complete",
  [SOAK_CROWD_CHUNKS_OVER] = "chunks-over",
  [SOAK_CROWD_LENGTH_OVER] = "length-over",
  [SOAK_CROWD_HEADS] = "heads",
  [SOAK_CROWD_SILENT] = "silent",
  [SOAK_CROWD_EXTENSIONS] = "extensions",
  [SOAK_CROWD_TRAILERS] = "trailers",
  [SOAK_CROWD_UNREAD] = "unread",
  [SOAK_CROWD_UNREAD_METRICS] = "metrics-unread",
  [SOAK_CROWD_HTTP2_WHOLE] = "http2-whole",
  [SOAK_CROWD_HTTP2_STREAMS] = "http2-streams",
};

static void write_next (CrowdConnection *connection);

const char *
soak_crowd_name (SoakCrowdKind kind)
{
  return names[kind];
}

/// Fills the piece with chunks of one size, as many as make PIECE_BYTES or one more.
static void
make_chunks (Script *script, size_t chunk_size, uint64_t body_bytes)
{
  size_t count = (PIECE_BYTES + chunk_size - 1) / chunk_size;
  size_t frame_size = chunk_size + 16;

  script->piece = malloc (count * frame_size);
  for (size_t i = 0; i < count; i++)
    {
      char *at = script->piece + script->piece_size;
      size_t length = (size_t) snprintf (at, frame_size, "%zx\r\n", chunk_size);

      memset (at + length, 'x', chunk_size);
      at[length + chunk_size] = '\r';
      at[length + chunk_size + 1] = '\n';
      script->piece_size += length + chunk_size + 2;
    }
  script->pieces = body_bytes / (count * chunk_size);
}

static void
make_bytes (Script *script, size_t body_bytes)
{
  script->piece_size = body_bytes < PIECE_BYTES ? body_bytes : PIECE_BYTES;
  script->piece = malloc (script->piece_size);
  memset (script->piece, 'x', script->piece_size);
  script->pieces = body_bytes / script->piece_size;
  script->tail_size = body_bytes % script->piece_size;
  script->tail = malloc (script->tail_size + 1);
  memset (script->tail, 'x', script->tail_size);
}

/// Repeats a text in the piece.
static void
make_text (Script *script, const char *text, uint64_t times)
{
  size_t length = strlen (text);
  size_t count = PIECE_BYTES / length;

  script->piece = malloc (count * length);
  for (size_t i = 0; i < count; i++)
    memcpy (script->piece + i * length, text, length);
  script->piece_size = count * length;
  script->pieces = times / count + 1;
}

static size_t
put_frame (char *at, size_t size, unsigned type, unsigned flags, unsigned stream)
{
  const unsigned char head[FRAME_HEAD_BYTES] = {
    (unsigned char) (size >> 16),   (unsigned char) (size >> 8),   (unsigned char) size,
    (unsigned char) type,           (unsigned char) flags,         (unsigned char) (stream >> 24),
    (unsigned char) (stream >> 16), (unsigned char) (stream >> 8), (unsigned char) stream
  };

  memcpy (at, head, sizeof head);
  return sizeof head;
}

/// One piece that opens all streams and sends a part of each body, or the whole.
static void
make_streams (Script *script, bool whole)
{
  static const char preface[] = "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n";
  // POST, http, and path and authority as literals that are not indexed.
  static const char headers[] = "\x83\x86\x04\x07/once/1\x01\x09h.example";
  size_t frames = STREAM_BYTES / FRAME_BYTES;
  char *at = malloc (1024 + (size_t) STREAMS * (STREAM_BYTES + (frames + 8) * 16));

  script->piece = at;
  memcpy (at, preface, sizeof preface - 1);
  at += sizeof preface - 1;
  at += put_frame (at, 0, FRAME_SETTINGS, 0, 0);
  for (unsigned i = 0; i < STREAMS; i++)
    {
      at += put_frame (at, sizeof headers - 1, FRAME_HEADERS, FLAG_END_HEADERS, 2 * i + 1);
      memcpy (at, headers, sizeof headers - 1);
      at += sizeof headers - 1;
    }
  for (size_t frame = 0; frame < frames; frame++)
    for (unsigned i = 0; i < STREAMS; i++)
      {
        at += put_frame (at, FRAME_BYTES, FRAME_DATA,
                         whole && frame == frames - 1 ? FLAG_END_STREAM : 0, 2 * i + 1);
        memset (at, 'x', FRAME_BYTES);
        at += FRAME_BYTES;
      }
  script->piece_size = (size_t) (at - script->piece);
  script->pieces = 1;
}

static void
make_script (SoakCrowd *crowd, size_t body_bytes)
{
  Script *script = &crowd->script;

  switch (crowd->kind)
    {
    case SOAK_CROWD_LARGE_CHUNKS:
      make_chunks (script, LARGE_CHUNK, body_bytes - MISSING_BYTES);
      break;
    case SOAK_CROWD_SMALL_CHUNKS:
      make_chunks (script, SMALL_CHUNK, body_bytes - MISSING_BYTES);
      break;
    case SOAK_CROWD_TINY_CHUNKS:
      make_chunks (script, 1, body_bytes / 4);
      break;
    case SOAK_CROWD_CHUNKS_OVER:
      make_chunks (script, LARGE_CHUNK, OVER_FACTOR * body_bytes);
      script->tail = strdup ("0\r\n\r\n");
      script->tail_size = 5;
      break;
    case SOAK_CROWD_LENGTH:
      make_bytes (script, body_bytes - 1);
      break;
    case SOAK_CROWD_SMALL_BODIES:
      make_bytes (script, SMALL_BODY - 1);
      break;
    case SOAK_CROWD_COMPLETE:
      make_bytes (script, body_bytes);
      break;
    case SOAK_CROWD_LENGTH_OVER:
      make_bytes (script, OVER_FACTOR * body_bytes);
      break;
    case SOAK_CROWD_HEADS:
      make_bytes (script, HEAD_BYTES);
      break;
    case SOAK_CROWD_EXTENSIONS:
      make_bytes (script, ENDLESS_BYTES);
      break;
    case SOAK_CROWD_TRAILERS:
      make_text (script, "t: v\r\n", ENDLESS_BYTES / 6);
      break;
    case SOAK_CROWD_UNREAD:
      make_text (script, "GET /none/1 HTTP/1.1\r\nHost: h.example\r\n\r\n", UNREAD_REQUESTS);
      break;
    case SOAK_CROWD_UNREAD_METRICS:
      make_text (script, "GET /metrics HTTP/1.1\r\nHost: h.example\r\n\r\n", UNREAD_REQUESTS);
      break;
    case SOAK_CROWD_HTTP2_STREAMS:
    case SOAK_CROWD_HTTP2_WHOLE:
      make_streams (script, crowd->kind == SOAK_CROWD_HTTP2_WHOLE);
      break;
    default:
      break;
    }
}

/// Formats what only this connection sends.
static void
make_head (CrowdConnection *connection, size_t body_bytes)
{
  static const char start[] = "POST /once/1 HTTP/1.1\r\nHost: h.example\r\n";
  const SoakCrowd *crowd = connection->crowd;
  char text[320] = "";
  char id[SOAK_ID_MAX];

  switch (crowd->kind)
    {
    case SOAK_CROWD_LENGTH:
    case SOAK_CROWD_LENGTH_OVER:
      (void) snprintf (text, sizeof text, "%sContent-Length: %zu\r\n\r\n", start,
                       crowd->kind == SOAK_CROWD_LENGTH ? body_bytes : OVER_FACTOR * body_bytes);
      break;
    case SOAK_CROWD_SMALL_BODIES:
      (void) snprintf (text, sizeof text, "%sContent-Length: %u\r\n\r\n", start, SMALL_BODY);
      break;
    case SOAK_CROWD_COMPLETE:
      (void) snprintf (id, sizeof id, "c%llu", (unsigned long long) ++crowd->soak->next_request);
      soak_request_new (crowd->soak, id, SOAK_KIND_NON_IDEMPOTENT)->daemon = crowd->daemon->index;
      (void) snprintf (text, sizeof text,
                       "%sAttempt-Id: %s\r\nAuthorization: Bearer key\r\nContent-Length: %zu\r\n"
                       "\r\n",
                       start, id, body_bytes);
      break;
    case SOAK_CROWD_HEADS:
      (void) snprintf (text, sizeof text, "%sX-Pad: ", start);
      break;
    case SOAK_CROWD_EXTENSIONS:
      (void) snprintf (text, sizeof text, "%sTransfer-Encoding: chunked\r\n\r\n1;", start);
      break;
    case SOAK_CROWD_TRAILERS:
      (void) snprintf (text, sizeof text, "%sTransfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n",
                       start);
      break;
    case SOAK_CROWD_SILENT:
    case SOAK_CROWD_UNREAD:
    case SOAK_CROWD_UNREAD_METRICS:
    case SOAK_CROWD_HTTP2_STREAMS:
    case SOAK_CROWD_HTTP2_WHOLE:
      break;
    default:
      (void) snprintf (text, sizeof text, "%sTransfer-Encoding: chunked\r\n\r\n", start);
      break;
    }
  connection->head_size = strlen (text);
  connection->head = strdup (text);
}

static void
free_crowd (SoakCrowd *crowd)
{
  if (!crowd->closing || crowd->connections.count > 0)
    return;
  free (crowd->script.piece);
  free (crowd->script.tail);
  free (crowd);
}

static void
on_closed (uv_handle_t *handle)
{
  CrowdConnection *connection = handle->data;
  SoakCrowd *crowd = connection->crowd;

  tt_list_remove (&crowd->connections, &connection->link);
  free (connection->head);
  free (connection);
  free_crowd (crowd);
}

static void
close_connection (CrowdConnection *connection)
{
  if (!uv_is_closing ((uv_handle_t *) &connection->tcp))
    uv_close ((uv_handle_t *) &connection->tcp, on_closed);
}

static void
on_written (uv_write_t *write, int status)
{
  CrowdConnection *connection = write->data;

  // Keeps a connection whose write failed open for reading: an answer may still arrive.
  if (status != 0)
    return;
  connection->crowd->sent_bytes += connection->written_size;
  write_next (connection);
}

static void
write_bytes (CrowdConnection *connection, char *bytes, size_t size)
{
  uv_buf_t buffer = uv_buf_init (bytes, (unsigned) size);

  connection->written_size = size;
  connection->write.data = connection;
  (void) uv_write (&connection->write, (uv_stream_t *) &connection->tcp, &buffer, 1, on_written);
}

static void
write_next (CrowdConnection *connection)
{
  const Script *script = &connection->crowd->script;

  if (!connection->head_sent && connection->head_size > 0)
    {
      connection->head_sent = true;
      write_bytes (connection, connection->head, connection->head_size);
    }
  else if (connection->pieces_left > 0)
    {
      connection->pieces_left--;
      write_bytes (connection, script->piece, script->piece_size);
    }
  else if (!connection->tail_sent && script->tail_size > 0)
    {
      connection->tail_sent = true;
      write_bytes (connection, script->tail, script->tail_size);
    }
}

static void
provide_buffer (uv_handle_t *handle, size_t size, uv_buf_t *buffer)
{
  static char bytes[REPLY_BYTES];

  (void) handle, (void) size;
  *buffer = uv_buf_init (bytes, sizeof bytes);
}

static void
on_read (uv_stream_t *stream, ssize_t size, const uv_buf_t *buffer)
{
  CrowdConnection *connection = stream->data;
  SoakCrowd *crowd = connection->crowd;
  unsigned status;

  if (size < 0)
    {
      close_connection (connection);
      return;
    }
  for (ssize_t i = 0; i < size && connection->reply_size < STATUS_TEXT_BYTES; i++)
    connection->reply[connection->reply_size++] = buffer->base[i];
  if (connection->reply_size < STATUS_TEXT_BYTES)
    return;
  if (sscanf (connection->reply, "HTTP/1.1 %3u", &status) == 1 && status < 1000)
    crowd->answers[status]++;
  connection->reply[0] = '\0';
}

static void
on_connected (uv_connect_t *connect, int status)
{
  CrowdConnection *connection = connect->handle->data;

  if (status != 0)
    {
      close_connection (connection);
      return;
    }
  connection->crowd->connected++;
  if (connection->crowd->kind != SOAK_CROWD_UNREAD
      && connection->crowd->kind != SOAK_CROWD_UNREAD_METRICS)
    (void) uv_read_start (connect->handle, provide_buffer, on_read);
  write_next (connection);
}

SoakCrowd *
soak_crowd_open (Soak *soak, SoakDaemon *daemon, uint16_t port, SoakCrowdKind kind,
                 unsigned connections, size_t body_bytes)
{
  SoakCrowd *crowd = calloc (1, sizeof *crowd);
  struct sockaddr_in address;

  crowd->soak = soak;
  crowd->daemon = daemon;
  crowd->kind = kind;
  tt_list_init (&crowd->connections);
  make_script (crowd, body_bytes);
  (void) uv_ip4_addr ("127.0.0.1", port, &address);
  for (unsigned i = 0; i < connections; i++)
    {
      CrowdConnection *connection = calloc (1, sizeof *connection);

      connection->crowd = crowd;
      connection->pieces_left = crowd->script.pieces;
      make_head (connection, body_bytes);
      (void) uv_tcp_init (soak->loop, &connection->tcp);
      connection->tcp.data = connection;
      tt_list_append (&crowd->connections, &connection->link);
      if (uv_tcp_connect (&connection->connect, &connection->tcp,
                          (const struct sockaddr *) &address, on_connected)
          != 0)
        close_connection (connection);
    }
  return crowd;
}

void
soak_crowd_close (SoakCrowd *crowd)
{
  if (crowd == NULL)
    return;
  crowd->closing = true;
  TT_LIST_FOREACH (&crowd->connections, it)
    close_connection (TT_CONTAINER_OF (it, CrowdConnection, link));
  free_crowd (crowd);
}

uint64_t
soak_crowd_progress (const SoakCrowd *crowd)
{
  return crowd->sent_bytes + crowd->connected;
}

unsigned
soak_crowd_open_connections (const SoakCrowd *crowd)
{
  return crowd->connections.count;
}

unsigned
soak_crowd_answers (const SoakCrowd *crowd, unsigned status)
{
  return crowd->answers[status];
}
