-- P7: a configuration change is accepted within 15 s, and is then in force on every daemon (checked at
-- each tick).
start { daemons = 5, domains = 3, seed = 71 }
for change = 1, 5 do
  local staged = apply (10000 + change)
  expect (staged > 0, "the change must be staged")
  run (15)
  expect (accepted_epoch () >= staged, "the change must be accepted within 15 s")
  for daemon = 1, 5 do
    expect (epoch (daemon) >= staged, "the change must be in force on daemon " .. daemon)
  end
end
