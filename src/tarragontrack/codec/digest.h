/// SHA-256 of stored texts, and conversion to and from hexadecimal digits.
#pragma once

#include "tarragontrack/board/hash.h"
#include <stdbool.h>
#include <stddef.h>

enum
{
  TT_DIGEST_TEXT_SIZE = 65 ///< bytes of a digest in hexadecimal, including the final NUL
};

/// Computes the SHA-256 of a text. RETURN 0 or TT_E_NO_MEMORY.
int tt_digest_compute (const void *data, size_t size, TtDigest *digest);

/// Formats a digest as 64 hexadecimal digits.
void tt_digest_format (const TtDigest *digest, char text[TT_DIGEST_TEXT_SIZE]);

/// Formats bytes as lower-case hexadecimal digits with a final NUL.
void tt_hex_format (const uint8_t *bytes, size_t size, char *text);

/// Parses exactly 2 * @size hexadecimal digits; returns false for any other text.
bool tt_hex_parse (const char *text, uint8_t *bytes, size_t size);
