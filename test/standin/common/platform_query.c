#include "platform_query.h"
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

bool
platform_query_value (const h2o_req_t *request, const char *name, char *value, size_t size)
{
  char query[256];
  char *rest = query;
  size_t length = 0;

  if (request->query_at < request->path.len)
    length = request->path.len - request->query_at - 1;
  if (length == 0 || length >= sizeof query)
    return false;
  memcpy (query, request->path.base + request->query_at + 1, length);
  query[length] = '\0';
  while (rest != NULL)
    {
      char *field = strsep (&rest, "&");
      size_t name_length = strlen (name);

      if (strncmp (field, name, name_length) == 0 && field[name_length] == '=')
        {
          (void) snprintf (value, size, "%s", field + name_length + 1);
          return true;
        }
    }
  return false;
}

uint64_t
platform_header_number (const h2o_req_t *request, const char *name, uint64_t absent)
{
  ssize_t index = h2o_find_header_by_str (&request->headers, name, strlen (name), -1);
  char text[32];

  if (index < 0)
    return absent;
  (void) snprintf (text, sizeof text, "%.*s", (int) request->headers.entries[index].value.len,
                   request->headers.entries[index].value.base);
  return strtoull (text + (text[0] == '"'), NULL, 10);
}
