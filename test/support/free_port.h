/// Ports for servers of tests. A server that cannot listen leaves handles in its loop.
#pragma once

/// Finds a port of 127.0.0.1 that no process listens on, below the range of ephemeral ones.
unsigned free_port_find (void);
