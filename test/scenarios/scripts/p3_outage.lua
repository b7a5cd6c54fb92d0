-- P3 and P4 with the platform away: nothing non-idempotent runs, and the answer is "unknown" because
-- an earlier attempt may have run. Chats go on.
start { daemons = 3, domains = 1, engines = 4, services = 2, seed = 32 }
platform { down = true }
run (5)
local grant = send { daemon = 1, service = "ledger", kind = "grant", key = 5 }
local chat = send { daemon = 2, chat = 9, tokens = 50 }
run (30)
expect (outcome (grant) == "unknown", "a grant during an outage is unknown, not " .. outcome (grant))
expect (executions (5) == 0, "it did not run")
expect (outcome (chat) == "complete", "chats go on during the outage")
platform { down = false }
run (10)
local again = send { daemon = 3, service = "ledger", kind = "grant", key = 5 }
run (10)
expect (outcome (again) == "complete", "the repetition runs after the outage, not " .. outcome (again))
expect (executions (5) == 1, "once")
