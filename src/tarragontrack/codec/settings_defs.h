/// Settings of one daemon, from its settings file.
#pragma once

#include "tarragontrack/board/bounds_defs.h"
#include "tarragontrack/board/limits_defs.h"
#include <stdbool.h>
#include <stdint.h>

enum
{
  TT_FILE_PATH_MAX = 256, ///< bytes of a file path, including the final NUL
  TT_URL_MAX = 64,        ///< bytes of the platform's base URL, including the final NUL
  TT_CURVE_KEYS_MAX = 8,  ///< keys accepted at the same time: old and new keys during a rotation
  TT_SETTINGS_MAX_BYTES = 65536
};

/// Kind of configuration in the platform's store.
typedef enum
{
  TT_CONFIGURATION_DOCUMENTS, ///< team documents, through the project's own object API
  TT_CONFIGURATION_ROUTES     ///< a routing table, in the users' own platform
} TtConfigurationKind;

typedef struct
{
  char address[TT_ADDRESS_MAX]; ///< IP address
  uint16_t port;
} TtEndpoint;

/// CURVE keys in Z85. Another daemon can connect if its public key is in accepted_keys. For
/// outgoing connections, each accepted key is tried as the public key of the other daemon.
typedef struct
{
  bool enabled; ///< false: connections between daemons are not encrypted
  char secret_key[TT_CURVE_KEY_SIZE];
  char public_key[TT_CURVE_KEY_SIZE];
  char accepted_keys[TT_CURVE_KEYS_MAX][TT_CURVE_KEY_SIZE];
  uint32_t accepted_count;
} TtCurveKeys;

typedef struct
{
  char fleet[TT_NAME_MAX];
  char name[TT_NAME_MAX];   ///< unique in the fleet
  char domain[TT_NAME_MAX]; ///< failure domain
  char region[TT_NAME_MAX];
  TtEndpoint caller;
  char certificate_file[TT_FILE_PATH_MAX]; ///< empty: callers use plain HTTP
  char key_file[TT_FILE_PATH_MAX];
  TtEndpoint operators;
  TtEndpoint metrics; ///< additional endpoint for operators; empty = none
  TtEndpoint peer;
  char platform_url[TT_URL_MAX];
  uint32_t object_bytes; ///< largest object of the platform
  int configuration;     ///< TtConfigurationKind
  TtBounds bounds;
  TtCurveKeys curve;
  uint32_t max_requests;
  uint32_t max_attempts;
  uint32_t max_accounts;
  uint32_t max_body_bytes;
  uint32_t max_header_bytes;
  double memory_mb;            ///< memory that the process may use
  uint32_t descriptors;        ///< that the process may have open; 0 = the limit of the system
  uint32_t read_timeout_ms;    ///< without a byte of a caller's request
  uint32_t request_timeout_ms; ///< for the arrival of a whole request
  uint32_t send_timeout_ms;    ///< without progress in the sending of a response
} TtSettings;
