#include "rig.h"
#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <time.h>
#include <unistd.h>

enum
{
  DAEMONS_MAX = 16,
  OBJECTS_MAX = 4096,
  EVENTS_MAX = 16384,
  FIRST_PORT = 12000,
  PORT_COUNT = 18000,
  REFUSAL_PATIENCE_MS = 200
};

typedef struct
{
  char kind[32];
  char name[RIG_NAME_MAX];
  unsigned long long revision;
  bool removed;
  char *spec;
} Object;

/// A change of an object, kept as the store's history.
typedef struct
{
  unsigned long long revision;
  bool removed;
  char kind[32];
  char name[RIG_NAME_MAX];
  char *spec;
} Change;

static struct timespec start_time;
static FILE *record_file;
static pthread_mutex_t record_mutex = PTHREAD_MUTEX_INITIALIZER;
static bool trouble = true;
static const char *program;
static char directory[256];
static RigDaemon *daemons[DAEMONS_MAX];
static int daemon_count;

static pthread_mutex_t store_mutex = PTHREAD_MUTEX_INITIALIZER;
static pthread_cond_t store_changed;
static Object objects[OBJECTS_MAX];
static int object_count;
static Change changes[EVENTS_MAX];
static int change_count;
static unsigned long long revision = 100;
static int store_page = 500;
static int store_delay_ms = 4;
static int store_port;
static unsigned watch_generation; ///< increases when the waiting watches are cut off

double
rig_now (void)
{
  struct timespec now;

  (void) clock_gettime (CLOCK_MONOTONIC, &now);
  return (double) (now.tv_sec - start_time.tv_sec)
         + (double) (now.tv_nsec - start_time.tv_nsec) / 1e9;
}

bool
rig_trouble (void)
{
  return trouble;
}

void
rig_sleep (double seconds)
{
  struct timespec left = { .tv_sec = (time_t) seconds,
                           .tv_nsec = (long) ((seconds - (double) (time_t) seconds) * 1e9) };

  while (nanosleep (&left, &left) != 0 && errno == EINTR)
    ;
}

void
rig_record (const char *format, ...)
{
  char text[2048];
  va_list arguments;

  va_start (arguments, format);
  (void) vsnprintf (text, sizeof text, format, arguments);
  va_end (arguments);
  (void) pthread_mutex_lock (&record_mutex);
  (void) fprintf (record_file, "%8.3f %s\n", rig_now (), text);
  (void) fflush (record_file);
  (void) pthread_mutex_unlock (&record_mutex);
}

int
rig_free_port (void)
{
  static pthread_mutex_t mutex = PTHREAD_MUTEX_INITIALIZER;
  static unsigned next;
  int port = 0;

  (void) pthread_mutex_lock (&mutex);
  if (next == 0)
    next = (unsigned) getpid () * 37U % PORT_COUNT;
  for (int tries = 0; tries < PORT_COUNT && port == 0; tries++)
    {
      struct sockaddr_in address = { .sin_family = AF_INET };
      int fd = socket (AF_INET, SOCK_STREAM, 0);

      address.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
      address.sin_port = htons ((uint16_t) (FIRST_PORT + next++ % PORT_COUNT));
      if (bind (fd, (struct sockaddr *) &address, sizeof address) == 0 && listen (fd, 1) == 0)
        port = ntohs (address.sin_port);
      (void) close (fd);
    }
  (void) pthread_mutex_unlock (&mutex);
  return port;
}

static int
listen_on (int port)
{
  struct sockaddr_in address = { .sin_family = AF_INET };
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  int on = 1;

  address.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
  address.sin_port = htons ((uint16_t) port);
  (void) setsockopt (fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  if (bind (fd, (struct sockaddr *) &address, sizeof address) != 0 || listen (fd, 128) != 0)
    {
      (void) close (fd);
      return -1;
    }
  return fd;
}

bool
rig_header (const char *head, const char *name, char *value, size_t size)
{
  size_t length = strlen (name);

  for (const char *line = strstr (head, "\r\n"); line != NULL && line[2] != '\r' && line[2] != '\0';
       line = strstr (line + 2, "\r\n"))
    if (strncasecmp (line + 2, name, length) == 0 && line[2 + length] == ':')
      {
        const char *at = line + 2 + length + 1;
        const char *end = strstr (at, "\r\n");
        size_t count;

        while (*at == ' ')
          at++;
        count = (size_t) (end - at) < size - 1 ? (size_t) (end - at) : size - 1;
        memcpy (value, at, count);
        value[count] = '\0';
        return true;
      }
  if (size > 0)
    value[0] = '\0';
  return false;
}

void
rig_send (int fd, const char *data, size_t size)
{
  while (size > 0)
    {
      ssize_t count = send (fd, data, size, MSG_NOSIGNAL);

      if (count <= 0)
        return;
      data += count;
      size -= (size_t) count;
    }
}

void
rig_sendf (int fd, const char *format, ...)
{
  char text[8192];
  va_list arguments;
  int length;

  va_start (arguments, format);
  length = vsnprintf (text, sizeof text, format, arguments);
  va_end (arguments);
  rig_send (fd, text, length < (int) sizeof text ? (size_t) length : sizeof text - 1);
}

/// Reads one request; false at the end of the connection. Bytes beyond it stay in @buffer.
static bool
read_request (int fd, char *buffer, size_t *size, RigRequest *request)
{
  char *end;
  char text[64];
  size_t head_size;
  size_t length = 0;

  while (true)
    {
      ssize_t count;

      buffer[*size] = '\0';
      end = strstr (buffer, "\r\n\r\n");
      if (end != NULL)
        break;
      if (*size >= RIG_HEAD_MAX - 1)
        return false;
      count = recv (fd, buffer + *size, RIG_HEAD_MAX - 1 - *size, 0);
      if (count <= 0)
        return false;
      *size += (size_t) count;
    }
  head_size = (size_t) (end - buffer) + 4;
  request->fd = fd;
  request->head = malloc (head_size + 1);
  memcpy (request->head, buffer, head_size);
  request->head[head_size] = '\0';
  if (sscanf (request->head, "%15s %4095s", request->method, request->target) != 2)
    return false;
  if (rig_header (request->head, "Content-Length", text, sizeof text))
    length = strtoul (text, NULL, 10);
  request->body = malloc (length + 1);
  request->body_size = length;
  {
    size_t have = *size - head_size < length ? *size - head_size : length;

    memcpy (request->body, buffer + head_size, have);
    memmove (buffer, buffer + head_size + have, *size - head_size - have);
    *size -= head_size + have;
    while (have < length)
      {
        ssize_t count = recv (fd, request->body + have, length - have, 0);

        if (count <= 0)
          return false;
        have += (size_t) count;
      }
  }
  request->body[length] = '\0';
  return true;
}

// ---------------------------------------------------------------- store

typedef struct
{
  char *data;
  size_t size;
  size_t capacity;
} Text;

static void
append (Text *text, const char *data, size_t size)
{
  if (text->size + size + 1 > text->capacity)
    {
      text->capacity = 2 * (text->size + size + 1);
      text->data = realloc (text->data, text->capacity);
    }
  memcpy (text->data + text->size, data, size);
  text->size += size;
  text->data[text->size] = '\0';
}

static void
appendf (Text *text, const char *format, ...)
{
  char part[1024];
  va_list arguments;
  int length;

  va_start (arguments, format);
  length = vsnprintf (part, sizeof part, format, arguments);
  va_end (arguments);
  append (text, part, (size_t) length);
}

static void
append_object (Text *text, const char *name, unsigned long long object_revision, const char *spec)
{
  appendf (text,
           "{\"Metadata\":{\"Name\":\"%s\",\"Revision\":%llu,\"CreateRev\":1,\"Finalizers\":[],"
           "\"Deleting\":false},\"Spec\":",
           name, object_revision);
  append (text, spec, strlen (spec));
  appendf (text, ",\"Status\":null}");
}

static Object *
find_object (const char *kind, const char *name)
{
  for (int i = 0; i < object_count; i++)
    if (strcmp (objects[i].kind, kind) == 0 && strcmp (objects[i].name, name) == 0)
      return &objects[i];
  return NULL;
}

/// Applies a change with store_mutex held.
static Object *
change_object (const char *kind, const char *name, const char *spec, bool removed)
{
  Object *object = find_object (kind, name);
  Change *change;

  if (object == NULL)
    {
      int at = object_count;

      // Kept in the order of names, in which a list is paged.
      while (at > 0
             && (strcmp (objects[at - 1].kind, kind) > 0
                 || (strcmp (objects[at - 1].kind, kind) == 0
                     && strcmp (objects[at - 1].name, name) > 0)))
        at--;
      memmove (&objects[at + 1], &objects[at], (size_t) (object_count - at) * sizeof *objects);
      object_count++;
      object = &objects[at];
      memset (object, 0, sizeof *object);
      (void) snprintf (object->kind, sizeof object->kind, "%s", kind);
      (void) snprintf (object->name, sizeof object->name, "%s", name);
    }
  if (!removed)
    object->spec = strdup (spec);
  object->removed = removed;
  object->revision = ++revision;
  change = &changes[change_count++ % EVENTS_MAX];
  *change = (Change){ .revision = revision, .removed = removed, .spec = object->spec };
  (void) snprintf (change->kind, sizeof change->kind, "%s", kind);
  (void) snprintf (change->name, sizeof change->name, "%s", name);
  (void) pthread_cond_broadcast (&store_changed);
  return object;
}

void
rig_store_put (const char *kind, const char *name, const char *spec)
{
  (void) pthread_mutex_lock (&store_mutex);
  (void) change_object (kind, name, spec, false);
  (void) pthread_mutex_unlock (&store_mutex);
}

void
rig_store_delete (const char *kind, const char *name)
{
  (void) pthread_mutex_lock (&store_mutex);
  if (find_object (kind, name) != NULL)
    (void) change_object (kind, name, NULL, true);
  (void) pthread_mutex_unlock (&store_mutex);
}

void
rig_store_page (int entries)
{
  store_page = entries;
}

void
rig_store_delay_ms (int ms)
{
  store_delay_ms = ms;
}

static void
store_send (int fd, int status, const Text *text)
{
  rig_sleep (store_delay_ms / 1000.0);
  rig_sendf (fd, "HTTP/1.1 %d X\r\nContent-Type: application/json\r\nContent-Length: %zu\r\n\r\n",
             status, text->size);
  if (text->size > 0)
    rig_send (fd, text->data, text->size);
}

static bool
query_value (const char *target, const char *name, char *value, size_t size)
{
  const char *at = strchr (target, '?');
  size_t length = strlen (name);

  while (at != NULL)
    {
      at++;
      if (strncmp (at, name, length) == 0 && at[length] == '=')
        {
          size_t count = strcspn (at + length + 1, "&");

          if (count > size - 1)
            count = size - 1;
          memcpy (value, at + length + 1, count);
          value[count] = '\0';
          return true;
        }
      at = strchr (at, '&');
    }
  return false;
}

static void
store_list (int fd, const char *kind, const char *target)
{
  Text text = { 0 };
  char after[RIG_NAME_MAX] = "";
  int count = 0;
  bool more = false;

  (void) query_value (target, "SinceRev", after, sizeof after);
  (void) pthread_mutex_lock (&store_mutex);
  appendf (&text, "{\"Entries\":[");
  for (int i = 0; i < object_count; i++)
    {
      const Object *object = &objects[i];

      if (strcmp (object->kind, kind) != 0 || object->removed || strcmp (object->name, after) <= 0)
        continue;
      if (count == store_page)
        {
          more = true;
          break;
        }
      if (count++ > 0)
        appendf (&text, ",");
      append_object (&text, object->name, object->revision, object->spec);
    }
  appendf (&text, "],\"HasMore\":%s,\"AsOf\":%llu}", more ? "true" : "false", revision);
  (void) pthread_mutex_unlock (&store_mutex);
  store_send (fd, 200, &text);
  free (text.data);
}

/// RETURN false if the watch is cut off.
static bool
store_watch (int fd, const char *kind, unsigned long long after, int wait_ms)
{
  Text text = { 0 };
  struct timespec until;
  int count = 0;
  unsigned generation;
  bool cut;

  (void) clock_gettime (CLOCK_MONOTONIC, &until);
  until.tv_sec += wait_ms / 1000;
  until.tv_nsec += wait_ms % 1000 * 1000000L;
  if (until.tv_nsec >= 1000000000L)
    {
      until.tv_nsec -= 1000000000L;
      until.tv_sec++;
    }
  (void) pthread_mutex_lock (&store_mutex);
  generation = watch_generation;
  appendf (&text, "{\"events\":[");
  while (true)
    {
      int first = change_count > EVENTS_MAX ? change_count - EVENTS_MAX : 0;

      for (int i = first; i < change_count; i++)
        {
          const Change *change = &changes[i % EVENTS_MAX];

          if (change->revision <= after || strcmp (change->kind, kind) != 0)
            continue;
          if (change->removed)
            rig_record ("store: tells a watch that %s is removed", change->name);
          if (count++ > 0)
            appendf (&text, ",");
          appendf (&text, "{\"Removed\":%s,\"Object\":", change->removed ? "true" : "false");
          append_object (&text, change->name, change->revision,
                         change->spec != NULL ? change->spec : "null");
          appendf (&text, "}");
        }
      if (count > 0 || generation != watch_generation
          || pthread_cond_timedwait (&store_changed, &store_mutex, &until) == ETIMEDOUT)
        break;
    }
  cut = count == 0 && generation != watch_generation;
  appendf (&text, "],\"AsOf\":%llu}", revision);
  (void) pthread_mutex_unlock (&store_mutex);
  if (!cut)
    store_send (fd, 200, &text);
  free (text.data);
  return !cut;
}

void
rig_store_cut_watches (void)
{
  (void) pthread_mutex_lock (&store_mutex);
  watch_generation++;
  (void) pthread_cond_broadcast (&store_changed);
  (void) pthread_mutex_unlock (&store_mutex);
}

/// Cuts the member "Spec" out of a body. The daemons' own objects are small and have no nested
/// braces in texts.
static char *
cut_spec (const char *body)
{
  const char *at = strstr (body, "\"Spec\":");
  int depth = 0;
  size_t length = 0;
  char *spec;

  if (at == NULL)
    return strdup ("null");
  at += strlen ("\"Spec\":");
  for (; at[length] != '\0'; length++)
    {
      if (at[length] == '{')
        depth++;
      if (at[length] == '}' && --depth == 0)
        {
          length++;
          break;
        }
    }
  spec = malloc (length + 1);
  memcpy (spec, at, length);
  spec[length] = '\0';
  return spec;
}

static void
store_write (int fd, const RigRequest *request, const char *kind, const char *path_name)
{
  Text text = { 0 };
  char name[RIG_NAME_MAX] = "";
  const char *at = strstr (request->body, "\"Name\":\"");
  char *spec = cut_spec (request->body);
  Object *object;
  int status = 200;

  if (path_name != NULL)
    (void) snprintf (name, sizeof name, "%s", path_name);
  else if (at != NULL)
    (void) sscanf (at + 8, "%63[^\"]", name);
  (void) pthread_mutex_lock (&store_mutex);
  object = find_object (kind, name);
  if (strcmp (request->method, "POST") == 0 && object != NULL && !object->removed)
    status = 409;
  else if (strcmp (request->method, "PUT") == 0 && (object == NULL || object->removed))
    status = 404;
  else if (object == NULL || object->removed || strcmp (object->spec, spec) != 0)
    object = change_object (kind, name, spec, false);
  if (status != 404)
    append_object (&text, object->name, object->revision, object->spec);
  else
    appendf (&text, "{}");
  (void) pthread_mutex_unlock (&store_mutex);
  store_send (fd, status, &text);
  free (text.data);
  free (spec);
}

static void *
serve_store_connection (void *argument)
{
  int fd = (int) (intptr_t) argument;
  char *buffer = malloc (RIG_HEAD_MAX);
  size_t size = 0;
  RigRequest request = { 0 };

  bool open = true;

  while (open && read_request (fd, buffer, &size, &request))
    {
      char kind[32] = "";
      char name[RIG_NAME_MAX] = "";
      char value[64];
      int parts = sscanf (request.target, "/objects/%31[^/?]/%63[^/?]", kind, name);

      if (strcmp (request.method, "GET") != 0)
        store_write (fd, &request, kind, parts == 2 ? name : NULL);
      else if (query_value (request.target, "Watch", value, sizeof value))
        {
          unsigned long long after = strtoull (value, NULL, 10);
          int wait_ms
              = query_value (request.target, "WaitMs", value, sizeof value) ? atoi (value) : 0;

          open = store_watch (fd, kind, after, wait_ms);
        }
      else
        store_list (fd, kind, request.target);
      free (request.head);
      free (request.body);
    }
  (void) close (fd);
  free (buffer);
  return NULL;
}

static void *
accept_store (void *argument)
{
  int listener = (int) (intptr_t) argument;
  int fd;

  while ((fd = accept4 (listener, NULL, NULL, SOCK_CLOEXEC)) >= 0)
    {
      pthread_t thread;
      int on = 1;

      (void) setsockopt (fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
      (void) pthread_create (&thread, NULL, serve_store_connection, (void *) (intptr_t) fd);
      (void) pthread_detach (thread);
    }
  return NULL;
}

// ---------------------------------------------------------------- backend servers

typedef struct
{
  RigWorker *worker;
  int fd;
} WorkerConnection;

static void
track (RigWorker *worker, int fd, bool add)
{
  (void) pthread_mutex_lock (&worker->mutex);
  for (int i = 0; i < RIG_CONNECTIONS_MAX; i++)
    if (worker->connections[i] == (add ? 0 : fd))
      {
        worker->connections[i] = add ? fd : 0;
        break;
      }
  (void) pthread_mutex_unlock (&worker->mutex);
}

static void *
serve_worker_connection (void *argument)
{
  WorkerConnection *connection = argument;
  char *buffer = malloc (RIG_HEAD_MAX);
  size_t size = 0;
  RigRequest request = { 0 };
  bool keep = true;

  while (keep && read_request (connection->fd, buffer, &size, &request))
    {
      keep = connection->worker->handler (connection->worker, &request);
      free (request.head);
      free (request.body);
    }
  track (connection->worker, connection->fd, false);
  (void) close (connection->fd);
  free (buffer);
  free (connection);
  return NULL;
}

static void *
accept_worker (void *argument)
{
  RigWorker *worker = argument;
  int listener = worker->listener;
  int fd;

  while ((fd = accept4 (listener, NULL, NULL, SOCK_CLOEXEC)) >= 0)
    {
      WorkerConnection *connection = malloc (sizeof *connection);
      pthread_t thread;

      *connection = (WorkerConnection){ .worker = worker, .fd = fd };
      track (worker, fd, true);
      (void) pthread_create (&thread, NULL, serve_worker_connection, connection);
      (void) pthread_detach (thread);
    }
  return NULL;
}

void
rig_worker_register (const RigWorker *worker)
{
  char spec[1024];

  (void) snprintf (
      spec, sizeof spec,
      "{\"Service\":\"%s\",\"Address\":\"127.0.0.1:%d\",\"Zone\":\"%s\",\"Version\":\"v1\","
      "\"Slots\":%d,\"State\":\"%s\",\"ColdLeftMs\":0,\"Seq\":1,\"born\":%lld}",
      worker->service, worker->port, worker->zone, worker->slots,
      worker->leaving ? "draining" : "ready", worker->born);
  rig_store_put ("servers", worker->id, spec);
}

void
rig_worker_start (RigWorker *worker)
{
  struct timespec now;

  if (worker->port == 0)
    {
      worker->port = rig_free_port ();
      (void) pthread_mutex_init (&worker->mutex, NULL);
    }
  (void) clock_gettime (CLOCK_REALTIME, &now);
  worker->born = (long long) now.tv_sec * 1000 + now.tv_nsec / 1000000;
  worker->leaving = false;
  worker->listener = listen_on (worker->port);
  if (worker->listener < 0)
    {
      rig_record ("worker %s cannot listen on port %d", worker->id, worker->port);
      rig_finish (2);
    }
  (void) pthread_create (&worker->thread, NULL, accept_worker, worker);
  worker->up = true;
  rig_worker_register (worker);
}

void
rig_worker_crash (RigWorker *worker)
{
  const struct linger abort_connection = { .l_onoff = 1, .l_linger = 0 };

  worker->up = false;
  (void) shutdown (worker->listener, SHUT_RDWR);
  (void) pthread_join (worker->thread, NULL);
  (void) close (worker->listener);
  (void) pthread_mutex_lock (&worker->mutex);
  for (int i = 0; i < RIG_CONNECTIONS_MAX; i++)
    if (worker->connections[i] != 0)
      {
        // The threads close their sockets; with this linger, the close is a reset.
        (void) setsockopt (worker->connections[i], SOL_SOCKET, SO_LINGER, &abort_connection,
                           sizeof abort_connection);
        (void) shutdown (worker->connections[i], SHUT_RD);
      }
  (void) pthread_mutex_unlock (&worker->mutex);
}

void
rig_send_ok (RigRequest *request, const char *body)
{
  char id[128];

  (void) rig_header (request->head, "Attempt-Id", id, sizeof id);
  rig_sendf (request->fd,
             "HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nResponse-Signature: sig-%s\r\nContent-Type: "
             "text/plain\r\n"
             "Content-Length: %zu\r\n\r\n%s",
             id, id, strlen (body), body);
}

bool
rig_check_instance (RigWorker *worker, RigRequest *request)
{
  char expected[128];

  if (!rig_header (request->head, "Expect-Instance", expected, sizeof expected)
      || strcmp (expected, worker->id) == 0)
    return true;
  rig_sendf (request->fd,
             "HTTP/1.1 421 Misdirected Request\r\nInstance-Id: %s\r\nContent-Length: 0\r\n\r\n",
             worker->id);
  return false;
}

// ---------------------------------------------------------------- daemons

void
rig_daemon_start (RigDaemon *daemon)
{
  FILE *file;

  if (daemon->front_port == 0)
    {
      daemon->front_port = rig_free_port ();
      daemon->ready_port = rig_free_port ();
      daemon->metrics_port = rig_free_port ();
      daemon->peer_port = rig_free_port ();
      (void) snprintf (daemon->settings, sizeof daemon->settings, "%s/%s.json", directory,
                       daemon->name);
      (void) snprintf (daemon->log, sizeof daemon->log, "%s/%s.log", directory, daemon->name);
      daemons[daemon_count++] = daemon;
    }
  file = fopen (daemon->settings, "w");
  // The text of deploy/settings.json.in, filled in with the values of a small deployment.
  (void) fprintf (
      file,
      "{\n  \"fleet\": \"tarragontrack\", \"name\": \"%s\", \"domain\": \"%s\", \"region\": "
      "\"r\",\n"
      "  \"caller\": { \"address\": \"127.0.0.1:%d\" },\n  \"operator\": { \"address\": "
      "\"127.0.0.1:%d\" },\n"
      "  \"metrics\": { \"address\": \"127.0.0.1:%d\" },\n"
      "  \"peer\": { \"address\": \"127.0.0.1\", \"port\": %d },\n"
      "  \"platform\": { \"url\": \"http://127.0.0.1:%d\", \"configuration\": \"routes\" },\n"
      "  \"drain\": { \"grace_s\": 8, \"announce_s\": 2.9 },\n"
      "  \"bounds\": { \"load_factor\": 2, \"repeat_ratio\": 0.2, \"repeat_slack\": 56,\n"
      "    \"repeat_window_s\": 10, \"settle_ms\": 3000, \"leaving_ms\": 2000 },\n"
      "  \"limits\": { \"max_requests\": 2048, \"max_attempts\": 4096, \"body_bytes\": 8388608,\n"
      "              \"header_bytes\": 65536, \"read_timeout_ms\": 60000 }\n}\n",
      daemon->name, daemon->zone, daemon->front_port, daemon->ready_port, daemon->metrics_port,
      daemon->peer_port, store_port);
  (void) fclose (file);
  daemon->pid = fork ();
  if (daemon->pid == 0)
    {
      (void) prctl (PR_SET_PDEATHSIG, SIGKILL);
      int fd = open (daemon->log, O_WRONLY | O_CREAT | O_APPEND, 0600);

      (void) dup2 (fd, STDOUT_FILENO);
      (void) dup2 (fd, STDERR_FILENO);
      (void) execl (program, program, "--settings", daemon->settings, (char *) NULL);
      _exit (127);
    }
}

void
rig_daemon_signal (RigDaemon *daemon, int number)
{
  if (daemon->pid > 0)
    (void) kill (daemon->pid, number);
}

bool
rig_daemon_running (RigDaemon *daemon)
{
  int status;

  if (daemon->pid <= 0)
    return false;
  if (waitpid (daemon->pid, &status, WNOHANG) != daemon->pid)
    return true;
  rig_record ("daemon %s ended, wait status 0x%x", daemon->name, (unsigned) status);
  daemon->pid = 0;
  return false;
}

bool
rig_daemon_wait_ready (RigDaemon *daemon, double seconds)
{
  double until = rig_now () + seconds;
  static RigAnswer answer;

  while (rig_now () < until)
    {
      rig_call (daemon->ready_port, "GET", "/readyz", "", "", 0, 1000, &answer);
      if (answer.status == 200)
        return true;
      if (!rig_daemon_running (daemon))
        return false;
      rig_sleep (0.1);
    }
  return false;
}

// ---------------------------------------------------------------- callers

/// Parses what has arrived. RETURN true if the answer is complete.
static bool
parse_answer (const char *data, size_t size, RigAnswer *answer)
{
  const char *end = memmem (data, size, "\r\n\r\n", 4);
  char text[64];
  size_t head_size;
  const char *at;

  if (end == NULL)
    return false;
  head_size = (size_t) (end - data) + 4;
  memcpy (answer->head, data,
          head_size < sizeof answer->head ? head_size : sizeof answer->head - 1);
  answer->head[head_size < sizeof answer->head ? head_size : sizeof answer->head - 1] = '\0';
  answer->status = 0;
  if (strncmp (data, "HTTP/1.", 7) == 0)
    answer->status = atoi (data + 9);
  at = data + head_size;
  size -= head_size;
  if (rig_header (answer->head, "Transfer-Encoding", text, sizeof text))
    {
      answer->has_length = true;
      answer->body_size = 0;
      while (size > 0)
        {
          const char *line = memmem (at, size, "\r\n", 2);
          size_t length;

          if (line == NULL)
            return false;
          length = strtoul (at, NULL, 16);
          size -= (size_t) (line + 2 - at);
          at = line + 2;
          if (length == 0)
            return true;
          if (size < length + 2)
            return false;
          if (answer->body_size + length < sizeof answer->body)
            memcpy (answer->body + answer->body_size, at, length);
          answer->body_size += length;
          at += length + 2;
          size -= length + 2;
        }
      return false;
    }
  answer->body_size = size;
  memcpy (answer->body, at, size < sizeof answer->body - 1 ? size : sizeof answer->body - 1);
  answer->body[size < sizeof answer->body - 1 ? size : sizeof answer->body - 1] = '\0';
  if (rig_header (answer->head, "Content-Length", text, sizeof text))
    {
      answer->has_length = true;
      return size >= strtoul (text, NULL, 10);
    }
  return false;
}

void
rig_call (int port, const char *method, const char *path, const char *headers, const char *body,
          size_t body_size, int timeout_ms, RigAnswer *answer)
{
  struct sockaddr_in address = { .sin_family = AF_INET };
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  double started = rig_now ();
  char *data = malloc (RIG_HEAD_MAX);
  size_t capacity = RIG_HEAD_MAX;
  size_t size = 0;
  double refused_at = 0.0;

  memset (answer, 0, sizeof *answer);
  address.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
  address.sin_port = htons ((uint16_t) port);
  if (connect (fd, (struct sockaddr *) &address, sizeof address) != 0)
    {
      answer->reset = true;
      (void) close (fd);
      free (data);
      return;
    }
  {
    Text text = { 0 };

    appendf (&text, "%s %s HTTP/1.1\r\n", method, path);
    append (&text, headers, strlen (headers));
    if (body_size > 0 || strcmp (method, "POST") == 0)
      appendf (&text, "Content-Length: %zu\r\n", body_size);
    appendf (&text, "\r\n");
    append (&text, body, body_size);
    rig_send (fd, text.data, text.size);
    free (text.data);
  }
  while (true)
    {
      struct pollfd poll_fd = { .fd = fd, .events = POLLIN };
      int left = timeout_ms - (int) ((rig_now () - started) * 1000);
      ssize_t count;

      // A refusal says all in its head; the caller doesn't wait long for its text.
      if (answer->status == 408 || answer->status == 421 || answer->status == 429
          || answer->status == 503)
        {
          if (refused_at == 0.0)
            refused_at = rig_now ();
          if (left > REFUSAL_PATIENCE_MS - (int) ((rig_now () - refused_at) * 1000))
            left = REFUSAL_PATIENCE_MS - (int) ((rig_now () - refused_at) * 1000);
        }

      if (left <= 0 || poll (&poll_fd, 1, left) <= 0)
        {
          answer->timed_out = true;
          break;
        }
      if (size + RIG_HEAD_MAX > capacity)
        {
          capacity *= 2;
          data = realloc (data, capacity);
        }
      count = recv (fd, data + size, RIG_HEAD_MAX / 2, 0);
      if (count < 0)
        {
          answer->reset = true;
          break;
        }
      if (count == 0)
        {
          (void) parse_answer (data, size, answer);
          answer->complete = !answer->has_length && answer->status != 0;
          break;
        }
      size += (size_t) count;
      if (parse_answer (data, size, answer))
        {
          answer->complete = true;
          break;
        }
    }
  answer->ms = (rig_now () - started) * 1000;
  (void) close (fd);
  free (data);
}

// ---------------------------------------------------------------- frame

void
rig_finish (int code)
{
  for (int i = 0; i < daemon_count; i++)
    if (daemons[i]->pid > 0)
      {
        (void) kill (daemons[i]->pid, SIGCONT);
        (void) kill (daemons[i]->pid, SIGKILL);
        (void) waitpid (daemons[i]->pid, NULL, 0);
      }
  for (int i = 0; i < daemon_count; i++)
    {
      if (getenv ("KEEP_LOGS") != NULL)
        continue;
      (void) unlink (daemons[i]->settings);
      (void) unlink (daemons[i]->log);
    }
  (void) rmdir (directory);
  rig_record ("result: %s", code == 0   ? "the rule held"
                            : code == 1 ? "the rule was broken"
                                        : "the case could not run");
  (void) fclose (record_file);
  exit (code);
}

static void
on_alarm (int number)
{
  (void) number;
  for (int i = 0; i < daemon_count; i++)
    if (daemons[i]->pid > 0)
      (void) kill (daemons[i]->pid, SIGKILL);
  _exit (2);
}

void
rig_init (const char *case_dir, const char *daemon_program)
{
  const char *text = getenv ("TROUBLE");
  char path[512];
  pthread_condattr_t attributes;
  pthread_t thread;
  int listener;

  (void) clock_gettime (CLOCK_MONOTONIC, &start_time);
  trouble = text == NULL || strcmp (text, "0") != 0;
  program = daemon_program;
  (void) snprintf (path, sizeof path, "%s/record.txt", case_dir);
  record_file = fopen (path, "w");
  if (record_file == NULL)
    exit (2);
  (void) signal (SIGPIPE, SIG_IGN);
  (void) signal (SIGALRM, on_alarm);
  (void) signal (SIGTERM, on_alarm);
  (void) signal (SIGINT, on_alarm);
  (void) alarm (115);
  text = getenv ("TMPDIR");
  (void) snprintf (directory, sizeof directory, "%s/review-XXXXXX", text != NULL ? text : "/tmp");
  if (mkdtemp (directory) == NULL || access (program, X_OK) != 0)
    exit (2);
  (void) pthread_condattr_init (&attributes);
  (void) pthread_condattr_setclock (&attributes, CLOCK_MONOTONIC);
  (void) pthread_cond_init (&store_changed, &attributes);
  store_port = rig_free_port ();
  listener = listen_on (store_port);
  if (listener < 0)
    exit (2);
  (void) pthread_create (&thread, NULL, accept_store, (void *) (intptr_t) listener);
  (void) pthread_detach (thread);
  rig_record ("trouble %s", trouble ? "on" : "off");
}
