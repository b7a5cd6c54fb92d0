-- P4: a daemon is killed a little later each time; the caller repeats the grant at other daemons.
start { daemons = 4, domains = 3, engines = 3, services = 3, seed = 41 }
for step = 1, 30 do
  send { daemon = 1, service = "ledger", kind = "grant", key = step }
  run (step * 0.0007)
  replace (1)
  for try = 2, 4 do
    send { daemon = try, service = "ledger", kind = "grant", key = step }
    run (0.3)
  end
  run (6)
  expect (executions (step) <= 1, "key " .. step .. " ran " .. executions (step) .. " times")
end
