-- P7: the platform's store is restored from an older backup. Daemons keep the configuration in force,
-- and a later change is accepted.
start { daemons = 4, domains = 2, seed = 74 }
local backup = snapshot ()
local staged = apply (10001)
run (15)
expect (accepted_epoch () >= staged, "the change must be accepted")
restore (backup)
run (30)
for daemon = 1, 4 do
  expect (epoch (daemon) >= staged, "daemon " .. daemon .. " must keep the accepted change")
end
local later = apply (10002)
run (20)
expect (accepted_epoch () >= later and later > staged, "the next change must get a higher epoch and be accepted")
