/// Parts of `acceptor` shared by its files.
#pragma once

#include "tarragontrack/board/board_defs.h"

#define TT_ACCEPTOR_ROLE "acceptor"

/// True if the failure domain has confirmed the epoch.
bool tt_acceptor_confirmed (const TtAcceptorDomain *domain, uint64_t generation, uint64_t epoch);

/// True if the change may be accepted without the failure domain, which is cut off.
bool tt_acceptor_excluded (TtBoard *board, const TtAcceptorDomain *domain,
                           const TtConfigChange *change, int64_t now_us);

/// Starts the next call of an acceptance or of a repair, if none is open.
void tt_audit_run (TtBoard *board, int64_t now_us);

/// Takes in the answer to the open call.
void tt_audit_answer (TtBoard *board, const TtPlatformEvent *answer, int64_t now_us);
