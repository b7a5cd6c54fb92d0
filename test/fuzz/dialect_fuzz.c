#include "tarragontrack/platform/dialect.h"
#include <stdlib.h>
#include <string.h>

enum
{
  HEADERS = 16
};

int LLVMFuzzerTestOneInput (const uint8_t *data, size_t size);

static const char *
find (void *source, const char *name)
{
  const TtHeaders *headers = source;

  for (size_t i = 0; i < headers->count; i++)
    if (strcmp (headers->entries[i].name, name) == 0)
      return headers->entries[i].value;
  return NULL;
}

/// Splits lines "name: value" up to an empty line. RETURN the rest.
static char *
split (char *text, TtHeaders *headers)
{
  while (headers->count < HEADERS && *text != '\0' && *text != '\n')
    {
      char *end = strchr (text, '\n');
      char *colon = strstr (text, ": ");

      if (end == NULL || colon == NULL || colon > end)
        break;
      *end = *colon = '\0';
      headers->entries[headers->count++] = (TtHeader){ .name = text, .value = colon + 2 };
      text = end + 1;
    }
  return text;
}

/// Guards against reads out of bounds and events that are relayed in part, for headers of a
/// request, headers of an answer, and the events that follow.
int
LLVMFuzzerTestOneInput (const uint8_t *data, size_t size)
{
  TtDialect dialect = tt_platform_dialect ();
  TtHeader request[HEADERS];
  TtHeader answer[HEADERS];
  TtCallerCall call = { .method = "POST", .path = "/", .host = "h", .body = "" };
  TtHeaders head = { .entries = answer };
  TtResponseInfo facts = { .status = 200, .stream_requested = true };
  TtEvent event = { .type = TT_EVENT_TICK };
  TtSseScan scan = { 0 };
  const char *reason = NULL;
  TtError error;
  char *text = malloc (size + 1);
  char *rest;
  size_t length;

  memcpy (text, data, size);
  text[size] = '\0';
  call.headers.entries = request;
  rest = split (text, &call.headers);
  rest = split (rest + (*rest == '\n' ? 1 : 0), &head);
  length = strlen (rest);
  (void) dialect.parse_request (NULL, NULL, &call, &event, &error);
  (void) dialect.parse_response_head (NULL, &call, (TtId128){ 0, 0 }, find, &head, &facts, &reason);
  size = dialect.scan (rest, length, &scan);
  if (size > length || (size > 0 && rest[size - 1] != '\n'))
    abort ();
  free (text);
  return 0;
}
