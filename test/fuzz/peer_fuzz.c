#include "tarragontrack/codec/peer.h"
#include <stdlib.h>
#include <string.h>

int LLVMFuzzerTestOneInput (const uint8_t *data, size_t size);

/// Detects out-of-bounds reads, unbounded memory use, and a message that changes in a round trip of
/// encoding and decoding.
int
LLVMFuzzerTestOneInput (const uint8_t *data, size_t size)
{
  static TtPeerDecoder *decoder;
  const TtPeerMessage *message;
  char *encoded = NULL;
  char *reencoded = NULL;
  size_t encoded_size = 0;
  size_t reencoded_size = 0;

  if (decoder == NULL)
    decoder = tt_peer_decoder_new ("fleet", (1 << 20) + TT_PEER_OVERHEAD_BYTES);
  if (tt_peer_decode (decoder, data, size, &message, NULL) != TT_OK)
    return 0;
  if (tt_peer_encode (message, "fleet", &encoded, &encoded_size) != TT_OK
      || tt_peer_decode (decoder, encoded, encoded_size, &message, NULL) != TT_OK
      || tt_peer_encode (message, "fleet", &reencoded, &reencoded_size) != TT_OK
      || encoded_size != reencoded_size || memcmp (encoded, reencoded, encoded_size) != 0)
    abort ();
  free (encoded);
  free (reencoded);
  return 0;
}
