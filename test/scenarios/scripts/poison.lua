-- A request that crashes each backend server is stopped after few, and requests of other accounts
-- beside it are served.
start { daemons = 3, domains = 1, engines = 8, services = 1, seed = 81 }
local innocent = {}
local crashes = 0
for i = 1, 12 do
  innocent[#innocent + 1] = send { daemon = i % 3 + 1, account = "small", chat = 100 + i, tokens = 30 }
  send { daemon = i % 3 + 1, account = "large", chat = 7, tokens = 30, deadly = true }
  run (3)
end
run (20)
local last = send { daemon = 2, account = "large", chat = 7, tokens = 30, deadly = true }
run (5)
-- It has run before, so "not run" would be wrong.
expect (status (last) == 422, "the request is stopped, not " .. status (last))
expect (outcome (last) == "unknown", "and its outcome is unknown, not " .. outcome (last))
local whole = 0
for _, call in ipairs (innocent) do
  whole = whole + (outcome (call) == "complete" and 1 or 0)
end
expect (whole == #innocent, "innocent requests are whole: " .. whole .. " of " .. #innocent)
