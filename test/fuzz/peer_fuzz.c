#include "tarragontrack/codec/peer.h"
#include <stdlib.h>
#include <string.h>

int LLVMFuzzerTestOneInput (const uint8_t *data, size_t size);

/// Guards against reads out of bounds, memory without bound, and a message that changes when it is
/// written and read again.
int
LLVMFuzzerTestOneInput (const uint8_t *data, size_t size)
{
  static TtPeerDecoder *reader;
  const TtPeerMessage *message;
  char *first = NULL;
  char *second = NULL;
  size_t first_size = 0;
  size_t second_size = 0;

  if (reader == NULL)
    reader = tt_peer_decoder_new ("fleet");
  if (tt_peer_decode (reader, data, size, &message, NULL) != TT_OK)
    return 0;
  if (tt_peer_encode (message, "fleet", &first, &first_size) != TT_OK
      || tt_peer_decode (reader, first, first_size, &message, NULL) != TT_OK
      || tt_peer_encode (message, "fleet", &second, &second_size) != TT_OK
      || first_size != second_size || memcmp (first, second, first_size) != 0)
    abort ();
  free (first);
  free (second);
  return 0;
}
