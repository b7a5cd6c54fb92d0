#include "tarragontrack/codec/http_head.h"
#include <string.h>
#include <strings.h>

enum
{
  MIN_STATUS = 100,
  MAX_STATUS = 599,
  MAX_LENGTH_DIGITS = 18 ///< of a length that fits in 63 bits
};

static bool
is_digit (char character)
{
  return character >= '0' && character <= '9';
}

bool
tt_http_is_token (char character)
{
  return is_digit (character) || (character >= 'a' && character <= 'z')
         || (character >= 'A' && character <= 'Z')
         || (character != '\0' && strchr ("!#$%&'*+-.^_`|~", character) != NULL);
}

bool
tt_http_is_field (char character)
{
  unsigned char byte = (unsigned char) character;

  return byte == '\t' || (byte >= ' ' && byte != 0x7f);
}

static bool
are_field_characters (const char *text, size_t size)
{
  for (size_t i = 0; i < size; i++)
    if (!tt_http_is_field (text[i]))
      return false;
  return true;
}

/// Reads "HTTP/1.x NNN" and an optional reason.
static bool
read_status_line (TtHttpHead *head, const char *line, size_t size)
{
  static const char start[] = "HTTP/1.";
  const char *status = line + sizeof start + 1;

  if (size < sizeof start + 4 || memcmp (line, start, sizeof start - 1) != 0
      || (line[7] != '0' && line[7] != '1') || line[8] != ' ')
    return false;
  for (size_t i = 0; i < 3; i++)
    {
      if (!is_digit (status[i]))
        return false;
      head->status = head->status * 10 + (unsigned) (status[i] - '0');
    }
  head->started = true;
  head->http_1_0 = line[7] == '0';
  return head->status >= MIN_STATUS && head->status <= MAX_STATUS
         && (size == sizeof start + 4 || line[sizeof start + 4] == ' ')
         && are_field_characters (status + 3, size - sizeof start - 4);
}

/// Reads the value of Content-Length. The same length may be stated twice.
static bool
read_length (TtHttpHead *head, const char *value, size_t size)
{
  uint64_t length = 0;

  if (size == 0 || size > MAX_LENGTH_DIGITS)
    return false;
  for (size_t i = 0; i < size; i++)
    {
      if (!is_digit (value[i]))
        return false;
      length = length * 10 + (uint64_t) (value[i] - '0');
    }
  if (head->has_length && head->length != length)
    return false;
  head->has_length = true;
  head->length = length;
  return true;
}

/// Reads the value of Transfer-Encoding. No request allows another coding than "chunked".
static bool
read_coding (TtHttpHead *head, const char *value, size_t size)
{
  static const char chunked[] = "chunked";

  if (head->chunked || head->http_1_0 || size != sizeof chunked - 1
      || strncasecmp (value, chunked, size) != 0)
    return false;
  head->chunked = true;
  return true;
}

static bool
is_space (char character)
{
  return character == ' ' || character == '\t';
}

/// Reads "NAME: VALUE". Continued lines are not accepted; servers must not send them.
static bool
read_field (TtHttpHead *head, const char *line, size_t size)
{
  size_t name_size = 0;
  const char *value;
  const char *end = line + size;

  while (name_size < size && tt_http_is_token (line[name_size]))
    name_size++;
  if (name_size == 0 || name_size == size || line[name_size] != ':'
      || !are_field_characters (line + name_size, size - name_size))
    return false;
  for (value = line + name_size + 1; value < end && is_space (*value); value++)
    ;
  while (end > value && is_space (end[-1]))
    end--;
  if (name_size == 14 && strncasecmp (line, "Content-Length", name_size) == 0)
    return read_length (head, value, (size_t) (end - value));
  if (name_size == 17 && strncasecmp (line, "Transfer-Encoding", name_size) == 0)
    return read_coding (head, value, (size_t) (end - value));
  return true;
}

bool
tt_http_head_read_line (TtHttpHead *head, const char *line, size_t size)
{
  if (size == 0 || line[size - 1] != '\n')
    return false;
  size -= size > 1 && line[size - 2] == '\r' ? 2 : 1;
  if (head->finished)
    *head = (TtHttpHead){ .started = false };
  if (!head->started)
    return read_status_line (head, line, size);
  if (size > 0)
    return read_field (head, line, size);
  head->finished = true;
  // A length beside chunks leaves open where the body ends.
  return !(head->chunked && head->has_length);
}
