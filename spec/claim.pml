/* Claim of one non-idempotent request. Two daemons receive the same key, because the caller retries
 * at another daemon. The store holds one entry with a version. Writes are conditional; a response
 * may be lost before or after the write takes effect, and a write may be delayed. A daemon may crash
 * at any step and restarts without state. spec/README.md maps the steps to functions of the code.
 */
// broken: BROKEN_NO_CONDITION
// broken: BROKEN_ASSUME_OWNED
// broken: BROKEN_RELEASE_AFTER_SEND
// broken: BROKEN_TAKE_OVER

#define ABSENT 0
#define CLAIMED 1
#define DONE 2
#define NOT_RUN 3
#define DAEMONS 2
#define RESTARTS 1 /* crashes of one daemon */

byte state = ABSENT;   /* the store's entry */
byte owner = 0;        /* attempt number in the entry, 0 = none */
byte version = 0;
byte runs = 0;         /* executions at the backend server */
byte next_attempt = 1;
bool replied_not_run[8]; /* the caller received "not run"; by attempt number */
bool ran[8];             /* by attempt number */

/* Delayed write of a crashed or timed-out daemon: the attempt, and the version that the store must
 * still have for the write to take effect. */
byte delayed_attempt = 0;
byte delayed_version = 0;

inline write (new_state, new_owner, ok)
{
  atomic {
    ok = false;
#ifdef BROKEN_NO_CONDITION
    if
    :: true ->
#else
    if
    :: version == seen ->
#endif
       state = new_state; owner = new_owner; version++; ok = true
#ifndef BROKEN_NO_CONDITION
    :: else -> skip
#endif
    fi
  }
}

active [DAEMONS] proctype daemon ()
{
  byte attempt = 0;
  byte seen = 0;      /* version read */
  byte seen_state = ABSENT;
  byte seen_owner = 0;
  byte crashes = 0;
  byte tries = 0;
  bool ok = false;
  bool sent = false;
  bool write_uncertain = false;

start:
  skip;
  d_step { attempt = next_attempt; next_attempt++; sent = false; write_uncertain = false; tries = 0 }
read_shard:
  tries++;
  if
  :: tries > 3 -> goto give_up
  :: else -> d_step { seen = version; seen_state = state; seen_owner = owner }
  fi;
  if
  :: seen_state == CLAIMED && seen_owner == attempt -> goto owned
#ifdef BROKEN_TAKE_OVER
  :: seen_state == CLAIMED && seen_owner != attempt -> skip     /* assumes that the owner crashed */
#else
  :: seen_state == CLAIMED && seen_owner != attempt -> goto end /* replies "unknown" */
#endif
  :: seen_state == DONE -> goto end                             /* replies the recorded outcome */
  :: else -> skip
  fi;
  if
  :: version < 6 -> write (CLAIMED, attempt, ok)
  :: else -> goto end
  fi;
  if
  :: ok -> goto owned                      /* acknowledged */
  :: !ok -> goto read_shard                /* conflict */
  :: true ->                               /* the response was lost */
     write_uncertain = true;
#ifdef BROKEN_ASSUME_OWNED
     goto owned
#else
     goto read_shard
#endif
  :: true ->                               /* the write is delayed and may take effect later */
     atomic {
       if
       :: !ok && delayed_attempt == 0 ->
          delayed_attempt = attempt; delayed_version = seen; write_uncertain = true
       :: else -> skip
       fi
     };
     goto read_shard
  fi;

owned:
  if
  :: crashes < RESTARTS -> crashes++; goto start  /* the entry stays CLAIMED */
  :: true -> skip
  fi;
  if
  :: true -> sent = true; runs++; ran[attempt] = true
  :: true -> skip                                 /* no backend server received it */
  fi;
  if
  :: crashes < RESTARTS -> crashes++; goto start
  :: true -> skip
  fi;
#ifdef BROKEN_RELEASE_AFTER_SEND
  if
  :: true -> replied_not_run[attempt] = true
#else
  if
  :: !sent -> replied_not_run[attempt] = true
#endif
     d_step { seen = version };
     if
     :: owner == attempt -> write (NOT_RUN, attempt, ok)
     :: else -> skip
     fi
  :: sent ->
     d_step { seen = version };
     if
     :: owner == attempt -> write (DONE, attempt, ok)
     :: else -> skip
     fi
  fi;
  goto end;

give_up:
  /* No response: the daemon replies "unknown" and this attempt never runs. A write with an unknown
   * effect is fenced by the entry "not run", which also increments the version. */
  if
  :: !write_uncertain -> goto end
  :: else -> skip
  fi;
  atomic {
    seen = version;
    if
    :: owner == attempt || state == ABSENT -> state = NOT_RUN; owner = attempt; version++
    :: else -> skip
    fi
  };

end:
  skip
}

/* Delivers the delayed write. */
active proctype network ()
{
  end_network:
  do
  :: atomic {
       delayed_attempt != 0 ->
       if
       :: delayed_version == version -> state = CLAIMED; owner = delayed_attempt; version++
       :: else -> skip
       fi;
       delayed_attempt = 0
     }
  od
}

/* Checks in every state that the request runs at most once (P4) and that an attempt whose caller
 * received "not run" did not run (P3). */
active proctype monitor ()
{
  byte i;

  end_monitor:
  do
  :: atomic {
       (runs > 1 || (replied_not_run[1] && ran[1]) || (replied_not_run[2] && ran[2])
        || (replied_not_run[3] && ran[3]) || (replied_not_run[4] && ran[4])) -> assert (false)
     }
  od
}
