#include "commands.h"
#include "document.h"
#include "head.h"
#include "tarragontrack/board/error.h"
#include "tarragontrack/codec/digest.h"
#include "tarragontrack/codec/object.h"
#include <json-c/json.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define MAX_HEAD_UPDATES 8 ///< an update conflicts with a concurrent change of another team
#define POLL_INTERVAL_US 200000UL

/// State of one apply command.
typedef struct
{
  const CtlOptions *options;
  CtlSession *session;
  TtDocument *document;
  TtObject object;   ///< documents/HASH
  gint64 base_epoch; ///< epoch that the edited file is based on; -1 = unknown
  CtlHead head;
  uint64_t epoch; ///< epoch that this change creates
} Change;

/// Prints the result of an apply command.
static void
print_apply_result (const Change *change, const char *state)
{
  if (change->options->json)
    {
      json_object *result = json_object_new_object ();

      json_object_object_add (result, "team", json_object_new_string (change->document->team));
      json_object_object_add (result, "epoch", json_object_new_uint64 (change->epoch));
      json_object_object_add (result, "state", json_object_new_string (state));
      (void) printf ("%s\n", json_object_to_json_string (result));
      json_object_put (result);
    }
  else
    (void) printf ("team %s: epoch %" G_GUINT64_FORMAT " is %s\n", change->document->team,
                   change->epoch, state);
}

/// Reports a conflict with another operator's change: prints both documents and the keys that
/// differ.
static CtlExit
print_conflict (Change *change, const TtHeadTeam *team)
{
  char *text = NULL;
  char *author = NULL;
  int code = ctl_head_read_document (change->session, team, &text, &author);

  if (code < 0)
    return ctl_session_print_error (change->options->platform, code);
  (void) fprintf (stderr,
                  "tarragonctl: conflict, nothing was written: epoch %" G_GUINT64_FORMAT
                  " of team %s was applied by %s, your file is based on %s%" G_GINT64_FORMAT "\n",
                  team->epoch, team->team, author,
                  change->base_epoch < 0 ? "no known epoch, " : "epoch ", change->base_epoch);
  (void) printf ("--- epoch %" G_GUINT64_FORMAT " by %s\n%s\n--- your file\n%s\n--- changed keys\n",
                 team->epoch, author, text, change->object.document.text);
  ctl_document_print_diff (text, change->object.document.text);
  g_free (text);
  g_free (author);
  return CTL_EXIT_CONFLICT;
}

/// Fills in the object documents/HASH. HASH is the hash of the whole encoded object, not only of
/// the document's text.
static int
encode_document (Change *change, const char *text, gsize size)
{
  TtDocumentObject *document = &change->object.document;
  char *stored = NULL;
  size_t stored_size = 0;
  TtError error = { 0 };
  int code;

  change->object.type = TT_OBJECT_DOCUMENT;
  (void) g_strlcpy (document->team, change->document->team, sizeof document->team);
  (void) g_strlcpy (document->author,
                    change->options->author != NULL ? change->options->author : "unknown",
                    sizeof document->author);
  document->staged_s = g_get_real_time () / G_USEC_PER_SEC;
  document->text = text;
  document->text_size = (uint32_t) size;
  code = tt_object_encode (&change->object, "documents/", &stored, &stored_size, &error);
  if (code == TT_OK)
    code = tt_digest_compute (stored, stored_size, &document->hash);
  free (stored);
  return code;
}

/// Stores the object documents/HASH. The key contains the hash of the content, so an existing
/// object under this key has the same content, and a conflict counts as success.
static int
store_document (Change *change)
{
  char key[TT_KEY_MAX];
  int code;

  ctl_session_format_document_key (&change->object.document.hash, key);
  code = ctl_session_call (change->session, TT_PLATFORM_PUT, key, 0, &change->object, NULL, NULL);
  return code == TT_E_CONFLICT ? TT_OK : code;
}

/// Adds the change to the copy of the head in @change and copies that head to @object.
static void
add_change_to_head (Change *change, TtObject *object)
{
  CtlHead *head = &change->head;
  TtHeadTeam *team;

  object->type = TT_OBJECT_HEAD;
  if (head->object.generation == 0)
    head->object.generation = 1;
  change->epoch = ++head->object.epoch;
  team = ctl_head_find_team (head, change->document->team);
  if (team == NULL)
    {
      team = &head->object.teams[head->object.team_count++];
      (void) g_strlcpy (team->team, change->document->team, sizeof team->team);
    }
  team->epoch = change->epoch;
  team->hash = change->object.document.hash;
  object->head = head->object;
}

/// Tries one conditional update of the head. After a timeout, reads the head back to find out
/// whether the write took effect.
///
/// RETURN     TT_OK if the change is staged, TT_E_CONFLICT if the caller must read the head again,
///            or another error number
static int
update_head (Change *change)
{
  TtObject *object = g_new0 (TtObject, 1);
  const TtHeadTeam *team;
  int code;

  add_change_to_head (change, object);
  code = ctl_session_call (change->session, TT_PLATFORM_PUT, "config/head", change->head.version,
                           object, NULL, NULL);
  g_free (object);
  if (code == TT_E_TIMEOUT && ctl_head_read (change->session, &change->head) == TT_OK)
    {
      team = ctl_head_find_team (&change->head, change->document->team);
      if (team != NULL && tt_digest_equal (&team->hash, &change->object.document.hash))
        {
          change->epoch = team->epoch;
          return TT_OK;
        }
      return TT_E_CONFLICT;
    }
  return code;
}

/// Stages the change, unless another operator changed the team's document first.
static CtlExit
stage_change (Change *change)
{
  int code = store_document (change);

  for (int i = 0; code == TT_OK && i < MAX_HEAD_UPDATES; i++)
    {
      const TtHeadTeam *team;

      code = ctl_head_read (change->session, &change->head);
      if (code < 0)
        break;
      team = ctl_head_find_team (&change->head, change->document->team);
      if (team != NULL && (gint64) team->epoch != change->base_epoch)
        return print_conflict (change, team);
      if (team == NULL && change->head.object.team_count == TT_MAX_TEAMS)
        return ctl_session_print_error ("config/head", TT_E_LIMIT);
      code = update_head (change);
      if (code == TT_OK)
        return CTL_EXIT_OK;
      if (code == TT_E_CONFLICT)
        code = TT_OK;
    }
  return ctl_session_print_error (change->options->platform, code == TT_OK ? TT_E_CONFLICT : code);
}

static void
on_accepted_read (void *context, const TtPlatformEvent *response)
{
  uint64_t *epoch = context;

  if (response->object != NULL && response->object->type == TT_OBJECT_ACCEPTED)
    *epoch = response->object->accepted.epoch;
}

/// Polls config/accepted until the change is accepted or CtlOptions.wait_s has passed. Returns
/// whether it is accepted.
static bool
wait_accepted (const Change *change)
{
  gint64 end = g_get_monotonic_time () + (gint64) change->options->wait_s * G_USEC_PER_SEC;
  uint64_t accepted = 0;

  while (accepted < change->epoch && g_get_monotonic_time () < end)
    {
      (void) ctl_session_call (change->session, TT_PLATFORM_GET, "config/accepted", 0, NULL,
                               on_accepted_read, &accepted);
      if (accepted < change->epoch)
        g_usleep (POLL_INTERVAL_US);
    }
  return accepted >= change->epoch;
}

/// Stages a validated document and, with CtlOptions.wait_s, waits until it is accepted.
static CtlExit
apply_document (Change *change, const char *text, gsize size)
{
  CtlExit code;

  change->base_epoch = change->options->base_epoch >= 0 ? change->options->base_epoch
                                                        : ctl_document_base_epoch (text);
  if (encode_document (change, text, size) < 0)
    return CTL_EXIT_FAILED;
  code = stage_change (change);
  if (code == CTL_EXIT_OK)
    {
      bool accepted = change->options->wait_s > 0 && wait_accepted (change);

      print_apply_result (change, accepted ? "accepted" : "staged");
      if (change->options->wait_s > 0 && !accepted)
        code = CTL_EXIT_EFFECT_UNKNOWN;
    }
  return code;
}

CtlExit
ctl_apply (const CtlOptions *options, int count, char **arguments)
{
  Change *change = g_new0 (Change, 1);
  TtError error = { 0 };
  char *text = NULL;
  gsize size = 0;
  CtlExit code;

  (void) count;
  change->options = options;
  change->document = g_new0 (TtDocument, 1);
  code = ctl_document_read (arguments[0], &text, &size, change->document, &error);
  if (code == CTL_EXIT_OK)
    {
      change->session = ctl_session_new (options);
      code = apply_document (change, text, size);
      ctl_session_free (change->session);
    }
  else
    {
      char line[TT_ERROR_PEER_MAX + TT_ERROR_DETAIL_MAX + 64];

      tt_error_format (&error, line, sizeof line);
      (void) fprintf (stderr, "tarragonctl: %s\n", line);
    }
  g_free (text);
  g_free (change->document);
  g_free (change);
  return code;
}
