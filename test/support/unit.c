#include "support/unit.h"
#include <CUnit/Basic.h>

int
unit_run (const char *suite, const UnitTest *tests, unsigned count)
{
  CU_pSuite cunit_suite;
  unsigned failures;

  if (CU_initialize_registry () != CUE_SUCCESS)
    return 1;
  cunit_suite = CU_add_suite (suite, NULL, NULL);
  if (cunit_suite == NULL)
    return 1;
  for (unsigned i = 0; i < count; i++)
    if (CU_add_test (cunit_suite, tests[i].name, tests[i].function) == NULL)
      return 1;
  CU_basic_set_mode (CU_BRM_VERBOSE);
  (void) CU_basic_run_tests ();
  failures = CU_get_number_of_failures ();
  CU_cleanup_registry ();
  return failures == 0 ? 0 : 1;
}
