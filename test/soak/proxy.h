/// Loopback TCP proxy between a daemon and an external system. It injects faults: delayed
/// responses, reset connections and connections that discard data.
#pragma once

#include <stdbool.h>
#include <stdint.h>
#include <uv.h>

typedef struct Proxy Proxy;

typedef enum
{
  PROXY_FORWARD,           ///< forwards all data
  PROXY_DISCARD_ALL,       ///< accepts connections and discards all data
  PROXY_DISCARD_RESPONSES, ///< forwards requests and discards responses
  PROXY_RESET              ///< resets each new connection
} ProxyMode;

/// Listens on a free port of 127.0.0.1; NULL on failure.
Proxy *proxy_new (uv_loop_t *loop, uint16_t target_port);

uint16_t proxy_port (const Proxy *proxy);

/// Sets the port on 127.0.0.1 that new connections are forwarded to.
void proxy_set_target (Proxy *proxy, uint16_t port);

/// Changes the mode. A connection that has discarded data once discards all further data, even
/// after another change of the mode.
void proxy_set_mode (Proxy *proxy, ProxyMode mode);

/// Sets the delay of all response data on new connections.
void proxy_set_delay (Proxy *proxy, uint32_t delay_ms);

/// Resets all open connections.
void proxy_reset (Proxy *proxy);
