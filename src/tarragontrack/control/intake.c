/// Load pattern: callers that send bodies and never end them, or open connections and send nothing.
/// Each such connection costs memory and a descriptor for as long as it pleases, so many of them
/// would take what other callers, the store and other daemons need.
#include "tarragontrack/control/intake.h"
#include "tarragontrack/board/board.h"
#include "tarragontrack/board/error.h"
#include "tarragontrack/control/controllers.h"

/// Part of the process's memory for what callers send.
#define MEMORY_DIVISOR 4
/// Part of the account that the fixed charges of all connections may take.
#define CONNECTIONS_DIVISOR 2

enum
{
  CONNECTION_BYTES = 8192,      ///< fixed charge: buffers and records of a connection
  TLS_CONNECTION_BYTES = 65536, ///< the same with the state of TLS
  PLATFORM_DESCRIPTORS = 200,   ///< not available for sockets
  OPERATOR_DESCRIPTORS = 128,   ///< for the ports of operators
  MIN_CONNECTIONS = 16,
  LOG_LINES_PER_S = 10
};

/// Time in which a caller that still sends can read its refusal.
#define LINGER_US (2 * TT_SECOND_US)
#define CHECK_INTERVAL_US (TT_SECOND_US / 2)
/// Time without progress after which a caller counts as not reading, when its port is full.
#define STUCK_US TT_SECOND_US

static size_t
connection_bytes (const TtBoard *board)
{
  return board->config.uses_tls ? TLS_CONNECTION_BYTES : CONNECTION_BYTES;
}

static size_t
charge (const TtBoard *board, const TtIntakeEntry *entry)
{
  size_t fixed = connection_bytes (board);

  return entry->held_bytes > fixed ? entry->held_bytes : fixed;
}

uint32_t
tt_intake_caller_descriptors (uint32_t descriptors)
{
  uint32_t reserved = PLATFORM_DESCRIPTORS + OPERATOR_DESCRIPTORS;

  return descriptors > reserved + 2 * MIN_CONNECTIONS ? (descriptors - reserved) / 2
                                                      : MIN_CONNECTIONS;
}

void
tt_intake_open_port (TtBoard *board, TtIntakePort *port, uint32_t max_connections)
{
  size_t by_memory = board->intake.max_bytes / CONNECTIONS_DIVISOR / connection_bytes (board);
  uint32_t by_descriptors = tt_intake_caller_descriptors (board->config.descriptors);

  port->max_connections = max_connections;
  if (port->max_connections > by_memory)
    port->max_connections = by_memory > MIN_CONNECTIONS ? (uint32_t) by_memory : MIN_CONNECTIONS;
  if (port->max_connections > by_descriptors)
    port->max_connections = by_descriptors;
  port->connections = 0;
  for (int phase = 0; phase < TT_INTAKE_PHASE_COUNT; phase++)
    tt_list_init (&port->phases[phase]);
  tt_link_init (&port->link);
  tt_list_append (&board->intake.ports, &port->link);
}

size_t
tt_intake_max_body_bytes (const TtBoard *board)
{
  return board->intake.max_bytes - board->intake.max_bytes / CONNECTIONS_DIVISOR;
}

const char *
tt_intake_reason (TtIntakeVerdict verdict)
{
  static const char *const reasons[TT_INTAKE_VERDICT_COUNT] = {
    [TT_INTAKE_KEPT] = "none",
    [TT_INTAKE_NO_MEMORY] = "the memory for requests is taken",
    [TT_INTAKE_NO_CONNECTION] = "the connections of this port are taken",
    [TT_INTAKE_REQUEST_LATE] = "the request did not arrive in time",
    [TT_INTAKE_RESPONSE_STUCK] = "the response is not read",
    [TT_INTAKE_LINGERED] = "refused before",
  };

  return reasons[verdict];
}

/// Marks a connection as ended. What it holds counts no more: the front end gives it back at once.
static void
end (TtBoard *board, TtIntakeEntry *entry, TtIntakeVerdict verdict)
{
  TtIntakeSection *section = &board->intake;

  if (entry->verdict != TT_INTAKE_KEPT)
    return;
  entry->verdict = verdict;
  section->held_bytes -= charge (board, entry);
  entry->held_bytes = 0;
  section->held_bytes += charge (board, entry);
  tt_list_remove (&section->large, &entry->large_link);
  tt_list_append (&section->ended, &entry->ended_link);
}

/// Bytes per second that have arrived of the request.
static double
arrival_rate (const TtIntakeEntry *entry, int64_t now_us)
{
  int64_t age_us = entry->reading_us > 0 ? now_us - entry->reading_us : 0;

  return (double) entry->received_bytes / (double) (age_us + TT_MILLISECOND_US);
}

/// The large request that has come forward least for its age; NULL if there is none.
static TtIntakeEntry *
find_slowest (const TtIntakeSection *section, int64_t now_us)
{
  TtIntakeEntry *slowest = NULL;
  double least = 0.0;

  TT_LIST_FOREACH (&section->large, it)
    {
      TtIntakeEntry *entry = TT_CONTAINER_OF (it, TtIntakeEntry, large_link);
      double rate = arrival_rate (entry, now_us);

      if (slowest == NULL || rate < least)
        {
          slowest = entry;
          least = rate;
        }
    }
  return slowest;
}

/// Ends requests until the account is within its limit.
static void
enforce_limit (TtBoard *board, int64_t now_us)
{
  TtIntakeSection *section = &board->intake;

  while (section->held_bytes > section->max_bytes)
    {
      TtIntakeEntry *slowest = find_slowest (section, now_us);

      if (slowest == NULL)
        return;
      end (board, slowest, TT_INTAKE_NO_MEMORY);
    }
}

static void
enter_phase (TtIntakeEntry *entry, TtIntakePhase phase, int64_t now_us)
{
  tt_list_remove (&entry->port->phases[entry->phase], &entry->link);
  entry->phase = phase;
  entry->phase_us = now_us;
  entry->unsent_us = now_us;
  tt_list_append (&entry->port->phases[phase], &entry->link);
}

/// The connection of a full port whose response has been stuck longest.
static TtIntakeEntry *
find_stuck (const TtIntakePort *port, int64_t now_us)
{
  TtIntakeEntry *longest = NULL;

  TT_LIST_FOREACH (&port->phases[TT_INTAKE_SERVING], it)
    {
      TtIntakeEntry *entry = TT_CONTAINER_OF (it, TtIntakeEntry, link);

      if (entry->unsent_bytes > 0 && now_us - entry->unsent_us > STUCK_US
          && (longest == NULL || entry->unsent_us < longest->unsent_us))
        longest = entry;
    }
  return longest;
}

/// The first connection of a phase that is not ended yet, other than @spared.
static TtIntakeEntry *
find_oldest (const TtIntakePort *port, TtIntakePhase phase, const TtIntakeEntry *spared)
{
  TT_LIST_FOREACH (&port->phases[phase], it)
    {
      TtIntakeEntry *entry = TT_CONTAINER_OF (it, TtIntakeEntry, link);

      if (entry->verdict == TT_INTAKE_KEPT && entry != spared)
        return entry;
    }
  return NULL;
}

/// Ends one connection of a full port. Callers that have sent a whole request before come after
/// those that have not; requests in service are not cut off for a newcomer.
static void
make_room (TtBoard *board, const TtIntakePort *port, TtIntakeEntry *newcomer, int64_t now_us)
{
  TtIntakeEntry *entry = find_oldest (port, TT_INTAKE_REFUSED, NULL);

  if (entry == NULL)
    entry = find_oldest (port, TT_INTAKE_NEW, newcomer);
  if (entry == NULL)
    entry = find_oldest (port, TT_INTAKE_WAITING, NULL);
  if (entry == NULL)
    entry = find_stuck (port, now_us);
  end (board, entry != NULL ? entry : newcomer, TT_INTAKE_NO_CONNECTION);
}

void
tt_intake_connect (TtBoard *board, TtIntakePort *port, TtIntakeEntry *entry, int64_t now_us)
{
  *entry = (TtIntakeEntry){ .port = port, .phase_us = now_us, .unsent_us = now_us };
  tt_link_init (&entry->link);
  tt_link_init (&entry->large_link);
  tt_link_init (&entry->ended_link);
  tt_list_append (&port->phases[TT_INTAKE_NEW], &entry->link);
  port->connections++;
  board->intake.held_bytes += charge (board, entry);
  if (port->connections > port->max_connections)
    make_room (board, port, entry, now_us);
  enforce_limit (board, now_us);
}

void
tt_intake_disconnect (TtBoard *board, TtIntakeEntry *entry)
{
  TtIntakeSection *section = &board->intake;

  if (entry->port == NULL)
    return;
  tt_list_remove (&section->ended, &entry->ended_link);
  tt_list_remove (&section->large, &entry->large_link);
  tt_list_remove (&entry->port->phases[entry->phase], &entry->link);
  section->held_bytes -= charge (board, entry);
  entry->port->connections--;
  entry->port = NULL;
}

void
tt_intake_receive (TtBoard *board, TtIntakeEntry *entry, size_t held_bytes, size_t received_bytes,
                   bool partial, int64_t now_us)
{
  TtIntakeSection *section = &board->intake;
  bool large = held_bytes > connection_bytes (board);

  if (entry->verdict != TT_INTAKE_KEPT || entry->phase == TT_INTAKE_REFUSED)
    return;
  section->held_bytes -= charge (board, entry);
  entry->held_bytes = held_bytes;
  section->held_bytes += charge (board, entry);
  if (!partial)
    entry->reading_us = 0;
  else if (entry->reading_us == 0)
    {
      entry->reading_us = now_us;
      entry->received_bytes = 0;
    }
  entry->received_bytes += received_bytes;
  if (large && !tt_link_is_linked (&entry->large_link))
    tt_list_append (&section->large, &entry->large_link);
  else if (!large)
    tt_list_remove (&section->large, &entry->large_link);
  enforce_limit (board, now_us);
}

void
tt_intake_set_phase (TtBoard *board, TtIntakeEntry *entry, TtIntakePhase phase, int64_t now_us)
{
  TtIntakeSection *section = &board->intake;

  if (phase != entry->phase)
    enter_phase (entry, phase, now_us);
  if (phase != TT_INTAKE_REFUSED)
    return;
  section->held_bytes -= charge (board, entry);
  entry->held_bytes = 0;
  entry->reading_us = 0;
  entry->verdict = TT_INTAKE_KEPT;
  section->held_bytes += charge (board, entry);
  tt_list_remove (&section->large, &entry->large_link);
}

void
tt_intake_report_unsent (TtIntakeEntry *entry, size_t unsent_bytes, int64_t now_us)
{
  if (unsent_bytes == entry->unsent_bytes && unsent_bytes > 0)
    return;
  entry->unsent_bytes = unsent_bytes;
  entry->unsent_us = now_us;
}

void
tt_intake_hold (TtBoard *board, size_t bytes, int64_t now_us)
{
  board->intake.held_bytes += bytes;
  enforce_limit (board, now_us);
}

void
tt_intake_release (TtBoard *board, size_t bytes)
{
  board->intake.held_bytes -= bytes;
}

TtIntakeEntry *
tt_intake_pop_ended (TtBoard *board)
{
  TtLink *link = tt_list_pop (&board->intake.ended);

  return link != NULL ? TT_CONTAINER_OF (link, TtIntakeEntry, ended_link) : NULL;
}

void
tt_intake_record_end (TtBoard *board, const TtIntakeEntry *entry, const char *reason, bool refused,
                      int64_t now_us)
{
  TtIntakeSection *section = &board->intake;
  int64_t age_us = entry->reading_us > 0 ? now_us - entry->reading_us : 0;

  tt_board_counter_add (board, refused ? TT_COUNT_CALLERS_REFUSED : TT_COUNT_CALLERS_CLOSED, 1);
  if (now_us - section->log_second_us >= TT_SECOND_US)
    {
      section->log_second_us = now_us;
      section->log_lines = 0;
    }
  if (section->log_lines++ >= LOG_LINES_PER_S)
    return;
  tt_board_log (board, TT_LOG_CALLER_ENDED,
                "reason=\"%s\" refused=%d received=%llu age_ms=%lld held=%zu limit=%zu "
                "connections=%u of=%u",
                reason, refused ? 1 : 0, (unsigned long long) entry->received_bytes,
                (long long) (age_us / TT_MILLISECOND_US), section->held_bytes, section->max_bytes,
                entry->port->connections, entry->port->max_connections);
}

/// Verdict on a connection by its time limits.
static TtIntakeVerdict
check_time (const TtBoard *board, const TtIntakeEntry *entry, int64_t now_us)
{
  const TtBoardConfig *config = &board->config;
  int64_t request_us = config->request_timeout_ms * TT_MILLISECOND_US;
  int64_t send_us = config->send_timeout_ms * TT_MILLISECOND_US;

  if (entry->phase == TT_INTAKE_REFUSED)
    return now_us - entry->phase_us > LINGER_US ? TT_INTAKE_LINGERED : TT_INTAKE_KEPT;
  if (entry->phase == TT_INTAKE_SERVING)
    return send_us > 0 && entry->unsent_bytes > 0 && now_us - entry->unsent_us > send_us
               ? TT_INTAKE_RESPONSE_STUCK
               : TT_INTAKE_KEPT;
  return request_us > 0 && entry->reading_us > 0 && now_us - entry->reading_us > request_us
             ? TT_INTAKE_REQUEST_LATE
             : TT_INTAKE_KEPT;
}

static void
run (void *context, TtBoard *board, int64_t now_us)
{
  TtIntakeSection *section = &board->intake;

  (void) context;
  if (now_us < section->next_check_us)
    return;
  section->next_check_us = now_us + CHECK_INTERVAL_US;
  TT_LIST_FOREACH (&section->ports, port_it)
    {
      const TtIntakePort *port = TT_CONTAINER_OF (port_it, TtIntakePort, link);

      for (int phase = 0; phase < TT_INTAKE_PHASE_COUNT; phase++)
        TT_LIST_FOREACH (&port->phases[phase], it)
          {
            TtIntakeEntry *entry = TT_CONTAINER_OF (it, TtIntakeEntry, link);
            TtIntakeVerdict verdict = check_time (board, entry, now_us);

            if (verdict != TT_INTAKE_KEPT)
              end (board, entry, verdict);
          }
    }
}

static int
open_section (void *context, TtBoard *board)
{
  TtIntakeSection *section = &board->intake;

  (void) context;
  section->max_bytes
      = board->config.memory_bytes > 0 ? board->config.memory_bytes / MEMORY_DIVISOR : SIZE_MAX;
  tt_list_init (&section->ports);
  tt_list_init (&section->large);
  tt_list_init (&section->ended);
  return TT_OK;
}

TtController
tt_intake_controller (void)
{
  return (TtController){ .name = "intake", .open = open_section, .run = run };
}
