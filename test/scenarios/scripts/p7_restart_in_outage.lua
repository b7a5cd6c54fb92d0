-- P7: a daemon that restarts without state during an outage of the platform gets the latest documents
-- from its peers, and stale reads after the outage do not revert it.
start { daemons = 4, domains = 2, seed = 73 }
local staged = apply (10001)
run (15)
expect (accepted_epoch () >= staged, "the change must be accepted")
platform { down = true }
run (2)
restart (1)
run (15)
expect (ready (1), "the restarted daemon must accept requests")
expect (epoch (1) >= staged, "the restarted daemon must use the accepted document")
platform { down = false, stale_reads = true }
run (20)
expect (epoch (1) >= staged, "a stale read must not revert the configuration")
