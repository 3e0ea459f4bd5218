"""The names of the platform's headers, and which are passed on."""

ATTEMPT = "samphirevale-attempt-id"
DEADLINE = "samphirevale-deadline-ms"
KEY = "samphirevale-key"
ACCOUNT = "samphirevale-tenant-name"
EXPECTED_ENDPOINT = "samphirevale-expect-instance"
NOT_EXECUTED = "samphirevale-not-executed"
SEAL = "samphirevale-response-seal"
PROMPT_PARTS = "samphirevale-prefix-hash"
PIECE_COUNTS = "samphirevale-chunk-count"
PIECE_KEY = "samphirevale-chunk-key"
# Not a count: the names of the results that the request is to be given.
RESULTS = "samphirevale-input-count"
LAST_EVENT = "last-event-id"

# Concern one connection only.
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

# Set by the system, whatever the caller sent.
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
