/// Report of a run.
#pragma once

#include "load_defs.h"

/// Counts how often each grant ran, from the counts of the service stand-ins.
void load_report_count_executions (Load *load);

/// Prints the report and writes its JSON file. RETURN true if the run passed: no wrong or truncated
/// response, the counts of all stand-ins received, and no grant that ran more than once, ran
/// although its outcome was "not-run", or did not run although its response was complete. With
/// LoadOptions.require_complete, all responses must be complete and each grant must have run.
bool load_report_write (Load *load);
