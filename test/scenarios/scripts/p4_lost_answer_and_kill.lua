-- P4 with two faults: the platform loses the answer of the claim's write, and the daemon dies or
-- pauses meanwhile.
start { daemons = 3, domains = 3, engines = 3, services = 3, seed = 42 }
for step = 1, 12 do
  platform { lose_answers = 1 + step % 2 }
  send { daemon = 1, service = "ledger", kind = "grant", key = step }
  run (step * 0.002)
  if step % 3 == 0 then
    replace (1)
  elseif step % 3 == 1 then
    pause (1, 5)
  end
  send { daemon = 2, service = "ledger", kind = "grant", key = step }
  send { daemon = 3, service = "ledger", kind = "grant", key = step }
  run (12)
  expect (executions (step) <= 1, "key " .. step .. " ran " .. executions (step) .. " times")
end
