#include "support/unit.h"
#include "tarragontrack/board/board.h"
#include "tarragontrack/board/error.h"
#include "tarragontrack/codec/settings.h"
#include "tarragontrack/io/reload.h"
#include "tarragontrack/io/router_options.h"
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#define T0 (100 * TT_SECOND_US)

typedef struct
{
  char path[64];
  TtSettings settings;
  TtBoard *board;
  TtReload reload;
  unsigned applied;
  int answer; ///< of `apply`
} World;

/// Writes the settings with a slack and a number of requests, in place of the file.
static void
write_file (const World *world, unsigned slack, unsigned requests, const char *end)
{
  char temporary[80];
  FILE *file;

  (void) snprintf (temporary, sizeof temporary, "%s.new", world->path);
  file = fopen (temporary, "we");
  UNIT_REQUIRE (file != NULL);
  (void) fprintf (file,
                  "{\"fleet\": \"f\", \"name\": \"d1\", \"domain\": \"z1\", \"region\": \"r\", "
                  "\"caller\": {\"address\": \"127.0.0.1:1\"}, "
                  "\"operator\": {\"address\": \"127.0.0.1:2\"}, "
                  "\"peer\": {\"address\": \"127.0.0.1\", \"port\": 3}, "
                  "\"platform\": {\"url\": \"http://127.0.0.1:4\", \"configuration\": \"routes\"}, "
                  "\"limits\": {\"max_requests\": %u}, \"bounds\": {\"repeat_slack\": %u}%s",
                  requests, slack, end);
  UNIT_REQUIRE (fclose (file) == 0 && rename (temporary, world->path) == 0);
}

static int
apply (void *context, const TtSettings *settings, TtError *error)
{
  World *world = context;

  (void) settings;
  world->applied++;
  return world->answer == TT_OK
             ? TT_OK
             : tt_error_set (error, world->answer, TT_STEP_SETTINGS, "certificate", "is wrong");
}

static void
open_world (World *world)
{
  TtBoardConfig config;
  TtError error;
  int file;

  memset (world, 0, sizeof *world);
  (void) snprintf (world->path, sizeof world->path, "reload-test-XXXXXX");
  file = mkstemp (world->path);
  UNIT_REQUIRE (file >= 0);
  (void) close (file);
  write_file (world, 50, 64, "}");
  UNIT_REQUIRE (tt_settings_load (world->path, &world->settings, &error) == TT_OK);
  tt_router_board_config (&world->settings, &config);
  world->board = tt_board_new (&config);
  UNIT_REQUIRE (world->board != NULL);
  tt_reload_init (&world->reload, world->path, &world->settings, world->board);
  world->reload.context = world;
  world->reload.apply = apply;
}

static void
close_world (World *world)
{
  (void) unlink (world->path);
  tt_board_free (world->board);
}

/// Guards against a changed file that is not noticed without a signal, and against an unchanged one
/// that is read again and again.
static void
change_without_signal (void)
{
  World world;

  open_world (&world);
  tt_reload_check (&world.reload, T0);
  CU_ASSERT_EQUAL (world.applied, 0);
  write_file (&world, 80, 64, "}");
  tt_reload_check (&world.reload, T0 + 100 * TT_MILLISECOND_US);
  CU_ASSERT_EQUAL (world.applied, 0);
  tt_reload_check (&world.reload, T0 + TT_SECOND_US);
  CU_ASSERT_EQUAL (world.applied, 1);
  CU_ASSERT_EQUAL (world.board->config.bounds.repeat_slack, 80);
  tt_reload_check (&world.reload, T0 + 2 * TT_SECOND_US);
  CU_ASSERT_EQUAL (world.applied, 1);
  close_world (&world);
}

/// Guards against a signal that does nothing because the file looks the same: the certificate's
/// file may have changed.
static void
signal_without_change (void)
{
  World world;

  open_world (&world);
  tt_reload_run (&world.reload, "signal");
  CU_ASSERT_EQUAL (world.applied, 1);
  CU_ASSERT_EQUAL (world.board->config.bounds.repeat_slack, 50);
  close_world (&world);
}

/// Guards against a file that is half written, gone or refused and changes what is in force, and
/// against its whole successor that is not read.
static void
bad_file (void)
{
  World world;

  open_world (&world);
  write_file (&world, 80, 64, "");
  tt_reload_check (&world.reload, T0);
  CU_ASSERT_EQUAL (world.applied, 0);
  CU_ASSERT_EQUAL (world.board->config.bounds.repeat_slack, 50);
  CU_ASSERT_EQUAL (unlink (world.path), 0);
  tt_reload_check (&world.reload, T0 + TT_SECOND_US);
  CU_ASSERT_EQUAL (world.board->config.bounds.repeat_slack, 50);
  write_file (&world, 80, 64, "}");
  world.answer = TT_E_INVALID;
  tt_reload_check (&world.reload, T0 + 2 * TT_SECOND_US);
  CU_ASSERT_EQUAL (world.applied, 1);
  CU_ASSERT_EQUAL (world.board->config.bounds.repeat_slack, 50);
  world.answer = TT_OK;
  write_file (&world, 90, 64, "}");
  tt_reload_check (&world.reload, T0 + 3 * TT_SECOND_US);
  CU_ASSERT_EQUAL (world.board->config.bounds.repeat_slack, 90);
  close_world (&world);
}

/// Guards against a size that changes under the records that were made for it.
static void
restart_only (void)
{
  World world;

  open_world (&world);
  write_file (&world, 50, 128, "}");
  tt_reload_check (&world.reload, T0);
  CU_ASSERT_EQUAL (world.applied, 1);
  CU_ASSERT_EQUAL (world.board->config.max_requests, 64);
  CU_ASSERT_EQUAL (world.reload.current.max_requests, 64);
  close_world (&world);
}

static const UnitTest tests[] = {
  { "a change without a signal is not seen", change_without_signal },
  { "a signal without a change does nothing", signal_without_change },
  { "a bad file changes what is in force", bad_file },
  { "a size changes while the daemon runs", restart_only },
};

UNIT_MAIN ("reload", tests)
