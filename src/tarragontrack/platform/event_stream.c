#include "tarragontrack/platform/event_stream.h"
#include <string.h>

/// Length of the first event, including its terminating blank line; 0 if it is incomplete.
static size_t
event_length (const char *data, size_t size)
{
  const char *at = data;
  const char *end = data + size;

  while (at < end)
    {
      const char *line_end = memchr (at, '\n', (size_t) (end - at));

      if (line_end == NULL)
        return 0;
      if (line_end == at || (line_end == at + 1 && *at == '\r'))
        return (size_t) (line_end + 1 - data);
      at = line_end + 1;
    }
  return 0;
}

/// Parses the number of the "id: N" line of an event. RETURN false if there is none.
static bool
parse_id (const char *event, size_t size, uint32_t *id)
{
  const char *end = event + size;

  for (const char *at = event; at < end;)
    {
      const char *line_end = memchr (at, '\n', (size_t) (end - at));

      if (line_end == NULL)
        line_end = end;
      if (line_end - at > 3 && memcmp (at, "id:", 3) == 0)
        {
          at += at[3] == ' ' ? 4 : 3;
          if (at == line_end || *at < '0' || *at > '9')
            return false;
          // The limit of the value prevents an overflow.
          for (*id = 0; at < line_end && *at >= '0' && *at <= '9' && *id < UINT32_MAX / 16; at++)
            *id = *id * 10 + (uint32_t) (*at - '0');
          return true;
        }
      at = line_end + 1;
    }
  return false;
}

size_t
tt_event_stream_scan (const char *data, size_t size, TtSseScan *scan)
{
  size_t consumed = 0;

  while (!scan->error)
    {
      size_t length = event_length (data + consumed, size - consumed);
      uint32_t id = 0;

      if (length == 0)
        break;
      if (parse_id (data + consumed, length, &id))
        {
          // After a gap or a repeated id, the relayed parts would not be contiguous.
          if (id != scan->last_event_id + 1)
            {
              scan->error = true;
              break;
            }
          scan->last_event_id = id;
          scan->tokens++;
        }
      consumed += length;
    }
  // There is no final event: the stream is complete if its HTTP message ends after a whole event.
  scan->done = consumed == size;
  return consumed;
}
