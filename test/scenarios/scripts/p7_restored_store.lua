-- P7: the platform's store is restored to an older version; routers keep what is in force, and a
-- later change is accepted.
start { daemons = 4, domains = 2, seed = 74 }
local backup = snapshot ()
local staged = apply (10001)
run (15)
expect (accepted () >= staged, "accepted")
restore (backup)
run (30)
for daemon = 1, 4 do
  expect (epoch (daemon) >= staged, "daemon " .. daemon .. " keeps the accepted change")
end
local later = apply (10002)
run (20)
expect (accepted () >= later and later > staged, "the next change gets a higher epoch and is accepted")
