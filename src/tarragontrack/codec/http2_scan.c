#include "tarragontrack/codec/http2_scan.h"
#include <stdlib.h>
#include <string.h>

/// Types and flags of frames (RFC 9113, section 6).
enum
{
  FRAME_DATA = 0,
  FRAME_HEADERS = 1,
  FRAME_RST_STREAM = 3,
  FRAME_CONTINUATION = 9,
  FLAG_END_STREAM = 1,
  FLAG_END_HEADERS = 4
};

/// A stream whose request has not ended.
typedef struct
{
  TtLink link; ///< on TtHttp2Scan.streams
  uint32_t id;
  size_t bytes; ///< of the body
} Stream;

void
tt_http2_scan_open (TtHttp2Scan *scan)
{
  memset (scan, 0, sizeof *scan);
  tt_list_init (&scan->streams);
  scan->skip = TT_HTTP2_PREFACE_REST;
}

static Stream *
find_stream (TtHttp2Scan *scan, uint32_t id)
{
  TT_LIST_FOREACH (&scan->streams, it)
    {
      Stream *stream = TT_CONTAINER_OF (it, Stream, link);

      if (stream->id == id)
        return stream;
    }
  return NULL;
}

static Stream *
add_stream (TtHttp2Scan *scan, uint32_t id)
{
  Stream *stream = scan->streams.count < TT_HTTP2_MAX_STREAMS ? calloc (1, sizeof *stream) : NULL;

  if (stream == NULL)
    {
      scan->failed = true;
      return NULL;
    }
  stream->id = id;
  tt_list_append (&scan->streams, &stream->link);
  return stream;
}

static void
end_stream (TtHttp2Scan *scan, Stream *stream)
{
  if (stream == NULL)
    return;
  scan->held_bytes -= stream->bytes;
  tt_list_remove (&scan->streams, &stream->link);
  free (stream);
}

/// Counts a part of a head, which a server keeps until the head has ended.
static void
count_head (TtHttp2Scan *scan, size_t size, bool ended)
{
  scan->held_bytes += size;
  scan->head_bytes += size;
  if (!ended)
    return;
  scan->held_bytes -= scan->head_bytes;
  scan->head_bytes = 0;
}

/// Applies a frame whose header is complete. Its payload may still be to come.
static void
apply_frame (TtHttp2Scan *scan)
{
  const unsigned char *head = scan->frame;
  size_t size = (size_t) head[0] << 16 | (size_t) head[1] << 8 | head[2];
  unsigned type = head[3];
  unsigned flags = head[4];
  uint32_t id = (uint32_t) (head[5] & 0x7f) << 24 | (uint32_t) head[6] << 16
                | (uint32_t) head[7] << 8 | head[8];
  Stream *stream = find_stream (scan, id);

  scan->skip = size;
  if (type == FRAME_HEADERS || type == FRAME_CONTINUATION)
    count_head (scan, size, (flags & FLAG_END_HEADERS) != 0);
  if (type == FRAME_HEADERS && stream == NULL && (flags & FLAG_END_STREAM) == 0)
    stream = add_stream (scan, id);
  if (type == FRAME_DATA && stream != NULL)
    {
      stream->bytes += size;
      scan->held_bytes += size;
    }
  if (type == FRAME_RST_STREAM
      || ((type == FRAME_DATA || type == FRAME_HEADERS) && (flags & FLAG_END_STREAM) != 0))
    end_stream (scan, stream);
}

void
tt_http2_scan (TtHttp2Scan *scan, const char *data, size_t size)
{
  while (size > 0 && !scan->failed)
    {
      size_t count = scan->skip < size ? scan->skip : size;

      scan->skip -= count;
      data += count;
      size -= count;
      if (size == 0 || scan->skip > 0)
        continue;
      scan->frame[scan->frame_bytes++] = (unsigned char) *data;
      data++;
      size--;
      if (scan->frame_bytes < sizeof scan->frame)
        continue;
      scan->frame_bytes = 0;
      apply_frame (scan);
    }
}

void
tt_http2_scan_close (TtHttp2Scan *scan)
{
  TtLink *link;

  while ((link = tt_list_pop (&scan->streams)) != NULL)
    free (TT_CONTAINER_OF (link, Stream, link));
}
