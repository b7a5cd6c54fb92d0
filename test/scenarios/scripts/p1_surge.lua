-- P1: a surge from one client account must not raise the load of an engine above the allowed multiple
-- of the mean load (checked at each tick).
start { daemons = 4, domains = 1, engines = 8, batch = 64, seed = 11 }
check_load ()
for second = 1, 20 do
  for i = 1, 4 do
    send { daemon = i, account = "small", chat = second * 10 + i, tokens = 200 }
  end
  if second > 5 then
    for i = 1, 40 do -- ten times the load, over few chats
      send { daemon = i % 4 + 1, account = "large", chat = 1000 + i % 7, tokens = 200 }
    end
  end
  run (1)
end
run (20)
