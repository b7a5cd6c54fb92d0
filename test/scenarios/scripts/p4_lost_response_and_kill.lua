-- P4 with two faults: the platform's response to the write of the claim is lost, and in two of three
-- rounds the daemon is also restarted or paused. A grant must be executed at most once.
start { daemons = 3, domains = 3, engines = 3, services = 3, seed = 42 }
for step = 1, 12 do
  platform { lose_responses = 1 + step % 2 }
  send { daemon = 1, service = "ledger", kind = "grant", key = step }
  run (step * 0.002)
  if step % 3 == 0 then
    restart (1)
  elseif step % 3 == 1 then
    pause (1, 5)
  end
  send { daemon = 2, service = "ledger", kind = "grant", key = step }
  send { daemon = 3, service = "ledger", kind = "grant", key = step }
  run (12)
  expect (executions (step) <= 1, "key " .. step .. " ran " .. executions (step) .. " times")
end
