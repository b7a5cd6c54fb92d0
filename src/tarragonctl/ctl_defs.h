/// Shared types of the command-line tool.
#pragma once

#include "tarragontrack/board/error_defs.h"
#include "tarragontrack/board/object_defs.h"
#include <glib.h>
#include <stdbool.h>

/// Exit codes, listed in the manual page.
typedef enum
{
  CTL_EXIT_OK = 0,
  CTL_EXIT_FAILED = 1,        ///< invalid document, failed verification or another error
  CTL_EXIT_USAGE = 2,         ///< invalid command line
  CTL_EXIT_CONFLICT = 3,      ///< another operator changed the document first; nothing was written
  CTL_EXIT_UNREACHABLE = 4,   ///< the platform or the daemon could not be reached
  CTL_EXIT_EFFECT_UNKNOWN = 5 ///< no response or acceptance in time; the effect is unknown
} CtlExit;

typedef struct CtlSession CtlSession;

/// Options that several commands share.
typedef struct
{
  char *platform; ///< http://IP:PORT of the platform's object API
  char *daemon;   ///< http://IP:PORT of a daemon's operator port
  char *author;
  gboolean json;
  gint wait_s;       ///< maximum time to wait for acceptance; 0 = don't wait
  gint64 base_epoch; ///< epoch that the edited document is based on; -1 = read from its first line
  char *output;      ///< path of the file to write
  gboolean watch;
} CtlOptions;

/// One command.
typedef struct
{
  const char *name;
  const char *arguments; ///< positional arguments, shown by --help
  const char *summary;
  const char *const *options; ///< long names of the accepted options, NULL-terminated
  CtlExit (*run) (const CtlOptions *options, int count, char **arguments);
} CtlCommand;
