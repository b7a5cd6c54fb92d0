#include "commands.h"
#include "session.h"
#include <json-c/json.h>
#include <stdio.h>
#include <string.h>

/// State of a scan of the audit trail, in the order of the entries' numbers.
typedef struct
{
  TtAuditObject entry;
  TtDigest expected;    ///< hash of the previous entry, which the next entry must contain
  bool found;           ///< whether the last read returned an entry
  uint64_t last_number; ///< number of the last entry, from config/accepted
} AuditScan;

static void
on_accepted_read (void *context, const TtPlatformEvent *response)
{
  AuditScan *scan = context;

  if (response->object != NULL && response->object->type == TT_OBJECT_ACCEPTED)
    scan->last_number = response->object->accepted.audit_number;
}

static void
on_entry_read (void *context, const TtPlatformEvent *response)
{
  AuditScan *scan = context;

  scan->found = response->object != NULL && response->object->type == TT_OBJECT_AUDIT;
  if (scan->found)
    scan->entry = response->object->audit;
}

/// Formats a Unix time as text in UTC; "-" if it is out of range.
static char *
format_time (int64_t seconds)
{
  GDateTime *time = g_date_time_new_from_unix_utc (seconds);
  char *text = time != NULL ? g_date_time_format (time, "%Y-%m-%dT%H:%M:%SZ") : g_strdup ("-");

  if (time != NULL)
    g_date_time_unref (time);
  return text;
}

static void
print_entry (const TtAuditObject *entry, bool verified)
{
  char *staged = format_time (entry->staged_s);
  char *accepted = format_time (entry->accepted_s);

  (void) printf ("%4" G_GUINT64_FORMAT "  epoch %" G_GUINT64_FORMAT "  %s by %s\n", entry->number,
                 entry->epoch, entry->team, entry->author);
  (void) printf ("      staged %s, accepted %s%s\n", staged, accepted,
                 verified ? "" : "  CHAIN BROKEN");
  for (uint32_t i = 0; i < entry->domain_count; i++)
    {
      char *time = format_time (entry->domains[i].in_force_s);

      (void) printf ("      %-20s %s %s\n", entry->domains[i].name,
                     entry->domains[i].excluded ? "cut off, refuses since" : "in force", time);
      g_free (time);
    }
  g_free (staged);
  g_free (accepted);
}

/// Converts an entry to JSON.
static json_object *
entry_to_json (const TtAuditObject *entry, bool verified)
{
  json_object *object = json_object_new_object ();
  json_object *domains = json_object_new_array ();

  json_object_object_add (object, "number", json_object_new_uint64 (entry->number));
  json_object_object_add (object, "epoch", json_object_new_uint64 (entry->epoch));
  json_object_object_add (object, "team", json_object_new_string (entry->team));
  json_object_object_add (object, "author", json_object_new_string (entry->author));
  json_object_object_add (object, "staged_s", json_object_new_int64 (entry->staged_s));
  json_object_object_add (object, "accepted_s", json_object_new_int64 (entry->accepted_s));
  json_object_object_add (object, "verified", json_object_new_boolean (verified));
  for (uint32_t i = 0; i < entry->domain_count; i++)
    {
      json_object *domain = json_object_new_object ();

      json_object_object_add (domain, "name", json_object_new_string (entry->domains[i].name));
      json_object_object_add (domain, "in_force_s",
                              json_object_new_int64 (entry->domains[i].in_force_s));
      json_object_object_add (domain, "excluded",
                              json_object_new_boolean (entry->domains[i].excluded));
      (void) json_object_array_add (domains, domain);
    }
  json_object_object_add (object, "domains", domains);
  return object;
}

/// Reads, verifies and prints all entries. A missing entry counts as a broken chain.
static CtlExit
verify_trail (CtlSession *session, const CtlOptions *options, AuditScan *scan)
{
  json_object *array = json_object_new_array ();
  uint64_t broken_entries = 0;
  int code = TT_OK;

  for (uint64_t number = 1; number <= scan->last_number && code == TT_OK; number++)
    {
      char key[TT_KEY_MAX];
      bool verified;

      (void) snprintf (key, sizeof key, "audit/%" G_GUINT64_FORMAT, number);
      code = ctl_session_call (session, TT_PLATFORM_GET, key, 0, NULL, on_entry_read, scan);
      if (code < 0 || !scan->found)
        break;
      verified = scan->entry.number == number
                 && tt_digest_equal (&scan->entry.previous_hash, &scan->expected);
      broken_entries += verified ? 0 : 1;
      scan->expected = scan->entry.hash;
      if (options->json)
        (void) json_object_array_add (array, entry_to_json (&scan->entry, verified));
      else
        print_entry (&scan->entry, verified);
    }
  if (options->json)
    (void) printf ("%s\n", json_object_to_json_string (array));
  json_object_put (array);
  if (code == TT_E_NOT_FOUND)
    broken_entries++;
  else if (code < 0)
    return ctl_session_print_error (options->platform, code);
  if (!options->json)
    (void) printf ("%" G_GUINT64_FORMAT " entries, %s\n", scan->last_number,
                   broken_entries == 0 ? "the hash chain is valid" : "THE HASH CHAIN IS BROKEN");
  return broken_entries == 0 ? CTL_EXIT_OK : CTL_EXIT_FAILED;
}

CtlExit
ctl_audit (const CtlOptions *options, int count, char **arguments)
{
  CtlSession *session = ctl_session_new (options);
  AuditScan *scan = g_new0 (AuditScan, 1);
  int code;
  CtlExit result;

  (void) count;
  (void) arguments;
  code = ctl_session_call (session, TT_PLATFORM_GET, "config/accepted", 0, NULL, on_accepted_read,
                           scan);
  if (code < 0 && code != TT_E_NOT_FOUND)
    result = ctl_session_print_error (options->platform, code);
  else
    result = verify_trail (session, options, scan);
  g_free (scan);
  ctl_session_free (session);
  return result;
}
