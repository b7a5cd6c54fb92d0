/// A board with all controllers, one document and some backend servers, for tests of one daemon.
#pragma once

#include "tarragontrack/board/board.h"

/// Makes a board named @name in failure domain @domain, with all controllers.
TtBoard *world_board (const char *name, const char *domain);

/// Document of team "demo": model "chat", plain service "ledger" (path /ledger, not repeatable),
/// client accounts "small" and "large", kind "note" (priority 1) and "grant" (priority 0, not
/// idempotent).
void world_document (TtDocument *document);

/// Answers the open platform calls of a board with the head, the document and @hosts, at @now_us.
/// All other calls are answered TT_E_NOT_FOUND (reads) or 0 (writes).
void world_platform (TtBoard *board, const TtDocument *document, const TtHostsObject *hosts,
                     int64_t now_us);

/// Fills in @count hosts named engine-0.. of service @service in failure domain @domain.
void world_hosts (TtHostEntry *hosts, uint32_t count, const char *service, const char *domain);

/// Makes @board ready with @count engines of model "chat" in its own failure domain.
void world_start (TtBoard *board, uint32_t count, int64_t now_us);

/// Removes actions from the outbox up to the first of @type; NULL if there is none. The action is
/// copied to @copy.
const TtAction *world_next (TtBoard *board, TtActionType type, TtAction *copy);

/// Steps the board with a request for @service and returns its id.
uint64_t world_request (TtBoard *board, const char *account, const char *service, uint64_t chat_key,
                        int64_t now_us);
