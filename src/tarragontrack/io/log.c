#include "tarragontrack/io/log.h"
#include "tarragontrack/board/error_defs.h"
#include "tarragontrack/io/clock.h"
#include <ctype.h>
#include <fcntl.h>
#include <log4c.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>
#include <unistd.h>

#define CATEGORY "tarragontrack"
#define PERIOD_US 1000000 ///< period of the rate limit per event

enum
{
  /// Rate limit per event. A daemon at full load logs fewer lines per second of each event.
  EVENT_LINES_PER_S = 400,
  BUFFER_BYTES = 256 << 10, ///< lines not yet written to standard output; more are dropped
  EVENTS_MAX = 128
};

typedef struct
{
  TtLogEvent event;
  TtLogLevel level;
  const char *name;
} EventInfo;

static const EventInfo events[] = {
#define EVENT_INFO(id, number, level) { (TtLogEvent) (number), TT_LEVEL_##level, #id },
  TT_LOG_LIST (EVENT_INFO)
#undef EVENT_INFO
};

_Static_assert(sizeof events / sizeof events[0] <= EVENTS_MAX,
               "lines[] has an element for each event");

static const struct
{
  const char *name;
  int priority;
} levels[] = {
  [TT_LEVEL_ERROR] = { "ERROR", LOG4C_PRIORITY_ERROR },
  [TT_LEVEL_WARN] = { "WARN", LOG4C_PRIORITY_WARN },
  [TT_LEVEL_INFO] = { "INFO", LOG4C_PRIORITY_INFO },
  [TT_LEVEL_DEBUG] = { "DEBUG", LOG4C_PRIORITY_DEBUG },
};

/// Buffered lines, and the state of the rate limits.
static struct
{
  char *buffer; ///< BUFFER_BYTES
  size_t size;
  uint32_t lines[EVENTS_MAX]; ///< number of lines written of each event in this period
  int64_t period_start_us;    ///< start of the rate limit period
  uint64_t dropped_lines;     ///< lines dropped in this period
} output;

static size_t
find_event (TtLogEvent event)
{
  for (size_t i = 0; i < sizeof events / sizeof events[0]; i++)
    if (events[i].event == event)
      return i;
  return 0;
}

TtLogLevel
tt_log_event_level (TtLogEvent event)
{
  return events[find_event (event)].level;
}

const char *
tt_log_event_name (TtLogEvent event)
{
  return events[find_event (event)].name;
}

/// Formats a message with its time and a newline.
static const char *
format_line (const log4c_layout_t *layout, const log4c_logging_event_t *event)
{
  static char line[768];
  struct tm parts;
  size_t length;

  (void) layout;
  if (gmtime_r (&event->evt_timestamp.tv_sec, &parts) == NULL)
    return event->evt_msg;
  length = strftime (line, sizeof line, "%Y-%m-%dT%H:%M:%S", &parts);
  (void) snprintf (line + length, sizeof line - length, ".%03dZ %s\n",
                   (int) (event->evt_timestamp.tv_usec / 1000), event->evt_msg);
  return line;
}

/// Buffers a line for the next flush. Drops it if the buffer is full because the reader of the log
/// is too slow.
static int
buffer_line (log4c_appender_t *appender, const log4c_logging_event_t *event)
{
  size_t length = strlen (event->evt_rendered_msg);

  (void) appender;
  if (output.buffer == NULL || output.size + length > BUFFER_BYTES)
    {
      output.dropped_lines++;
      return -1;
    }
  memcpy (output.buffer + output.size, event->evt_rendered_msg, length);
  output.size += length;
  return 0;
}

static const log4c_layout_type_t line_layout = { "tarragontrack_line", format_line };
static const log4c_appender_type_t line_appender
    = { .name = "tarragontrack_stdout", .append = buffer_line };

int
tt_log_open (TtLogLevel level)
{
  log4c_appender_t *appender;
  log4c_layout_t *layout;
  log4c_category_t *category;
  int flags = fcntl (STDOUT_FILENO, F_GETFL);

  output.buffer = malloc (BUFFER_BYTES);
  if (output.buffer == NULL)
    return TT_E_NO_MEMORY;
  // A log reader that stops reading must not block the daemon.
  if (flags >= 0)
    (void) fcntl (STDOUT_FILENO, F_SETFL, flags | O_NONBLOCK);
  if (log4c_init () != 0)
    return TT_E_INTERNAL;
  (void) log4c_layout_type_set (&line_layout);
  (void) log4c_appender_type_set (&line_appender);
  appender = log4c_appender_get ("tarragontrack_stdout");
  layout = log4c_layout_get ("tarragontrack_line");
  category = log4c_category_get (CATEGORY);
  if (appender == NULL || layout == NULL || category == NULL)
    return TT_E_INTERNAL;
  (void) log4c_layout_set_type (layout, &line_layout);
  (void) log4c_appender_set_type (appender, &line_appender);
  (void) log4c_appender_set_layout (appender, layout);
  (void) log4c_category_set_appender (category, appender);
  (void) log4c_category_set_additivity (category, 0);
  (void) log4c_category_set_priority (category, levels[level].priority);
  return TT_OK;
}

void
tt_log_close (void)
{
  tt_log_flush ();
  (void) log4c_fini ();
  free (output.buffer);
  output.buffer = NULL;
}

void
tt_log_flush (void)
{
  ssize_t written;

  if (output.size == 0)
    return;
  written = write (STDOUT_FILENO, output.buffer, output.size);
  if (written <= 0)
    return; // the reader of the log is too slow; the lines stay in the buffer
  output.size -= (size_t) written;
  memmove (output.buffer, output.buffer + written, output.size);
}

/// Writes a line without applying the rate limit.
static void
write_line (size_t index, const char *text)
{
  const EventInfo *info = &events[index];
  char name[TT_ERROR_PEER_MAX];
  size_t i;

  for (i = 0; info->name[i] != '\0' && i < sizeof name - 1; i++)
    name[i] = (char) tolower ((unsigned char) info->name[i]);
  name[i] = '\0';
  log4c_category_log (log4c_category_get (CATEGORY), levels[info->level].priority, "%d %s %s %s",
                      (int) info->event, levels[info->level].name, name, text);
}

/// Starts a new rate limit period if the current one has passed, and logs how many lines were
/// dropped in it.
static void
start_period_if_due (void)
{
  int64_t now_us = tt_clock_now_us ();
  char text[64];

  if (now_us - output.period_start_us < PERIOD_US)
    return;
  output.period_start_us = now_us;
  memset (output.lines, 0, sizeof output.lines);
  if (output.dropped_lines == 0)
    return;
  (void) snprintf (text, sizeof text, "lines=%llu", (unsigned long long) output.dropped_lines);
  output.dropped_lines = 0;
  write_line (find_event (TT_LOG_LINES_LEFT_OUT), text);
}

void
tt_log_write (TtLogEvent event, const char *text)
{
  size_t index = find_event (event);

  start_period_if_due ();
  if (output.lines[index] >= EVENT_LINES_PER_S)
    {
      output.dropped_lines++;
      return;
    }
  output.lines[index]++;
  write_line (index, text);
}
