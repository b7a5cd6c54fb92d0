-- P7 with a partitioned failure domain: the change is not accepted until the partition heals, the
-- domain keeps serving, and no daemon reverts to an older epoch (checked at each tick).
start { daemons = 5, domains = 3, engines = 9, seed = 72 }
for _, side in ipairs { 1, 2, "platform" } do
  partition (3, side)
end
run (5)
local staged = apply (10001)
run (20)
expect (accepted_epoch () < staged, "the change must not be accepted while domain 3 cannot confirm it")
local chat = send { daemon = 3, chat = 1, tokens = 30 }
run (10)
expect (outcome (chat) == "complete", "the partitioned domain must keep serving, outcome: " .. outcome (chat))
for _, side in ipairs { 1, 2, "platform" } do
  heal (3, side)
end
run (20)
expect (accepted_epoch () >= staged, "the change must be accepted after the partition heals")
