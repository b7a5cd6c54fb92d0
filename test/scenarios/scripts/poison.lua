-- A request that crashes each backend server that executes it is blocked after a few crashes, while
-- requests of other client accounts are served.
start { daemons = 3, domains = 1, engines = 8, services = 1, seed = 81 }
local unaffected = {}
local crashes = 0
for i = 1, 12 do
  unaffected[#unaffected + 1] = send { daemon = i % 3 + 1, account = "small", chat = 100 + i, tokens = 30 }
  send { daemon = i % 3 + 1, account = "large", chat = 7, tokens = 30, crash_backend = true }
  run (3)
end
run (20)
local last = send { daemon = 2, account = "large", chat = 7, tokens = 30, crash_backend = true }
run (5)
-- The request was executed before, so the outcome "not-run" would be wrong.
expect (status (last) == 422, "the crashing request must be blocked with status 422, not " .. status (last))
expect (outcome (last) == "unknown", "the outcome of the blocked request must be unknown, not " .. outcome (last))
local complete_count = 0
for _, call in ipairs (unaffected) do
  complete_count = complete_count + (outcome (call) == "complete" and 1 or 0)
end
expect (complete_count == #unaffected, "requests of other accounts must complete: " .. complete_count .. " of " .. #unaffected)
