#include "tarragontrack/io/reload.h"
#include "tarragontrack/board/error.h"
#include "tarragontrack/codec/settings.h"
#include "tarragontrack/io/log.h"
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/stat.h>

/// A stat() of a local file a second costs nothing, and operators expect a change within seconds.
#define CHECK_PERIOD_US TT_SECOND_US

enum
{
  KEYS_MAX = 160 ///< bytes of a list of keys in a log line
};

static TtFileState
file_state (const char *path)
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
  reload->state = file_state (path);
}

static void
log_changes (const TtReload *reload, const TtSettings *fresh, const char *cause)
{
  char taken[KEYS_MAX];
  char left[KEYS_MAX];
  char text[TT_LOG_TEXT_MAX];

  tt_settings_diff (&reload->current, fresh, true, taken, sizeof taken);
  tt_settings_diff (&reload->current, fresh, false, left, sizeof left);
  (void) snprintf (text, sizeof text, "name=%s cause=%s taken_over=%s needs_restart=%s",
                   reload->current.name, cause, taken, left);
  tt_log_write (TT_LOG_SETTINGS_RELOADED, text);
}

/// Reads the file into @fresh and takes it over. RETURN 0 or a negative error number.
static int
take_over (TtReload *reload, TtSettings *fresh, const char *cause, TtError *error)
{
  int code = tt_settings_load (reload->path, fresh, error);

  if (code == TT_OK && reload->apply != NULL)
    code = reload->apply (reload->context, fresh, error);
  if (code < 0)
    return code;
  log_changes (reload, fresh, cause);
  reload->current.curve = fresh->curve;
  reload->current.bounds = fresh->bounds;
  reload->board->config.bounds = fresh->bounds;
  return TT_OK;
}

void
tt_reload_run (TtReload *reload, const char *cause)
{
  TtSettings *fresh = malloc (sizeof *fresh);
  TtError error = { 0 };
  char text[TT_LOG_TEXT_MAX];

  reload->state = file_state (reload->path);
  if (fresh == NULL)
    (void) tt_error_set (&error, TT_E_NO_MEMORY, TT_STEP_SETTINGS, reload->path, "settings");
  if (fresh == NULL || take_over (reload, fresh, cause, &error) < 0)
    {
      tt_error_format (&error, text, sizeof text);
      tt_log_write (TT_LOG_SETTINGS_REFUSED, text);
    }
  free (fresh);
}

void
tt_reload_check (TtReload *reload, int64_t now_us)
{
  TtFileState state;

  if (now_us < reload->next_check_us)
    return;
  reload->next_check_us = now_us + CHECK_PERIOD_US;
  state = file_state (reload->path);
  if (!is_same_state (&state, &reload->state))
    tt_reload_run (reload, "file");
}
