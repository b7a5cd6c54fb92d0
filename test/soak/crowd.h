/// Crowds of callers that keep to no limit: connections to one daemon, each of which sends what its
/// kind tells and then stays open.
#pragma once

#include "soak_defs.h"

typedef enum
{
  SOAK_CROWD_LARGE_CHUNKS,   ///< bodies in chunks of 64 KiB that stop short of the limit
  SOAK_CROWD_SMALL_CHUNKS,   ///< the same in chunks of 13 bytes
  SOAK_CROWD_TINY_CHUNKS,    ///< a quarter of the limit in chunks of one byte, without an end
  SOAK_CROWD_LENGTH,         ///< bodies with a length of which the last byte is missing
  SOAK_CROWD_SMALL_BODIES,   ///< the same, of 64 KiB
  SOAK_CROWD_COMPLETE,       ///< whole requests with bodies as long as the limit
  SOAK_CROWD_CHUNKS_OVER,    ///< whole bodies in chunks, far over the limit
  SOAK_CROWD_LENGTH_OVER,    ///< bodies with a length that is far over the limit
  SOAK_CROWD_HEADS,          ///< a head that does not end
  SOAK_CROWD_SILENT,         ///< no byte at all
  SOAK_CROWD_EXTENSIONS,     ///< an extension of a chunk that does not end
  SOAK_CROWD_TRAILERS,       ///< trailers that do not end
  SOAK_CROWD_UNREAD,         ///< requests one after the other whose answers are not read
  SOAK_CROWD_UNREAD_METRICS, ///< the same for metrics
  SOAK_CROWD_HTTP2_STREAMS,  ///< many streams on each connection, with bodies that do not end
  SOAK_CROWD_HTTP2_WHOLE,    ///< the same with bodies that end
  SOAK_CROWD_KIND_COUNT
} SoakCrowdKind;

typedef struct SoakCrowd SoakCrowd;

/// Name of a kind, such as "large-chunks".
const char *soak_crowd_name (SoakCrowdKind kind);

/// soak_crowd_open - connects a crowd to a daemon's port and begins to send
///
/// ARGUMENTS  body_bytes: the daemon's limit on a body
SoakCrowd *soak_crowd_open (Soak *soak, SoakDaemon *daemon, uint16_t port, SoakCrowdKind kind,
                            unsigned connections, size_t body_bytes);

/// Closes all connections and frees the crowd once the loop has closed them. @crowd may be NULL.
void soak_crowd_close (SoakCrowd *crowd);

/// A number that rises while the crowd connects and sends.
uint64_t soak_crowd_progress (const SoakCrowd *crowd);

/// Number of connections that are open.
unsigned soak_crowd_open_connections (const SoakCrowd *crowd);

/// Lets a random crowd loose on a random daemon for some time, with one call of a few. Draws from a
/// generator of its own.
void soak_crowd_inject (Soak *soak);

/// Checks that no daemon has used more memory than its settings allow.
void soak_crowd_check_memory (Soak *soak);

/// Number of connections on which an answer with a status arrived.
unsigned soak_crowd_answers (const SoakCrowd *crowd, unsigned status);
