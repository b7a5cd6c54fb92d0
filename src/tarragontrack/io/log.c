#include "tarragontrack/io/log.h"
#include "tarragontrack/board/error_defs.h"
#include <ctype.h>
#include <log4c.h>
#include <stdio.h>
#include <string.h>
#include <time.h>

#define CATEGORY "tarragontrack"

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

static const EventInfo *
find_event (TtLogEvent event)
{
  for (size_t i = 0; i < sizeof events / sizeof events[0]; i++)
    if (events[i].event == event)
      return &events[i];
  return &events[0];
}

TtLogLevel
tt_log_level (TtLogEvent event)
{
  return find_event (event)->level;
}

const char *
tt_log_name (TtLogEvent event)
{
  return find_event (event)->name;
}

/// Passes the message through, with the time and the end of line.
static const char *
format_line (const log4c_layout_t *layout, const log4c_logging_event_t *event)
{
  static char line[512];
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

/// Writes a line without the appender's name, which log4c's own stream type puts before it.
static int
append_line (log4c_appender_t *appender, const log4c_logging_event_t *event)
{
  (void) appender;
  return fputs (event->evt_rendered_msg, stderr) < 0 ? -1 : 0;
}

static const log4c_layout_type_t line_layout = { "tarragontrack_line", format_line };
static const log4c_appender_type_t line_appender
    = { .name = "tarragontrack_stderr", .append = append_line };

int
tt_log_open (TtLogLevel level)
{
  log4c_appender_t *appender;
  log4c_layout_t *layout;
  log4c_category_t *category;

  if (log4c_init () != 0)
    return TT_E_INTERNAL;
  (void) log4c_layout_type_set (&line_layout);
  (void) log4c_appender_type_set (&line_appender);
  appender = log4c_appender_get ("tarragontrack_stderr");
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
  (void) log4c_fini ();
}

void
tt_log_write (TtLogEvent event, const char *text)
{
  const EventInfo *info = find_event (event);
  char name[TT_PEER_MAX];
  size_t i;

  for (i = 0; info->name[i] != '\0' && i < sizeof name - 1; i++)
    name[i] = (char) tolower ((unsigned char) info->name[i]);
  name[i] = '\0';
  log4c_category_log (log4c_category_get (CATEGORY), levels[info->level].priority, "%d %s %s %s",
                      (int) event, levels[info->level].name, name, text);
}
