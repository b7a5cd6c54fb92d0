/// Test runner for one module: each module's tests are a CUnit suite in their own program.
#pragma once

#include <CUnit/CUnit.h>
#include <stdio.h>
#include <stdlib.h>

typedef struct
{
  const char *name; ///< in CUnit's report: a sentence or the function's name
  void (*function) (void);
} UnitTest;

/// Runs all tests and prints CUnit's summary.
///
/// RETURN     0 if all passed, else 1: the program's exit code
int unit_run (const char *suite, const UnitTest *tests, unsigned count);

/// Aborts the program if a precondition of the rest of the test does not hold. Used instead of
/// CUnit's _FATAL macros, which return through longjmp, because static analysis does not follow
/// longjmp.
#define UNIT_REQUIRE(condition)                                                                    \
  do                                                                                               \
    {                                                                                              \
      if (!(condition))                                                                            \
        {                                                                                          \
          (void) fprintf (stderr, "%s:%d: required: %s\n", __FILE__, __LINE__, #condition);        \
          abort ();                                                                                \
        }                                                                                          \
    }                                                                                              \
  while (0)

#define UNIT_MAIN(suite, tests)                                                                    \
  int main (void)                                                                                  \
  {                                                                                                \
    return unit_run (suite, tests, sizeof (tests) / sizeof (tests)[0]);                            \
  }
