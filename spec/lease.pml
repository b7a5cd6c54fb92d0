/* A lease with fencing numbers, two daemons, one engine that refuses old numbers.
 *
 * Time is a counter. A daemon may be paused, which delays its next step without limit, and restart,
 * which makes it forget everything. A write may take effect without an answer; the daemon then reads
 * back. An order leaves a daemon at once or stays on its way and arrives later.
 *
 * broken: BROKEN_EXPIRY
 * broken: BROKEN_FENCING
 * broken: BROKEN_READBACK
 * broken: BROKEN_IDENTITY
 */
#define NODES 2
#define DURATION 2 /* a holder may act for DURATION - 1 */
#define TAKEOVER 3 /* a contender waits for DURATION + 1 */
#define END 4
#define ORDERS 2

byte now = 0;
byte runs = 0; /* run of a daemon; a restart gets another one */

/* The object leases/ROLE. */
byte version = 0;
byte holder = 0; /* run number; 0 = absent */
byte fencing = 0;

/* What the daemons know. */
byte run_of[NODES];
bool held[NODES];
byte number[NODES];
byte renewed[NODES];
byte seen_version[NODES];
byte seen_at[NODES];
byte restarts[NODES];

/* The engine: highest number seen. */
byte engine = 0;
byte last_order = 0;
/* One order on its way; 0 = none. */
byte late = 0;
byte orders = 0;

inline may_act (n)
{
#ifdef BROKEN_EXPIRY
  ok = held[n]
#else
  ok = held[n] && now < renewed[n] + DURATION - 1
#endif
}

inline engine_takes (num)
{
  if
  :: num >= engine ->
     /* An engine never obeys an old number after a new one. */
     assert (num >= last_order);
     last_order = num;
     engine = num
  :: else
  fi
}

/* Conditional update; its answer may be lost, and the write may not have taken effect at all. */
inline write_lease (n, num)
{
  atomic {
    started = now;
    before = seen_version[n];
    if
    :: before == version ->
       version++; holder = run_of[n]; fencing = num; done = true
    :: before == version -> done = false /* lost before it took effect */
    :: before != version -> done = false
    fi
  }
  /* A pause may fall here. */
  if
  :: done ->
     atomic {
       if
       :: held[n] = true; number[n] = num; renewed[n] = started;
          seen_version[n] = before + 1; seen_at[n] = now
       :: /* lost answer: read back */
#ifdef BROKEN_READBACK
          held[n] = true; number[n] = num; renewed[n] = now
#else
          if
          :: holder == run_of[n] && fencing == num ->
             held[n] = true; number[n] = num; renewed[n] = started
          :: else -> held[n] = false
          fi;
#endif
          seen_version[n] = version; seen_at[n] = now
       fi
     }
  :: else ->
     atomic {
#ifdef BROKEN_READBACK
       /* Takes a lost answer for success. */
       held[n] = true; number[n] = num; renewed[n] = started;
#else
       held[n] = false;
#endif
       seen_version[n] = version; seen_at[n] = now
     }
  fi
}

proctype Daemon (byte n)
{
  bool ok, done;
  byte started, before, num;

  do
  :: now >= END -> break
  :: now < END ->
     if
     :: (seen_version[n] != version || (held[n] && holder != run_of[n])) ->
        /* Read: a changed version starts the wait anew. */
        atomic {
          if
          :: seen_version[n] != version -> seen_version[n] = version; seen_at[n] = now
          :: else
          fi;
          if
          :: held[n] && holder != run_of[n] -> held[n] = false
          :: else
          fi
        }
     :: held[n] && renewed[n] != now -> num = number[n]; write_lease (n, num)
     :: !held[n] && seen_version[n] == version && (holder == 0 || now >= seen_at[n] + TAKEOVER) ->
#ifdef BROKEN_FENCING
        num = fencing;
        if :: num == 0 -> num = 1 :: else fi;
#else
        num = fencing + 1;
#endif
        write_lease (n, num)
     :: orders < ORDERS ->
        /* The check and the order are one step; the order may arrive late. */
        atomic {
          may_act (n);
          if
          :: ok ->
             orders++;
             /* While one may act, the other may not. */
             assert (!(held[1 - n] && now < renewed[1 - n] + DURATION - 1));
             /* A number belongs to one holding. */
             assert (number[1 - n] != number[n] || number[n] == 0);
             if
             :: true -> engine_takes (number[n])
             :: late == 0 -> late = number[n]
             fi
          :: else
          fi
        }
     :: n == 0 && restarts[n] < 1 ->
        atomic {
          restarts[n]++;
          held[n] = false;
#ifndef BROKEN_IDENTITY
          runs++; run_of[n] = runs;
          number[n] = 0;
#else
          /* Takes its former holding for its own. */
          if
          :: holder == run_of[n] -> held[n] = true; number[n] = fencing; renewed[n] = now
          :: else
          fi;
#endif
          seen_version[n] = version; seen_at[n] = now
        }
     fi
  od
}

proctype Clock ()
{
  do
  :: atomic { now < END -> now++ }
  :: now >= END -> break
  od
}

proctype Network ()
{
  do
  :: atomic { late != 0 -> engine_takes (late); late = 0 }
  :: now >= END -> break
  od
}

init
{
  atomic {
    run_of[0] = 1; run_of[1] = 2; runs = 2;
    run Clock (); run Network (); run Daemon (0); run Daemon (1)
  }
}
