-- P7: a change is accepted within seconds, and then holds on every router (checked at each tick).
start { daemons = 5, domains = 3, seed = 71 }
for change = 1, 5 do
  local staged = apply (10000 + change)
  expect (staged > 0, "the change is staged")
  run (15)
  expect (accepted () >= staged, "accepted within 15 s")
  for daemon = 1, 5 do
    expect (epoch (daemon) >= staged, "in force on daemon " .. daemon)
  end
end
