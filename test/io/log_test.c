#include "support/unit.h"
#include "tarragontrack/io/log.h"
#include <fcntl.h>
#include <string.h>
#include <unistd.h>

/// Pipe in place of standard output; only the test reads it.
static int pipe_fds[2];
static int saved_stdout;

static void
open_log (void)
{
  (void) fflush (stdout);
  UNIT_REQUIRE (pipe (pipe_fds) == 0);
  saved_stdout = dup (STDOUT_FILENO);
  (void) dup2 (pipe_fds[1], STDOUT_FILENO);
  UNIT_REQUIRE (tt_log_open (TT_LEVEL_INFO) == 0);
}

static void
close_log (void)
{
  tt_log_close ();
  (void) dup2 (saved_stdout, STDOUT_FILENO);
  (void) close (saved_stdout);
  (void) close (pipe_fds[0]);
  (void) close (pipe_fds[1]);
}

/// Reads all data in the pipe. RETURN the number of occurrences of @text.
static unsigned
count_lines (const char *text)
{
  static char bytes[1 << 20];
  size_t size = 0;
  ssize_t part;
  unsigned count = 0;

  (void) fcntl (pipe_fds[0], F_SETFL, O_NONBLOCK);
  while ((part = read (pipe_fds[0], bytes + size, sizeof bytes - 1 - size)) > 0)
    size += (size_t) part;
  bytes[size] = '\0';
  for (const char *at = bytes; (at = strstr (at, text)) != NULL; at++)
    count++;
  return count;
}

/// Guards against a daemon that blocks on the reader of its log, against one event that floods the
/// log, and against dropped lines that aren't reported. A process can open log4c only once, so one
/// test covers all three.
static void
test_output_is_bounded (void)
{
  open_log ();
  for (int i = 0; i < 20000; i++)
    {
      tt_log_write (TT_LOG_REQUEST_ENDED, "request=x outcome=complete");
      tt_log_flush ();
    }
  tt_log_write (TT_LOG_DRAIN_STARTED, "daemon=d");
  tt_log_flush ();
  CU_ASSERT (count_lines (" 3101 ") <= 1000); // limit: 400 per second; the loop takes less than 2 s
  (void) usleep (1100 * 1000);
  tt_log_write (TT_LOG_STOPPED, "daemon=d");
  tt_log_flush ();
  CU_ASSERT_EQUAL (count_lines (" 1008 "), 1);
  close_log ();
}

static const UnitTest tests[] = {
  { "output_is_bounded", test_output_is_bounded },
};

UNIT_MAIN ("log", tests)
