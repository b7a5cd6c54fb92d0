#include "commands.h"
#include "document.h"
#include "head.h"
#include <stdio.h>
#include <string.h>

/// Returns the text without the base epoch line that an earlier fetch wrote.
static const char *
skip_base_epoch_line (const char *text)
{
  const char *end = strchr (text, '\n');

  return ctl_document_base_epoch (text) >= 0 && end != NULL ? end + 1 : text;
}

/// Writes the document with its base epoch in the first line.
static CtlExit
write_document (const CtlOptions *options, const TtHeadTeam *team, const char *text)
{
  char *contents = g_strdup_printf ("%s%" G_GUINT64_FORMAT "\n%s", CTL_BASE_EPOCH_PREFIX,
                                    team->epoch, skip_base_epoch_line (text));
  GError *error = NULL;
  CtlExit code = CTL_EXIT_OK;

  if (options->output == NULL)
    (void) fputs (contents, stdout);
  else if (!g_file_set_contents (options->output, contents, -1, &error))
    {
      (void) fprintf (stderr, "tarragonctl: %s\n", error->message);
      g_error_free (error);
      code = CTL_EXIT_FAILED;
    }
  g_free (contents);
  return code;
}

CtlExit
ctl_fetch (const CtlOptions *options, int count, char **arguments)
{
  CtlSession *session = ctl_session_new (options);
  CtlHead *head = g_new0 (CtlHead, 1);
  int code = ctl_head_read (session, head);
  TtHeadTeam *team = ctl_head_find_team (head, arguments[0]);
  char *text = NULL;
  char *author = NULL;
  CtlExit result;

  (void) count;
  if (code == TT_OK && team != NULL)
    code = ctl_head_read_document (session, team, &text, &author);
  if (code < 0)
    result = ctl_session_print_error (options->platform, code);
  else if (team == NULL || text == NULL)
    {
      (void) fprintf (stderr, "tarragonctl: team %s has no document\n", arguments[0]);
      result = CTL_EXIT_FAILED;
    }
  else
    result = write_document (options, team, text);
  g_free (text);
  g_free (author);
  g_free (head);
  ctl_session_free (session);
  return result;
}
