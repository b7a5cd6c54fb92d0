-- Every chat completes in a fleet without faults.
start { daemons = 4, domains = 3 }
local calls = {}
for chat = 1, 40 do
  calls[#calls + 1] = send { daemon = chat % 4 + 1, chat = chat, tokens = 100 }
end
run (20)
for _, call in ipairs (calls) do
  expect (outcome (call) == "complete", "each chat must complete")
end
