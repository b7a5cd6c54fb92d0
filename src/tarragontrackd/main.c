#include "tarragontrack/board/action_defs.h"
#include "tarragontrack/board/error.h"
#include "tarragontrack/codec/json.h"
#include "tarragontrack/codec/settings.h"
#include "tarragontrack/io/log.h"
#include "tarragontrack/io/router.h"
#include <glib.h>
#include <malloc.h>
#include <stdio.h>
#include <stdlib.h>

#define LARGE_BLOCK_BYTES (128 << 10)

#ifndef TT_VERSION
#define TT_VERSION "unknown"
#endif

/// Exit codes, described in the help text.
enum
{
  EXIT_OK = 0,
  EXIT_INVALID_SETTINGS = 1,
  EXIT_START_FAILED = 2,
  EXIT_USAGE = 3
};

static const char description[]
    = "Exit codes:\n"
      "  0  stopped after a complete drain, or the settings are valid (--check-settings)\n"
      "  1  the settings file cannot be read or is invalid\n"
      "  2  the daemon could not start, for example because a port is in use\n"
      "  3  invalid command line\n"
      "\n"
      "SIGTERM and SIGINT drain the daemon. On SIGHUP or a change of the settings\n"
      "file, the daemon reads the settings, the certificate and the keys for\n"
      "connections to other daemons again.\n";

static void
print_error (const TtError *error)
{
  char text[TT_LOG_TEXT_MAX];

  tt_error_format (error, text, sizeof text);
  (void) fprintf (stderr, "tarragontrackd: %s\n", text);
}

/// Prints the numbers of the settings as they are in force, defaults included.
static void
print_numbers (const TtSettings *settings)
{
  const TtJsonField *fields;
  const char *table;
  size_t count;
  double number;

  for (unsigned i = 0; (fields = tt_settings_fields (i, &table, &count)) != NULL; i++)
    for (size_t k = 0; k < count; k++)
      if (tt_json_get_number (&fields[k], settings, &number))
        (void) printf ("%s.%s %g\n", table, fields[k].key, number);
}

/// Runs the daemon with validated settings; returns the exit code.
static int
run_daemon (const TtSettings *settings, const char *path)
{
  TtError error = { 0 };
  TtRouter *router;
  char text[TT_LOG_TEXT_MAX];

  // Frees large blocks to the kernel at once: the account of callers' bytes is that of the process.
  (void) mallopt (M_MMAP_THRESHOLD, LARGE_BLOCK_BYTES);
  if (tt_log_open (TT_LEVEL_INFO) < 0)
    {
      (void) fprintf (stderr, "tarragontrackd: the log cannot be opened\n");
      return EXIT_START_FAILED;
    }
  router = tt_router_new (settings, path, &error);
  if (router == NULL)
    {
      tt_error_format (&error, text, sizeof text);
      tt_log_write (TT_LOG_LISTEN_FAILED, text);
      tt_log_close ();
      return EXIT_START_FAILED;
    }
  tt_router_run (router);
  tt_router_free (router);
  tt_log_close ();
  return EXIT_OK;
}

int
main (int argc, char **argv)
{
  gchar *path = NULL;
  gboolean check_only = FALSE;
  gboolean version = FALSE;
  const GOptionEntry entries[] = {
    { "settings", 's', 0, G_OPTION_ARG_FILENAME, &path, "Settings file (JSON with comments)",
      "FILE" },
    { "check-settings", 'c', 0, G_OPTION_ARG_NONE, &check_only,
      "Check the settings file, print the numbers in force, and exit", NULL },
    { "version", 'v', 0, G_OPTION_ARG_NONE, &version, "Print the version and exit", NULL },
    { NULL, 0, 0, 0, NULL, NULL, NULL },
  };
  GOptionContext *context = g_option_context_new ("- request router");
  GError *parse_error = NULL;
  static TtSettings settings;
  TtError error = { 0 };
  gboolean parsed;
  int code;

  g_option_context_add_main_entries (context, entries, NULL);
  g_option_context_set_description (context, description);
  parsed = g_option_context_parse (context, &argc, &argv, &parse_error);
  g_option_context_free (context);
  if (version)
    {
      (void) printf ("tarragontrackd %s\n", TT_VERSION);
      return EXIT_OK;
    }
  if (!parsed || path == NULL || argc > 1)
    {
      (void) fprintf (stderr, "tarragontrackd: %s; see --help\n",
                      parse_error != NULL ? parse_error->message : "expected --settings FILE");
      g_clear_error (&parse_error);
      g_free (path);
      return EXIT_USAGE;
    }
  if (tt_settings_load (path, &settings, &error) < 0)
    {
      print_error (&error);
      g_free (path);
      return EXIT_INVALID_SETTINGS;
    }
  if (check_only)
    print_numbers (&settings);
  code = check_only ? EXIT_OK : run_daemon (&settings, path);
  g_free (path);
  return code;
}
