#include "commands.h"
#include "json.h"
#include <stdio.h>

/// Prints the backend server of one attempt, the reason for the placement and, if the attempt
/// resumed a response, after how many tokens.
static void
print_attempt (json_object *attempt, size_t number)
{
  (void) printf ("attempt %zu: service %s, account %s -> %s\n", number,
                 ctl_json_string (attempt, "service"), ctl_json_string (attempt, "account"),
                 ctl_json_string (attempt, "backend"));
  (void) printf ("  reason: %s; position %.0f in the chat's ranking, whose first is %s\n",
                 ctl_json_string (attempt, "reason"), ctl_json_number (attempt, "rank"),
                 ctl_json_string (attempt, "home"));
  if (ctl_json_number (attempt, "resume_from") > 0.0)
    (void) printf ("  resumed after %.0f tokens\n", ctl_json_number (attempt, "resume_from"));
}

CtlExit
ctl_explain (const CtlOptions *options, int count, char **arguments)
{
  CtlSession *session = ctl_session_new (options);
  char *escaped = g_uri_escape_string (arguments[0], NULL, FALSE);
  char *path = g_strconcat ("/explain/", escaped, NULL);
  CtlExit code;
  json_object *response = ctl_json_get (session, options, path, &code);
  size_t length = 0;
  json_object *attempts = response != NULL ? ctl_json_array (response, "attempts", &length) : NULL;

  (void) count;
  if (response != NULL && options->json)
    (void) printf ("%s\n", json_object_to_json_string (response));
  else
    for (size_t i = 0; i < length; i++)
      print_attempt (json_object_array_get_idx (attempts, i), i + 1);
  json_object_put (response);
  g_free (path);
  g_free (escaped);
  ctl_session_free (session);
  return code;
}
