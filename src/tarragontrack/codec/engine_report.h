/// Load report of an engine: its load, its role and the changes of its prompt cache (JSON).
#pragma once

#include "tarragontrack/board/event_defs.h"
#include <json-c/json.h>

enum
{
  TT_ENGINE_REPORT_MAX_REQUESTS = 1000000 ///< running or waiting; more is no load
};

typedef struct
{
  json_object *root;
  json_object *events; ///< changes of the prompt cache; NULL if there are none
  size_t event_count;
  TtLoadEvent load; ///< without the engine's id
  bool has_next;
  uint64_t next; ///< number of the last change
} TtEngineReport;

/// tt_engine_report_parse - parses a report and checks all of it
///
/// A part of a report that has another form was not written by a sound engine, so the rest of it is
/// not used either. Unknown keys are allowed.
///
/// ARGUMENTS  report: free with tt_engine_report_free(), also after a failure
/// RETURN     false if the text is no report
bool tt_engine_report_parse (TtEngineReport *report, const char *text, size_t size);

/// Reads a change of the prompt cache of a report that was parsed. RETURN false if it has another
/// form.
bool tt_engine_report_read_event (const TtEngineReport *report, size_t index, TtCacheEvent *event);

void tt_engine_report_free (TtEngineReport *report);
