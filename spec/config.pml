/* Acceptance of configuration changes: two failure domains with one router and one report each, one
 * acceptor that may be replaced, one store that may be restored to an older version.
 *
 * A router reads the head, possibly a stale one, from the platform, or receives an epoch from its
 * peer. Domain 1 may be partitioned. The document's `detached` is "wait" (refuse is false) or
 * "refuse" (refuse is true); both are explored. A router without contact for the time DETACH
 * refuses requests; the acceptor excludes a domain after twice that time. Of restart, partition and
 * restored store, two are combined. Not explored: the loss of the newest epoch on every process,
 * caused by a restored store and a restart of every daemon that knows the epoch; no process could
 * then detect the loss.
 *
 * broken: BROKEN_REVERT
 * broken: BROKEN_EARLY
 * broken: BROKEN_DETACH
 * broken: BROKEN_GENERATION
 * broken: BROKEN_READY
 * broken: BROKEN_REJOIN
 */
#define DOMAINS 2
#define DETACH 1
#define CHANGES 2
#define END 3

byte now = 0;
bool refuse; /* the team's `detached` mode is "refuse"; the same in all documents */

/* The store: config/head, its content before the last write, config/accepted, and the reports in
 * domains/NAME. */
byte head_gen = 1;
byte head = 0;
byte old_head = 0;
byte accepted = 0;
byte report_gen[DOMAINS];
byte report[DOMAINS];
bool restored = false;
bool head_diverged = false; /* the head's last change was made in the restored store */
bool changed_after_restore = false;
byte restores = 0;
byte staged_at[CHANGES + 1];
byte changes = 0;

/* Routers. */
byte gen[DOMAINS];
byte in_force[DOMAINS];
bool diverged[DOMAINS]; /* the document in force was made in the restored store */
byte contact[DOMAINS];
bool ready[DOMAINS];
byte restarts = 0;
byte highest[DOMAINS]; /* ghost variable: highest epoch in force since the last restart */

bool partitioned = false;
byte partitions = 0;

#define reachable(d) (!(partitioned && d == 1))
#define refuses(d) (refuse && now >= contact[d] + DETACH)

/* After a loss of contact a router waits for the epochs of reachable peers, which may be newer. */
#ifdef BROKEN_REJOIN
#define may_rejoin(d) true
#else
#define may_rejoin(d) (now < contact[d] + DETACH || !ready[1 - d] || in_force[1 - d] <= in_force[d])
#endif

/* The router writes its report immediately; a delayed report can only delay acceptance. A reported
 * epoch never decreases. */
inline write_report (d)
{
  if
  :: reachable (d) && ready[d] && (gen[d] > report_gen[d] || (gen[d] == report_gen[d] && in_force[d] > report[d])) ->
     report_gen[d] = gen[d]; report[d] = in_force[d]
  :: else
  fi
}

/* Safety property: an accepted change is in force on every router that serves the team. */
inline check_accepted_in_force ()
{
  assert (!ready[0] || refuses (0) || in_force[0] >= accepted);
  assert (!ready[1] || refuses (1) || in_force[1] >= accepted)
}

inline put_in_force (d, g, e, o)
{
  if
#ifdef BROKEN_REVERT
  :: true -> gen[d] = g; in_force[d] = e; diverged[d] = o
#else
  :: g > gen[d] || (g == gen[d] && e > in_force[d]) -> gen[d] = g; in_force[d] = e; diverged[d] = o
#endif
  :: else
  fi;
  assert (in_force[d] >= highest[d]);
  highest[d] = in_force[d]
}

proctype Router (byte d)
{
  do
  :: now >= END -> break
  :: atomic { now < END && reachable (d) ->
       /* A read of the head that returns no lower epoch than the one in force confirms contact. */
       if
       :: true -> put_in_force (d, head_gen, head, head_diverged);
          if
          :: head >= in_force[d] && may_rejoin (d) -> contact[d] = now
          :: else
          fi
       :: true -> put_in_force (d, head_gen, old_head, (old_head == head && head_diverged)) /* a stale replica */
       fi;
       write_report (d); check_accepted_in_force ()
     }
  :: atomic { now < END && reachable (0) && reachable (1) && ready[1 - d] ->
       /* Receives documents from the peer. */
       put_in_force (d, gen[1 - d], in_force[1 - d], diverged[1 - d]);
       write_report (d); check_accepted_in_force ()
     }
  :: atomic { now < END && !ready[d] && in_force[d] > 0 ->
#ifdef BROKEN_READY
       ready[d] = true;
#else
       /* Ready at the highest epoch known from the platform and from peers. */
       if
       :: reachable (d) && gen[d] >= head_gen && in_force[d] >= head && (!reachable (1 - d) || !ready[1 - d] || in_force[d] >= in_force[1 - d]) ->
          ready[d] = true
       :: else
       fi;
#endif
       write_report (d); check_accepted_in_force ()
     }
  :: atomic { now < END && restarts < 1 && partitions + restores < 2 && (!restored || (ready[1 - d] && in_force[1 - d] >= in_force[d] && !partitioned)) ->
       restarts++;
       ready[d] = false; gen[d] = 0; in_force[d] = 0; diverged[d] = false; highest[d] = 0; contact[d] = 0
     }
  od
}

/* Operators update the head conditionally, so no change is lost. */
proctype Operator ()
{
  do
  :: atomic { changes < CHANGES && now < END ->
       old_head = head; head++; changes++; head_diverged = false; staged_at[changes] = now }
  :: atomic { restored && !changed_after_restore && now < END ->
       changed_after_restore = true; old_head = head; head++; head_diverged = true }
  :: now >= END -> break
  od
}

proctype Acceptor ()
{
  byte e;

  do
  :: now >= END -> break
  :: atomic { now < END && !restored && accepted < head && accepted < changes ->
       e = accepted + 1;
       if
#ifdef BROKEN_EARLY
       :: report[0] >= e -> accepted = e
#else
       :: report[0] >= e && report[1] >= e && report_gen[0] >= head_gen && report_gen[1] >= head_gen ->
          accepted = e
#endif
#ifdef BROKEN_DETACH
       :: refuse && report[0] >= e && now >= staged_at[e] -> accepted = e
#else
       :: refuse && report[0] >= e && now >= staged_at[e] + 2 * DETACH -> accepted = e
#endif
       :: else
       fi;
       /* Both routers have the same document, unless one refuses requests. */
       assert (accepted != e || in_force[0] != e || in_force[1] != e || !ready[0] || !ready[1] || refuses (0) || refuses (1) || diverged[0] == diverged[1]);
       check_accepted_in_force ()
     }
  :: atomic { now < END && restored && ready[0] ->
       /* Repair: writes the documents in force back under a higher generation. */
#ifndef BROKEN_GENERATION
       head_gen = gen[0] + 1;
#endif
       if
       :: in_force[0] >= head -> head = in_force[0]; head_diverged = diverged[0]
       :: else
       fi;
       old_head = head;
       /* Until now, reads of the old head confirmed contact, so the detach time restarts. */
       staged_at[1] = now; staged_at[2] = now;
       restored = false
     }
  od
}

/* Partition, and one restoration of the store to its state before the last change. */
proctype Faults ()
{
  do
  :: now >= END -> break
  :: atomic { now < END && !partitioned && partitions < 1 && restarts + restores < 2 && (!restored || (ready[0] && ready[1])) -> partitioned = true; partitions++ }
  :: atomic { now < END && partitioned -> partitioned = false }
  :: atomic { now < END && !restored && restarts + partitions < 2 && restores < 1 && head > 1 && head_gen == 1 && in_force[0] == head && ready[0] && ready[1] && !partitioned ->
       head = head - 1; old_head = head; head_diverged = false; restored = true; restores++ }
  od
}

proctype Clock ()
{
  do
  :: atomic { now < END -> now++; check_accepted_in_force () }
  :: now >= END -> break
  od
}

init
{
  atomic {
    if
    :: refuse = false
    :: refuse = true
    fi;
    run Clock (); run Operator (); run Acceptor (); run Faults ();
    run Router (0); run Router (1)
  }
}
