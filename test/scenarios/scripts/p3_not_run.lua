-- P3: what is told "not run" did not run, with all workers of a service dead, and comes back as a
-- run when the caller repeats it.
start { daemons = 3, domains = 1, engines = 2, services = 2, seed = 31 }
backend (3, { alive = false })
backend (4, { alive = false })
local first = send { daemon = 1, service = "ledger", kind = "grant", key = 1 }
run (20)
expect (outcome (first) ~= "complete", "no worker can run it")
expect (executions (1) == 0, "it did not run")
backend (3, { alive = true })
backend (4, { alive = true })
run (15)
local second = send { daemon = 2, service = "ledger", kind = "grant", key = 1 }
run (10)
expect (outcome (second) == "complete", "the repetition runs, not " .. outcome (second))
expect (executions (1) == 1, "once")
