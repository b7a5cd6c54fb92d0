-- P6: a graceful shutdown must complete all streams, and then the process must exit.
start { daemons = 3, domains = 1, engines = 4, services = 2, seed = 61, token_ms = 20 }
local calls = {}
for chat = 1, 20 do
  calls[#calls + 1] = send { daemon = 1, chat = chat, tokens = 400 }
end
calls[#calls + 1] = send { daemon = 1, service = "ledger", kind = "grant", key = 1 }
run (1)
drain (1)
run (60)
for _, call in ipairs (calls) do
  expect (outcome (call) == "complete", "a request of the draining daemon must complete, outcome: " .. outcome (call))
end
expect (not running (1), "the drained process must exit")
