#include "tarragontrack/io/reload.h"
#include "tarragontrack/board/error.h"
#include "tarragontrack/codec/settings.h"
#include "tarragontrack/io/log.h"
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/stat.h>

/// The cost of one stat() of a local file per second is negligible, and operators expect a change
/// to be applied within seconds.
#define CHECK_PERIOD_US TT_SECOND_US

enum
{
  KEY_LIST_MAX = 160 ///< size in bytes of a list of settings keys in a log line
};

static TtFileState
read_file_state (const char *path)
{
  struct stat status;

  if (stat (path, &status) < 0)
    return (TtFileState){ 0 };
  return (
      TtFileState){ .modified = status.st_mtim, .size = status.st_size, .inode = status.st_ino };
}

static bool
is_same_state (const TtFileState *a, const TtFileState *b)
{
  return a->modified.tv_sec == b->modified.tv_sec && a->modified.tv_nsec == b->modified.tv_nsec
         && a->size == b->size && a->inode == b->inode;
}

void
tt_reload_init (TtReload *reload, const char *path, const TtSettings *settings, TtBoard *board)
{
  memset (reload, 0, sizeof *reload);
  reload->path = path;
  reload->board = board;
  reload->current = *settings;
  reload->file_state = read_file_state (path);
}

static void
log_changes (const TtReload *reload, const TtSettings *new_settings, const char *cause)
{
  char applied_keys[KEY_LIST_MAX];
  char restart_keys[KEY_LIST_MAX];
  char text[TT_LOG_TEXT_MAX];

  tt_settings_diff (&reload->current, new_settings, true, applied_keys, sizeof applied_keys);
  tt_settings_diff (&reload->current, new_settings, false, restart_keys, sizeof restart_keys);
  (void) snprintf (text, sizeof text, "name=%s cause=%s taken_over=%s needs_restart=%s",
                   reload->current.name, cause, applied_keys, restart_keys);
  tt_log_write (TT_LOG_SETTINGS_RELOADED, text);
}

/// Reads the file into @new_settings and applies it. RETURN 0 or a negative error number.
static int
load_and_apply (TtReload *reload, TtSettings *new_settings, const char *cause, TtError *error)
{
  int code = tt_settings_load (reload->path, new_settings, error);

  if (code == TT_OK && reload->apply != NULL)
    code = reload->apply (reload->context, new_settings, error);
  if (code < 0)
    return code;
  log_changes (reload, new_settings, cause);
  reload->current.curve = new_settings->curve;
  reload->current.bounds = new_settings->bounds;
  reload->board->config.bounds = new_settings->bounds;
  return TT_OK;
}

void
tt_reload_run (TtReload *reload, const char *cause)
{
  TtSettings *new_settings = malloc (sizeof *new_settings);
  TtError error = { 0 };
  char text[TT_LOG_TEXT_MAX];

  reload->file_state = read_file_state (reload->path);
  if (new_settings == NULL)
    (void) tt_error_set (&error, TT_E_NO_MEMORY, TT_STEP_SETTINGS, reload->path, "settings");
  if (new_settings == NULL || load_and_apply (reload, new_settings, cause, &error) < 0)
    {
      tt_error_format (&error, text, sizeof text);
      tt_log_write (TT_LOG_SETTINGS_REFUSED, text);
    }
  free (new_settings);
}

void
tt_reload_check (TtReload *reload, int64_t now_us)
{
  TtFileState state;

  if (now_us < reload->next_check_us)
    return;
  reload->next_check_us = now_us + CHECK_PERIOD_US;
  state = read_file_state (reload->path);
  if (!is_same_state (&state, &reload->file_state))
    tt_reload_run (reload, "file");
}
