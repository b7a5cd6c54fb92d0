/// State of the intake controller: what the connections of callers and operators hold, and which of
/// them are to be ended.
#pragma once

#include "tarragontrack/board/list.h"
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

typedef enum
{
  TT_INTAKE_NEW,     ///< no whole request has arrived yet
  TT_INTAKE_WAITING, ///< kept; idle, or a part of the next request has arrived
  TT_INTAKE_SERVING, ///< a response is not completely written
  TT_INTAKE_REFUSED, ///< got its refusal; what still arrives is discarded
  TT_INTAKE_PHASE_COUNT
} TtIntakePhase;

typedef enum
{
  TT_INTAKE_KEPT,
  TT_INTAKE_NO_MEMORY,      ///< gives back what it holds
  TT_INTAKE_NO_CONNECTION,  ///< makes room for another connection
  TT_INTAKE_REQUEST_LATE,   ///< did not send its request in time
  TT_INTAKE_RESPONSE_STUCK, ///< does not read its response
  TT_INTAKE_LINGERED,       ///< had time to read its refusal
  TT_INTAKE_VERDICT_COUNT
} TtIntakeVerdict;

/// Connections of one listening port.
typedef struct
{
  uint32_t max_connections;
  uint32_t connections;
  TtLink link;                          ///< on TtIntakeSection.ports
  TtList phases[TT_INTAKE_PHASE_COUNT]; ///< TtIntakeEntry.link, longest in its phase first
} TtIntakePort;

/// One connection.
typedef struct
{
  TtLink link;       ///< on TtIntakePort.phases
  TtLink large_link; ///< on TtIntakeSection.large
  TtLink ended_link; ///< on TtIntakeSection.ended
  TtIntakePort *port;
  TtIntakePhase phase;
  TtIntakeVerdict verdict;
  int64_t phase_us;        ///< when the phase began
  int64_t reading_us;      ///< arrival of the first part of an incomplete request; 0 = none
  uint64_t received_bytes; ///< since then
  size_t held_bytes;
  size_t unsent_bytes; ///< of responses
  int64_t unsent_us;   ///< when unsent_bytes last changed, or was 0
} TtIntakeEntry;

/// The account. Each connection is charged for a fixed part at least.
typedef struct
{
  size_t max_bytes;
  size_t held_bytes;     ///< charged to connections, and to requests in service
  TtList ports;          ///< TtIntakePort.link
  TtList large;          ///< entries that hold more than the fixed part
  TtList ended;          ///< entries with a verdict that the front end has not carried out
  int64_t next_check_us; ///< of the time limits
  int64_t log_second_us; ///< start of the second for which log_lines counts
  uint32_t log_lines;
} TtIntakeSection;
