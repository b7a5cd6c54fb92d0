/// State of `share`: the engine's room and the part of it lent to this daemon.
#pragma once

#include "tarragontrack/board/list.h"
#include <stdbool.h>
#include <stdint.h>

enum
{
  TT_MAX_LOANS = 16384, ///< loans that one keeper gives
  TT_MAX_DEMANDS = 4096 ///< demands of other daemons that one keeper knows
};

/// Slots of one engine lent to one daemon. Kept by the engine's keeper.
typedef struct
{
  TtLink link; ///< on TtShareBackend.loans or TtShareSection.free_loans
  uint64_t member_id;
  uint64_t incarnation;
  uint32_t sequence; ///< of the last ASK; older ones are ignored
  uint32_t slots;
  uint32_t unmet; ///< slots wanted in the last ASK and not lent
  int64_t expires_us;
} TtLoan;

/// What one daemon runs and queues of a service in this failure domain, by its last ASK.
typedef struct
{
  TtLink link; ///< on TtSharePool.demands or TtShareSection.free_demands
  uint64_t member_id;
  uint32_t sequence;
  uint32_t requests;
  uint32_t offered; ///< work that its callers ask for, see TtAdmitPool.offered
  int64_t expires_us;
} TtShareDemand;

typedef struct
{
  TtLink touched_link; ///< on TtShareSection.touched: its attempts or loan changed
  // As borrower.
  uint32_t lent;      ///< slots this daemon may use until lent_until_us
  uint32_t used;      ///< open attempts of this daemon
  uint32_t long_used; ///< part of them that runs long jobs
  uint32_t idle;      ///< unused lent slots, part of TtSharePool.idle_slots
  uint32_t free;      ///< part of TtSharePool.free_slots
  uint32_t free_long; ///< part of TtSharePool.free_long_slots
  int64_t lent_until_us;
  uint32_t asked;        ///< slots wanted in the last ASK
  uint32_t reported;     ///< open attempts in the last ASK
  uint32_t ask_sequence; ///< of the ASK that is not answered; 0 = none
  int64_t asked_us;
  int64_t unanswered_us; ///< first ASK since the keeper's last answer; 0 = answered
  int64_t denied_until_us;
  uint32_t denials;    ///< in a row; lengthens the next pause
  bool without_keeper; ///< no keeper answers; `lent` is this daemon's fallback part
  double uses;         ///< attempts opened in a renewal period, exponentially weighted
  uint32_t opened;     ///< attempts opened since the last renewal
  uint64_t keeper_id;
  // As keeper.
  TtList loans;
  int64_t keeper_since_us; ///< 0 = not the keeper
  int64_t lends_from_us;   ///< no slot is lent before
  uint32_t room;           ///< slots the keeper may lend in all
  // From gossip, about engines kept elsewhere.
  uint32_t seen_load;
  uint32_t seen_room;
  int64_t seen_us;
} TtShareBackend;

typedef struct
{
  uint32_t free_slots;      ///< slots of this daemon that are unused or likely to be lent
  uint32_t free_long_slots; ///< part of them that long jobs may use
  uint32_t idle_slots;      ///< unused lent slots
  double mean_load;         ///< over the pool's engines in the own failure domain
  uint32_t engines;         ///< usable engines of the pool in the own failure domain
  uint32_t used;            ///< open attempts of this daemon on engines of the own domain
  uint32_t demand;          ///< this daemon's requests when the room was computed
  TtList demands;           ///< TtShareDemand.link
} TtSharePool;

/// BOUNDS     max_loans loans; a borrower beyond it is answered with zero slots. TT_MAX_DEMANDS
///            demands; one beyond it is not counted
typedef struct
{
  TtList free_loans;
  TtLoan *loans;
  uint32_t max_loans;
  TtList free_demands;
  TtShareDemand *demands;
  TtList touched;     ///< TtShareBackend.touched_link; filled by board/request.c
  uint32_t version;   ///< changes when a slot may have become free
  uint32_t sequence;  ///< of the last ASK
  uint64_t members;   ///< checksum of the live members
  uint32_t backends;  ///< backend servers at the last check
  double asks;        ///< ASK messages that may be sent at once, a token bucket
  int64_t opened_us;  ///< first event
  int64_t checked_us; ///< last check of expiries and renewals
} TtShareSection;
