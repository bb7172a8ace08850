"""The review's stand-in of the platform, with client accounts in its configuration and keys in
its requests."""
import json

from platform_bed import Bed, call

LIMITS = {"header_bytes": 16384, "body_bytes": 262144, "header_timeout_ms": 3000, "idle_ms": 15000}
ROUTE = {"kind": "non_idempotent", "timeout_ms": 3000, "slo_ms": 2500, "prio": 0, "attempts": 4,
         "stretch": 2.0, "host": "jobs.example"}


class AccountBed(Bed):
    async def configure(self, version, routes, services, accounts=None):
        """Writes a configuration; False while the store is down.

        accounts: None in a deployment without accounts."""
        config = {
            "version": version,
            "routes": [dict(ROUTE, **route) for route in routes],
            "services": [{"name": name, "health_path": "/health", "max_conns": 64, "protocol": "h1",
                          "tls": False, "admission_check": False, "spare": spare}
                         for name, spare in services],
            "limits": LIMITS}
        if accounts is not None:
            config["tenants"] = accounts
        written = await self.store.put("keyed.op", "config", json.dumps(config).encode())
        if written:
            self.record("operator: configuration %d" % version)
        return written

    async def request(self, node, method, path, body=None, deadline_ms=3000, key=None):
        headers = {"Host": "jobs.example", "Deadline-Ms": str(deadline_ms)}
        if key is not None:
            headers["Authorization"] = "Bearer " + key
        answer = await call(self.node_ip(node), self.port, method, path, body, headers,
                            timeout_s=deadline_ms / 1000)
        status = answer[0] if answer else None
        text = answer[1].decode("utf-8", "replace") if answer else "no answer"
        self.record("client: %s %s at node %d: %s %s" % (method, path, node, status, text[:200]))
        return status, text
