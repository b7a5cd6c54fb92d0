#include "tarragontrack/codec/settings.h"
#include <json-c/json.h>
#include <stdlib.h>

int LLVMFuzzerInitialize (int *argc, char ***argv);
int LLVMFuzzerTestOneInput (const uint8_t *data, size_t size);

/// Selects json-c's hash without a random seed, so that each run does the same.
int
LLVMFuzzerInitialize (int *argc, char ***argv)
{
  (void) argc, (void) argv;
  (void) json_global_set_string_hash (JSON_C_STR_HASH_PERLLIKE);
  return 0;
}

/// Guards against reads out of bounds, and a refusal without a reason.
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
