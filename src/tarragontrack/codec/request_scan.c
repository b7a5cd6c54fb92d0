#include "tarragontrack/codec/request_scan.h"
#include <string.h>
#include <strings.h>

/// Longest framing of a body, as a multiple of its limit: chunks of one byte take 5 bytes more
/// each.
#define FRAMING_FACTOR 16
/// Framing that a body may have whatever its limit is.
#define MIN_FRAMING_BYTES 4096
#define LENGTH_DIGITS 18 ///< a longer length does not fit into 63 bits

static bool
is_blank (char character)
{
  return character == ' ' || character == '\t';
}

/// Value of a header line without surrounding blanks; NULL if the line has another name.
static const char *
find_value (const TtRequestScan *scan, size_t size, const char *name, size_t *value_size)
{
  size_t length = strlen (name);
  const char *at = scan->line + length;
  const char *end = scan->line + size;

  if (size < length || strncasecmp (scan->line, name, length) != 0)
    return NULL;
  while (at < end && is_blank (*at))
    at++;
  while (end > at && is_blank (end[-1]))
    end--;
  *value_size = (size_t) (end - at);
  return at;
}

static bool
read_length (const char *text, size_t size, uint64_t *length)
{
  *length = 0;
  if (size == 0 || size > LENGTH_DIGITS)
    return false;
  for (size_t i = 0; i < size; i++)
    {
      if (text[i] < '0' || text[i] > '9')
        return false;
      *length = *length * 10 + (uint64_t) (text[i] - '0');
    }
  return true;
}

/// Reads a complete line of the head, of which the first @size bytes are known. A body with several
/// lengths, or one of no known form, has no known end.
static void
read_line (TtRequestScan *scan, size_t size, bool truncated)
{
  const char *value;
  size_t value_size = 0;

  if (scan->lines > 0 && size > 0 && is_blank (scan->line[0]))
    scan->unknown = true; // continues the line before
  value = find_value (scan, size, "content-length:", &value_size);
  if (value != NULL)
    {
      if (truncated || scan->has_length || scan->chunked
          || !read_length (value, value_size, &scan->length))
        scan->unknown = true;
      scan->has_length = true;
      return;
    }
  value = find_value (scan, size, "transfer-encoding:", &value_size);
  if (value == NULL)
    return;
  if (truncated || scan->has_length || scan->chunked || value_size != 7
      || strncasecmp (value, "chunked", 7) != 0)
    scan->unknown = true;
  scan->chunked = true;
}

/// Result of a complete head.
static TtRequestScanResult
end_head (TtRequestScan *scan, const TtRequestScanLimits *limits)
{
  if (scan->unknown)
    return TT_REQUEST_SCAN_UNKNOWN;
  if (scan->has_length && scan->length > limits->max_body_bytes)
    return TT_REQUEST_SCAN_LONG_BODY;
  scan->in_body = scan->chunked || (scan->has_length && scan->length > 0);
  return scan->in_body ? TT_REQUEST_SCAN_PARTIAL : TT_REQUEST_SCAN_COMPLETE;
}

/// Scans one line of the head, or a part of it.
static size_t
scan_line (TtRequestScan *scan, const TtRequestScanLimits *limits, const char *data, size_t size,
           TtRequestScanResult *result)
{
  static const char preface[] = "PRI * HTTP/2.0";
  const char *line_end = memchr (data, '\n', size);
  size_t length = line_end != NULL ? (size_t) (line_end - data) + 1 : size;
  size_t known = scan->line_bytes < sizeof scan->line ? scan->line_bytes : sizeof scan->line;
  size_t room = sizeof scan->line - known;
  size_t text_bytes;

  memcpy (scan->line + known, data, length < room ? length : room);
  scan->line_bytes += length;
  scan->head_bytes += length;
  *result = TT_REQUEST_SCAN_PARTIAL;
  if (scan->head_bytes > limits->max_head_bytes)
    *result = TT_REQUEST_SCAN_LONG_HEAD;
  if (line_end == NULL || *result != TT_REQUEST_SCAN_PARTIAL)
    return length;
  known = scan->line_bytes < sizeof scan->line ? scan->line_bytes : sizeof scan->line;
  text_bytes = known;
  while (text_bytes > 0
         && (scan->line[text_bytes - 1] == '\n' || scan->line[text_bytes - 1] == '\r'))
    text_bytes--;
  if (text_bytes == 0 && scan->lines > 0)
    *result = end_head (scan, limits);
  else if (scan->lines == 0 && text_bytes >= sizeof preface - 1
           && memcmp (scan->line, preface, sizeof preface - 1) == 0)
    *result = TT_REQUEST_SCAN_HTTP2;
  else if (text_bytes > 0) // blank lines before a request are skipped
    {
      read_line (scan, text_bytes, scan->line_bytes > sizeof scan->line);
      scan->lines++;
    }
  scan->line_bytes = 0;
  return length;
}

/// Scans bytes of a body in chunks, up to the end of its next piece.
static size_t
scan_chunks (TtRequestScan *scan, const TtRequestScanLimits *limits, const char *data, size_t size,
             TtRequestScanResult *result)
{
  uint64_t max_framing = FRAMING_FACTOR * limits->max_body_bytes + MIN_FRAMING_BYTES;
  const char *piece;
  size_t piece_size;
  size_t length = tt_chunk_read (&scan->chunks, data, size, &piece, &piece_size);

  scan->body_bytes += piece_size;
  scan->framing_bytes += length - piece_size;
  *result = TT_REQUEST_SCAN_PARTIAL;
  if (scan->chunks.state == TT_CHUNK_MALFORMED)
    *result = TT_REQUEST_SCAN_MALFORMED;
  else if (scan->chunks.state == TT_CHUNK_DONE)
    *result = TT_REQUEST_SCAN_COMPLETE;
  // Before the data of a chunk, its size is known.
  if (scan->framing_bytes > max_framing || scan->body_bytes > limits->max_body_bytes
      || (scan->chunks.state == TT_CHUNK_DATA
          && scan->chunks.remaining > limits->max_body_bytes - scan->body_bytes))
    *result = TT_REQUEST_SCAN_LONG_BODY;
  return length;
}

static size_t
scan_part (TtRequestScan *scan, const TtRequestScanLimits *limits, const char *data, size_t size,
           TtRequestScanResult *result)
{
  size_t length;

  if (!scan->in_body)
    return scan_line (scan, limits, data, size, result);
  if (scan->chunked)
    return scan_chunks (scan, limits, data, size, result);
  length = scan->length < size ? (size_t) scan->length : size;
  scan->length -= length;
  *result = scan->length == 0 ? TT_REQUEST_SCAN_COMPLETE : TT_REQUEST_SCAN_PARTIAL;
  return length;
}

size_t
tt_request_scan (TtRequestScan *scan, const TtRequestScanLimits *limits, const char *data,
                 size_t size, TtRequestScanResult *result)
{
  size_t at = 0;

  *result = TT_REQUEST_SCAN_PARTIAL;
  while (at < size && *result == TT_REQUEST_SCAN_PARTIAL)
    at += scan_part (scan, limits, data + at, size - at, result);
  if (*result == TT_REQUEST_SCAN_COMPLETE)
    memset (scan, 0, sizeof *scan);
  return at;
}

bool
tt_request_scan_is_between (const TtRequestScan *scan)
{
  return scan->head_bytes == 0;
}
