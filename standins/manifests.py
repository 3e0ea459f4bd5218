"""What the users' platform store holds at first: manifest, registrations."""


def build_manifest(version=1, keys=("k1",), **changes):
    """Returns a manifest with a route of each kind."""

    def build_route(path, kind, service, **fields):
        return {
            "name": path,
            "host": "h.example",
            "path_prefix": path,
            "kind": kind,
            "timeout_ms": 3000,
            "ttft_target_ms": 1000,
            "priority": 0,
            "service": service,
            "max_attempts": 2,
            "anonymous": False,
            **fields,
        }

    stage = {
        "slots": 1,
        "queue": 2,
        "batch": 4,
        "call_ms": 10.0,
        "item_ms": 1.0,
        "headroom_mb": 1.0,
        "handle_ttl_s": 4.0,
        "link_mbps": 1000,
    }
    return {
        "version": version,
        "routes": [
            build_route("/read/", "idempotent", "plain", ttft_target_ms=200),
            build_route("/once/", "non_idempotent", "plain"),
            build_route(
                "/write/",
                "streaming",
                "model",
                resumable=True,
                phases=[
                    {"service": "first", "after": [], "length": 1000},
                    {"service": "first", "after": [0], "length": 1000},
                ],
            ),
        ],
        "services": [
            {"name": "plain", "max_connections": 10},
            {"name": "model", "max_connections": 10, "backend": {"slots": 4}},
            {"name": "first", "max_connections": 10, "segments": stage},
        ],
        "limits": {"max_body_bytes": 10000},
        "tenants": [{"name": "acme", "api_keys": list(keys)}],
        **changes,
    }


def build_registration(name, port, **changes):
    """Returns the registration of a server."""
    return {
        "service": name[:-1],
        "address": f"127.0.0.1:{port}",
        "zone": "a",
        "version": "",
        "slots": 4,
        "state": "ready",
        "sequence": 1,
        "born": 1,
        **changes,
    }
