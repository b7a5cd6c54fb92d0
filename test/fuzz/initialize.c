/// Initialization of all fuzz programs.
#include <json-c/json.h>

int LLVMFuzzerInitialize (int *argc, char ***argv);

/// Selects json-c's string hash without a random seed, so that runs are deterministic.
int
LLVMFuzzerInitialize (int *argc, char ***argv)
{
  (void) argc, (void) argv;
  (void) json_global_set_string_hash (JSON_C_STR_HASH_PERLLIKE);
  return 0;
}
