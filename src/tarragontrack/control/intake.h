/// Account of the memory and descriptors that callers take before their requests are served. The
/// front end reports what each connection holds, and carries out verdicts: an answer must come
/// before the next bytes are read, so these functions decide at once, not in a step of the board.
#pragma once

#include "tarragontrack/board/board_defs.h"

/// Part of the process's descriptors for connections of callers: half of those for sockets. The
/// others are for connections to backend servers, daemons and the store.
uint32_t tt_intake_caller_descriptors (uint32_t descriptors);

/// Opens a port of the daemon. Its connections are limited to @max_connections, and to what the
/// account allows all of them.
void tt_intake_open_port (TtBoard *board, TtIntakePort *port, uint32_t max_connections);

/// Longest request body that the account can hold beside the fixed charges of all connections.
size_t tt_intake_max_body_bytes (const TtBoard *board);

/// Adds a connection. At the limit of the port, one that has waited longest for its caller ends.
void tt_intake_connect (TtBoard *board, TtIntakePort *port, TtIntakeEntry *entry, int64_t now_us);

/// Removes a connection and gives back what it was charged. Does nothing if it was not added.
void tt_intake_disconnect (TtBoard *board, TtIntakeEntry *entry);

/// tt_intake_receive - charges a connection for what it holds
///
/// ARGUMENTS  received_bytes: that arrived since the last call; partial: a request has arrived in
///            part
/// NOTES      above the limit of the account, requests end that have come forward least for their
///            age. Connections that hold no more than the fixed charge are spared
void tt_intake_receive (TtBoard *board, TtIntakeEntry *entry, size_t held_bytes,
                        size_t received_bytes, bool partial, int64_t now_us);

/// Sets the phase of a connection.
void tt_intake_set_phase (TtBoard *board, TtIntakeEntry *entry, TtIntakePhase phase,
                          int64_t now_us);

/// Records how many bytes of responses a connection has not sent yet.
void tt_intake_report_unsent (TtIntakeEntry *entry, size_t unsent_bytes, int64_t now_us);

/// Charges a request in service for its copy of the caller's bytes.
void tt_intake_hold (TtBoard *board, size_t bytes, int64_t now_us);

/// Gives back what tt_intake_hold() charged.
void tt_intake_release (TtBoard *board, size_t bytes);

/// tt_intake_pop_ended - takes a connection with a verdict, which is charged no more
///
/// RETURN     NULL if there is none
TtIntakeEntry *tt_intake_pop_ended (TtBoard *board);

/// Counts and logs the end of a connection or of its request. @reason is for the log.
void tt_intake_record_end (TtBoard *board, const TtIntakeEntry *entry, const char *reason,
                           bool refused, int64_t now_us);

/// Reason of a verdict, for the log and for callers.
const char *tt_intake_reason (TtIntakeVerdict verdict);
