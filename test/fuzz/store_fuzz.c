#include "tarragontrack/board/error_defs.h"
#include "tarragontrack/board/route.h"
#include "tarragontrack/platform/store.h"
#include <stdlib.h>
#include <string.h>

int LLVMFuzzerTestOneInput (const uint8_t *data, size_t size);

/// Detects out-of-bounds reads, leaks, a success without entries, and a routing table in which its
/// own routes cannot be found. The first byte selects the operation and the kind of entries.
int
LLVMFuzzerTestOneInput (const uint8_t *data, size_t size)
{
  static TtStoreIdentity identity = { .name = "d" };
  TtPlatformDialect dialect = tt_store_dialect (&identity);
  TtPlatformResponse response = { .key = "k", .status = 200 };
  TtPlatformEvent event = { 0 };
  TtError error = { 0 };
  char *text;
  int code;

  if (size < 1)
    return 0;
  text = malloc (size);
  memcpy (text, data + 1, size - 1);
  text[size - 1] = '\0';
  response.op = data[0] % 2 == 0 ? TT_PLATFORM_LIST : TT_PLATFORM_WATCH_ENTRIES;
  response.kind = (TtStoreKind) (data[0] / 2 % TT_STORE_KINDS);
  response.data = text;
  response.size = size - 1;
  code = dialect.decode_response (dialect.context, &response, &event, &error);
  if ((code == TT_OK) != (event.entries != NULL))
    abort ();
  for (uint32_t i = 0; event.entries != NULL && i < event.entries->count; i++)
    {
      const TtStoreEntry *entry = &event.entries->entries[i];

      if (entry->name == NULL || entry->name[0] == '\0'
          || (entry->kind == TT_STORE_CONFIG && entry->valid != (entry->table != NULL)))
        abort ();
      if (entry->kind == TT_STORE_CONFIG && entry->table != NULL)
        for (uint32_t r = 0; r < entry->table->route_count; r++)
          if (tt_route_find (entry->table, entry->table->routes[r].host,
                             entry->table->routes[r].prefix)
              == NULL)
            abort ();
    }
  dialect.free_response (dialect.context, &event);
  free (text);
  return 0;
}
