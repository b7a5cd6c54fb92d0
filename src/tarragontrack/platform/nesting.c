#include "tarragontrack/platform/nesting.h"
#include <stdbool.h>
#include <stdlib.h>
#include <string.h>

/// Position in a JSON text.
typedef struct
{
  size_t depth; ///< open objects and arrays
  bool in_string;
  bool escaped; ///< the previous character of the string is a backslash
} NestingScan;

/// Advances the scan by one character.
static void
advance (NestingScan *scan, char character)
{
  if (scan->in_string)
    {
      scan->in_string = scan->escaped || character != '"';
      scan->escaped = !scan->escaped && character == '\\';
    }
  else if (character == '"')
    scan->in_string = true;
  else if (character == '[' || character == '{')
    scan->depth++;
  else if ((character == ']' || character == '}') && scan->depth > 0)
    scan->depth--;
}

static bool
is_too_deep (const char *text, size_t size)
{
  NestingScan scan = { 0 };

  for (size_t i = 0; i < size; i++)
    {
      advance (&scan, text[i]);
      if (scan.depth > TT_NESTING_MAX)
        return true;
    }
  return false;
}

char *
tt_nesting_cut (const char *text, size_t size)
{
  NestingScan scan = { 0 };
  char *copy = is_too_deep (text, size) ? malloc (size + 1) : NULL;

  if (copy == NULL)
    return NULL;
  for (size_t i = 0; i < size; i++)
    {
      bool was_too_deep = scan.depth > TT_NESTING_MAX;

      advance (&scan, text[i]);
      if (!was_too_deep && scan.depth > TT_NESTING_MAX)
        copy[i] = '0';
      else
        copy[i] = was_too_deep ? ' ' : text[i];
    }
  copy[size] = '\0';
  return copy;
}
