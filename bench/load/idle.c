#include "idle.h"
#include <stdio.h>

static void
on_connect (uv_connect_t *connect, int status)
{
  Load *load = connect->data;

  if (status == 0)
    load->idle_open_count++;
  else
    load->idle_failed_count++;
  g_free (connect);
}

bool
load_idle_open (Load *load)
{
  int count = load->options.idle_connections;
  struct sockaddr_in address;
  char host[LOAD_NAME_MAX];
  int port = 0;

  if (count == 0)
    return true;
  if (sscanf (load->targets[0].url, "http://%47[0-9.]:%d", host, &port) != 2
      || uv_ip4_addr (host, port, &address) != 0)
    return false;
  load->idle_sockets = g_new0 (uv_tcp_t, count);
  for (int i = 0; i < count; i++)
    {
      uv_connect_t *connect = g_new0 (uv_connect_t, 1);

      connect->data = load;
      (void) uv_tcp_init (&load->loop, &load->idle_sockets[i]);
      if (uv_tcp_connect (connect, &load->idle_sockets[i], (const struct sockaddr *) &address,
                          on_connect)
          == 0)
        continue;
      g_free (connect);
      load->idle_failed_count++;
    }
  while (load->idle_open_count + load->idle_failed_count < count)
    (void) uv_run (&load->loop, UV_RUN_ONCE);
  if (load->idle_failed_count > 0)
    (void) fprintf (stderr, "tt_load: %d idle connections failed\n", load->idle_failed_count);
  return load->idle_failed_count == 0;
}

void
load_idle_close (Load *load)
{
  for (int i = 0; load->idle_sockets != NULL && i < load->options.idle_connections; i++)
    uv_close ((uv_handle_t *) &load->idle_sockets[i], NULL);
}
