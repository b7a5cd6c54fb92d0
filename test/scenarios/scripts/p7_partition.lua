-- P7 with a failure domain cut off: the change waits, the domain goes on serving, and nothing
-- reverts when the partition heals.
start { daemons = 5, domains = 3, engines = 9, seed = 72 }
for _, side in ipairs { 1, 2, "platform" } do
  cut (3, side)
end
run (5)
local staged = apply (10001)
run (20)
expect (accepted () < staged, "not accepted while domain 3 cannot confirm")
local chat = send { daemon = 3, chat = 1, tokens = 30 }
run (10)
expect (outcome (chat) == "complete", "the cut-off domain goes on serving, not " .. outcome (chat))
for _, side in ipairs { 1, 2, "platform" } do
  heal (3, side)
end
run (20)
expect (accepted () >= staged, "accepted after the partition heals")
