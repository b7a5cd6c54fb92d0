#include "tarragontrack/codec/object_tables.h"

#define FIELD(type, member) offsetof (type, member), sizeof (((type *) 0)->member)
#define TABLE(array)                                                                               \
  {                                                                                                \
    array, sizeof (array) / sizeof (array)[0]                                                      \
  }

static const char *const claim_states[] = { "absent", "claimed", "done", "not-run", NULL };

// Offsets of top-level fields are relative to TtObject.
static const TtObjectField head_fields[] = {
  { "generation", TT_FIELD_U64, FIELD (TtObject, head.generation) },
  { "epoch", TT_FIELD_U64, FIELD (TtObject, head.epoch) },
};

static const TtObjectField document_fields[] = {
  { "team", TT_FIELD_STRING, FIELD (TtObject, document.team) },
  { "author", TT_FIELD_STRING, FIELD (TtObject, document.author) },
  { "staged_s", TT_FIELD_I64, FIELD (TtObject, document.staged_s) },
};

static const TtObjectField accepted_fields[] = {
  { "generation", TT_FIELD_U64, FIELD (TtObject, accepted.generation) },
  { "epoch", TT_FIELD_U64, FIELD (TtObject, accepted.epoch) },
  { "audit_number", TT_FIELD_U64, FIELD (TtObject, accepted.audit_number) },
};

static const TtObjectField domain_fields[] = {
  { "domain", TT_FIELD_STRING, FIELD (TtObject, domain.domain) },
  { "reporter", TT_FIELD_ID64, FIELD (TtObject, domain.reporter_id) },
  { "generation", TT_FIELD_U64, FIELD (TtObject, domain.generation) },
  { "epoch", TT_FIELD_U64, FIELD (TtObject, domain.epoch) },
  { "members", TT_FIELD_U32, FIELD (TtObject, domain.members) },
  { "confirmed_s", TT_FIELD_I64, FIELD (TtObject, domain.confirmed_s) },
  { "report_number", TT_FIELD_U64, FIELD (TtObject, domain.report_number) },
};

static const TtObjectField lease_fields[] = {
  { "holder_id", TT_FIELD_ID64, FIELD (TtObject, lease.holder_id) },
  { "holder", TT_FIELD_STRING, FIELD (TtObject, lease.holder) },
  { "fencing", TT_FIELD_U64, FIELD (TtObject, lease.fencing_token) },
  { "duration_ms", TT_FIELD_U32, FIELD (TtObject, lease.duration_ms) },
  { "released", TT_FIELD_BOOL, FIELD (TtObject, lease.released) },
};

static const TtObjectField orders_fields[] = {
  { "fencing", TT_FIELD_U64, FIELD (TtObject, orders.fencing_token) },
};

static const TtObjectField audit_fields[] = {
  { "number", TT_FIELD_U64, FIELD (TtObject, audit.number) },
  { "previous", TT_FIELD_DIGEST, FIELD (TtObject, audit.previous_hash) },
  { "generation", TT_FIELD_U64, FIELD (TtObject, audit.generation) },
  { "epoch", TT_FIELD_U64, FIELD (TtObject, audit.epoch) },
  { "team", TT_FIELD_STRING, FIELD (TtObject, audit.team) },
  { "author", TT_FIELD_STRING, FIELD (TtObject, audit.author) },
  { "document", TT_FIELD_DIGEST, FIELD (TtObject, audit.document_hash) },
  { "staged_s", TT_FIELD_I64, FIELD (TtObject, audit.staged_s) },
  { "accepted_s", TT_FIELD_I64, FIELD (TtObject, audit.accepted_s) },
};

static const TtObjectField team_fields[] = {
  { "team", TT_FIELD_STRING, FIELD (TtHeadTeam, team) },
  { "epoch", TT_FIELD_U64, FIELD (TtHeadTeam, epoch) },
  { "hash", TT_FIELD_DIGEST, FIELD (TtHeadTeam, hash) },
};

static const TtObjectField claim_fields[] = {
  { "key", TT_FIELD_ID128, FIELD (TtClaimEntry, key) },
  { "attempt", TT_FIELD_ID128, FIELD (TtClaimEntry, attempt) },
  { "body", TT_FIELD_ID64, FIELD (TtClaimEntry, body_hash) },
  { "state", TT_FIELD_CHOICE, FIELD (TtClaimEntry, state), .choices = claim_states },
  { "written_s", TT_FIELD_I64, FIELD (TtClaimEntry, written_s) },
  { "status", TT_FIELD_U16, FIELD (TtClaimEntry, status), .optional = true },
  { "cut", TT_FIELD_BOOL, FIELD (TtClaimEntry, outcome_truncated), .optional = true },
};

static const TtObjectField wanted_fields[] = {
  { "backend", TT_FIELD_ID64, FIELD (TtWantedRole, backend_id) },
  { "model", TT_FIELD_STRING, FIELD (TtWantedRole, role.model) },
  { "adapter", TT_FIELD_STRING, FIELD (TtWantedRole, role.adapter), .optional = true },
  { "version", TT_FIELD_STRING, FIELD (TtWantedRole, role.version), .optional = true },
  { "role", TT_FIELD_STRING, FIELD (TtWantedRole, role.role) },
};

static const TtObjectField audit_domain_fields[] = {
  { "name", TT_FIELD_STRING, FIELD (TtAuditDomain, name) },
  { "in_force_s", TT_FIELD_I64, FIELD (TtAuditDomain, in_force_s) },
  { "excluded", TT_FIELD_BOOL, FIELD (TtAuditDomain, excluded), .optional = true },
};

static const TtObjectField host_fields[] = {
  { "name", TT_FIELD_STRING, FIELD (TtHostEntry, name) },
  { "address", TT_FIELD_STRING, FIELD (TtHostEntry, address) },
  { "port", TT_FIELD_U16, FIELD (TtHostEntry, port) },
  { "domain", TT_FIELD_STRING, FIELD (TtHostEntry, domain) },
  { "entry_host", TT_FIELD_BOOL, FIELD (TtHostEntry, entry_host), .optional = true },
  { "leaving", TT_FIELD_BOOL, FIELD (TtHostEntry, leaving), .optional = true },
  { "service", TT_FIELD_STRING, FIELD (TtHostEntry, service), .optional = true },
  { "weight", TT_FIELD_DOUBLE, FIELD (TtHostEntry, weight), .optional = true },
  { "batch_limit", TT_FIELD_U32, FIELD (TtHostEntry, batch_limit), .optional = true },
  { "fencing", TT_FIELD_BOOL, FIELD (TtHostEntry, supports_fencing), .optional = true },
};

const TtObjectTable tt_object_team_table = TABLE (team_fields);
const TtObjectTable tt_object_claim_table = TABLE (claim_fields);
const TtObjectTable tt_object_wanted_table = TABLE (wanted_fields);
const TtObjectTable tt_object_audit_domain_table = TABLE (audit_domain_fields);
const TtObjectTable tt_object_host_table = TABLE (host_fields);

TtObjectTable
tt_object_table (TtObjectType type)
{
  static const TtObjectTable tables[] = {
    [TT_OBJECT_HEAD] = TABLE (head_fields),         [TT_OBJECT_DOCUMENT] = TABLE (document_fields),
    [TT_OBJECT_ACCEPTED] = TABLE (accepted_fields), [TT_OBJECT_DOMAIN] = TABLE (domain_fields),
    [TT_OBJECT_LEASE] = TABLE (lease_fields),       [TT_OBJECT_CLAIMS] = { head_fields, 0 },
    [TT_OBJECT_ORDERS] = TABLE (orders_fields),     [TT_OBJECT_AUDIT] = TABLE (audit_fields),
    [TT_OBJECT_HOSTS] = { head_fields, 0 },
  };

  return (unsigned) type < sizeof tables / sizeof tables[0] ? tables[type] : tables[0];
}
