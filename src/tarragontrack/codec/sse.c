#include "tarragontrack/codec/sse.h"
#include <string.h>

/// First occurrence of @text in [data, data + size), or NULL.
static const char *
find_text (const char *data, size_t size, const char *text)
{
  size_t length = strlen (text);
  const char *end = data + size;

  while ((size_t) (end - data) >= length)
    {
      const char *first = memchr (data, text[0], (size_t) (end - data) - length + 1);

      if (first == NULL)
        return NULL;
      if (memcmp (first, text, length) == 0)
        return first;
      data = first + 1;
    }
  return NULL;
}

static bool
is_digit (char character)
{
  return character >= '0' && character <= '9';
}

/// Number after @key; 0 if the key is absent or if its value is no number of 32 bits. @key includes
/// its quotes and the colon.
static uint32_t
read_number (const char *data, size_t size, const char *key)
{
  const char *at = find_text (data, size, key);
  const char *end = data + size;
  uint64_t value = 0;

  if (at == NULL)
    return 0;
  for (at += strlen (key); at < end && *at == ' '; at++)
    ;
  for (; at < end && is_digit (*at) && value <= UINT32_MAX; at++)
    value = value * 10 + (uint64_t) (*at - '0');
  return at < end && strchr (",}] \t\r\n", *at) != NULL && *at != '\0' && value <= UINT32_MAX
             ? (uint32_t) value
             : 0;
}

uint32_t
tt_sse_parse_cached_tokens (const char *data, size_t size)
{
  return read_number (data, size, "\"cached_tokens\":");
}

uint32_t
tt_sse_parse_prompt_tokens (const char *data, size_t size)
{
  return read_number (data, size, "\"prompt_tokens\":");
}

/// True if a line that has not ended yet may become a line of an event.
static bool
may_begin_line (const char *line, size_t size)
{
  static const char *const names[] = { "data:", "event:", "id:", "retry:" };
  const char *cr = memchr (line, '\r', size);

  if (cr != NULL)
    return cr + 1 == line + size;
  for (size_t i = 0; i < sizeof names / sizeof names[0]; i++)
    {
      size_t length = strlen (names[i]);

      if (memcmp (line, names[i], size < length ? size : length) == 0)
        return true;
    }
  return line[0] == ':';
}

/// True for a line of an event by the standard of event streams: a comment, or a field with or
/// without a value. @size excludes the line's end.
static bool
is_event_line (const char *line, size_t size)
{
  static const char *const names[] = { "data", "event", "id", "retry" };
  const char *colon = memchr (line, ':', size);
  size_t name_size = colon != NULL ? (size_t) (colon - line) : size;
  bool known = colon == line;

  // A lone CR ends a line too, and would hide another one.
  if (memchr (line, '\r', size) != NULL)
    return false;
  for (size_t i = 0; i < sizeof names / sizeof names[0]; i++)
    known = known || (strlen (names[i]) == name_size && memcmp (line, names[i], name_size) == 0);
  if (!known || name_size != 5 || memcmp (line, "retry", 5) != 0)
    return known;
  for (size_t i = name_size + 1; i < size; i++)
    if (!is_digit (line[i]) && !(i == name_size + 1 && line[i] == ' '))
      return false;
  return size > name_size + 1 && is_digit (line[size - 1]);
}

/// Length of the first event, including its blank line; 0 if the event is incomplete or if @fault
/// is set, because its bytes are no event.
static size_t
event_length (const char *data, size_t size, TtSseFault *fault)
{
  size_t line = 0;

  while (line < size)
    {
      const char *next = memchr (data + line, '\n', size - line);
      size_t line_size = next != NULL ? (size_t) (next - data) - line : size - line;

      if (next == NULL && may_begin_line (data + line, line_size))
        return 0;
      if (next != NULL && line_size > 0 && next[-1] == '\r')
        line_size--;
      // An event has at least one line before its blank line.
      if (next != NULL && line_size == 0 && line > 0)
        return (size_t) (next + 1 - data);
      if (next == NULL || line_size == 0 || !is_event_line (data + line, line_size))
        {
          *fault = TT_SSE_UNKNOWN_FORM;
          return 0;
        }
      line = (size_t) (next + 1 - data);
    }
  return 0;
}

/// Parses one complete event and updates @scan. RETURN false if the event must not be relayed.
static bool
read_event (const char *event, size_t size, TtSseScan *scan)
{
  const char *data
      = size >= 5 && memcmp (event, "data:", 5) == 0 ? event : find_text (event, size, "\ndata:");
  const char *end = event + size;

  if (data == NULL)
    return true;
  for (data += *data == '\n' ? 6 : 5; data < end && *data == ' '; data++)
    ;
  if (end - data >= 6 && memcmp (data, "[DONE]", 6) == 0)
    {
      scan->done = data[6] == '\n' || (data[6] == '\r' && data[7] == '\n');
      scan->fault = scan->done ? TT_SSE_NO_FAULT : TT_SSE_UNKNOWN_FORM;
      return false;
    }
  if (end - data >= 9 && memcmp (data, "{\"error\":", 9) == 0)
    {
      scan->fault = TT_SSE_ENGINE_ERROR;
      return false;
    }
  if (find_text (data, (size_t) (end - data), "\"usage\":") != NULL)
    {
      scan->cached_tokens += tt_sse_parse_cached_tokens (data, (size_t) (end - data));
      scan->prompt_tokens += tt_sse_parse_prompt_tokens (data, (size_t) (end - data));
    }
  // The last event of a stream may contain the usage and no choice.
  if (find_text (data, (size_t) (end - data), "\"choices\":[]") == NULL)
    scan->tokens++;
  return true;
}

/// True if a text has blank lines and comments only.
static bool
is_padding (const char *text, size_t size)
{
  bool comment = false;

  for (size_t i = 0; i < size; i++)
    {
      if (i == 0 || text[i - 1] == '\n')
        comment = text[i] == ':';
      if (!comment && text[i] != '\n' && text[i] != '\r')
        return false;
    }
  return true;
}

size_t
tt_sse_scan (const char *data, size_t size, TtSseScan *scan)
{
  size_t consumed = 0;
  size_t length = 0;

  while (scan->fault == TT_SSE_NO_FAULT)
    {
      length = event_length (data + consumed, size - consumed, &scan->fault);
      if (length == 0 || !read_event (data + consumed, length, scan))
        break;
      consumed += length;
    }
  // No event may follow `[DONE]`, which the next scan finds at the start of its data again.
  if (scan->done && scan->fault == TT_SSE_NO_FAULT
      && !is_padding (data + consumed + length, size - consumed - length))
    scan->fault = TT_SSE_UNKNOWN_FORM;
  return consumed;
}
