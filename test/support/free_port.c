#include "support/free_port.h"
#include <stdbool.h>
#include <sys/socket.h>
#include <unistd.h>
#include <uv.h>

#define FIRST_PORT 20000
#define PORT_COUNT 10000

static bool
is_port_free (unsigned port)
{
  const int on = 1;
  struct sockaddr_in address;
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  bool is_free;

  (void) uv_ip4_addr ("127.0.0.1", (int) port, &address);
  (void) setsockopt (fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  is_free
      = bind (fd, (const struct sockaddr *) &address, sizeof address) == 0 && listen (fd, 1) == 0;
  (void) close (fd);
  return is_free;
}

unsigned
free_port_find (void)
{
  static unsigned next;

  if (next == 0)
    next = (unsigned) (uv_hrtime () / 1000 % PORT_COUNT);
  for (unsigned i = 0; i < PORT_COUNT; i++)
    {
      unsigned port = FIRST_PORT + next++ % PORT_COUNT;

      if (is_port_free (port))
        return port;
    }
  return 0;
}
