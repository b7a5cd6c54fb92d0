/// Checks of measured values against the bounds of docs/design.md, section 1.2, and series of
/// latencies.
#pragma once

#include <stdbool.h>
#include <stdint.h>
#include <stdio.h>

typedef struct
{
  double *values;
  uint32_t count;
  uint32_t size;
} Series;

/// Adds a value.
void series_add (Series *series, double value);

/// Sorts the values and returns a quantile; 0 if there is none.
double series_quantile (Series *series, double fraction);

/// Frees the values.
void series_clear (Series *series);

/// Opens the page at @path and writes title, command and seed; exits if it cannot be opened.
FILE *report_open (const char *path, const char *title, const char *program, uint64_t seed);

/// Writes one row `name | value | bound | verdict` to the page and to stdout.
///
/// RETURN     true if @value is inside the bound
bool report_check (FILE *page, const char *name, double value, bool at_most, double bound);

/// Writes one row without a bound.
void report_value (FILE *page, const char *name, double value);
