/// Reloads a changed settings file in a running daemon.
#pragma once

#include "tarragontrack/board/board_defs.h"
#include "tarragontrack/codec/settings_defs.h"
#include <sys/types.h>
#include <time.h>

/// Attributes by which a change of a file is detected; all zero if the file doesn't exist.
typedef struct
{
  struct timespec modified;
  off_t size;
  ino_t inode;
} TtFileState;

typedef struct
{
  const char *path;
  TtBoard *board;
  TtSettings current;     ///< settings in use; those that need a restart keep their initial values
  TtFileState file_state; ///< of the file when it was last read
  int64_t next_check_us;
  void *context;
  /// Applies settings that are stored outside of the board. If it fails, the settings in the
  /// board don't change either.
  int (*apply) (void *context, const TtSettings *settings, TtError *error);
} TtReload;

/// tt_reload_init - initializes the reload of a settings file
///
/// ARGUMENTS  settings: as read from the file at the start of the daemon
void tt_reload_init (TtReload *reload, const char *path, const TtSettings *settings,
                     TtBoard *board);

/// Reads the file and applies the settings that can change while the daemon runs. Logs which
/// settings changed, or why the file was rejected. @cause is part of the log line.
void tt_reload_run (TtReload *reload, const char *cause);

/// Runs tt_reload_run() if the file has changed since it was read. Checks the file once a second.
void tt_reload_check (TtReload *reload, int64_t now_us);
