#include "support/unit.h"
#include "tarragontrack/codec/settings.h"
#include <stdio.h>
#include <string.h>

#define KEY "rq:rM>}U?@Lns47E1%kR.o@n%FcmmsL/@{H8]yf7"
#define TOP "{\"fleet\": \"f\", \"name\": \"d1\", \"domain\": \"x\", \"region\": \"r\", // names\n"
#define CALLER "\"caller\": {\"address\": \"0.0.0.0\", \"port\": 8080},\n"
#define OPERATOR "\"operator\": {\"address\": \"::1\", \"port\": 9090},\n"
#define PEER "\"peer\": {\"address\": \"127.0.0.1\", \"port\": 7001},\n"
#define PLATFORM "\"platform\": {\"url\": \"http://127.0.0.1:8500\"}\n"
#define CURVE                                                                                      \
  ", \"curve\": {\"secret_key\": \"" KEY "\", \"public_key\": \"" KEY                              \
  "\", \"accepted_keys\": [\"" KEY "\"]}"

/// Guards against values that are not stored and against missing defaults.
static void
valid_settings (void)
{
  static const char text[] = TOP CALLER OPERATOR PEER PLATFORM CURVE
      ", /* note */ \"limits\": {\"max_requests\": 10}}\n// end\n";
  TtSettings settings;
  TtError error;

  CU_ASSERT_EQUAL (tt_settings_parse (text, strlen (text), "d.json", &settings, &error), TT_OK);
  CU_ASSERT_STRING_EQUAL (settings.domain, "x");
  CU_ASSERT_EQUAL (settings.caller.port, 8080);
  CU_ASSERT_STRING_EQUAL (settings.operators.address, "::1");
  CU_ASSERT_STRING_EQUAL (settings.platform_url, "http://127.0.0.1:8500");
  CU_ASSERT_EQUAL (settings.max_requests, 10);
  CU_ASSERT_EQUAL (settings.max_header_bytes, 16384);
  CU_ASSERT_EQUAL (settings.bounds.drain_announce_ms, 5000);
  CU_ASSERT (settings.curve.enabled && settings.curve.accepted_count == 1);
  CU_ASSERT_STRING_EQUAL (settings.curve.accepted_keys[0], KEY);
}

/// Guards against ignoring the port in an address of the form IP:PORT, and against not storing the
/// bounds of a deployment with a routing table.
static void
routing_table_settings (void)
{
  static const char text[]
      = TOP "\"caller\": {\"address\": \"10.1.0.4:8227\"}, \"operator\": {\"address\": "
            "\"10.1.0.4:8220\"}," PEER "\"platform\": {\"url\": \"http://10.2.0.7:82\", "
            "\"configuration\": \"routes\"}, \"bounds\": {\"load_factor\": 2.5, "
            "\"repeat_slack\": 56}}";
  TtSettings settings;
  TtError error;

  CU_ASSERT_EQUAL (tt_settings_parse (text, strlen (text), "d.json", &settings, &error), TT_OK);
  CU_ASSERT_STRING_EQUAL (settings.caller.address, "10.1.0.4");
  CU_ASSERT_EQUAL (settings.caller.port, 8227);
  CU_ASSERT_EQUAL (settings.operators.port, 8220);
  CU_ASSERT_EQUAL (settings.configuration, TT_CONFIGURATION_ROUTES);
  CU_ASSERT_DOUBLE_EQUAL (settings.bounds.load_factor, 2.5, 0.0);
  CU_ASSERT_EQUAL (settings.bounds.repeat_slack, 56);
  CU_ASSERT_EQUAL (settings.bounds.repeat_window_ms, 10000);
}

/// Guards against a daemon that rejects a bound stated as a fraction or in seconds, and against
/// seconds that are taken for milliseconds.
static void
fractional_bounds (void)
{
  static const char text[] = TOP CALLER OPERATOR PEER PLATFORM
      ", \"bounds\": {\"repeat_slack\": 630.5, \"repeat_window_s\": 2.5, \"settle_ms\": 1500.75, "
      "\"leaving_s\": 0.25, \"config_s\": 2}}";
  TtSettings settings;
  TtError error;

  CU_ASSERT_EQUAL (tt_settings_parse (text, strlen (text), "d.json", &settings, &error), TT_OK);
  CU_ASSERT_DOUBLE_EQUAL (settings.bounds.repeat_slack, 630.5, 0.0);
  CU_ASSERT_EQUAL (settings.bounds.repeat_window_ms, 2500);
  CU_ASSERT_EQUAL (settings.bounds.settle_ms, 1500);
  CU_ASSERT_EQUAL (settings.bounds.leaving_ms, 250);
  CU_ASSERT_EQUAL (settings.bounds.config_ms, 2000);
}

/// Guards against a shutdown that is still waiting for requests when the process is killed.
static void
drain_fits_grace (void)
{
  static const struct
  {
    const char *drain;
    uint32_t announce_ms;
    uint32_t min_limit_ms;
    uint32_t max_limit_ms;
  } cases[] = {
    { "\"announce_s\": 2.9, \"grace_s\": 8", 2900, 6667, 7999 },
    { "\"announce_s\": 2.9, \"grace_s\": 2.5", 937, 2084, 2499 },
    { "\"announce_s\": 2.9, \"grace_s\": 30", 2900, 25000, 29999 },
    { "\"limit_ms\": 1000, \"grace_s\": 30", 5000, 1000, 1000 },
    { "\"announce_s\": 2.9", 2900, 0, 0 },
  };

  for (size_t i = 0; i < sizeof cases / sizeof cases[0]; i++)
    {
      char text[1024];
      TtSettings settings;
      TtError error;

      (void) snprintf (text, sizeof text, TOP CALLER OPERATOR PEER PLATFORM ", \"drain\": {%s}}",
                       cases[i].drain);
      CU_ASSERT_EQUAL (tt_settings_parse (text, strlen (text), "d.json", &settings, &error), TT_OK);
      CU_ASSERT_EQUAL (settings.bounds.drain_announce_ms, cases[i].announce_ms);
      CU_ASSERT (settings.bounds.drain_limit_ms >= cases[i].min_limit_ms
                 && settings.bounds.drain_limit_ms <= cases[i].max_limit_ms);
    }
}

/// Guards against a changed key that is not listed, or that is listed as reloadable although it
/// requires a restart.
static void
changed_keys (void)
{
  static const char text[] = TOP CALLER OPERATOR PEER PLATFORM "}";
  TtSettings before;
  TtSettings after;
  TtError error;
  char keys[64];

  UNIT_REQUIRE (tt_settings_parse (text, strlen (text), "d.json", &before, &error) == TT_OK);
  after = before;
  tt_settings_diff (&before, &after, true, keys, sizeof keys);
  CU_ASSERT_STRING_EQUAL (keys, "none");
  after.bounds.repeat_slack++;
  after.bounds.drain_limit_ms++;
  after.max_requests++;
  tt_settings_diff (&before, &after, true, keys, sizeof keys);
  CU_ASSERT_STRING_EQUAL (keys, "drain.limit_ms,bounds.repeat_slack");
  tt_settings_diff (&before, &after, false, keys, sizeof keys);
  CU_ASSERT_STRING_EQUAL (keys, "limits.max_requests");
  after.curve.accepted_keys[1][0] = 'x';
  tt_settings_diff (&before, &after, true, keys, 10);
  CU_ASSERT_STRING_EQUAL (keys, "drain.lim");
}

/// Guards against errors that do not contain the file, the line or key, and the expected value.
static void
invalid_settings (void)
{
  static const struct
  {
    const char *text;
    int code;
    const char *detail;
  } cases[] = {
    { TOP CALLER, TT_E_MALFORMED, "line 3: expected more text" },
    { TOP "\"caller\": }", TT_E_MALFORMED, "line 2: " },
    { TOP CALLER OPERATOR PEER PLATFORM "}}", TT_E_MALFORMED, "unexpected text after the value" },
    { TOP CALLER OPERATOR PEER PLATFORM "} {}", TT_E_MALFORMED, "unexpected text after the value" },
    { TOP CALLER OPERATOR PEER PLATFORM "}rest", TT_E_MALFORMED,
      "unexpected text after the value" },
    { TOP CALLER OPERATOR PLATFORM "}", TT_E_INVALID, "peer: expected a value" },
    { TOP CALLER OPERATOR PEER PLATFORM ", \"limit\": {}}", TT_E_INVALID, "limit: expected no" },
    { TOP CALLER OPERATOR PEER PLATFORM ", \"limits\": {\"max_requests\": 0}}", TT_E_INVALID,
      "limits.max_requests: expected a whole number from 1" },
    { TOP CALLER OPERATOR PEER PLATFORM ", \"drain\": {\"limit_ms\": \"5\"}}", TT_E_INVALID,
      "drain.limit_ms: expected a number from 0 to 3.6e+06 ms" },
    { TOP CALLER OPERATOR PEER PLATFORM ", \"drain\": {\"limit_s\": 3601}}", TT_E_INVALID,
      "drain.limit_s: expected a number from 0 to 3600 s" },
    { TOP CALLER OPERATOR PEER PLATFORM ", \"drain\": {\"limit_s\": 1, \"limit_ms\": 1000}}",
      TT_E_INVALID, "drain.limit_s: expected no second value" },
    { TOP CALLER OPERATOR PEER PLATFORM ", \"limits\": {\"max_requests\": 2.5}}", TT_E_INVALID,
      "limits.max_requests: expected a whole number" },
    { TOP "\"caller\": {\"address\": \"localhost\", \"port\": 1}," OPERATOR PEER PLATFORM "}",
      TT_E_INVALID, "caller.address: expected an IP number" },
    { TOP CALLER OPERATOR "\"peer\": {\"address\": \"0.0.0.0\", \"port\": 1}," PLATFORM "}",
      TT_E_INVALID, "peer.address: expected an IP number that" },
    { TOP CALLER OPERATOR PEER "\"platform\": {\"url\": \"http://127.0.0.1:80/x\"}}", TT_E_INVALID,
      "platform.url: expected http://IP:PORT" },
    { TOP CALLER OPERATOR PEER "\"platform\": {\"url\": \"http://platform:80\"}}", TT_E_INVALID,
      "platform.url" },
    { TOP
      "\"caller\": {\"address\": \"::\", \"port\": 1, \"key_file\": \"k\"}," OPERATOR PEER PLATFORM
      "}",
      TT_E_INVALID, "caller: expected certificate_file and key_file" },
    { TOP CALLER OPERATOR PEER PLATFORM
      ", \"curve\": {\"secret_key\": \"x\", \"public_key\": \"" KEY "\", \"accepted_keys\": []}}",
      TT_E_INVALID, "curve.secret_key: expected 40 Z85 digits" },
    { TOP CALLER OPERATOR PEER PLATFORM ", \"curve\": {\"secret_key\": \"" KEY
                                        "\", \"public_key\": \"" KEY "\", \"accepted_keys\": []}}",
      TT_E_INVALID, "curve.accepted_keys: expected an array of 1 to 8" },
  };

  for (size_t i = 0; i < sizeof cases / sizeof cases[0]; i++)
    {
      TtSettings settings;
      TtError error;

      CU_ASSERT_EQUAL (
          tt_settings_parse (cases[i].text, strlen (cases[i].text), "d.json", &settings, &error),
          cases[i].code);
      CU_ASSERT_STRING_EQUAL (error.peer, "d.json");
      CU_ASSERT_EQUAL (error.step, TT_STEP_SETTINGS);
      CU_ASSERT_PTR_NOT_NULL (strstr (error.detail, cases[i].detail));
      if (strstr (error.detail, cases[i].detail) == NULL)
        printf ("[case %zu: %s] ", i, error.detail);
    }
}

/// Guards against a "file not found" error without the file's name, and against keys that the
/// tables do not list.
static void
missing_file_and_key_tables (void)
{
  TtSettings settings;
  TtError error;
  const char *name;
  size_t count;
  unsigned tables = 0;
  size_t keys = 0;

  CU_ASSERT_EQUAL (tt_settings_load ("/nonexistent/d.json", &settings, &error), TT_E_NOT_FOUND);
  CU_ASSERT_STRING_EQUAL (error.peer, "/nonexistent/d.json");
  while (tt_settings_fields (tables, &name, &count) != NULL)
    {
      tables++;
      keys += count;
    }
  CU_ASSERT (tables == 10 && keys == 50);
}

static const UnitTest tests[] = {
  { "valid_settings", valid_settings },
  { "routing_table_settings", routing_table_settings },
  { "fractional_bounds", fractional_bounds },
  { "drain_fits_grace", drain_fits_grace },
  { "changed_keys", changed_keys },
  { "invalid_settings", invalid_settings },
  { "missing_file_and_key_tables", missing_file_and_key_tables },
};

UNIT_MAIN ("settings", tests)
