#include "tarragontrack/board/error.h"
#include <stdarg.h>
#include <stdio.h>
#include <string.h>

int
tt_error_set (TtError *error, int code, TtStep step, const char *peer, const char *format, ...)
{
  va_list arguments;

  if (error == NULL)
    return code;
  error->code = code;
  error->step = step;
  (void) snprintf (error->peer, sizeof error->peer, "%s", peer != NULL ? peer : "");
  va_start (arguments, format);
  (void) vsnprintf (error->detail, sizeof error->detail, format, arguments);
  va_end (arguments);
  return code;
}

const char *
tt_error_name (int code)
{
  static const char *const names[]
      = { "ok",      "invalid",     "limit",     "not found", "conflict",
          "timeout", "unavailable", "version",   "malformed", "stale",
          "auth",    "crashed",     "cancelled", "no memory", "internal" };
  size_t index = (size_t) (code < 0 ? -code : code);

  return index < sizeof names / sizeof names[0] ? names[index] : "unknown";
}

const char *
tt_step_name (TtStep step)
{
  static const char *const names[TT_STEP_COUNT]
      = { "none",         "settings",      "document",       "caller read",    "caller write",
          "admit",        "claim",         "place",          "connect",        "send",
          "receive",      "platform read", "platform write", "platform watch", "peer send",
          "peer receive", "order",         "listen" };

  return (unsigned) step < TT_STEP_COUNT ? names[step] : "unknown";
}

void
tt_error_format (const TtError *error, char *buffer, size_t size)
{
  (void) snprintf (buffer, size, "%s: %s%s%s: %s", tt_step_name (error->step), error->peer,
                   error->peer[0] != '\0' ? ": " : "", tt_error_name (error->code), error->detail);
}
