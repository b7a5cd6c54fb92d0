-- Guards against requests that get no whole answer in a healthy fleet.
start { daemons = 4, domains = 3 }
local calls = {}
for chat = 1, 40 do
  calls[#calls + 1] = send { daemon = chat % 4 + 1, chat = chat, tokens = 100 }
end
run (20)
for _, call in ipairs (calls) do
  expect (outcome (call) == "complete", "a whole answer for each chat")
end
