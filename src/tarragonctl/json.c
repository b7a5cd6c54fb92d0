#include "json.h"
#include <stdio.h>
#include <string.h>

json_object *
ctl_json_get (CtlSession *session, const CtlOptions *options, const char *path, CtlExit *code)
{
  char *body = NULL;
  int status = ctl_session_get (session, path, &body);
  json_object *value = status == 200 ? json_tokener_parse (body) : NULL;

  *code = CTL_EXIT_OK;
  if (status < 0)
    *code = ctl_session_print_error (options->daemon, status);
  else if (value == NULL)
    {
      (void) fprintf (stderr, "tarragonctl: %s%s: HTTP status %d\n", options->daemon, path, status);
      *code = CTL_EXIT_FAILED;
    }
  g_free (body);
  return value;
}

const char *
ctl_json_string (json_object *object, const char *key)
{
  json_object *value = NULL;
  const char *text;

  if (!json_object_object_get_ex (object, key, &value))
    return "-";
  text = json_object_get_string (value);
  return text != NULL && text[0] != '\0' ? text : "-";
}

double
ctl_json_number (json_object *object, const char *key)
{
  json_object *value = NULL;

  return json_object_object_get_ex (object, key, &value) ? json_object_get_double (value) : 0.0;
}

json_object *
ctl_json_array (json_object *object, const char *key, size_t *length)
{
  json_object *value = NULL;

  *length = 0;
  if (!json_object_object_get_ex (object, key, &value)
      || !json_object_is_type (value, json_type_array))
    return NULL;
  *length = json_object_array_length (value);
  return value;
}
