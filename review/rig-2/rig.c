#include "rig.h"
#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <json-c/json.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <pthread.h>
#include <signal.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <time.h>
#include <unistd.h>

enum
{
  HEAD_MAX = 65536,
  MAX_OBJECTS = 256,
  MAX_CHANGES = 4096,
  CASE_LIMIT_S = 110
};

static struct timespec started;
static char folder[256];
static char program[256];
static char temporary[256];
static FILE *record_file;
static unsigned block; ///< second byte of all addresses
static pthread_mutex_t record_lock = PTHREAD_MUTEX_INITIALIZER;

static Daemon daemons[MAX_DAEMONS];
static unsigned daemons_count;
static Worker workers[MAX_WORKERS];
static unsigned workers_count;
static Run *runs;
static size_t runs_count;
static pthread_mutex_t runs_lock = PTHREAD_MUTEX_INITIALIZER;

int64_t
now_ms (void)
{
  struct timespec now;

  (void) clock_gettime (CLOCK_MONOTONIC, &now);
  return (now.tv_sec - started.tv_sec) * 1000 + (now.tv_nsec - started.tv_nsec) / 1000000;
}

void
sleep_ms (int64_t ms)
{
  struct timespec time = { .tv_sec = ms / 1000, .tv_nsec = ms % 1000 * 1000000 };

  if (ms > 0)
    while (nanosleep (&time, &time) != 0 && errno == EINTR)
      ;
}

void
sleep_until_ms (int64_t ms)
{
  sleep_ms (ms - now_ms ());
}

static void
write_line (bool show, const char *format, va_list arguments)
{
  char text[1024];
  int64_t at = now_ms ();

  (void) vsnprintf (text, sizeof text, format, arguments);
  pthread_mutex_lock (&record_lock);
  if (record_file != NULL)
    (void) fprintf (record_file, "%8.3f %s\n", (double) at / 1000, text);
  if (show)
    {
      (void) printf ("%8.3f %s\n", (double) at / 1000, text);
      (void) fflush (stdout);
    }
  pthread_mutex_unlock (&record_lock);
}

void
note (const char *format, ...)
{
  va_list arguments;

  va_start (arguments, format);
  write_line (true, format, arguments);
  va_end (arguments);
}

void
record (const char *format, ...)
{
  va_list arguments;

  va_start (arguments, format);
  write_line (false, format, arguments);
  va_end (arguments);
}

bool
has_trouble (void)
{
  const char *trouble = getenv ("TROUBLE");

  return trouble == NULL || strcmp (trouble, "0") != 0;
}

static void
end_daemons (void)
{
  for (unsigned i = 0; i < daemons_count; i++)
    if (daemons[i].pid > 0)
      (void) kill (daemons[i].pid, SIGKILL);
}

static void
on_alarm (int number)
{
  (void) number;
  end_daemons ();
  _exit (2);
}

void
rig_finish (int code)
{
  note ("result: %s (exit code %d)",
        code == 0   ? "the rule held"
        : code == 1 ? "the rule was broken"
                    : "the case could not run",
        code);
  end_daemons ();
  for (unsigned i = 0; i < daemons_count; i++)
    {
      char path[320];

      if (daemons[i].pid > 0)
        (void) waitpid (daemons[i].pid, NULL, 0);
      (void) unlink (daemons[i].settings);
      (void) snprintf (path, sizeof path, "%.200s/%.48s.log", temporary, daemons[i].name);
      if (getenv ("KEEP_LOGS") == NULL)
        (void) unlink (path);
    }
  if (getenv ("KEEP_LOGS") == NULL)
    (void) rmdir (temporary);
  else
    {
      (void) printf ("logs in %s\n", temporary);
      (void) fflush (stdout);
    }
  pthread_mutex_lock (&record_lock);
  (void) fclose (record_file);
  _exit (code);
}

void
rig_open (const char *case_folder, const char *daemon_program, const char *case_name)
{
  char path[300];

  (void) clock_gettime (CLOCK_MONOTONIC, &started);
  (void) signal (SIGPIPE, SIG_IGN);
  (void) signal (SIGALRM, on_alarm);
  (void) signal (SIGTERM, on_alarm);
  (void) signal (SIGINT, on_alarm);
  (void) alarm (CASE_LIMIT_S);
  (void) snprintf (folder, sizeof folder, "%s", case_folder);
  (void) snprintf (program, sizeof program, "%s", daemon_program);
  (void) snprintf (path, sizeof path, "%s/record.txt", folder);
  record_file = fopen (path, "w");
  runs = calloc (MAX_RUNS, sizeof *runs);
  (void) snprintf (temporary, sizeof temporary, "%s/review-2-XXXXXX",
                   getenv ("TMPDIR") != NULL ? getenv ("TMPDIR") : "/tmp");
  if (record_file == NULL || runs == NULL || mkdtemp (temporary) == NULL)
    _exit (2);
  block = 64 + (unsigned) getpid () % 180;
  note ("case %s, disruption: %s", case_name, has_trouble () ? "yes" : "no (TROUBLE=0)");
}

// Sockets.

static struct sockaddr_in
ipv4 (const char *ip, unsigned port)
{
  struct sockaddr_in address = { .sin_family = AF_INET, .sin_port = htons ((uint16_t) port) };

  (void) inet_pton (AF_INET, ip, &address.sin_addr);
  return address;
}

/// Listens on a port; 0 takes a free one. RETURN the socket, -1 on failure.
static int
listen_on (const char *ip, unsigned *port)
{
  struct sockaddr_in address = ipv4 (ip, *port);
  socklen_t size = sizeof address;
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  int on = 1;

  (void) setsockopt (fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  if (fd < 0 || bind (fd, (struct sockaddr *) &address, size) != 0 || listen (fd, 128) != 0
      || getsockname (fd, (struct sockaddr *) &address, &size) != 0)
    return -1;
  *port = ntohs (address.sin_port);
  return fd;
}

static unsigned
free_port (const char *ip)
{
  unsigned port = 0;
  int fd = listen_on (ip, &port);

  if (fd < 0)
    rig_finish (2);
  (void) close (fd);
  return port;
}

static int
connect_to (const char *ip, unsigned port, int timeout_ms)
{
  struct sockaddr_in address = ipv4 (ip, port);
  struct timeval time = { .tv_sec = timeout_ms / 1000, .tv_usec = timeout_ms % 1000 * 1000 };
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  int on = 1;

  (void) setsockopt (fd, SOL_SOCKET, SO_RCVTIMEO, &time, sizeof time);
  (void) setsockopt (fd, SOL_SOCKET, SO_SNDTIMEO, &time, sizeof time);
  (void) setsockopt (fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  if (fd < 0 || connect (fd, (struct sockaddr *) &address, sizeof address) == 0)
    return fd;
  (void) close (fd);
  return -1;
}

static bool
send_all (int fd, const char *data, size_t size)
{
  while (size > 0)
    {
      ssize_t sent = send (fd, data, size, MSG_NOSIGNAL);

      if (sent <= 0)
        return false;
      data += sent;
      size -= (size_t) sent;
    }
  return true;
}

static void
reset_connection (int fd)
{
  struct linger linger = { .l_onoff = 1, .l_linger = 0 };

  (void) setsockopt (fd, SOL_SOCKET, SO_LINGER, &linger, sizeof linger);
  (void) close (fd);
}

/// An HTTP message: its head as text, and its body.
typedef struct
{
  char head[HEAD_MAX];
  char *body;
  size_t body_size;
  bool has_length;
} Message;

/// Finds the value of a header. RETURN false if there is none.
static bool
find_header (const Message *message, const char *name, char *value, size_t size)
{
  size_t length = strlen (name);
  const char *line = strstr (message->head, "\r\n");

  value[0] = '\0';
  while (line != NULL && line[2] != '\r')
    {
      line += 2;
      if (strncasecmp (line, name, length) == 0 && line[length] == ':')
        {
          const char *at = line + length + 1;
          size_t count;

          while (*at == ' ')
            at++;
          count = strcspn (at, "\r");
          if (count >= size)
            count = size - 1;
          memcpy (value, at, count);
          value[count] = '\0';
          return true;
        }
      line = strstr (line, "\r\n");
    }
  return false;
}

/// Reads a message with a length or without a body, or one in chunks, which are kept as they come.
/// RETURN false at the end of the connection.
static bool
read_message (int fd, Message *message)
{
  size_t size = 0;
  char *end = NULL;
  char value[64];
  size_t rest;

  free (message->body);
  message->body = NULL;
  message->body_size = 0;
  message->has_length = false;
  while (end == NULL)
    {
      ssize_t count = recv (fd, message->head + size, 1, 0);

      if (count <= 0 || size + 2 >= HEAD_MAX)
        return false;
      size += (size_t) count;
      message->head[size] = '\0';
      if (size >= 4 && memcmp (message->head + size - 4, "\r\n\r\n", 4) == 0)
        end = message->head + size;
    }
  if (!find_header (message, "content-length", value, sizeof value))
    return true;
  message->has_length = true;
  rest = strtoul (value, NULL, 10);
  message->body = calloc (1, rest + 1);
  while (message->body_size < rest)
    {
      ssize_t count = recv (fd, message->body + message->body_size, rest - message->body_size, 0);

      if (count <= 0)
        return false;
      message->body_size += (size_t) count;
    }
  return true;
}

static void
start_thread (void *(*run) (void *), void *argument)
{
  pthread_t thread;
  pthread_attr_t attributes;

  (void) pthread_attr_init (&attributes);
  (void) pthread_attr_setstacksize (&attributes, 512 << 10);
  (void) pthread_attr_setdetachstate (&attributes, PTHREAD_CREATE_DETACHED);
  if (pthread_create (&thread, &attributes, run, argument) != 0)
    rig_finish (2);
}

// Store.

typedef struct
{
  char kind[24];
  char name[64];
  char spec[MAX_SPEC];
  uint64_t revision;
  uint64_t created;
} Object;

typedef struct
{
  Object object;
  bool removed;
} Change;

typedef struct
{
  Object objects[MAX_OBJECTS];
  unsigned count;
  Change changes[MAX_CHANGES];
  unsigned change_count;
  uint64_t head;
} Content;

static Content content;
static Content copy;
static StoreMode store_mode;
static unsigned store_era = 1;
static unsigned store_generation; ///< connections of an earlier one are reset

/// Address of the store for one daemon.
typedef struct
{
  char ip[32];
  unsigned port;
  int listener;
  bool silent;        ///< the store loses its answers to this daemon
  bool refused;       ///< the store turns this daemon away
  int64_t watched_ms; ///< when it last began to watch the backend servers for longer; 0 = never
  int watching;       ///< waiting watches of the backend servers
} StoreDoor;

static StoreDoor store_doors[MAX_DAEMONS];
static unsigned store_door_count;
static unsigned answered_lists;
static unsigned answered_servers;
static pthread_mutex_t store_lock = PTHREAD_MUTEX_INITIALIZER;
static pthread_cond_t store_changed = PTHREAD_COND_INITIALIZER;

static Object *
find_object (const char *kind, const char *name)
{
  for (unsigned i = 0; i < content.count; i++)
    if (strcmp (content.objects[i].kind, kind) == 0 && strcmp (content.objects[i].name, name) == 0)
      return &content.objects[i];
  return NULL;
}

static void
append_change (const Object *object, bool removed)
{
  Change *change = &content.changes[content.change_count++];

  if (content.change_count >= MAX_CHANGES)
    rig_finish (2);
  change->object = *object;
  change->object.revision = content.head;
  change->removed = removed;
  (void) pthread_cond_broadcast (&store_changed);
}

static uint64_t
put_locked (const char *kind, const char *name, const char *spec)
{
  Object *object = find_object (kind, name);

  if (object != NULL && strcmp (object->spec, spec) == 0)
    return object->revision;
  content.head++;
  if (object == NULL)
    {
      if (content.count == MAX_OBJECTS)
        rig_finish (2);
      object = &content.objects[content.count++];
      (void) snprintf (object->kind, sizeof object->kind, "%s", kind);
      (void) snprintf (object->name, sizeof object->name, "%s", name);
      object->created = content.head;
    }
  (void) snprintf (object->spec, sizeof object->spec, "%s", spec);
  object->revision = content.head;
  append_change (object, false);
  return content.head;
}

uint64_t
store_put (const char *kind, const char *name, const char *spec)
{
  uint64_t revision = 0;

  pthread_mutex_lock (&store_lock);
  if (store_mode != STORE_AWAY)
    revision = put_locked (kind, name, spec);
  pthread_mutex_unlock (&store_lock);
  if (revision != 0)
    record ("store: %s/%s is written at revision %llu", kind, name, (unsigned long long) revision);
  return revision;
}

uint64_t
store_remove (const char *kind, const char *name)
{
  uint64_t revision = 0;
  Object *object;

  pthread_mutex_lock (&store_lock);
  object = find_object (kind, name);
  if (store_mode != STORE_AWAY && object != NULL)
    {
      Object last = *object;

      *object = content.objects[--content.count];
      revision = ++content.head;
      append_change (&last, true);
    }
  pthread_mutex_unlock (&store_lock);
  if (revision != 0)
    record ("store: %s/%s is removed at revision %llu", kind, name, (unsigned long long) revision);
  return revision;
}

uint64_t
store_head (void)
{
  uint64_t head;

  pthread_mutex_lock (&store_lock);
  head = content.head;
  pthread_mutex_unlock (&store_lock);
  return head;
}

void
store_copy (void)
{
  pthread_mutex_lock (&store_lock);
  copy = content;
  pthread_mutex_unlock (&store_lock);
  note ("store: a copy is taken at revision %llu", (unsigned long long) copy.head);
}

unsigned
store_answered (const char *kind)
{
  return strcmp (kind, "servers") == 0 ? answered_servers : answered_lists;
}

static void
append_object (json_object *array, const Object *object, const bool *removed)
{
  json_object *root = json_object_new_object ();
  json_object *metadata = json_object_new_object ();
  json_object *spec = json_tokener_parse (object->spec);

  json_object_object_add (metadata, "Name", json_object_new_string (object->name));
  json_object_object_add (metadata, "Revision", json_object_new_uint64 (object->revision));
  json_object_object_add (metadata, "CreateRev", json_object_new_uint64 (object->created));
  json_object_object_add (metadata, "Finalizers", json_object_new_array ());
  json_object_object_add (metadata, "Deleting", json_object_new_boolean (0));
  json_object_object_add (root, "Metadata", metadata);
  json_object_object_add (root, "Spec", spec);
  json_object_object_add (root, "Status", NULL);
  if (removed != NULL)
    {
      json_object *event = json_object_new_object ();

      json_object_object_add (event, "Object", root);
      json_object_object_add (event, "Removed", json_object_new_boolean (*removed));
      root = event;
    }
  json_object_array_add (array, root);
}

static json_object *
list_locked (const char *kind, const char *after)
{
  json_object *root = json_object_new_object ();
  json_object *entries = json_object_new_array ();

  for (unsigned i = 0; i < content.count; i++)
    if (strcmp (content.objects[i].kind, kind) == 0 && strcmp (content.objects[i].name, after) > 0)
      append_object (entries, &content.objects[i], NULL);
  json_object_object_add (root, "Entries", entries);
  json_object_object_add (root, "HasMore", json_object_new_boolean (0));
  json_object_object_add (root, "AsOf", json_object_new_uint64 (content.head));
  return root;
}

static bool
has_changes (const char *kind, uint64_t since)
{
  for (unsigned i = 0; i < content.change_count; i++)
    if (content.changes[i].object.revision > since
        && strcmp (content.changes[i].object.kind, kind) == 0)
      return true;
  return false;
}

/// Waits for changes after a revision. RETURN NULL if the store does not have the revision.
static json_object *
watch_locked (const char *kind, uint64_t since, int wait_ms, unsigned generation)
{
  json_object *root;
  json_object *events;
  struct timespec until;

  if (since > content.head)
    return NULL;
  (void) clock_gettime (CLOCK_REALTIME, &until);
  until.tv_sec += wait_ms / 1000;
  until.tv_nsec += wait_ms % 1000 * 1000000L;
  if (until.tv_nsec >= 1000000000L)
    {
      until.tv_sec++;
      until.tv_nsec -= 1000000000L;
    }
  while (!has_changes (kind, since) && generation == store_generation
         && pthread_cond_timedwait (&store_changed, &store_lock, &until) != ETIMEDOUT)
    ;
  root = json_object_new_object ();
  events = json_object_new_array ();
  for (unsigned i = 0; i < content.change_count; i++)
    if (content.changes[i].object.revision > since
        && strcmp (content.changes[i].object.kind, kind) == 0)
      append_object (events, &content.changes[i].object, &content.changes[i].removed);
  json_object_object_add (root, "events", events);
  json_object_object_add (root, "AsOf", json_object_new_uint64 (content.head));
  return root;
}

/// Text of the query's parameter, "" without it.
static const char *
parameter (const char *query, const char *name, char *value, size_t size)
{
  const char *at = query != NULL ? strstr (query, name) : NULL;

  value[0] = '\0';
  if (at != NULL)
    (void) snprintf (value, size, "%.*s", (int) strcspn (at + strlen (name), "& "),
                     at + strlen (name));
  return value;
}

/// Carries out a call. RETURN the status; *answer is the body, NULL for none.
static int
carry_out (const Message *message, unsigned generation, json_object **answer)
{
  char method[16] = "", target[512] = "", kind[24] = "", name[64] = "", value[64];
  char *query;
  int parts;
  int status = 200;

  *answer = NULL;
  if (sscanf (message->head, "%15s %511s", method, target) != 2)
    return 400;
  query = strchr (target, '?');
  if (query != NULL)
    *query++ = '\0';
  parts = sscanf (target, "/objects/%23[^/]/%63[^/]", kind, name);
  if (parts < 1)
    return 404;
  pthread_mutex_lock (&store_lock);
  if (strcmp (method, "GET") == 0 && parts == 1
      && parameter (query, "Watch=", value, sizeof value)[0] != '\0')
    {
      char wait[32];

      *answer = watch_locked (kind, strtoull (value, NULL, 10),
                              atoi (parameter (query, "WaitMs=", wait, sizeof wait)), generation);
      status = *answer != NULL ? 200 : 410;
    }
  else if (strcmp (method, "GET") == 0 && parts == 1)
    *answer = list_locked (kind, parameter (query, "SinceRev=", value, sizeof value));
  else if (strcmp (method, "POST") == 0 || strcmp (method, "PUT") == 0)
    {
      json_object *body = message->body != NULL ? json_tokener_parse (message->body) : NULL;
      json_object *metadata = NULL, *member = NULL, *spec = NULL;

      if (body != NULL && json_object_object_get_ex (body, "Metadata", &metadata)
          && json_object_object_get_ex (metadata, "Name", &member))
        (void) snprintf (name, sizeof name, "%s", json_object_get_string (member));
      if (body == NULL || !json_object_object_get_ex (body, "Spec", &spec))
        status = 400;
      else if (strcmp (method, "POST") == 0 && find_object (kind, name) != NULL)
        status = 409;
      else if (strcmp (method, "PUT") == 0 && find_object (kind, name) == NULL)
        status = 404;
      else
        {
          (void) put_locked (kind, name,
                             json_object_to_json_string_ext (spec, JSON_C_TO_STRING_PLAIN));
          *answer = json_object_new_object ();
        }
      json_object_put (body);
    }
  else
    status = 404;
  if (status == 200 && strcmp (kind, "servers") == 0)
    answered_servers++;
  else if (status == 200)
    answered_lists++;
  pthread_mutex_unlock (&store_lock);
  return status;
}

/// Connections of the store that are open, to reset them when it goes away.
static struct
{
  int fd;
  unsigned door;
} store_connections[1024];
static unsigned store_connection_count;

typedef struct
{
  int fd;
  unsigned door;
} StoreConnection;

static void *
serve_store (void *argument)
{
  StoreConnection connection = *(StoreConnection *) argument;
  int fd = connection.fd;
  StoreDoor *door = &store_doors[connection.door];
  Message *message = calloc (1, sizeof *message);
  unsigned generation = store_generation;
  bool dead = false;
  bool reset = false;

  free (argument);
  while (!reset && message != NULL && read_message (fd, message))
    {
      json_object *answer = NULL;
      char *head_end = strstr (message->head, "\r\n");
      const char *text;
      char *out;
      size_t size;
      StoreMode mode;
      int status;
      bool waits;

      waits = strstr (message->head, "/servers?Watch=") != NULL
              && strstr (message->head, "WaitMs=20000") != NULL;
      if (waits)
        {
          door->watched_ms = now_ms ();
          (void) __atomic_add_fetch (&door->watching, 1, __ATOMIC_RELAXED);
        }
      status = door->refused ? 503 : carry_out (message, generation, &answer);
      if (waits)
        (void) __atomic_sub_fetch (&door->watching, 1, __ATOMIC_RELAXED);
      *head_end = '\0';
      pthread_mutex_lock (&store_lock);
      mode = store_mode;
      if (generation != store_generation || mode == STORE_AWAY)
        {
          pthread_mutex_unlock (&store_lock);
          break;
        }
      pthread_mutex_unlock (&store_lock);
      dead = dead || mode == STORE_SILENT || door->silent;
      record ("store: %s -> %d%s", message->head, status, dead ? ", the answer is lost" : "");
      if (dead)
        {
          json_object_put (answer);
          continue;
        }
      text
          = answer != NULL ? json_object_to_json_string_ext (answer, JSON_C_TO_STRING_PLAIN) : "{}";
      size = strlen (text) + 256;
      out = malloc (size);
      (void) snprintf (out, size,
                       "HTTP/1.1 %d X\r\nContent-Type: application/json\r\nStore-Era: %u\r\n"
                       "Content-Length: %zu\r\n\r\n%s",
                       status, store_era, strlen (text), text);
      json_object_put (answer);
      if (!send_all (fd, out, strlen (out)))
        {
          free (out);
          break;
        }
      free (out);
    }
  pthread_mutex_lock (&store_lock);
  for (unsigned i = 0; i < store_connection_count; i++)
    if (store_connections[i].fd == fd)
      store_connections[i] = store_connections[--store_connection_count];
  reset = generation != store_generation;
  pthread_mutex_unlock (&store_lock);
  if (reset)
    reset_connection (fd);
  else
    (void) close (fd);
  if (message != NULL)
    free (message->body);
  free (message);
  return NULL;
}

static void *
accept_store (void *argument)
{
  unsigned index = (unsigned) (uintptr_t) argument;
  int listener = store_doors[index].listener;

  for (;;)
    {
      int fd = accept4 (listener, NULL, NULL, SOCK_CLOEXEC);
      StoreConnection *connection;

      if (fd < 0)
        return NULL;
      connection = malloc (sizeof *connection);
      if (connection == NULL)
        rig_finish (2);
      *connection = (StoreConnection){ fd, index };
      pthread_mutex_lock (&store_lock);
      if (store_connection_count < 1024)
        {
          store_connections[store_connection_count].fd = fd;
          store_connections[store_connection_count++].door = index;
        }
      pthread_mutex_unlock (&store_lock);
      start_thread (serve_store, connection);
    }
}

/// Opens the address of the store for one daemon.
static void
open_door (unsigned index)
{
  StoreDoor *door = &store_doors[index];

  door->listener = listen_on (door->ip, &door->port);
  if (door->listener < 0)
    rig_finish (2);
  start_thread (accept_store, (void *) (uintptr_t) index);
}

void
store_start (void)
{
  content.head = 500; // the counter starts above 0
}

void
store_refuse (const Daemon *daemon, bool refused)
{
  unsigned index = (unsigned) (daemon - daemons);

  pthread_mutex_lock (&store_lock);
  store_doors[index].refused = refused;
  for (unsigned i = 0; refused && i < store_connection_count; i++)
    if (store_connections[i].door == index)
      (void) shutdown (store_connections[i].fd, SHUT_RDWR);
  pthread_mutex_unlock (&store_lock);
  note ("store: %s daemon %s", refused ? "cuts the watches of and answers 503 to" : "serves again",
        daemon->name);
}

void
store_silence (const Daemon *daemon, bool silent)
{
  store_doors[daemon - daemons].silent = silent;
  note ("store: %s daemon %s", silent ? "is silent to" : "serves again", daemon->name);
}

bool
store_is_watching (const Daemon *daemon)
{
  return store_doors[daemon - daemons].watching > 0;
}

bool
store_is_watched_by (const Daemon *daemon)
{
  return store_doors[daemon - daemons].watched_ms != 0;
}

void
store_set_mode (StoreMode mode)
{
  static const char *const names[] = { "serves", "is silent", "is away" };

  pthread_mutex_lock (&store_lock);
  if (mode == STORE_AWAY && store_mode != STORE_AWAY)
    {
      store_generation++;
      (void) pthread_cond_broadcast (&store_changed);
      for (unsigned i = 0; i < store_door_count; i++)
        {
          (void) shutdown (store_doors[i].listener, SHUT_RDWR);
          (void) close (store_doors[i].listener);
        }
      for (unsigned i = 0; i < store_connection_count; i++)
        (void) shutdown (store_connections[i].fd, SHUT_RDWR);
      store_connection_count = 0;
    }
  store_mode = mode;
  pthread_mutex_unlock (&store_lock);
  note ("store: %s, era %u, revision %llu", names[mode], store_era,
        (unsigned long long) content.head);
}

void
store_come_back_from_copy (void)
{
  pthread_mutex_lock (&store_lock);
  content = copy;
  store_era++;
  store_mode = STORE_SERVING;
  pthread_mutex_unlock (&store_lock);
  for (unsigned i = 0; i < store_door_count; i++)
    open_door (i);
  note ("store: back from the copy, era %u, revision %llu", store_era,
        (unsigned long long) content.head);
}

// Backend servers.

size_t
run_count (void)
{
  return runs_count;
}

Run
run_get (size_t index)
{
  Run run;

  pthread_mutex_lock (&runs_lock);
  run = runs[index];
  pthread_mutex_unlock (&runs_lock);
  return run;
}

static void
add_run (const Worker *worker, const char *id, const char *path, const char *tenant, bool ran)
{
  pthread_mutex_lock (&runs_lock);
  if (runs_count < MAX_RUNS)
    {
      Run *run = &runs[runs_count++];

      (void) snprintf (run->id, sizeof run->id, "%s", id);
      (void) snprintf (run->path, sizeof run->path, "%s", path);
      (void) snprintf (run->tenant, sizeof run->tenant, "%s", tenant);
      run->worker = worker;
      run->at_ms = now_ms ();
      run->ran = ran;
    }
  pthread_mutex_unlock (&runs_lock);
  record ("backend server %s (%s): request %s %s tenant=%s %s", worker->id, worker->service, id,
          path, tenant, ran ? "runs" : "is rejected");
}

typedef struct
{
  Worker *worker;
  int fd;
} WorkerConnection;

static void *
serve_worker (void *argument)
{
  WorkerConnection connection = *(WorkerConnection *) argument;
  Worker *worker = connection.worker;
  Message *message = calloc (1, sizeof *message);

  free (argument);
  while (message != NULL && read_message (connection.fd, message))
    {
      char method[16] = "", path[96] = "", id[40], expected[40], tenant[32], out[1024];
      bool is_here;
      const char *body = "{\"granted\":true}";

      (void) sscanf (message->head, "%15s %95s", method, path);
      (void) find_header (message, "attempt-id", id, sizeof id);
      (void) find_header (message, "tenant", tenant, sizeof tenant);
      is_here = !find_header (message, "expect-instance", expected, sizeof expected)
                || strcmp (expected, worker->id) == 0;
      add_run (worker, id, path, tenant, is_here);
      if (is_here)
        sleep_ms (worker->work_ms);
      (void) snprintf (out, sizeof out,
                       "HTTP/1.1 %s\r\nAttempt-Id: %s\r\nInstance-Id: %s\r\n%s%s%s"
                       "Content-Length: %zu\r\n%s\r\n%s",
                       is_here ? "200 OK" : "421 Misdirected Request", id, worker->id,
                       is_here ? "Response-Signature: " : "Not-Executed: 1\r\n", is_here ? id : "",
                       is_here ? "\r\n" : "", is_here ? strlen (body) : 0,
                       worker->leaving ? "Server-Leaving: 1\r\nConnection: close\r\n" : "",
                       is_here ? body : "");
      if (!send_all (connection.fd, out, strlen (out)) || worker->leaving)
        break;
    }
  (void) close (connection.fd);
  if (message != NULL)
    free (message->body);
  free (message);
  return NULL;
}

static void *
accept_worker (void *argument)
{
  Worker *worker = argument;

  for (;;)
    {
      int fd = accept4 (worker->listener, NULL, NULL, SOCK_CLOEXEC);
      WorkerConnection *connection;

      if (fd < 0)
        return NULL;
      connection = malloc (sizeof *connection);
      *connection = (WorkerConnection){ worker, fd };
      start_thread (serve_worker, connection);
    }
}

Worker *
worker_start (const char *id, const char *service, const char *zone, unsigned slots, int work_ms)
{
  Worker *worker = &workers[workers_count++];
  struct timespec now;

  (void) clock_gettime (CLOCK_REALTIME, &now);
  *worker = (Worker){ .slots = slots, .work_ms = work_ms };
  worker->born_ms = (uint64_t) now.tv_sec * 1000 + (uint64_t) now.tv_nsec / 1000000;
  (void) snprintf (worker->id, sizeof worker->id, "%s", id);
  (void) snprintf (worker->service, sizeof worker->service, "%s", service);
  (void) snprintf (worker->zone, sizeof worker->zone, "%s", zone);
  (void) snprintf (worker->address, sizeof worker->address, "127.%u.100.%u", block, workers_count);
  worker->listener = listen_on (worker->address, &worker->port);
  if (worker->listener < 0)
    rig_finish (2);
  start_thread (accept_worker, worker);
  return worker;
}

uint64_t
worker_register (Worker *worker)
{
  char spec[1024];

  (void) snprintf (
      spec, sizeof spec,
      "{\"Service\":\"%s\",\"Address\":\"%s:%u\",\"Zone\":\"%s\",\"Version\":\"v1\",\"Slots\":%u,"
      "\"State\":\"%s\",\"ColdLeftMs\":%d,\"Seq\":1,\"born\":%llu}",
      worker->service, worker->address, worker->port, worker->zone, worker->slots,
      worker->leaving ? "draining" : "ready", worker->cold_left_ms,
      (unsigned long long) worker->born_ms);
  return store_put ("servers", worker->id, spec);
}

// Daemons.

/// Replaces the placeholders of the template of the settings by a daemon's values.
static bool
render (const Daemon *daemon, const char *template, FILE *out)
{
  char port[16], front[64], ready[64], store[64];
  const char *values[][2] = { { "NodeName", daemon->name },
                              { "Zone", daemon->zone },
                              { "Region", "pk-central" },
                              { "Listen.Front", front },
                              { "Listen.Ready", ready },
                              { "Ip", daemon->ip },
                              { "PortRange.0", port },
                              { "Platform.Address", store },
                              { "Platform.ValueBytes", "1048576" },
                              { "Bounds.GraceS", "8" },
                              { "Bounds.CapFactor", "2" },
                              { "Bounds.RetryBudgetRatio", "0.2" },
                              { "Bounds.BudgetSlack", "190" },
                              { "Bounds.BudgetWindowS", "10" },
                              { "Bounds.StableWindowMs", "4000" },
                              { "HeartbeatMs", "1200" },
                              { "Bounds.DrainMs", "3000" },
                              { "Limits.MemoryMb", "512" },
                              { "Limits.MaxFds", "8192" } };

  (void) snprintf (port, sizeof port, "%u", daemon->peer_port);
  (void) snprintf (front, sizeof front, "%s:%u", daemon->ip, daemon->front_port);
  (void) snprintf (ready, sizeof ready, "%s:%u", daemon->ip, daemon->ready_port);
  (void) snprintf (store, sizeof store, "%s:%u", store_doors[daemon - daemons].ip,
                   store_doors[daemon - daemons].port);
  while (*template != '\0')
    {
      const char *end = strncmp (template, "{{", 2) == 0 ? strstr (template, "}}") : NULL;
      bool known = false;

      if (end == NULL)
        {
          (void) fputc (*template ++, out);
          continue;
        }
      if (template[2] == '#' || template[2] == '/') // all values are present
        {
          template = end + 2;
          continue;
        }
      for (size_t i = 0; i < sizeof values / sizeof values[0]; i++)
        if (strlen (values[i][0]) == (size_t) (end - template - 2)
            && strncmp (template + 2, values[i][0], (size_t) (end - template - 2)) == 0)
          {
            (void) fputs (values[i][1], out);
            known = true;
          }
      if (!known)
        return false;
      template = end + 2;
    }
  return true;
}

static void
write_settings (const Daemon *daemon)
{
  char template[65536];
  FILE *in = fopen ("deploy/settings.json.in", "r");
  FILE *out = fopen (daemon->settings, "w");
  size_t size;

  if (in == NULL || out == NULL)
    rig_finish (2);
  size = fread (template, 1, sizeof template - 1, in);
  template[size] = '\0';
  (void) fclose (in);
  if (!render (daemon, template, out))
    {
      note ("the template of the settings has an unknown placeholder");
      rig_finish (2);
    }
  (void) fclose (out);
}

/// Starts the program of a daemon. Returns when it has begun to run.
static void
start_process (Daemon *daemon)
{
  char path[320];
  int started[2];
  char byte;

  (void) snprintf (path, sizeof path, "%.200s/%.48s.log", temporary, daemon->name);
  if (pipe2 (started, O_CLOEXEC) != 0)
    rig_finish (2);
  daemon->pid = fork ();
  if (daemon->pid < 0)
    rig_finish (2);
  if (daemon->pid == 0)
    {
      int log = open (path, O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0600);

      (void) prctl (PR_SET_PDEATHSIG, SIGKILL);
      (void) dup2 (log, STDOUT_FILENO);
      (void) dup2 (log, STDERR_FILENO);
      (void) setenv ("TARRAGONTRACK_CONFIG", daemon->settings, 1);
      (void) execl (program, program, "--settings", daemon->settings, (char *) NULL);
      _exit (127);
    }
  (void) close (started[1]);
  (void) read (started[0], &byte,
               1); // ends when the program replaces the child, which closes its end
  (void) close (started[0]);
}

void
daemon_restart (Daemon *daemon)
{
  start_process (daemon);
}

int
daemon_wait_end (Daemon *daemon, int64_t limit_ms)
{
  int64_t until = now_ms () + limit_ms;
  int status;

  while (now_ms () <= until)
    {
      if (waitpid (daemon->pid, &status, WNOHANG) == daemon->pid)
        {
          daemon->pid = 0;
          return status;
        }
      sleep_ms (1);
    }
  return -1;
}

Daemon *
daemon_start (const char *name, const char *zone)
{
  Daemon *daemon = &daemons[daemons_count++];

  *daemon = (Daemon){ .pid = 0 };
  (void) snprintf (daemon->name, sizeof daemon->name, "%s", name);
  (void) snprintf (daemon->zone, sizeof daemon->zone, "%s", zone);
  (void) snprintf (daemon->ip, sizeof daemon->ip, "127.%u.1.%u", block, daemons_count);
  daemon->front_port = free_port (daemon->ip);
  daemon->ready_port = free_port (daemon->ip);
  daemon->peer_port = free_port (daemon->ip);
  (void) snprintf (daemon->settings, sizeof daemon->settings, "%.200s/%s.json", temporary, name);
  (void) snprintf (store_doors[daemons_count - 1].ip, sizeof store_doors[0].ip, "127.%u.200.%u",
                   block, daemons_count);
  open_door (daemons_count - 1);
  store_door_count = daemons_count;
  write_settings (daemon);
  start_process (daemon);
  note ("daemon %s in %s at %s:%u, process %d", name, zone, daemon->ip, daemon->front_port,
        daemon->pid);
  return daemon;
}

bool
daemon_is_ready (const Daemon *daemon)
{
  static const char question[] = "GET /readyz HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n";
  static __thread Message message;
  int fd = connect_to (daemon->ip, daemon->ready_port, 1000);
  bool ready;

  if (fd < 0)
    return false;
  ready = send_all (fd, question, sizeof question - 1) && read_message (fd, &message)
          && strncmp (message.head, "HTTP/1.1 200", 12) == 0;
  (void) close (fd);
  return ready;
}

unsigned
daemon_count (void)
{
  return daemons_count;
}

Daemon *
daemon_get (unsigned index)
{
  return &daemons[index];
}

bool
daemons_run (void)
{
  for (unsigned i = 0; i < daemons_count; i++)
    if (daemons[i].pid == 0 || waitpid (daemons[i].pid, NULL, WNOHANG) != 0)
      {
        note ("daemon %s has ended", daemons[i].name);
        daemons[i].pid = 0;
        return false;
      }
  return true;
}

void
daemons_await_ready (int64_t limit_ms)
{
  int64_t until = now_ms () + limit_ms;

  for (unsigned i = 0; i < daemons_count; i++)
    while (!daemon_is_ready (&daemons[i]))
      {
        if (now_ms () > until || !daemons_run ())
          {
            note ("daemon %s did not get ready", daemons[i].name);
            rig_finish (2);
          }
        sleep_ms (50);
      }
  note ("all daemons are ready");
}

// Callers.

static struct
{
  char id[40];
  const Daemon *daemon;
} made_calls[MAX_RUNS];
static unsigned made_call_count;

unsigned
answer_count (void)
{
  return made_call_count;
}

const Daemon *
answered_by (unsigned index, const char *id)
{
  return strcmp (made_calls[index].id, id) == 0 ? made_calls[index].daemon : NULL;
}

Answer
call (const Daemon *daemon, const char *method, const char *host, const char *path, const char *key,
      const char *body, int deadline_ms)
{
  static unsigned sequence;
  static __thread Message message;
  Answer answer = { .sent_ms = now_ms () };
  char text[2048];
  char authorization[128] = "";
  int fd;

  (void) snprintf (answer.id, sizeof answer.id, "%08x%08x", (unsigned) getpid (),
                   __atomic_add_fetch (&sequence, 1, __ATOMIC_RELAXED));
  pthread_mutex_lock (&runs_lock);
  if (made_call_count < MAX_RUNS)
    {
      (void) snprintf (made_calls[made_call_count].id, sizeof made_calls[0].id, "%s", answer.id);
      made_calls[made_call_count++].daemon = daemon;
    }
  pthread_mutex_unlock (&runs_lock);
  if (key != NULL)
    (void) snprintf (authorization, sizeof authorization, "Authorization: Bearer %s\r\n", key);
  fd = connect_to (daemon->ip, daemon->front_port, deadline_ms + 1000);
  (void) snprintf (text, sizeof text,
                   "%s %s HTTP/1.1\r\nHost: %s\r\nAttempt-Id: %s\r\nDeadline-Ms: %d\r\n%s"
                   "Content-Length: %zu\r\nConnection: close\r\n\r\n%s",
                   method, path, host, answer.id, deadline_ms, authorization,
                   body != NULL ? strlen (body) : 0, body != NULL ? body : "");
  if (fd >= 0 && send_all (fd, text, strlen (text)) && read_message (fd, &message))
    {
      answer.status = atoi (message.head + strlen ("HTTP/1.1 "));
      (void) find_header (&message, "response-signature", answer.signature,
                          sizeof answer.signature);
    }
  if (fd >= 0)
    (void) close (fd);
  answer.answered_ms = now_ms ();
  record ("caller: %s %s %s at daemon %s, key=%s: %d after %lld ms, signature=%s", method, path,
          answer.id, daemon->name, key != NULL ? key : "", answer.status,
          (long long) (answer.answered_ms - answer.sent_ms), answer.signature);
  return answer;
}

typedef struct
{
  const Daemon *daemon;
  const char *method, *host, *path, *key, *body;
  int deadline_ms;
  int status;
} BurstCall;

static void *
run_burst_call (void *argument)
{
  BurstCall *it = argument;

  it->status = call (it->daemon, it->method, it->host, it->path, it->key, it->body, it->deadline_ms)
                   .status;
  return NULL;
}

unsigned
call_burst (unsigned count, const char *method, const char *host, const char *path, const char *key,
            const char *body, int deadline_ms)
{
  unsigned total = count * daemons_count;
  BurstCall *calls = calloc (total, sizeof *calls);
  pthread_t *threads = calloc (total, sizeof *threads);
  unsigned served = 0;

  if (calls == NULL || threads == NULL)
    rig_finish (2);
  for (unsigned i = 0; i < total; i++)
    {
      calls[i] = (BurstCall){
        &daemons[i % daemons_count], method, host, path, key, body, deadline_ms, 0
      };
      if (pthread_create (&threads[i], NULL, run_burst_call, &calls[i]) != 0)
        rig_finish (2);
    }
  for (unsigned i = 0; i < total; i++)
    {
      (void) pthread_join (threads[i], NULL);
      served += calls[i].status == 200;
    }
  free (calls);
  free (threads);
  return served;
}
