#include "tarragontrack/io/http_socket.h"
#include <arpa/inet.h>
#include <netinet/in.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

typedef struct
{
  TtLink link; ///< on TtHttpClient.kept_sockets
  curl_socket_t fd;
  int local_port; ///< 0 until both ends were looked up
  int remote_port;
  char remote[INET6_ADDRSTRLEN]; ///< IP address of the server
} KeptSocket;

static curl_socket_t
open_socket (void *context, curlsocktype purpose, struct curl_sockaddr *address)
{
  TtHttpClient *client = context;
  KeptSocket *kept = calloc (1, sizeof *kept);

  (void) purpose;
  if (kept == NULL)
    return CURL_SOCKET_BAD;
  kept->fd = socket (address->family, address->socktype | SOCK_CLOEXEC, address->protocol);
  if (kept->fd < 0)
    {
      free (kept);
      return CURL_SOCKET_BAD;
    }
  tt_link_init (&kept->link);
  tt_list_append (&client->kept_sockets, &kept->link);
  return kept->fd;
}

static int
close_socket (void *context, curl_socket_t fd)
{
  TtHttpClient *client = context;

  TT_LIST_FOREACH (&client->kept_sockets, it)
    {
      KeptSocket *kept = TT_CONTAINER_OF (it, KeptSocket, link);

      if (kept->fd != fd)
        continue;
      tt_list_remove (&client->kept_sockets, &kept->link);
      free (kept);
      break;
    }
  return close (fd);
}

void
tt_http_socket_track (TtHttpCall *call)
{
  (void) curl_easy_setopt (call->easy, CURLOPT_OPENSOCKETFUNCTION, open_socket);
  (void) curl_easy_setopt (call->easy, CURLOPT_OPENSOCKETDATA, call->client);
  (void) curl_easy_setopt (call->easy, CURLOPT_CLOSESOCKETFUNCTION, close_socket);
  (void) curl_easy_setopt (call->easy, CURLOPT_CLOSESOCKETDATA, call->client);
}

/// Formats one end of a connection. RETURN its port, 0 if there is none.
static int
read_end (const struct sockaddr_storage *address, char text[INET6_ADDRSTRLEN])
{
  const struct sockaddr_in *ipv4 = (const struct sockaddr_in *) address;
  const struct sockaddr_in6 *ipv6 = (const struct sockaddr_in6 *) address;
  bool is_ipv6 = address->ss_family == AF_INET6;
  const void *ip = is_ipv6 ? (const void *) &ipv6->sin6_addr : &ipv4->sin_addr;

  text[0] = '\0';
  if (inet_ntop (address->ss_family, ip, text, INET6_ADDRSTRLEN) == NULL)
    return 0;
  return ntohs (is_ipv6 ? ipv6->sin6_port : ipv4->sin_port);
}

/// Looks up both ends of a connected socket.
static void
find_ends (KeptSocket *kept)
{
  struct sockaddr_storage local = { 0 };
  struct sockaddr_storage remote = { 0 };
  socklen_t local_size = sizeof local;
  socklen_t remote_size = sizeof remote;
  char text[INET6_ADDRSTRLEN];

  if (getsockname (kept->fd, (struct sockaddr *) &local, &local_size) != 0
      || getpeername (kept->fd, (struct sockaddr *) &remote, &remote_size) != 0)
    return;
  kept->remote_port = read_end (&remote, kept->remote);
  kept->local_port = read_end (&local, text);
}

bool
tt_http_socket_has_unread_bytes (const TtHttpClient *client, int local_port, const char *remote,
                                 int remote_port)
{
  char byte;

  TT_LIST_FOREACH (&client->kept_sockets, it)
    {
      KeptSocket *kept = TT_CONTAINER_OF (it, KeptSocket, link);

      if (kept->local_port == 0)
        find_ends (kept);
      if (kept->local_port == local_port && kept->remote_port == remote_port
          && strcmp (kept->remote, remote) == 0)
        return recv (kept->fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT) > 0;
    }
  return false;
}
