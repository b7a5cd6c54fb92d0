#include "history.h"
#include "backend.h"
#include "faults.h"
#include "proxy.h"
#include "store.h"
#include <string.h>

#define COPY_INTERVAL_US 500000
#define MAX_COPIES 10    ///< the oldest one that the store returns from is 5 s old
#define FAULT_DIVISOR 4  ///< with one fault of so many, a fault of the history begins
#define SERIES_DIVISOR 3 ///< one of so many is followed by the next one at once
#define REWRITE_MAX_MS                                                                             \
  2000 ///< time after a return in which operator and backend servers write again
#define CONFIG_REWRITE_MAX_MS 1000
#define ENTRY_EXPIRY_MS 6000 ///< three intervals of the reports of a backend server

static SoakStoreCopy *copies[MAX_COPIES]; ///< a ring; the newest is at next_copy - 1
static unsigned next_copy;
static int64_t last_copy_us;

static void begin_fault (Soak *soak);

void
soak_history_tick (Soak *soak)
{
  int64_t now_us = soak_now_us ();

  if (now_us - last_copy_us < COPY_INTERVAL_US || soak->store.unavailable)
    return;
  last_copy_us = now_us;
  soak_store_free_copy (copies[next_copy % MAX_COPIES]);
  copies[next_copy++ % MAX_COPIES] = soak_store_copy (&soak->store);
}

static void
continue_series (Soak *soak)
{
  if (soak_now_us () < soak->faults_end_us
      && tt_rng_below (&soak->history_rng, SERIES_DIVISOR) == 0)
    begin_fault (soak);
}

/// Lets the operator write the newest version again.
static void
rewrite_configuration (Soak *soak, unsigned target)
{
  (void) target;
  soak_store_put (&soak->store, "config", "main", json_object_get (soak->config_spec));
  soak->config_written_us = soak_now_us ();
}

static void
rewrite_entry (Soak *soak, unsigned target)
{
  if (soak->backends[target].server != NULL)
    soak_backend_register (&soak->backends[target]);
}

/// Drops the entries that the copy has of processes which have ended since.
static void
expire_entries (Soak *soak, unsigned target)
{
  soak_backend_expire_entries (&soak->backends[target]);
}

static void
end_rewrites (Soak *soak, unsigned target)
{
  (void) target;
  for (unsigned i = 0; i < SOAK_BACKENDS; i++)
    rewrite_entry (soak, i);
  continue_series (soak);
}

static void
return_from_copy (Soak *soak, unsigned target)
{
  TtRng *rng = &soak->history_rng;
  unsigned available = next_copy < MAX_COPIES ? next_copy : MAX_COPIES;
  unsigned age = 1 + (unsigned) tt_rng_below (rng, available);
  uint64_t version = soak->config_version;

  (void) target;
  soak->store.unavailable = false;
  soak_store_return_from_copy (&soak->store, copies[(next_copy - age) % MAX_COPIES]);
  for (unsigned i = 0; i < soak->daemon_count; i++)
    proxy_reset (soak->daemons[i].store_proxy);
  soak_log (soak,
            "store: returns from a copy of %u ms ago, era %llu, revision %llu, newest version %llu",
            age * (unsigned) (COPY_INTERVAL_US / 1000), (unsigned long long) soak->store.era,
            (unsigned long long) soak->store.revision, (unsigned long long) version);
  soak_schedule_fault_end (soak, 0, 0, CONFIG_REWRITE_MAX_MS, rewrite_configuration);
  for (unsigned i = 0; i < SOAK_BACKENDS; i++)
    {
      soak_schedule_fault_end (soak, i, 0, REWRITE_MAX_MS, rewrite_entry);
      soak_schedule_step (soak, i, ENTRY_EXPIRY_MS, expire_entries);
    }
  soak_schedule_fault_end (soak, 0, REWRITE_MAX_MS, REWRITE_MAX_MS, end_rewrites);
}

static void
end_loss (Soak *soak, unsigned target)
{
  (void) target;
  soak->store.loses_answers = false;
  continue_series (soak);
}

static void
begin_fault (Soak *soak)
{
  TtRng *rng = &soak->history_rng;

  if (soak->store.loses_answers || soak->store.unavailable || soak->store.silent || next_copy == 0)
    return;
  if (tt_rng_below (rng, 2) == 0)
    {
      soak_log (soak, "store: loses its answers");
      soak->store.loses_answers = true;
      soak_schedule_fault_end (soak, 0, 200, 3500, end_loss);
      return;
    }
  soak_log (soak, "store: away before it returns from a copy");
  soak->store.unavailable = true;
  for (unsigned i = 0; i < soak->daemon_count; i++)
    proxy_reset (soak->daemons[i].store_proxy);
  soak_schedule_fault_end (soak, 0, 50, 800, return_from_copy);
}

void
soak_history_inject (Soak *soak)
{
  if (tt_rng_below (&soak->history_rng, FAULT_DIVISOR) == 0)
    begin_fault (soak);
}
