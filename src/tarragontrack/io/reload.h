/// Takes over a changed settings file in a running daemon.
#pragma once

#include "tarragontrack/board/board_defs.h"
#include "tarragontrack/codec/settings_defs.h"
#include <sys/types.h>
#include <time.h>

/// What tells two states of a file apart; all zero without a file.
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
  TtSettings current; ///< in force, as far as a running daemon takes values over
  TtFileState state;  ///< of the file when it was read last
  int64_t next_check_us;
  void *context;
  /// Takes over what is kept outside of the board; the old values stay in use if it fails.
  int (*apply) (void *context, const TtSettings *settings, TtError *error);
} TtReload;

/// tt_reload_init - starts to watch a settings file
///
/// ARGUMENTS  settings: as read from the file at the start
void tt_reload_init (TtReload *reload, const char *path, const TtSettings *settings,
                     TtBoard *board);

/// Reads the file and takes over what can change while the daemon runs; a log line tells what did,
/// or why the file was refused. @cause stands in the line.
void tt_reload_run (TtReload *reload, const char *cause);

/// Runs tt_reload_run() if the file has changed since it was read. Looks once a second.
void tt_reload_check (TtReload *reload, int64_t now_us);
