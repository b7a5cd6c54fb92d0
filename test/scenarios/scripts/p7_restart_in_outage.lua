-- P7: a daemon that starts with nothing while the platform is away learns the latest documents from
-- its peers; stale reads afterwards do not take it back.
start { daemons = 4, domains = 2, seed = 73 }
local staged = apply (10001)
run (15)
expect (accepted () >= staged, "accepted")
platform { down = true }
run (2)
replace (1)
run (15)
expect (ready (1), "the new daemon takes requests")
expect (epoch (1) >= staged, "with the accepted document")
platform { down = false, stale_reads = true }
run (20)
expect (epoch (1) >= staged, "a stale read changes nothing")
