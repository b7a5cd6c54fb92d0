-- A failure domain that is partitioned from all others and from the platform keeps serving chats with
-- its own daemons and engines.
start { daemons = 4, domains = 2, engines = 6, services = 2, seed = 91 }
partition (2, 1)
partition (2, "platform")
run (30)
local calls = {}
for chat = 1, 20 do
  calls[#calls + 1] = send { daemon = 2, chat = chat, tokens = 50 }
  run (0.2)
end
run (20)
for _, call in ipairs (calls) do
  expect (outcome (call) == "complete", "chat must complete in the partitioned domain, outcome: " .. outcome (call))
end
