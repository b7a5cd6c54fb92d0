/// Size limits shared by all sections of the board.
#pragma once

enum
{
  TT_NAME_MAX = 48,             ///< bytes of a name, including the final NUL
  TT_EXTERNAL_ID_MAX = 64,      ///< bytes of a request's external id, including the final NUL
  TT_CAUSE_MAX = 80,            ///< bytes of the cause of an outcome, including the final NUL
  TT_ADDRESS_MAX = 48,          ///< bytes of an IP address as text, including the final NUL
  TT_PATH_MAX = 128,            ///< bytes of a URL path prefix, including the final NUL
  TT_KEY_MAX = 128,             ///< bytes of a platform key, including the final NUL
  TT_CURVE_KEY_SIZE = 41,       ///< bytes of a ZeroMQ CURVE key in Z85, including the final NUL
  TT_MAX_DOMAINS = 32,          ///< failure domains in a fleet
  TT_MAX_TEAMS = 64,            ///< team documents in a fleet
  TT_MAX_DOCUMENT_BYTES = 65536 ///< length of one team document's text
};

/// Microseconds per second and per millisecond, for times on the board (int64_t, named *_us).
#define TT_SECOND_US INT64_C (1000000)
#define TT_MILLISECOND_US INT64_C (1000)
