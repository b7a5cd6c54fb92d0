-- P4: the same grant sent to all daemons at once is executed once, and a later retry gets the recorded
-- outcome.
start { daemons = 4, domains = 2, engines = 2, services = 4, seed = 44 }
for key = 1, 20 do
  for daemon = 1, 4 do
    send { daemon = daemon, service = "ledger", kind = "grant", key = key }
  end
  run (2)
  expect (executions (key) == 1, "key " .. key .. " ran " .. executions (key) .. " times")
  local retry = send { daemon = key % 4 + 1, service = "ledger", kind = "grant", key = key }
  run (5)
  expect (outcome (retry) == "recorded", "the retry must get the recorded outcome, not " .. outcome (retry))
end
