/* Acceptance of configuration changes: two failure domains, one router each beside the reporter's
 * view, one acceptor that may be replaced, one store that may be restored to an older version.
 *
 * A router learns the head from the platform, possibly an old one, or an epoch from its peer. Domain
 * 1 may be cut off. The document says "wait" (MODE 0) or "refuse" (MODE 1); both are explored.
 * Times: DETACH without contact makes a router refuse; the acceptor leaves a domain out after twice
 * that time. Of restart, partition and restored store, two are combined. Not explored: losing the newest epoch everywhere, by a restored store and a restart of
 * every daemon that knows the epoch; nothing is left then that could tell.
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
bool refuse; /* the team's mode, the same in all documents */

/* The store: config/head, its content before the last write, config/accepted, domains/NAME. */
byte head_gen = 1;
byte head = 0;
byte old_head = 0;
byte accepted = 0;
byte report_gen[DOMAINS];
byte report[DOMAINS];
bool restored = false;
bool head_other = false; /* the head's last change was made in the restored store */
bool redone = false;
byte restores = 0;
byte staged_at[CHANGES + 1];
byte made = 0;

/* Routers. */
byte gen[DOMAINS];
byte force[DOMAINS];
bool other[DOMAINS]; /* the document in force is one made in the restored store */
byte contact[DOMAINS];
bool ready[DOMAINS];
byte restarts = 0;
byte highest[DOMAINS]; /* ghost: highest epoch ever in force in this run */

bool cut = false;
byte cuts = 0;

#define reaches(d) (!(cut && d == 1))
#define refuses(d) (refuse && now >= contact[d] + DETACH)

/* After a loss of contact the peers in reach get time to tell of newer changes. */
#ifdef BROKEN_REJOIN
#define may_rejoin(d) true
#else
#define may_rejoin(d) (now < contact[d] + DETACH || !ready[1 - d] || force[1 - d] <= force[d])
#endif

/* The reporter writes at once; a later report can only delay acceptance. A report never falls. */
inline tell (d)
{
  if
  :: reaches (d) && ready[d] && (gen[d] > report_gen[d] || (gen[d] == report_gen[d] && force[d] > report[d])) ->
     report_gen[d] = gen[d]; report[d] = force[d]
  :: else
  fi
}

/* What an auditor checks: an accepted change is in force on every router that serves the team. */
inline check ()
{
  assert (!ready[0] || refuses (0) || force[0] >= accepted);
  assert (!ready[1] || refuses (1) || force[1] >= accepted)
}

inline put_in_force (d, g, e, o)
{
  if
#ifdef BROKEN_REVERT
  :: true -> gen[d] = g; force[d] = e; other[d] = o
#else
  :: g > gen[d] || (g == gen[d] && e > force[d]) -> gen[d] = g; force[d] = e; other[d] = o
#endif
  :: else
  fi;
  assert (force[d] >= highest[d]);
  highest[d] = force[d]
}

proctype Router (byte d)
{
  do
  :: now >= END -> break
  :: atomic { now < END && reaches (d) ->
       /* A read of the head that shows nothing newer or nothing missing is a contact. */
       if
       :: true -> put_in_force (d, head_gen, head, head_other);
          if
          :: head >= force[d] && may_rejoin (d) -> contact[d] = now
          :: else
          fi
       :: true -> put_in_force (d, head_gen, old_head, (old_head == head && head_other)) /* a stale replica */
       fi;
       tell (d); check ()
     }
  :: atomic { now < END && reaches (0) && reaches (1) && ready[1 - d] ->
       /* Documents of a peer. */
       put_in_force (d, gen[1 - d], force[1 - d], other[1 - d]);
       tell (d); check ()
     }
  :: atomic { now < END && !ready[d] && force[d] > 0 ->
#ifdef BROKEN_READY
       ready[d] = true;
#else
       /* Ready at the highest epoch known from the platform and from peers. */
       if
       :: reaches (d) && gen[d] >= head_gen && force[d] >= head && (!reaches (1 - d) || !ready[1 - d] || force[d] >= force[1 - d]) ->
          ready[d] = true
       :: else
       fi;
#endif
       tell (d); check ()
     }
  :: atomic { now < END && restarts < 1 && cuts + restores < 2 && (!restored || (ready[1 - d] && force[1 - d] >= force[d] && !cut)) ->
       restarts++;
       ready[d] = false; gen[d] = 0; force[d] = 0; other[d] = false; highest[d] = 0; contact[d] = 0
     }
  od
}

/* Operators: conditional update of the head, so that no change is lost. */
proctype Operator ()
{
  do
  :: atomic { made < CHANGES && now < END ->
       old_head = head; head++; made++; head_other = false; staged_at[made] = now }
  :: atomic { restored && !redone && now < END ->
       redone = true; old_head = head; head++; head_other = true }
  :: now >= END -> break
  od
}

proctype Acceptor ()
{
  byte e;

  do
  :: now >= END -> break
  :: atomic { now < END && !restored && accepted < head && accepted < made ->
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
       /* Both routers have the same document, unless one refuses. */
       assert (accepted != e || force[0] != e || force[1] != e || !ready[0] || !ready[1] || refuses (0) || refuses (1) || other[0] == other[1]);
       check ()
     }
  :: atomic { now < END && restored && ready[0] ->
       /* Repair: the documents in force go back under a higher generation. */
#ifndef BROKEN_GENERATION
       head_gen = gen[0] + 1;
#endif
       if
       :: force[0] >= head -> head = force[0]; head_other = other[0]
       :: else
       fi;
       old_head = head;
       /* Old heads were read as contact until now: the waiting time starts anew. */
       staged_at[1] = now; staged_at[2] = now;
       restored = false
     }
  od
}

/* Partition, and a store restored once to its state before the last change. */
proctype Faults ()
{
  do
  :: now >= END -> break
  :: atomic { now < END && !cut && cuts < 1 && restarts + restores < 2 && (!restored || (ready[0] && ready[1])) -> cut = true; cuts++ }
  :: atomic { now < END && cut -> cut = false }
  :: atomic { now < END && !restored && restarts + cuts < 2 && restores < 1 && head > 1 && head_gen == 1 && force[0] == head && ready[0] && ready[1] && !cut ->
       head = head - 1; old_head = head; head_other = false; restored = true; restores++ }
  od
}

proctype Clock ()
{
  do
  :: atomic { now < END -> now++; check () }
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
