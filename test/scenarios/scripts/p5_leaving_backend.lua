-- P5: a leaving backend server gets no new attempts after a few seconds (checked at each tick), even
-- if one failure domain is partitioned from the platform.
start { daemons = 4, domains = 2, engines = 6, services = 2, seed = 51 }
partition (2, "platform")
run (3)
backend (1, { leaving = true })
backend (2, { leaving = true })
for i = 1, 60 do
  send { daemon = i % 4 + 1, chat = i, tokens = 40 }
  run (0.5)
end
