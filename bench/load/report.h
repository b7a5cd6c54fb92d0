/// Report of a run.
#pragma once

#include "load_defs.h"

/// Counts the executions of each grant.
void load_report_executions (Load *load);

/// Prints the report and writes its JSON file. RETURN true if the run passed: no wrong and no cut
/// answer, no grant that ran twice, ran after "not run" or did not run after a whole answer; with
/// all_whole, nothing but whole answers.
bool load_report_write (Load *load);
