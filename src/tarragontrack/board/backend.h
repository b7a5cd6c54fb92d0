/// Lookup and allocation of backend servers and pools. Only the controller `roster` or, on a board
/// with a routing table, the controllers `registry` and `routes` allocate them. `roster` and
/// `registry` also free backend servers, and `routes` frees pools that are no longer used.
#pragma once

#include "tarragontrack/board/board_defs.h"

/// Allocates the records. RETURN 0 or TT_E_NO_MEMORY.
int tt_backend_open (TtBoard *board);

/// Frees the records.
void tt_backend_close (TtBoard *board);

/// Looks up a backend server by id; NULL if unknown.
TtBackendServer *tt_backend_find (TtBoard *board, uint64_t id);

/// True if the backend server may be sent requests or calls. All of them go through this check,
/// whatever path leads to them: tt_attempt_new() opens no attempt without it.
bool tt_backend_accepts (const TtBackendServer *backend, int64_t now_us);

/// Allocates a record for a backend server, given by the hash of its name and the name; NULL if
/// TT_MAX_BACKENDS are in use or memory could not be allocated.
TtBackendServer *tt_backend_new (TtBoard *board, uint64_t id, const char *name);

/// Frees the record of a backend server without open attempts.
void tt_backend_free (TtBoard *board, TtBackendServer *backend);

/// Looks up the pool of a service by the hash of the service's name; NULL if unknown.
TtPool *tt_pool_find (TtBoard *board, uint64_t id);

/// Allocates a pool for a service, given by the hash of its name and the name; NULL if memory could
/// not be allocated.
TtPool *tt_pool_new (TtBoard *board, uint64_t id, const char *name);

/// Frees the pools of services that the routing table does not have, and to which neither backend
/// servers nor requests belong.
void tt_pool_free_unused (TtBoard *board);
