#include "tarragontrack/codec/digest.h"
#include "tarragontrack/codec/object.h"
#include <stdlib.h>
#include <string.h>

int LLVMFuzzerTestOneInput (const uint8_t *data, size_t size);

/// Decodes a text as the object of a key that starts with @prefix. A document's key ends with the
/// hash of its text.
static TtObject *
decode_object (const char *prefix, const char *text, size_t size)
{
  char key[TT_KEY_MAX] = "";
  TtDigest digest;
  TtObject *object = NULL;
  TtError error = { 0 };
  int code;

  memcpy (key, prefix, strlen (prefix));
  if (strcmp (prefix, "documents/") == 0 && tt_digest_compute (text, size, &digest) == TT_OK)
    tt_digest_format (&digest, key + strlen (prefix));
  code = tt_object_decode (key, text, size, &object, &error);
  if ((code == TT_OK) != (object != NULL) || (code != TT_OK && error.detail[0] == '\0'))
    abort ();
  return object;
}

/// Detects out-of-bounds reads, leaks, and an object that changes in a round trip of encoding and
/// decoding. The first byte selects the object type.
int
LLVMFuzzerTestOneInput (const uint8_t *data, size_t size)
{
  static const char *const prefixes[]
      = { "config/head", "documents/", "config/accepted", "domains/x", "leases/x",
          "claims/1",    "orders/m",   "audit/1",         "hosts" };
  const char *prefix;
  TtObject *object;
  char *text[2] = { NULL, NULL };
  size_t length[2] = { 0, 0 };

  if (size < 1)
    return 0;
  prefix = prefixes[(size_t) (data[0] - '0') % (sizeof prefixes / sizeof prefixes[0])];
  object = decode_object (prefix, (const char *) data + 1, size - 1);
  if (object == NULL)
    return 0;
  if (tt_object_encode (object, prefix, &text[0], &length[0], NULL) != TT_OK)
    abort ();
  tt_object_free (object);
  object = decode_object (prefix, text[0], length[0]);
  if (object == NULL || tt_object_encode (object, prefix, &text[1], &length[1], NULL) != TT_OK
      || strcmp (text[0], text[1]) != 0)
    abort ();
  tt_object_free (object);
  free (text[0]);
  free (text[1]);
  return 0;
}
