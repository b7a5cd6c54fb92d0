/// msgpack codec of the messages between daemons.
///
/// A message is the array [version, fleet, type, sender, incarnation, body]. All records are
/// arrays. Additional fields at the end of a record are ignored, so that a newer version can append
/// fields.
#pragma once

#include "tarragontrack/board/peer_defs.h"
#include <stddef.h>

enum
{
  TT_PEER_OVERHEAD_BYTES = 4096 ///< largest size of a message without the text of an object
};

/// Decoder; owns the last decoded message and the records that the message refers to.
typedef struct TtPeerDecoder TtPeerDecoder;

/// tt_peer_encode - encodes a message as msgpack
///
/// ARGUMENTS  fleet: name of the fleet; data: set to the bytes, which the caller frees with free()
/// RETURN     0, TT_E_INVALID (a count or a type out of range) or TT_E_NO_MEMORY
int tt_peer_encode (const TtPeerMessage *message, const char *fleet, char **data, size_t *size);

/// tt_peer_decoder_new - allocates a decoder for the messages of one fleet
///
/// ARGUMENTS  max_bytes: longer messages are rejected
/// RETURN     the decoder, or NULL if memory could not be allocated
TtPeerDecoder *tt_peer_decoder_new (const char *fleet, size_t max_bytes);

/// Frees a decoder. @decoder may be NULL.
void tt_peer_decoder_free (TtPeerDecoder *decoder);

/// tt_peer_decode - decodes and validates a message, and parses the team document in it
///
/// ARGUMENTS  message: set to the message, valid until the next call; the text of a routing table
///            points into @data
/// RETURN     0, TT_E_LIMIT (too long, too many records, nested too deep, out of memory),
///            TT_E_MALFORMED, TT_E_VERSION or TT_E_AUTH (another fleet)
/// BOUNDS     msgpack-c allocates 24 bytes per value during the call, in chunks of a power of two:
///            34 MB for a message of 1 MB that consists of one-byte values
/// NOTES      for an invalid team document, the call succeeds and the reason is in
///            TtPeerDocument.error
int tt_peer_decode (TtPeerDecoder *decoder, const void *data, size_t size,
                    const TtPeerMessage **message, TtError *error);
