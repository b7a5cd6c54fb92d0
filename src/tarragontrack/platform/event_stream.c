#include "tarragontrack/platform/event_stream.h"
#include "tarragontrack/platform/names.h"
#include <glib.h>
#include <string.h>

/// Value of the line "NAME: VALUE"; NULL if the line has another name.
static const char *
line_value (const char *line, const char *end, const char *name)
{
  size_t length = strlen (name);

  if ((size_t) (end - line) <= length || memcmp (line, name, length) != 0 || line[length] != ':')
    return NULL;
  line += length + 1;
  return line < end && *line == ' ' ? line + 1 : line;
}

/// Parses a decimal number without leading zeros that fills [text, end).
static bool
parse_number (const char *text, const char *end, uint32_t *number)
{
  uint64_t value = 0;

  if (text == end || (*text == '0' && text + 1 < end))
    return false;
  for (; text < end && *text >= '0' && *text <= '9' && value <= UINT32_MAX; text++)
    value = value * 10 + (uint64_t) (*text - '0');
  *number = (uint32_t) value;
  return text == end && value <= UINT32_MAX;
}

static bool
are_digits (const char *text, const char *end)
{
  for (; text < end; text++)
    if (*text < '0' || *text > '9')
      return false;
  return true;
}

/// True for text that no caller takes for a line's end or for another encoding: a lone CR ends a
/// line in the standard of event streams, which also requires UTF-8.
static bool
is_text (const char *text, const char *end)
{
  return memchr (text, '\r', (size_t) (end - text)) == NULL
         && g_utf8_validate_len (text, (size_t) (end - text), NULL);
}

/// Adds a line, without its end, to the incomplete event. RETURN false if no event has this line at
/// this place.
static bool
add_line (TtSseEvent *event, const char *line, const char *end)
{
  bool first = event->lines++ == 0;
  const char *value = line_value (line, end, "data");

  event->checked = 0;
  if (value != NULL)
    {
      event->has_data = true;
      return is_text (value, end);
    }
  value = line_value (line, end, "id");
  if (value != NULL)
    {
      bool repeated = event->has_id;

      event->has_id = true;
      return !repeated && parse_number (value, end, &event->id);
    }
  value = line_value (line, end, TT_WIRE_WEIGHT_VERSIONS);
  return first && value != NULL && value < end && are_digits (value, end);
}

/// True if text that has not ended yet may become text of an event. @checked: bytes at its start
/// that earlier scans have checked; updated.
static bool
may_become_text (const char *text, const char *end, size_t *checked)
{
  const char *from = text + *checked;
  const char *valid_end;

  if (memchr (from, '\r', (size_t) (end - from)) != NULL)
    return false;
  (void) g_utf8_validate_len (from, (size_t) (end - from), &valid_end);
  *checked = (size_t) (valid_end - text);
  // A character of several bytes may have begun.
  return valid_end == end
         || (*valid_end != '\0'
             && g_utf8_get_char_validated (valid_end, end - valid_end) == (gunichar) -2);
}

/// True if a line that has not ended yet may become a line of the incomplete event.
static bool
may_become_line (TtSseEvent *event, const char *line, const char *end)
{
  static const char *const names[] = { "data:", "id:", TT_WIRE_WEIGHT_VERSIONS ":" };
  bool known = false;
  const char *value;

  if (end > line && end[-1] == '\r') // the start of a line's end
    end--;
  if (end == line)
    return true;
  value = line_value (line, end, "data");
  if (value != NULL)
    return may_become_text (value, end, &event->checked);
  value = line_value (line, end, "id");
  if (value != NULL)
    return !event->has_id && are_digits (value, end);
  value = line_value (line, end, TT_WIRE_WEIGHT_VERSIONS);
  if (value != NULL)
    return event->lines == 0 && are_digits (value, end);
  for (size_t i = 0; i < sizeof names / sizeof names[0]; i++)
    known = known || strncmp (line, names[i], (size_t) (end - line)) == 0;
  return known;
}

/// Ends the incomplete event with its blank line.
static TtSseFault
end_event (TtSseScan *scan)
{
  TtSseEvent event = scan->event;

  scan->event = (TtSseEvent){ 0 };
  if (!event.has_id || !event.has_data)
    return TT_SSE_UNKNOWN_FORM;
  // After a gap or a repeated id, the relayed parts would not be contiguous.
  if (event.id != scan->last_event_id + 1)
    return TT_SSE_WRONG_ID;
  scan->last_event_id = event.id;
  scan->tokens++;
  return TT_SSE_NO_FAULT;
}

size_t
tt_event_stream_scan (const char *data, size_t size, TtSseScan *scan)
{
  size_t consumed = 0;

  while (scan->fault == TT_SSE_NO_FAULT)
    {
      const char *line = data + consumed + scan->event.size;
      const char *next = memchr (line, '\n', (size_t) (data + size - line));
      const char *end = next;

      if (next == NULL)
        {
          if (!may_become_line (&scan->event, line, data + size))
            scan->fault = TT_SSE_UNKNOWN_FORM;
          break;
        }
      if (end > line && end[-1] == '\r')
        end--;
      if (end > line)
        {
          scan->event.size += (size_t) (next + 1 - line);
          if (!add_line (&scan->event, line, end))
            scan->fault = TT_SSE_UNKNOWN_FORM;
          continue;
        }
      scan->fault = end_event (scan);
      if (scan->fault == TT_SSE_NO_FAULT)
        consumed = (size_t) (next + 1 - data);
    }
  // There is no final event: the stream is complete if its HTTP message ends after a whole event.
  scan->done = scan->fault == TT_SSE_NO_FAULT && consumed == size;
  return consumed;
}
