#include "support/report.h"
#include <gsl/gsl_sort.h>
#include <gsl/gsl_statistics_double.h>
#include <stdlib.h>

void
series_add (Series *series, double value)
{
  if (series->count == series->capacity)
    {
      series->capacity = series->capacity * 2 + 1024;
      series->values = realloc (series->values, series->capacity * sizeof *series->values);
      if (series->values == NULL)
        abort ();
    }
  series->values[series->count++] = value;
}

double
series_quantile (Series *series, double fraction)
{
  if (series->count == 0)
    return 0.0;
  gsl_sort (series->values, 1, series->count);
  return gsl_stats_quantile_from_sorted_data (series->values, 1, series->count, fraction);
}

void
series_clear (Series *series)
{
  free (series->values);
  *series = (Series){ 0 };
}

FILE *
report_open (const char *path, const char *title, const char *program, uint64_t seed)
{
  FILE *page = fopen (path, "w");

  if (page == NULL)
    {
      perror (path);
      exit (1);
    }
  (void) fprintf (page,
                  "# %s\n\nCommand: `build/bench/%s %llu` in the repository's root; the argument "
                  "is the seed.\nBounds: docs/design.md, section 1.2. Simulated time and engine "
                  "models, see bench/support/sim.h.\n",
                  title, program, (unsigned long long) seed);
  return page;
}

bool
report_check (FILE *page, const char *name, double value, bool at_most, double bound)
{
  bool pass = at_most ? value <= bound : value >= bound;

  (void) fprintf (page, "| %s | %.4f | %s %.4g | %s |\n", name, value, at_most ? "<=" : ">=", bound,
                  pass ? "pass" : "FAIL");
  printf ("%-66s %10.4f %s %.4g %s\n", name, value, at_most ? "<=" : ">=", bound,
          pass ? "pass" : "FAIL");
  return pass;
}

void
report_value (FILE *page, const char *name, double value)
{
  (void) fprintf (page, "| %s | %.4f | | |\n", name, value);
  printf ("%-66s %10.4f\n", name, value);
}
