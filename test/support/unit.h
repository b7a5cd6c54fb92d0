/// Runs the tests of one module: a CUnit suite in a program of its own.
#pragma once

#include <CUnit/CUnit.h>

typedef struct
{
  const char *name; ///< the failure that the test guards against
  void (*function) (void);
} UnitTest;

/// Runs all tests and prints CUnit's summary.
///
/// RETURN     0 if all passed, else 1: the program's exit code
int unit_run (const char *suite, const UnitTest *tests, unsigned count);

#define UNIT_MAIN(suite, tests)                                                                    \
  int main (void)                                                                                  \
  {                                                                                                \
    return unit_run (suite, tests, sizeof (tests) / sizeof (tests)[0]);                            \
  }
