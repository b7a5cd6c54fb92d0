#include "tarragontrack/codec/digest.h"
#include "tarragontrack/board/error_defs.h"
#include <openssl/evp.h>
#include <string.h>

int
tt_digest_compute (const void *data, size_t size, TtDigest *digest)
{
  return EVP_Digest (data, size, digest->bytes, NULL, EVP_sha256 (), NULL) == 1 ? TT_OK
                                                                                : TT_E_NO_MEMORY;
}

void
tt_hex_format (const uint8_t *bytes, size_t size, char *text)
{
  static const char digits[] = "0123456789abcdef";

  for (size_t i = 0; i < size; i++)
    {
      text[2 * i] = digits[bytes[i] >> 4];
      text[2 * i + 1] = digits[bytes[i] & 15];
    }
  text[2 * size] = '\0';
}

void
tt_digest_format (const TtDigest *digest, char text[TT_DIGEST_TEXT_SIZE])
{
  tt_hex_format (digest->bytes, sizeof digest->bytes, text);
}

/// Value of a hexadecimal digit, or -1.
static int
digit_value (char digit)
{
  if (digit >= '0' && digit <= '9')
    return digit - '0';
  if (digit >= 'a' && digit <= 'f')
    return digit - 'a' + 10;
  return digit >= 'A' && digit <= 'F' ? digit - 'A' + 10 : -1;
}

bool
tt_hex_parse (const char *text, uint8_t *bytes, size_t size)
{
  if (strlen (text) != 2 * size)
    return false;
  for (size_t i = 0; i < size; i++)
    {
      int high = digit_value (text[2 * i]);
      int low = digit_value (text[2 * i + 1]);

      if (high < 0 || low < 0)
        return false;
      bytes[i] = (uint8_t) (high * 16 + low);
    }
  return true;
}
