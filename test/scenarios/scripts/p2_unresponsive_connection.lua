-- P2: connections that permanently stop delivering data must not leave callers without a reply.
start { daemons = 3, domains = 1, engines = 4, services = 1, seed = 21 }
local calls = {}
for chat = 1, 20 do
  calls[#calls + 1] = send { daemon = chat % 3 + 1, chat = chat, tokens = 64 }
end
run (0.1)
backend (1, { unresponsive = true })
run (8)
backend (1, { unresponsive = false })
run (40)
for _, call in ipairs (calls) do
  expect (outcome (call) == "complete" or outcome (call) == "cut",
          "each chat must complete or end with an explicit error, outcome: " .. outcome (call))
end
