/// Internal interface between the files of `acceptor`.
#pragma once

#include "tarragontrack/board/board_defs.h"

#define TT_ACCEPTOR_ROLE "acceptor"

/// True if the failure domain has reported the epoch, or a later one, as in force.
bool tt_acceptor_domain_confirmed (const TtAcceptorDomain *domain, uint64_t generation,
                                   uint64_t epoch);

/// True if the change may be accepted without the failure domain, because its daemons without
/// platform contact reject the team's requests.
bool tt_acceptor_may_exclude_domain (TtBoard *board, const TtAcceptorDomain *domain,
                                     const TtConfigChange *change, int64_t now_us);

/// Starts the next platform call of an acceptance or of a repair, if no call is open.
void tt_acceptance_run (TtBoard *board, int64_t now_us);

/// Processes the response to the open call of the acceptance or repair.
void tt_acceptance_handle_response (TtBoard *board, const TtPlatformEvent *response,
                                    int64_t now_us);
