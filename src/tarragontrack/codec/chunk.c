#include "tarragontrack/codec/chunk.h"
#include "tarragontrack/codec/http_head.h"
#include <stdint.h>

/// Value of a hexadecimal digit; -1 for another character.
static int
digit_value (char character)
{
  if (character >= '0' && character <= '9')
    return character - '0';
  if (character >= 'a' && character <= 'f')
    return character - 'a' + 10;
  return character >= 'A' && character <= 'F' ? character - 'A' + 10 : -1;
}

static TtChunkState
expect (char character, char expected, TtChunkState next)
{
  return character == expected ? next : TT_CHUNK_MALFORMED;
}

/// Reads the end of a size, a name or a value in the line with a chunk's size.
static TtChunkState
end_part (char character)
{
  return character == ';' ? TT_CHUNK_EXTENSION_START : expect (character, '\r', TT_CHUNK_SIZE_LF);
}

static TtChunkState
read_size (TtChunkDecoder *decoder, char character)
{
  int digit = digit_value (character);

  if (digit < 0)
    return decoder->digits > 0 ? end_part (character) : TT_CHUNK_MALFORMED;
  // libcurl stores the size in 63 bits.
  if (++decoder->digits > TT_CHUNK_MAX_DIGITS || decoder->remaining > (size_t) INT64_MAX >> 4)
    return TT_CHUNK_MALFORMED;
  decoder->remaining = decoder->remaining * 16 + (size_t) digit;
  return TT_CHUNK_SIZE;
}

/// Reads the extensions of a chunk: ";NAME", ";NAME=TOKEN" or ";NAME=\"TEXT\"".
static TtChunkState
read_extension (TtChunkState state, char character)
{
  bool token = tt_http_is_token (character);

  switch (state)
    {
    case TT_CHUNK_EXTENSION_START:
      return token ? TT_CHUNK_EXTENSION : TT_CHUNK_MALFORMED;
    case TT_CHUNK_EXTENSION:
      if (character == '=')
        return TT_CHUNK_EXTENSION_VALUE_START;
      return token ? state : end_part (character);
    case TT_CHUNK_EXTENSION_VALUE_START:
      return token ? TT_CHUNK_EXTENSION_VALUE : expect (character, '"', TT_CHUNK_EXTENSION_QUOTED);
    case TT_CHUNK_EXTENSION_VALUE:
      return token ? state : end_part (character);
    case TT_CHUNK_EXTENSION_QUOTED:
      if (character == '"')
        return TT_CHUNK_EXTENSION_QUOTED_END;
      if (character == '\\')
        return TT_CHUNK_EXTENSION_QUOTED_PAIR;
      return tt_http_is_field (character) ? state : TT_CHUNK_MALFORMED;
    case TT_CHUNK_EXTENSION_QUOTED_PAIR:
      return tt_http_is_field (character) ? TT_CHUNK_EXTENSION_QUOTED : TT_CHUNK_MALFORMED;
    default:
      return end_part (character);
    }
}

/// Reads the headers after the last chunk.
static TtChunkState
read_trailer (TtChunkState state, char character)
{
  switch (state)
    {
    case TT_CHUNK_TRAILER_START:
      if (character == '\r')
        return TT_CHUNK_END_LF;
      return tt_http_is_token (character) ? TT_CHUNK_TRAILER_NAME : TT_CHUNK_MALFORMED;
    case TT_CHUNK_TRAILER_NAME:
      return tt_http_is_token (character) ? state : expect (character, ':', TT_CHUNK_TRAILER_VALUE);
    case TT_CHUNK_TRAILER_VALUE:
      return tt_http_is_field (character) ? state : expect (character, '\r', TT_CHUNK_TRAILER_LF);
    case TT_CHUNK_TRAILER_LF:
      return expect (character, '\n', TT_CHUNK_TRAILER_START);
    default:
      return expect (character, '\n', TT_CHUNK_DONE);
    }
}

/// State after one byte outside of a chunk's data.
static TtChunkState
read_byte (TtChunkDecoder *decoder, char character)
{
  TtChunkState state = decoder->state;
  bool trailer = state >= TT_CHUNK_TRAILER_START;

  if (++decoder->line_bytes > (trailer ? TT_CHUNK_MAX_TRAILER_BYTES : TT_CHUNK_MAX_LINE_BYTES))
    return TT_CHUNK_MALFORMED;
  if (state <= TT_CHUNK_SIZE)
    return read_size (decoder, character);
  if (state < TT_CHUNK_SIZE_LF)
    return read_extension (state, character);
  if (trailer)
    return read_trailer (state, character);
  if (state == TT_CHUNK_DATA_CR)
    return expect (character, '\r', TT_CHUNK_DATA_LF);
  decoder->line_bytes = 0;
  decoder->digits = 0;
  if (state == TT_CHUNK_DATA_LF)
    return expect (character, '\n', TT_CHUNK_SIZE_START);
  return expect (character, '\n', decoder->remaining > 0 ? TT_CHUNK_DATA : TT_CHUNK_TRAILER_START);
}

size_t
tt_chunk_read (TtChunkDecoder *decoder, const char *data, size_t size, const char **body,
               size_t *body_size)
{
  size_t at = 0;

  *body = data;
  *body_size = 0;
  while (at < size && decoder->state < TT_CHUNK_DONE)
    {
      if (decoder->state == TT_CHUNK_DATA)
        {
          *body = data + at;
          *body_size = decoder->remaining < size - at ? decoder->remaining : size - at;
          decoder->remaining -= *body_size;
          if (decoder->remaining == 0)
            decoder->state = TT_CHUNK_DATA_CR;
          return at + *body_size;
        }
      decoder->state = read_byte (decoder, data[at]);
      if (decoder->state == TT_CHUNK_MALFORMED)
        break;
      at++;
    }
  return at;
}
