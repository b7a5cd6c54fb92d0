#include "backend.h"
#include "faults.h"
#include "proxy.h"
#include "store.h"
#include "tarragontrack/board/hash.h"
#include <glib.h>
#include <netinet/in.h>
#include <signal.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>
#include <unistd.h>

#define US_PER_S INT64_C (1000000)
#define LOG_MAX 480
#define FIRST_PORT 10000
#define PORT_COUNT 20000

int64_t
soak_now_us (void)
{
  struct timespec now;

  (void) clock_gettime (CLOCK_MONOTONIC, &now);
  return (int64_t) now.tv_sec * US_PER_S + now.tv_nsec / 1000;
}

static void
print_line (const Soak *soak, const char *prefix, const char *format, va_list arguments)
{
  char text[LOG_MAX];

  (void) vsnprintf (text, sizeof text, format, arguments);
  (void) printf ("%7.3f %s%s\n", (double) (soak_now_us () - soak->start_us) / US_PER_S, prefix,
                 text);
}

void
soak_violation (Soak *soak, const char *guarantee, const char *format, ...)
{
  char prefix[64];
  va_list arguments;

  soak->violations++;
  (void) snprintf (prefix, sizeof prefix, "BROKEN %s: ", guarantee);
  va_start (arguments, format);
  print_line (soak, prefix, format, arguments);
  va_end (arguments);
}

void
soak_log (Soak *soak, const char *format, ...)
{
  va_list arguments;

  if (!soak->verbose)
    return;
  va_start (arguments, format);
  print_line (soak, "", format, arguments);
  va_end (arguments);
}

unsigned
soak_domain_count (const Soak *soak)
{
  return 1 + (soak->daemon_count > 0 ? (soak->daemon_count - 1) / SOAK_DOMAIN_DAEMONS : 0);
}

/// Picks ports below the kernel's ephemeral port range: an outgoing connection could take a port
/// from that range before a daemon binds it. Each soak process starts at a different port.
uint16_t
soak_free_port (const Soak *soak)
{
  static unsigned next;
  struct sockaddr_in address;
  uv_tcp_t socket;
  int code;

  if (next == 0)
    next = (unsigned) tt_hash_pair ((uint64_t) getpid (), soak->seed) % PORT_COUNT;
  do
    {
      uint16_t port = (uint16_t) (FIRST_PORT + next++ % PORT_COUNT);

      (void) uv_ip4_addr ("127.0.0.1", port, &address);
      (void) uv_tcp_init (soak->loop, &socket);
      code = uv_tcp_bind (&socket, (const struct sockaddr *) &address, 0);
      if (code == 0)
        code = uv_listen ((uv_stream_t *) &socket, 1, NULL);
      uv_close ((uv_handle_t *) &socket, NULL);
      (void) uv_run (soak->loop, UV_RUN_NOWAIT);
    }
  while (code != 0);
  return ntohs (address.sin_port);
}

static TtList *
bucket_of (Soak *soak, const char *id)
{
  return &soak->request_buckets[tt_hash_string (id) % SOAK_REQUEST_BUCKETS];
}

SoakRequest *
soak_request_find (Soak *soak, const char *id)
{
  TT_LIST_FOREACH (bucket_of (soak, id), it)
    {
      SoakRequest *request = TT_CONTAINER_OF (it, SoakRequest, link);

      if (strcmp (request->id, id) == 0)
        return request;
    }
  return NULL;
}

SoakRequest *
soak_request_new (Soak *soak, const char *id, SoakKind kind)
{
  SoakRequest *request = calloc (1, sizeof *request);

  (void) snprintf (request->id, sizeof request->id, "%s", id);
  request->kind = kind;
  tt_list_append (bucket_of (soak, id), &request->link);
  return request;
}

int64_t
soak_time_since_fault_us (const Soak *soak, const SoakDaemon *daemon)
{
  int64_t last_us = soak->store.last_fault_us;

  if (soak_fault_active ())
    return 0;
  if (daemon == NULL)
    for (unsigned i = 0; i < soak->daemon_count; i++)
      if (soak->daemons[i].last_fault_us > last_us)
        last_us = soak->daemons[i].last_fault_us;
  return soak_now_us () - last_us;
}

bool
soak_open (Soak *soak)
{
  soak->loop = uv_default_loop ();
  soak->http = tt_http_client_new (soak->loop);
  for (int i = 0; i < SOAK_REQUEST_BUCKETS; i++)
    tt_list_init (&soak->request_buckets[i]);
  tt_rng_init (&soak->rng, soak->seed, 1);
  tt_rng_init (&soak->garbage_rng, soak->seed, 2);
  tt_rng_init (&soak->crowd_rng, soak->seed, 3);
  tt_rng_init (&soak->history_rng, soak->seed, 4);
  soak->start_us = soak_now_us ();
  (void) snprintf (soak->directory, sizeof soak->directory, "%s/soak-XXXXXX", g_get_tmp_dir ());
  (void) signal (SIGPIPE, SIG_IGN);
  return soak->http != NULL && mkdtemp (soak->directory) != NULL;
}

bool
soak_start_systems (Soak *soak)
{
  bool started = soak_store_start (soak);

  soak_write_configuration (soak);
  for (unsigned i = 0; started && i < SOAK_BACKENDS; i++)
    {
      soak->backends[i].soak = soak;
      soak->backends[i].index = i;
      started = soak_backend_start (&soak->backends[i]);
    }
  return started;
}

bool
soak_start_daemon (Soak *soak, unsigned index)
{
  SoakDaemon *daemon = &soak->daemons[index];

  daemon->soak = soak;
  daemon->index = index;
  if (daemon->limits == NULL)
    daemon->limits = "\"max_requests\": 1024, \"max_attempts\": 2048, \"memory_mb\": 64";
  daemon->caller_port = soak_free_port (soak);
  daemon->operator_port = soak_free_port (soak);
  daemon->peer_port = soak_free_port (soak);
  daemon->store_proxy = proxy_new (soak->loop, soak->store.port);
  (void) snprintf (daemon->settings_path, sizeof daemon->settings_path, "%s/d%u.json",
                   soak->directory, index);
  (void) snprintf (daemon->log_path, sizeof daemon->log_path, "%s/d%u.log", soak->directory, index);
  return daemon->store_proxy != NULL && soak_daemon_write_settings (daemon)
         && soak_daemon_start (daemon);
}

void
soak_clean_up (Soak *soak)
{
  char path[128];

  for (unsigned i = 0; i < soak->daemon_count; i++)
    {
      if (soak->daemons[i].running)
        (void) uv_process_kill (&soak->daemons[i].process, SIGKILL);
      if (soak->violations > 0)
        continue;
      (void) unlink (soak->daemons[i].settings_path);
      (void) unlink (soak->daemons[i].log_path);
    }
  (void) snprintf (path, sizeof path, "%s", soak->directory);
  if (soak->violations > 0)
    (void) printf ("logs of the daemons: %s\n", path);
  else
    (void) rmdir (path);
}
