#include "document.h"
#include "tarragontrack/board/error.h"
#include "tarragontrack/codec/document.h"
#include "tarragontrack/codec/json.h"
#include <stdio.h>
#include <string.h>

CtlExit
ctl_document_read (const char *path, char **text, gsize *size, TtDocument *document, TtError *error)
{
  GError *file_error = NULL;

  if (!g_file_get_contents (path, text, size, &file_error))
    {
      (void) tt_error_set (error, TT_E_NOT_FOUND, TT_STEP_DOCUMENT, path, "%s",
                           file_error->message);
      g_error_free (file_error);
    }
  else if (tt_document_parse (*text, *size, path, document, error) == TT_OK)
    return CTL_EXIT_OK;
  else
    {
      g_free (*text);
      *text = NULL;
    }
  return CTL_EXIT_FAILED;
}

gint64
ctl_document_base_epoch (const char *text)
{
  if (strncmp (text, CTL_BASE_EPOCH_PREFIX, strlen (CTL_BASE_EPOCH_PREFIX)) != 0)
    return -1;
  return g_ascii_strtoll (text + strlen (CTL_BASE_EPOCH_PREFIX), NULL, 10);
}

/// Formats the label of an array element: its name if it has one, else its index.
static void
format_element_label (json_object *element, size_t index, char *label, size_t size)
{
  json_object *name = NULL;

  if (json_object_is_type (element, json_type_object)
      && json_object_object_get_ex (element, "name", &name))
    (void) snprintf (label, size, "[%s]", json_object_get_string (name));
  else
    (void) snprintf (label, size, "[%zu]", index);
}

static void print_value_diff (json_object *first, json_object *second, const char *path);

/// Finds the array element with the given label; NULL if there is none.
static json_object *
find_element (json_object *array, const char *label)
{
  for (size_t i = 0; i < json_object_array_length (array); i++)
    {
      char other[TT_NAME_MAX + 8];

      format_element_label (json_object_array_get_idx (array, i), i, other, sizeof other);
      if (strcmp (label, other) == 0)
        return json_object_array_get_idx (array, i);
    }
  return NULL;
}

/// Compares the elements of two arrays by label. If @missing_only is set, prints only the elements
/// of @first that @second lacks, as added ones.
static void
print_array_diff (json_object *first, json_object *second, const char *path, bool missing_only)
{
  for (size_t i = 0; i < json_object_array_length (first); i++)
    {
      json_object *element = json_object_array_get_idx (first, i);
      char label[TT_NAME_MAX + 8];
      char *child_path;
      json_object *other;

      format_element_label (element, i, label, sizeof label);
      other = find_element (second, label);
      child_path = g_strconcat (path, label, NULL);
      if (other == NULL && missing_only)
        print_value_diff (NULL, element, child_path);
      else if (!missing_only)
        print_value_diff (element, other, child_path);
      g_free (child_path);
    }
}

static void
print_object_diff (json_object *first, json_object *second, const char *path)
{
  json_object_object_foreach (first, key, value)
  {
    json_object *other = NULL;
    char *child_path = g_strconcat (path, path[0] != '\0' ? "." : "", key, NULL);

    (void) json_object_object_get_ex (second, key, &other);
    print_value_diff (value, other, child_path);
    g_free (child_path);
  }
  json_object_object_foreach (second, added, new_value)
  {
    char *child_path = g_strconcat (path, path[0] != '\0' ? "." : "", added, NULL);

    if (!json_object_object_get_ex (first, added, NULL))
      print_value_diff (NULL, new_value, child_path);
    g_free (child_path);
  }
}

static void
print_value_diff (json_object *first, json_object *second, const char *path)
{
  if (json_object_equal (first, second))
    return;
  if (json_object_is_type (first, json_type_object)
      && json_object_is_type (second, json_type_object))
    print_object_diff (first, second, path);
  else if (json_object_is_type (first, json_type_array)
           && json_object_is_type (second, json_type_array))
    {
      print_array_diff (first, second, path, false);
      print_array_diff (second, first, path, true);
    }
  else
    (void) printf ("  %s: %s -> %s\n", path,
                   first != NULL ? json_object_to_json_string (first) : "(absent)",
                   second != NULL ? json_object_to_json_string (second) : "(absent)");
}

void
ctl_document_print_diff (const char *first, const char *second)
{
  TtError error = { 0 };
  json_object *left = tt_json_parse (first, strlen (first), "first", TT_STEP_DOCUMENT, &error);
  json_object *right = tt_json_parse (second, strlen (second), "second", TT_STEP_DOCUMENT, &error);

  if (left != NULL && right != NULL)
    print_value_diff (left, right, "");
  json_object_put (left);
  json_object_put (right);
}
