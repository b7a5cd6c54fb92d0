-- P2: an engine crashes in the middle of streams. Each response must be complete or end with an
-- explicit error.
start { daemons = 3, domains = 1, engines = 4, services = 1, seed = 22 }
local calls = {}
for chat = 1, 24 do
  calls[#calls + 1] = send { daemon = chat % 3 + 1, chat = chat, tokens = 300 }
end
run (1)
backend (2, { alive = false })
run (30)
local complete_count = 0
for _, call in ipairs (calls) do
  if outcome (call) == "complete" then
    complete_count = complete_count + 1
  end
  expect (outcome (call) ~= "open", "each chat must get a reply")
end
expect (complete_count >= 20, "streams of the crashed engine must be resumed, complete: " .. complete_count)
