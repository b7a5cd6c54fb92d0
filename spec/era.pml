/* A lease in a store that may return from an older copy, two daemons, one engine that rejects old
 * fencing tokens.
 *
 * The return raises the era that the store states in its answers, and gives versions out again: the
 * store itself compares versions only. A daemon learns of the era by its next call. Time is a
 * counter; a daemon may be paused, which delays its next step without limit.
 *
 * broken: BROKEN_WAIT
 * broken: BROKEN_FLOOR
 * broken: BROKEN_RENEW
 */
#define NODES 2
#define DURATION 2 /* a holder may act for DURATION - 1 */
#define TAKEOVER 3 /* a candidate waits for DURATION + 1 */
#define END 7
#define RETURNS 1
#define ORDERS 2
#define TOKENS_PER_ERA 10

#ifdef BROKEN_WAIT
#define WAITED_IN_ERA(n) true
#else
#define WAITED_IN_ERA(n) (now >= era_since[n] + TAKEOVER)
#endif
#define LEASE_IS_FREE(n) (holder == 0 || now >= seen_at[n] + TAKEOVER)

byte now = 0;

/* The store. Each copy is older than the first acquisition: no lease, version 0. */
byte era = 1;
byte returns = 0;
byte version = 0;
byte holder = 0; /* 0 = no lease, otherwise 1 + daemon */
byte fencing = 0;

/* Daemons. */
byte known_era[NODES];
byte era_since[NODES];
bool held[NODES];
byte token[NODES];  /* of the present or last term */
byte renewed[NODES];
byte seen_version[NODES];
byte seen_at[NODES];

/* The engine. */
byte highest_fencing = 0;
byte orders = 0;

/* An answer of the store states its era. */
inline learn_era (n)
{
  if
  :: known_era[n] != era ->
     known_era[n] = era; era_since[n] = now; held[n] = false;
     seen_version[n] = version; seen_at[n] = now
  :: else
  fi
}

proctype Daemon (byte n)
{
  byte num, before, old_era;
  bool done;

  do
  :: now >= END -> break
  :: now < END ->
     if
     :: (known_era[n] != era || seen_version[n] != version || (held[n] && holder != n + 1)) ->
        /* Read. */
        atomic {
          learn_era (n);
          if
          :: seen_version[n] != version -> seen_version[n] = version; seen_at[n] = now
          :: else
          fi;
          if
          :: held[n] && holder != n + 1 -> held[n] = false
          :: else
          fi
        }
     :: held[n] && renewed[n] != now ->
        /* Renewal: the store executes it if the version matches, in whichever era. */
        atomic {
          old_era = known_era[n]; before = seen_version[n]; done = false;
          if
          :: before == version && (holder == n + 1 || holder == 0 || old_era != era) ->
             version++; holder = n + 1; fencing = token[n]; done = true
          :: else
          fi;
#ifdef BROKEN_RENEW
          if
          :: done -> renewed[n] = now; seen_version[n] = version; known_era[n] = era
          :: else -> held[n] = false; learn_era (n)
          fi
#else
          learn_era (n);
          if
          :: done && old_era == era -> renewed[n] = now; seen_version[n] = version
          :: else -> held[n] = false; seen_version[n] = version; seen_at[n] = now
          fi
#endif
        }
     :: !held[n] && seen_version[n] == version && WAITED_IN_ERA (n) && LEASE_IS_FREE (n) ->
        atomic {
          old_era = known_era[n]; before = seen_version[n]; done = false;
          num = (fencing > token[n] -> fencing : token[n]);
#ifndef BROKEN_FLOOR
          num = (num < old_era * TOKENS_PER_ERA -> old_era * TOKENS_PER_ERA : num);
#endif
          num++;
          if
          :: before == version -> version++; holder = n + 1; fencing = num; done = true
          :: else
          fi;
          learn_era (n);
          if
          :: done && old_era == era ->
             held[n] = true; token[n] = num; renewed[n] = now; seen_version[n] = version
          :: else -> seen_version[n] = version; seen_at[n] = now
          fi
        }
     :: orders < ORDERS && held[n] && now < renewed[n] + DURATION - 1 ->
        atomic {
          if
          :: held[n] && now < renewed[n] + DURATION - 1 ->
             orders++;
             /* While one daemon may act, the other may not. */
             assert (!(held[1 - n] && now < renewed[1 - n] + DURATION - 1));
             /* A later holder's token is above all earlier ones. */
             assert (token[n] >= highest_fencing);
             assert (token[n] != token[1 - n]);
             highest_fencing = token[n]
          :: else
          fi
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

proctype Store ()
{
  do
  :: atomic {
       returns < RETURNS && now < END ->
       returns++; era++; version = 0; holder = 0; fencing = 0
     }
  :: now >= END -> break
  od
}

init
{
  atomic {
    known_era[0] = 1; known_era[1] = 1;
    run Clock (); run Store (); run Daemon (0); run Daemon (1)
  }
}
