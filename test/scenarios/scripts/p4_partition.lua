-- P4 during a partition between failure domains: the claim in the platform's store decides which
-- daemon executes a grant.
start { daemons = 3, domains = 3, engines = 3, services = 3, seed = 43 }
partition (1, 2)
partition (1, 3)
local first = send { daemon = 1, service = "ledger", kind = "grant", key = 1 }
local second = send { daemon = 2, service = "ledger", kind = "grant", key = 1 }
run (10)
expect (executions (1) == 1, "exactly one side of the partition must execute the grant")
partition (1, "platform")
run (2)
local third = send { daemon = 1, service = "ledger", kind = "grant", key = 2 }
run (30)
expect (executions (2) == 0, "a failure domain without the platform must not execute a grant")
expect (outcome (third) == "unknown", "the outcome without the platform must be unknown")
