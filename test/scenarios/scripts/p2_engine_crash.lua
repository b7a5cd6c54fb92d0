-- P2: an engine that dies in the middle of streams: each answer is whole or ends explicitly.
start { daemons = 3, domains = 1, engines = 4, services = 1, seed = 22 }
local calls = {}
for chat = 1, 24 do
  calls[#calls + 1] = send { daemon = chat % 3 + 1, chat = chat, tokens = 300 }
end
run (1)
backend (2, { alive = false })
run (30)
local whole = 0
for _, call in ipairs (calls) do
  if outcome (call) == "complete" then
    whole = whole + 1
  end
  expect (outcome (call) ~= "open", "no chat waits for ever")
end
expect (whole >= 20, "streams of the dead engine are resumed, whole: " .. whole)
