/// Test fixture: a board with all controllers, one document and some backend servers, for tests of
/// one daemon.
#pragma once

#include "tarragontrack/board/board.h"

/// Creates a board named @name in failure domain @domain, with all controllers.
TtBoard *test_board_new (const char *name, const char *domain);

/// Fills in a document of team "demo": model "chat", plain service "ledger" (path /ledger, not
/// repeatable), client accounts "small" and "large", kinds "note" (priority 1) and "grant"
/// (priority 0, not idempotent).
void test_board_fill_document (TtDocument *document);

/// Responds to the pending platform calls of a board with the head, the document and @hosts, at
/// @now_us. Watches get no response. Reads of other keys get TT_E_NOT_FOUND; writes succeed.
void test_board_respond_to_platform_calls (TtBoard *board, const TtDocument *document,
                                           const TtHostsObject *hosts, int64_t now_us);

/// Fills in @count hosts named SERVICE-0.. of service @service in failure domain @domain.
void test_board_fill_hosts (TtHostEntry *hosts, uint32_t count, const char *service,
                            const char *domain);

/// Loads the document and a host list of @count engines of model "chat", in the board's own failure
/// domain, so that @board becomes ready.
void test_board_load_configuration (TtBoard *board, uint32_t count, int64_t now_us);

/// Removes actions from the outbox up to and including the first of @type, which is copied to
/// @copy.
///
/// RETURN     @copy, or NULL if the outbox holds no such action
const TtAction *test_board_next_action (TtBoard *board, TtActionType type, TtAction *copy);

/// Steps the board with a request for @service and returns the request id.
uint64_t test_board_send_request (TtBoard *board, const char *account, const char *service,
                                  uint64_t chat_key, int64_t now_us);
