-- P3: a request that is reported as not run must not have been executed. All workers of a service are
-- down; the caller's retry must be executed after they are restarted.
start { daemons = 3, domains = 1, engines = 2, services = 2, seed = 31 }
backend (3, { alive = false })
backend (4, { alive = false })
local first = send { daemon = 1, service = "ledger", kind = "grant", key = 1 }
run (20)
expect (outcome (first) ~= "complete", "the request must not complete without a worker")
expect (executions (1) == 0, "the request must not be executed")
backend (3, { alive = true })
backend (4, { alive = true })
run (15)
local second = send { daemon = 2, service = "ledger", kind = "grant", key = 1 }
run (10)
expect (outcome (second) == "complete", "the retry must complete, outcome: " .. outcome (second))
expect (executions (1) == 1, "the request must be executed exactly once")
