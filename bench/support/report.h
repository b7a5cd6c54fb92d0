/// Measurement pages: checks of values against the bounds of docs/design.md, section 1.2, and
/// sample series with quantiles.
#pragma once

#include <stdbool.h>
#include <stdint.h>
#include <stdio.h>

typedef struct
{
  double *values;
  uint32_t count;
  uint32_t capacity;
} Series;

void series_add (Series *series, double value);

/// Sorts the values and returns a quantile; 0 if the series is empty.
double series_quantile (Series *series, double fraction);

/// Frees the values and empties the series.
void series_clear (Series *series);

/// Opens the page at @path and writes title, command and seed; exits the process with status 1 if
/// the file cannot be opened.
FILE *report_open (const char *path, const char *title, const char *program, uint64_t seed);

/// Writes one row `name | value | bound | verdict` to the page and to stdout. @bound is an upper
/// bound if @at_most, else a lower bound.
///
/// RETURN     true if @value satisfies the bound
bool report_check (FILE *page, const char *name, double value, bool at_most, double bound);

/// Writes one row with empty bound and verdict to the page, and name and value to stdout.
void report_value (FILE *page, const char *name, double value);
