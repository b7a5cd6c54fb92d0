-- P3 and P4 during an outage of the platform: no non-idempotent request is executed, and its outcome
-- is "unknown" because an earlier attempt may have run. Chats are still served.
start { daemons = 3, domains = 1, engines = 4, services = 2, seed = 32 }
platform { down = true }
run (5)
local grant = send { daemon = 1, service = "ledger", kind = "grant", key = 5 }
local chat = send { daemon = 2, chat = 9, tokens = 50 }
run (30)
expect (outcome (grant) == "unknown", "outcome of a grant during the outage must be unknown, not " .. outcome (grant))
expect (executions (5) == 0, "the grant must not be executed")
expect (outcome (chat) == "complete", "chats must complete during the outage")
platform { down = false }
run (10)
local retry = send { daemon = 3, service = "ledger", kind = "grant", key = 5 }
run (10)
expect (outcome (retry) == "complete", "the retry must complete after the outage, outcome: " .. outcome (retry))
expect (executions (5) == 1, "the grant must be executed exactly once")
