#include "commands.h"
#include <stdio.h>
#include <string.h>

#ifndef TT_VERSION
#define TT_VERSION "0.1.0"
#endif

static const char *const check_options[] = { "json", NULL };
static const char *const fetch_options[] = { "platform", "output", NULL };
static const char *const apply_options[] = { "platform", "author", "base", "wait", "json", NULL };
static const char *const audit_options[] = { "platform", "json", NULL };
static const char *const explain_options[] = { "daemon", "json", NULL };
static const char *const status_options[] = { "daemon", "json", "watch", NULL };
static const char *const report_options[] = { "daemon", "output", NULL };

static const CtlCommand commands[] = {
  { "check", "FILE", "check a team's document without contacting the platform", check_options,
    ctl_check },
  { "fetch", "TEAM", "write a team's latest document, ready for editing", fetch_options,
    ctl_fetch },
  { "apply", "FILE", "stage a document by conditional update", apply_options, ctl_apply },
  { "status", "", "show a daemon's state", status_options, ctl_status },
  { "explain", "REQUEST", "show which backend server ran a request, and why", explain_options,
    ctl_explain },
  { "audit", "", "list and verify the audit trail of changes", audit_options, ctl_audit },
  { "report", "", "write an HTML page with plots from a daemon's counters", report_options,
    ctl_report },
};

#define COMMAND_COUNT (sizeof commands / sizeof commands[0])

/// Prints the list of commands and the exit codes.
static void
print_usage (FILE *stream)
{
  (void) fprintf (stream, "usage: tarragonctl COMMAND [OPTION...] [ARGUMENT]\n\ncommands:\n");
  for (size_t i = 0; i < COMMAND_COUNT; i++)
    (void) fprintf (stream, "  %-8s %-8s %s\n", commands[i].name, commands[i].arguments,
                    commands[i].summary);
  (void) fprintf (stream,
                  "\ntarragonctl COMMAND --help lists the options of a command.\n"
                  "exit codes: 0 done, 1 invalid or not verified, 2 usage, 3 conflict: another "
                  "operator was first,\n            4 unreachable, 5 effect unknown\n");
}

/// Returns whether the command accepts the option.
static bool
accepts_option (const CtlCommand *command, const char *name)
{
  for (const char *const *option = command->options; *option != NULL; option++)
    if (strcmp (*option, name) == 0)
      return true;
  return false;
}

/// Parses the options of one command and runs it.
static CtlExit
run_command (const CtlCommand *command, int count, char **arguments)
{
  CtlOptions options = { .base_epoch = -1 };
  const GOptionEntry all_entries[] = {
    { "platform", 'p', 0, G_OPTION_ARG_STRING, &options.platform,
      "platform's object API (or TARRAGON_PLATFORM)", "http://IP:PORT" },
    { "daemon", 'd', 0, G_OPTION_ARG_STRING, &options.daemon,
      "a daemon's operators' port (or TARRAGON_DAEMON)", "http://IP:PORT" },
    { "author", 'a', 0, G_OPTION_ARG_STRING, &options.author,
      "name recorded in the audit trail (or USER)", "NAME" },
    { "base", 'b', 0, G_OPTION_ARG_INT64, &options.base_epoch,
      "epoch that the edited document is based on", "EPOCH" },
    { "wait", 'w', 0, G_OPTION_ARG_INT, &options.wait_s, "wait until the change is accepted",
      "SECONDS" },
    { "output", 'o', 0, G_OPTION_ARG_FILENAME, &options.output, "file to write", "FILE" },
    { "watch", 0, 0, G_OPTION_ARG_NONE, &options.watch, "refresh every two seconds", NULL },
    { "json", 'j', 0, G_OPTION_ARG_NONE, &options.json, "print JSON", NULL },
  };
  GOptionEntry entries[G_N_ELEMENTS (all_entries) + 1] = { { 0 } };
  size_t entry_count = 0;
  GOptionContext *context = g_option_context_new (command->arguments);
  GError *error = NULL;
  CtlExit code = CTL_EXIT_USAGE;

  for (size_t i = 0; i < G_N_ELEMENTS (all_entries); i++)
    if (accepts_option (command, all_entries[i].long_name))
      entries[entry_count++] = all_entries[i];
  g_option_context_add_main_entries (context, entries, NULL);
  g_option_context_set_summary (context, command->summary);
  options.platform = g_strdup (g_getenv ("TARRAGON_PLATFORM"));
  options.daemon = g_strdup (g_getenv ("TARRAGON_DAEMON"));
  options.author = g_strdup (g_getenv ("USER"));
  if (!g_option_context_parse (context, &count, &arguments, &error))
    {
      (void) fprintf (stderr, "tarragonctl %s: %s\n", command->name, error->message);
      g_error_free (error);
    }
  else if (accepts_option (command, "platform") && options.platform == NULL)
    (void) fprintf (stderr, "tarragonctl %s: --platform is required\n", command->name);
  else if (accepts_option (command, "daemon") && options.daemon == NULL)
    (void) fprintf (stderr, "tarragonctl %s: --daemon is required\n", command->name);
  else if ((command->arguments[0] != '\0') != (count == 2))
    (void) fprintf (stderr, "usage: tarragonctl %s [OPTION...] %s\n", command->name,
                    command->arguments);
  else
    code = command->run (&options, count - 1, arguments + 1);
  g_option_context_free (context);
  g_free (options.platform);
  g_free (options.daemon);
  g_free (options.author);
  g_free (options.output);
  return code;
}

int
main (int argc, char **argv)
{
  if (argc >= 2 && (strcmp (argv[1], "--help") == 0 || strcmp (argv[1], "-h") == 0))
    {
      print_usage (stdout);
      return CTL_EXIT_OK;
    }
  if (argc >= 2 && strcmp (argv[1], "--version") == 0)
    {
      (void) printf ("tarragonctl %s\n", TT_VERSION);
      return CTL_EXIT_OK;
    }
  for (size_t i = 0; argc >= 2 && i < COMMAND_COUNT; i++)
    if (strcmp (argv[1], commands[i].name) == 0)
      return run_command (&commands[i], argc - 1, argv + 1);
  print_usage (stderr);
  return CTL_EXIT_USAGE;
}
