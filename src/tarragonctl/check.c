#include "commands.h"
#include "document.h"
#include "tarragontrack/board/error.h"
#include <json-c/json.h>
#include <stdio.h>

CtlExit
ctl_check (const CtlOptions *options, int count, char **arguments)
{
  TtDocument *document = g_new0 (TtDocument, 1);
  TtError error = { 0 };
  char line[TT_ERROR_PEER_MAX + TT_ERROR_DETAIL_MAX + 64] = "";
  char *text = NULL;
  gsize size = 0;
  CtlExit code = ctl_document_read (arguments[0], &text, &size, document, &error);

  (void) count;
  if (code != CTL_EXIT_OK)
    tt_error_format (&error, line, sizeof line);
  if (options->json)
    {
      json_object *result = json_object_new_object ();

      json_object_object_add (result, "valid", json_object_new_boolean (code == CTL_EXIT_OK));
      json_object_object_add (result, "file", json_object_new_string (arguments[0]));
      json_object_object_add (result, "error", json_object_new_string (error.detail));
      (void) printf ("%s\n", json_object_to_json_string (result));
      json_object_put (result);
    }
  else if (code == CTL_EXIT_OK)
    (void) printf ("%s: team %s, %u services, %u accounts, %u kinds of work: valid\n", arguments[0],
                   document->team, document->service_count, document->account_count,
                   document->kind_count);
  else
    (void) fprintf (stderr, "tarragonctl: %s\n", line);
  g_free (text);
  g_free (document);
  return code;
}
