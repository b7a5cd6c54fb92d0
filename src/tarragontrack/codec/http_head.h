/// Strict check of the lines of a response's head (RFC 9112). The HTTP client takes numbers before
/// garbage, the last of two lengths and lines without a name for sound.
#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/// State between the lines of a head; all 0 before the first.
typedef struct
{
  bool started;  ///< the status line was read
  bool finished; ///< the empty line was read
  bool http_1_0;
  bool chunked; ///< the body is in chunks
  bool has_length;
  uint64_t length; ///< of the body, if has_length
  unsigned status;
} TtHttpHead;

/// tt_http_head_read_line - checks the next line of a head
///
/// ARGUMENTS  line: with its end. A line after the empty line starts the next head
/// RETURN     false if no response has such a line at this place
bool tt_http_head_read_line (TtHttpHead *head, const char *line, size_t size);

/// True for a character of a token, such as a header's name.
bool tt_http_is_token (char character);

/// True for a character of a header's value.
bool tt_http_is_field (char character);
