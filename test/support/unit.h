/// Runs the tests of one module: a CUnit suite in a program of its own.
#pragma once

#include <CUnit/CUnit.h>
#include <stdio.h>
#include <stdlib.h>

typedef struct
{
  const char *name; ///< the failure that the test guards against
  void (*function) (void);
} UnitTest;

/// Runs all tests and prints CUnit's summary.
///
/// RETURN     0 if all passed, else 1: the program's exit code
int unit_run (const char *suite, const UnitTest *tests, unsigned count);

/// Ends the program if a condition that the rest of the test needs does not hold. CUnit's _FATAL
/// macros return through longjmp, which static analysis does not follow.
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
