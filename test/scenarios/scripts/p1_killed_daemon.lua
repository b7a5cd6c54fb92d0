-- P1 with two faults: during a surge a daemon is killed while it holds slot leases of an engine, and
-- the network loses and duplicates messages.
start { daemons = 4, domains = 1, engines = 6, batch = 64, seed = 12 }
check_load ()
network { loss = 0.1, duplication = 0.1 }
for second = 1, 20 do
  for i = 1, 24 do
    send { daemon = i % 4 + 1, account = "large", chat = i % 9, tokens = 150 }
  end
  if second == 8 then
    kill (2)
  end
  if second == 12 then
    restart (2)
  end
  run (1)
end
run (20)
