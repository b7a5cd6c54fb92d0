/* A lease with fencing tokens, two daemons, one engine that rejects old fencing tokens.
 *
 * Time is a counter. A daemon may be paused, which delays its next step without limit, and may
 * restart, which loses its state. A write may take effect although its response is lost; the daemon
 * then reads the object back. An order reaches the engine immediately or is delayed.
 *
 * broken: BROKEN_EXPIRY
 * broken: BROKEN_FENCING
 * broken: BROKEN_READBACK
 * broken: BROKEN_IDENTITY
 */
#define NODES 2
#define DURATION 2 /* a holder may act for DURATION - 1 */
#define TAKEOVER 3 /* a candidate waits for DURATION + 1 */
#define END 4
#define ORDERS 2

byte now = 0;
byte runs = 0; /* last run number assigned; each start of a daemon gets a new one */

/* The object leases/ROLE. */
byte version = 0;
byte holder = 0; /* run number of the holder; 0 = no lease */
byte fencing = 0;

/* State of the daemons. */
byte run_of[NODES];
bool held[NODES];
byte held_fencing[NODES];
byte renewed[NODES];
byte seen_version[NODES];
byte seen_at[NODES];
byte restarts[NODES];

/* The engine: highest fencing token received. */
byte highest_fencing = 0;
byte last_fencing = 0; /* fencing token of the last order executed */
/* Fencing token of the delayed order; 0 = none. */
byte delayed_order = 0;
byte orders = 0;

inline may_act (n)
{
#ifdef BROKEN_EXPIRY
  ok = held[n]
#else
  ok = held[n] && now < renewed[n] + DURATION - 1
#endif
}

inline receive_order (num)
{
  if
  :: num >= highest_fencing ->
     /* An engine never executes an order with an old fencing token after one with a newer token. */
     assert (num >= last_fencing);
     last_fencing = num;
     highest_fencing = num
  :: else
  fi
}

/* Conditional update. Its response may be lost, and so may the write before it takes effect. */
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
  /* The daemon may be paused here. */
  if
  :: done ->
     atomic {
       if
       :: held[n] = true; held_fencing[n] = num; renewed[n] = started;
          seen_version[n] = before + 1; seen_at[n] = now
       :: /* lost response: read back */
#ifdef BROKEN_READBACK
          held[n] = true; held_fencing[n] = num; renewed[n] = now
#else
          if
          :: holder == run_of[n] && fencing == num ->
             held[n] = true; held_fencing[n] = num; renewed[n] = started
          :: else -> held[n] = false
          fi;
#endif
          seen_version[n] = version; seen_at[n] = now
       fi
     }
  :: else ->
     atomic {
#ifdef BROKEN_READBACK
       /* Treats a lost response as success. */
       held[n] = true; held_fencing[n] = num; renewed[n] = started;
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
        /* Read: a changed version restarts the takeover wait. */
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
     :: held[n] && renewed[n] != now -> num = held_fencing[n]; write_lease (n, num)
     :: !held[n] && seen_version[n] == version && (holder == 0 || now >= seen_at[n] + TAKEOVER) ->
#ifdef BROKEN_FENCING
        num = fencing;
        if :: num == 0 -> num = 1 :: else fi;
#else
        num = fencing + 1;
#endif
        write_lease (n, num)
     :: orders < ORDERS ->
        /* The daemon checks its lease and sends the order in one step; the order may be delayed. */
        atomic {
          may_act (n);
          if
          :: ok ->
             orders++;
             /* While one daemon may act, the other may not. */
             assert (!(held[1 - n] && now < renewed[1 - n] + DURATION - 1));
             /* A fencing token belongs to one acquisition. */
             assert (held_fencing[1 - n] != held_fencing[n] || held_fencing[n] == 0);
             if
             :: true -> receive_order (held_fencing[n])
             :: delayed_order == 0 -> delayed_order = held_fencing[n]
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
          held_fencing[n] = 0;
#else
          /* Treats the lease of its previous run as its own. */
          if
          :: holder == run_of[n] -> held[n] = true; held_fencing[n] = fencing; renewed[n] = now
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
  :: atomic { delayed_order != 0 -> receive_order (delayed_order); delayed_order = 0 }
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
