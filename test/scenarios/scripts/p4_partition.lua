-- P4 across a partition: the claim, not the network, decides who runs a grant.
start { daemons = 3, domains = 3, engines = 3, services = 3, seed = 43 }
cut (1, 2)
cut (1, 3)
local first = send { daemon = 1, service = "ledger", kind = "grant", key = 1 }
local second = send { daemon = 2, service = "ledger", kind = "grant", key = 1 }
run (10)
expect (executions (1) == 1, "exactly one side runs it")
cut (1, "platform")
run (2)
local third = send { daemon = 1, service = "ledger", kind = "grant", key = 2 }
run (30)
expect (executions (2) == 0, "a domain without the platform runs no grant")
expect (outcome (third) == "unknown", "and says so")
