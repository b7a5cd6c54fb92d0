/// What this daemon believes of the platform's store, and the evidence for it.
#pragma once

#include "tarragontrack/board/store_defs.h"
#include <stdint.h>

/// A point in the history of the store.
typedef struct
{
  uint64_t era; ///< number of the history; rises when the store returns from an older copy; 0 =
                ///< the store numbers none
  uint64_t revision; ///< orders points of the same era only, as a new era gives numbers out again
} TtStorePoint;

#define TT_NEVER_CONFIRMED UINT32_MAX

/// Statement of a daemon that reads the store: the latest time at which its copies were complete.
typedef struct
{
  uint64_t table_version; ///< routing table that it had
  TtStorePoint servers;   ///< up to where it had the changes of backend servers
  uint32_t ms_ago;        ///< TT_NEVER_CONFIRMED if it does not read
  uint32_t served_ms;     ///< for which the store had then answered all its calls
} TtConfirmation;

/// Section of control/evidence.c, which alone interprets it.
typedef struct
{
  uint64_t era;           ///< highest era that the store stated in an answer to this daemon
  int64_t era_since_us;   ///< first answer of that era; 0 = the store states none
  int64_t era_changed_us; ///< when that era replaced an earlier one; 0 = it did not
  int64_t failed_us;      ///< start of this daemon's last call that failed; 0 = none
  // The time for which the store is known to have served, ending with the latest known answer: as
  // this daemon's calls show, and as those of any daemon show. 0 = it never did.
  int64_t own_since_us;
  int64_t own_served_us;
  int64_t since_us;
  int64_t served_us;
  int64_t
      steady_us; ///< latest end of such a time of at least a report interval; 0 = there was none
  int64_t reported_us[TT_STORE_KINDS]; ///< this daemon's copies were complete at this time, because
                                       ///< another daemon found no change that they lack
} TtEvidenceSection;
