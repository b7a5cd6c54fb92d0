-- P4: daemon 1 is killed and restarted while it processes a grant, 0.7 ms later in each round, and
-- the caller retries the grant at the other daemons. Each grant must be executed at most once.
start { daemons = 4, domains = 3, engines = 3, services = 3, seed = 41 }
for step = 1, 30 do
  send { daemon = 1, service = "ledger", kind = "grant", key = step }
  run (step * 0.0007)
  restart (1)
  for daemon = 2, 4 do
    send { daemon = daemon, service = "ledger", kind = "grant", key = step }
    run (0.3)
  end
  run (6)
  expect (executions (step) <= 1, "key " .. step .. " ran " .. executions (step) .. " times")
end
