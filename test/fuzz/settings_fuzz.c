#include "tarragontrack/codec/settings.h"
#include <stdlib.h>

int LLVMFuzzerTestOneInput (const uint8_t *data, size_t size);

/// Detects out-of-bounds reads, and rejected settings without an error detail.
int
LLVMFuzzerTestOneInput (const uint8_t *data, size_t size)
{
  static TtSettings settings;
  TtError error = { 0 };
  int code = tt_settings_parse ((const char *) data, size, "settings.json", &settings, &error);

  if (code != error.code || (code != TT_OK && error.detail[0] == '\0'))
    abort ();
  return 0;
}
