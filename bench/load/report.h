/// Report of a run: table on stdout and JSON file.
#pragma once

#include "load_defs.h"

/// Counts how often each grant ran, from the counts of the service stand-ins.
void load_report_count_executions (Load *load);

/// Prints the report and writes its JSON file.
///
/// RETURN     true if the run passed: no response was wrong or truncated, the execution counts of
/// all
///            stand-ins were received, no grant ran more than once or after the outcome "not-run",
///            and each grant with a complete response ran. With LoadOptions.require_complete, all
///            responses must be complete and each grant must have run
bool load_report_write (Load *load);
