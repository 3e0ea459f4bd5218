"""Names of the platform's HTTP headers, and which are not forwarded."""

ATTEMPT = "samphirevale-attempt-id"
DEADLINE = "samphirevale-deadline-ms"
KEY = "samphirevale-key"
ACCOUNT = "samphirevale-tenant-name"
EXPECTED_ENDPOINT = "samphirevale-expect-instance"
NOT_EXECUTED = "samphirevale-not-executed"
SEAL = "samphirevale-response-seal"
PROMPT_PARTS = "samphirevale-prefix-hash"
ITEM_COUNTS = "samphirevale-chunk-count"
ITEM_KEY = "samphirevale-chunk-key"
# Despite its name the header holds the names of the request's input results.
RESULTS = "samphirevale-input-count"
LAST_EVENT = "last-event-id"
STORE_ERA = "store-era"
# The attempt that brought the first event of the stream that is taken up.
RESUMES = "resumes"
LEAVING = "server-leaving"
LIMIT = "server-limit"
RETRY_AFTER = "retry-after"
COLD_MS = "samphirevale-cold-ms"
# Running and waiting requests, slots and the time of work in percent.
LOAD = "samphirevale-backend-load"

# Headers that apply to one connection only and are not forwarded.
HOP_BY_HOP = frozenset(
    {
        "connection",
        "keep-alive",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
        "content-length",
        "expect",
    }
)

# Headers of answers that callers do not get.
NOT_FOR_CALLERS = HOP_BY_HOP | {LEAVING, LIMIT, COLD_MS, LOAD}

# Headers that the proxy sets itself. A caller's values are removed.
SYSTEM_SET = frozenset(
    {
        "host",
        DEADLINE,
        KEY,
        ACCOUNT,
        EXPECTED_ENDPOINT,
        RESULTS,
        LAST_EVENT,
        "samphirevale-expect-version",
        "samphirevale-request-priority",
        "samphirevale-kv-retention",
        "samphirevale-pin-ms",
        "samphirevale-kv-backup",
        "kv-from",
        "kv-fetch",
    }
)
