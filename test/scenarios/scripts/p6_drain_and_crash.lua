-- P6 with a second fault: an engine crashes while a daemon drains. Streams must be resumed on another
-- engine and not be truncated.
start { daemons = 3, domains = 1, engines = 5, services = 1, seed = 62, token_ms = 20 }
local calls = {}
for chat = 1, 20 do
  calls[#calls + 1] = send { daemon = 1, chat = chat, tokens = 300 }
end
run (1)
drain (1)
run (0.5)
backend (1, { alive = false })
run (60)
for _, call in ipairs (calls) do
  expect (outcome (call) == "complete", "the stream must be resumed on another engine, outcome: " .. outcome (call))
end
expect (not running (1), "the drained process must exit")
