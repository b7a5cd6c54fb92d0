/// The HTTP server with TLS. Callers are child processes, because they block in the handshake.
#include "support/intake_server.h"
#include "support/unit.h"
#include "tarragontrack/io/clock.h"
#include <arpa/inet.h>
#include <glib.h>
#include <h2o.h>
#include <openssl/pem.h>
#include <openssl/ssl.h>
#include <openssl/x509.h>
#include <signal.h>
#include <stdlib.h>
#include <string.h>
#include <sys/wait.h>
#include <unistd.h>

enum
{
  MB = 1 << 20,
  BODY_BYTES = 256 << 10,
  RUN_LIMIT_MS = 20000,
  PIECE_BYTES = 1000
};

/// What a caller sends, and the status lines that it expects.
typedef struct
{
  const char *name;
  int version;      ///< highest version of TLS
  const char *text; ///< before the body
  size_t body_bytes;
  const char *tail;     ///< after the body
  const char *statuses; ///< such as "200 413"
  unsigned requests;    ///< that the server accepts
} Exchange;

static IntakeServer fixture;
static unsigned requests;
static gchar *certificate_file;
static gchar *key_file;

static void
on_request (void *context, h2o_req_t *request)
{
  (void) context;
  requests++;
  tt_http_server_send_response (request, 200, "text/plain", "ok", 2);
}

/// Writes a new key, and a certificate that it signs itself.
static void
write_certificate (void)
{
  EVP_PKEY *key = EVP_EC_gen ("P-256");
  X509 *certificate = X509_new ();
  FILE *file = fdopen (g_file_open_tmp ("tt-key-XXXXXX", &key_file, NULL), "w");

  UNIT_REQUIRE (key != NULL && certificate != NULL && file != NULL);
  (void) ASN1_INTEGER_set (X509_get_serialNumber (certificate), 1);
  (void) X509_gmtime_adj (X509_getm_notBefore (certificate), 0);
  (void) X509_gmtime_adj (X509_getm_notAfter (certificate), 3600);
  (void) X509_set_pubkey (certificate, key);
  (void) X509_sign (certificate, key, EVP_sha256 ());
  (void) PEM_write_PrivateKey (file, key, NULL, NULL, 0, NULL, NULL);
  (void) fclose (file);
  file = fdopen (g_file_open_tmp ("tt-certificate-XXXXXX", &certificate_file, NULL), "w");
  UNIT_REQUIRE (file != NULL);
  (void) PEM_write_X509 (file, certificate);
  (void) fclose (file);
  X509_free (certificate);
  EVP_PKEY_free (key);
}

static void
open_server (uint32_t max_connections)
{
  const TtHttpServerOptions options = { .certificate_file = certificate_file,
                                        .key_file = key_file,
                                        .max_connections = max_connections,
                                        .max_body_bytes = BODY_BYTES,
                                        .max_header_bytes = 4096,
                                        .read_timeout_ms = 60000,
                                        .on_request = on_request };

  intake_server_open (&fixture, &options, (size_t) 16 * MB);
  requests = 0;
}

static int
connect_socket (void)
{
  struct sockaddr_in address = { .sin_family = AF_INET, .sin_port = htons (fixture.port) };
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

  address.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
  return connect (fd, (const struct sockaddr *) &address, sizeof address) == 0 ? fd : -1;
}

/// Appends the status of each answer in @text to a list.
static void
list_statuses (const char *text, char *list, size_t size)
{
  list[0] = '\0';
  for (; (text = strstr (text, "HTTP/1.1 ")) != NULL; text += 9)
    (void) snprintf (list + strlen (list), size - strlen (list), "%s%.3s",
                     list[0] != '\0' ? " " : "", text + 9);
}

/// Runs in a child process. RETURN 0 if the answers are as expected.
static int
run_caller (const Exchange *exchange)
{
  SSL_CTX *context = SSL_CTX_new (TLS_client_method ());
  SSL *ssl = SSL_new (context);
  int fd = connect_socket ();
  char body[PIECE_BYTES];
  char reply[8192] = "";
  char statuses[64];
  size_t size = 0;
  int count;

  (void) signal (SIGPIPE, SIG_IGN);
  (void) alarm (RUN_LIMIT_MS / 1000);
  (void) SSL_set_max_proto_version (ssl, exchange->version);
  (void) SSL_set_fd (ssl, fd);
  if (SSL_connect (ssl) != 1)
    return 2;
  memset (body, 'x', sizeof body);
  if (SSL_write (ssl, exchange->text, (int) strlen (exchange->text)) <= 0)
    return 3;
  for (size_t at = 0; at < exchange->body_bytes; at += sizeof body)
    {
      size_t rest = exchange->body_bytes - at;

      if (SSL_write (ssl, body, (int) (rest < sizeof body ? rest : sizeof body)) <= 0)
        break;
    }
  if (exchange->tail[0] != '\0')
    (void) SSL_write (ssl, exchange->tail, (int) strlen (exchange->tail));
  do
    {
      count = SSL_read (ssl, reply + size, (int) (sizeof reply - 1 - size));
      size += count > 0 ? (size_t) count : 0;
      reply[size] = '\0';
      list_statuses (reply, statuses, sizeof statuses);
    }
  while (count > 0 && strcmp (statuses, exchange->statuses) != 0);
  if (strcmp (statuses, exchange->statuses) != 0)
    (void) fprintf (stderr, "%s: %s instead of %s\n", exchange->name, statuses, exchange->statuses);
  return strcmp (statuses, exchange->statuses) == 0 ? 0 : 4;
}

static void
run (unsigned ms)
{
  intake_server_run (&fixture, ms);
}

/// Starts a caller and serves it until it has ended. RETURN its exit code.
static int
serve (const Exchange *exchange)
{
  pid_t pid = fork ();
  int status = -1;

  if (pid == 0)
    _exit (run_caller (exchange));
  for (unsigned ms = 0; ms < RUN_LIMIT_MS && waitpid (pid, &status, WNOHANG) == 0; ms++)
    run (1);
  return WIFEXITED (status) ? WEXITSTATUS (status) : -1;
}

#define HEAD "POST /a HTTP/1.1\r\nHost: h\r\n"

/// Guards against a first request, sent right after the handshake, that is not scanned, and against
/// limits that hold for cleartext only.
static void
requests_after_handshake (void)
{
  static const int versions[] = { TLS1_2_VERSION, TLS1_3_VERSION };
  Exchange exchanges[] = {
    { .name = "two requests",
      .text = "GET /a HTTP/1.1\r\nHost: h\r\n\r\nGET /b HTTP/1.1\r\nHost: h\r\n\r\n",
      .tail = "",
      .statuses = "200 200",
      .requests = 2 },
    { .name = "body at the limit",
      .text = HEAD "Content-Length: 262144\r\n\r\n",
      .body_bytes = BODY_BYTES,
      .tail = "GET /b HTTP/1.1\r\nHost: h\r\n\r\n",
      .statuses = "200 200",
      .requests = 2 },
    { .name = "chunks",
      .text = HEAD "Transfer-Encoding: chunked\r\n\r\n40000\r\n",
      .body_bytes = BODY_BYTES,
      .tail = "\r\n0\r\n\r\n",
      .statuses = "200",
      .requests = 1 },
    { .name = "length over the limit",
      .text = HEAD "Content-Length: 300000\r\n\r\n",
      .body_bytes = 300000,
      .tail = "",
      .statuses = "413" },
    { .name = "chunk over the limit",
      .text = HEAD "Transfer-Encoding: chunked\r\n\r\n50000\r\n",
      .body_bytes = 0x50000,
      .tail = "",
      .statuses = "413" },
    { .name = "chunk of no known form",
      .text = HEAD "Transfer-Encoding: chunked\r\n\r\n0x2\r\n",
      .tail = "xx\r\n0\r\n\r\n",
      .statuses = "400" },
  };

  for (size_t i = 0; i < sizeof versions / sizeof versions[0]; i++)
    for (size_t k = 0; k < sizeof exchanges / sizeof exchanges[0]; k++)
      {
        exchanges[k].version = versions[i];
        open_server (16);
        CU_ASSERT_EQUAL (serve (&exchanges[k]), 0);
        CU_ASSERT_EQUAL (requests, exchanges[k].requests);
        intake_server_close (&fixture);
      }
}

/// Guards against connections that stay open after their caller has reset them.
static void
reset_connections (void)
{
  const struct linger reset = { .l_onoff = 1, .l_linger = 0 };
  const Exchange exchange = { .name = "reset",
                              .version = TLS1_3_VERSION,
                              .text = "GET /a HTTP/1.1\r\nHost: h\r\n\r\n",
                              .tail = "",
                              .statuses = "200" };

  open_server (16);
  for (unsigned i = 0; i < 5; i++)
    {
      int fd = connect_socket ();

      (void) setsockopt (fd, SOL_SOCKET, SO_LINGER, &reset, sizeof reset);
      run (2);
      (void) close (fd);
      CU_ASSERT_EQUAL (serve (&exchange), 0); // ends without a word of TLS
    }
  intake_server_close (&fixture);
}

/// Guards against callers that never begin a handshake and keep others out, or stay for ever.
static void
handshakes_that_do_not_begin (void)
{
  const Exchange exchange = { .name = "beside silent connections",
                              .version = TLS1_3_VERSION,
                              .text = "GET /a HTTP/1.1\r\nHost: h\r\n\r\n",
                              .tail = "",
                              .statuses = "200" };
  int fds[6];

  open_server (3);
  for (unsigned i = 0; i < 6; i++)
    {
      fds[i] = connect_socket ();
      UNIT_REQUIRE (fds[i] >= 0);
      run (2);
    }
  CU_ASSERT_EQUAL (serve (&exchange), 0);
  CU_ASSERT (fixture.board->counters[TT_COUNT_CALLERS_CLOSED] >= 3);
  tt_http_server_check (fixture.server, tt_clock_now_us () + 11 * TT_SECOND_US);
  for (unsigned ms = 0; ms < RUN_LIMIT_MS && tt_http_server_count_connections (fixture.server) > 0;
       ms++)
    run (1);
  CU_ASSERT_EQUAL (tt_http_server_count_connections (fixture.server), 0);
  intake_server_close (&fixture);
  for (unsigned i = 0; i < 6; i++)
    (void) close (fds[i]);
}

static const UnitTest tests[] = {
  { "requests_after_handshake", requests_after_handshake },
  { "reset_connections", reset_connections },
  { "handshakes_that_do_not_begin", handshakes_that_do_not_begin },
};

int
main (void)
{
  int code;

  (void) signal (SIGPIPE, SIG_IGN);
  write_certificate ();
  code = unit_run ("http_tls", tests, sizeof tests / sizeof tests[0]);
  (void) unlink (certificate_file);
  (void) unlink (key_file);
  g_free (certificate_file);
  g_free (key_file);
  return code;
}
