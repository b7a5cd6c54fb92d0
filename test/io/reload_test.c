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

#define START_US (100 * TT_SECOND_US)

typedef struct
{
  char path[64];
  TtSettings settings;
  TtBoard *board;
  TtReload reload;
  unsigned applied;
  int apply_result; ///< result of apply()
} Fixture;

/// Replaces the settings file by one with the given repeat_slack and max_requests. @end closes the
/// JSON object, or is empty to leave the file truncated.
static void
write_file (const Fixture *fixture, unsigned repeat_slack, unsigned max_requests, const char *end)
{
  char temporary[80];
  FILE *file;

  (void) snprintf (temporary, sizeof temporary, "%s.new", fixture->path);
  file = fopen (temporary, "we");
  UNIT_REQUIRE (file != NULL);
  (void) fprintf (file,
                  "{\"fleet\": \"f\", \"name\": \"d1\", \"domain\": \"z1\", \"region\": \"r\", "
                  "\"caller\": {\"address\": \"127.0.0.1:1\"}, "
                  "\"operator\": {\"address\": \"127.0.0.1:2\"}, "
                  "\"peer\": {\"address\": \"127.0.0.1\", \"port\": 3}, "
                  "\"platform\": {\"url\": \"http://127.0.0.1:4\", \"configuration\": \"routes\"}, "
                  "\"limits\": {\"max_requests\": %u}, \"bounds\": {\"repeat_slack\": %u}%s",
                  max_requests, repeat_slack, end);
  UNIT_REQUIRE (fclose (file) == 0 && rename (temporary, fixture->path) == 0);
}

static int
apply (void *context, const TtSettings *settings, TtError *error)
{
  Fixture *fixture = context;

  (void) settings;
  fixture->applied++;
  return fixture->apply_result == TT_OK
             ? TT_OK
             : tt_error_set (error, fixture->apply_result, TT_STEP_SETTINGS, "certificate",
                             "is wrong");
}

static void
open_fixture (Fixture *fixture)
{
  TtBoardConfig config;
  TtError error;
  int file;

  memset (fixture, 0, sizeof *fixture);
  (void) snprintf (fixture->path, sizeof fixture->path, "reload-test-XXXXXX");
  file = mkstemp (fixture->path);
  UNIT_REQUIRE (file >= 0);
  (void) close (file);
  write_file (fixture, 50, 64, "}");
  UNIT_REQUIRE (tt_settings_load (fixture->path, &fixture->settings, &error) == TT_OK);
  tt_router_board_config (&fixture->settings, &config);
  fixture->board = tt_board_new (&config);
  UNIT_REQUIRE (fixture->board != NULL);
  tt_reload_init (&fixture->reload, fixture->path, &fixture->settings, fixture->board);
  fixture->reload.context = fixture;
  fixture->reload.apply = apply;
}

static void
close_fixture (Fixture *fixture)
{
  (void) unlink (fixture->path);
  tt_board_free (fixture->board);
}

/// Guards against not detecting a changed file without a signal, and against reading an unchanged
/// file repeatedly.
static void
test_change_without_signal (void)
{
  Fixture fixture;

  open_fixture (&fixture);
  tt_reload_check (&fixture.reload, START_US);
  CU_ASSERT_EQUAL (fixture.applied, 0);
  write_file (&fixture, 80, 64, "}");
  tt_reload_check (&fixture.reload, START_US + 100 * TT_MILLISECOND_US);
  CU_ASSERT_EQUAL (fixture.applied, 0);
  tt_reload_check (&fixture.reload, START_US + TT_SECOND_US);
  CU_ASSERT_EQUAL (fixture.applied, 1);
  CU_ASSERT_EQUAL (fixture.board->config.bounds.repeat_slack, 80);
  tt_reload_check (&fixture.reload, START_US + 2 * TT_SECOND_US);
  CU_ASSERT_EQUAL (fixture.applied, 1);
  close_fixture (&fixture);
}

/// Guards against ignoring a signal because the settings file is unchanged: the certificate's file
/// may have changed.
static void
test_signal_without_change (void)
{
  Fixture fixture;

  open_fixture (&fixture);
  tt_reload_run (&fixture.reload, "signal");
  CU_ASSERT_EQUAL (fixture.applied, 1);
  CU_ASSERT_EQUAL (fixture.board->config.bounds.repeat_slack, 50);
  close_fixture (&fixture);
}

/// Guards against changing the settings in force after a truncated, missing or refused file, and
/// against not reading the valid file that follows.
static void
test_invalid_file (void)
{
  Fixture fixture;

  open_fixture (&fixture);
  write_file (&fixture, 80, 64, "");
  tt_reload_check (&fixture.reload, START_US);
  CU_ASSERT_EQUAL (fixture.applied, 0);
  CU_ASSERT_EQUAL (fixture.board->config.bounds.repeat_slack, 50);
  CU_ASSERT_EQUAL (unlink (fixture.path), 0);
  tt_reload_check (&fixture.reload, START_US + TT_SECOND_US);
  CU_ASSERT_EQUAL (fixture.board->config.bounds.repeat_slack, 50);
  write_file (&fixture, 80, 64, "}");
  fixture.apply_result = TT_E_INVALID;
  tt_reload_check (&fixture.reload, START_US + 2 * TT_SECOND_US);
  CU_ASSERT_EQUAL (fixture.applied, 1);
  CU_ASSERT_EQUAL (fixture.board->config.bounds.repeat_slack, 50);
  fixture.apply_result = TT_OK;
  write_file (&fixture, 90, 64, "}");
  tt_reload_check (&fixture.reload, START_US + 3 * TT_SECOND_US);
  CU_ASSERT_EQUAL (fixture.board->config.bounds.repeat_slack, 90);
  close_fixture (&fixture);
}

/// Guards against changing a capacity in a running daemon whose records were allocated for the old
/// capacity.
static void
test_restart_required (void)
{
  Fixture fixture;

  open_fixture (&fixture);
  write_file (&fixture, 50, 128, "}");
  tt_reload_check (&fixture.reload, START_US);
  CU_ASSERT_EQUAL (fixture.applied, 1);
  CU_ASSERT_EQUAL (fixture.board->config.max_requests, 64);
  CU_ASSERT_EQUAL (fixture.reload.current.max_requests, 64);
  close_fixture (&fixture);
}

static const UnitTest tests[] = {
  { "change_without_signal", test_change_without_signal },
  { "signal_without_change", test_signal_without_change },
  { "invalid_file", test_invalid_file },
  { "restart_required", test_restart_required },
};

UNIT_MAIN ("reload", tests)
