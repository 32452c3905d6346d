"""In-memory model of the state service: keys, revisions, transactions, leases, watches and rate limits.

Does no I/O. On the wire a revision is an ``epoch`` or ``stamp``, a lease a hold, and its ID a ``permit``.
"""

from __future__ import annotations

from typing import Any, NamedTuple

HISTORY_CHANGES = 10_000  # a watch from an older revision gets status 410
PAGE_ROWS = 1000
LEASE_EXPIRY_DELAY_S = 0.05  # a lease may expire up to 0.1 s late, never early


class Item(NamedTuple):
    """A key's value, the revision of its last change, and the lease that it is attached to."""

    data: Any
    revision: int
    lease_id: int | None


class Answer(NamedTuple):
    """Status and body of a response."""

    status: int
    body: dict


class TokenBucket:
    """Token bucket with a capacity of one second's tokens."""

    def __init__(self, rate: float) -> None:
        """``rate``: tokens per second."""
        self.rate, self.tokens, self.refilled_at = rate, rate, 0.0

    def try_take(self, amount: float, now: float) -> bool:
        """Takes that many tokens if there are enough; returns whether it did."""
        self.tokens = min(self.rate, self.tokens + (now - self.refilled_at) * self.rate)
        self.refilled_at = now
        if self.tokens < amount:
            return False
        self.tokens -= amount
        return True


class StateModel:
    """All keys and leases, and the recent changes."""

    def __init__(self, requests_rate: float = 1e9, changes_rate: float = 1e9) -> None:
        """Rates are per second, as in the settings."""
        self.data: dict[str, Item] = {}
        self.history: list[dict] = []
        self.revision = 0
        self.leases: dict[int, tuple[float, float]] = {}  # lease ID -> TTL in s, expiry time
        self.last_lease_id = 0
        self.requests, self.changes = TokenBucket(requests_rate), TokenBucket(changes_rate)
        self.down = False
        self.counts = {"requests": 0, "refused": 0, "changes": 0, "conflicts": 0}

    def admit(self, now: float) -> Answer | None:
        """Expires leases and applies the request rate; None: the request may be served, else the refusal."""
        self.counts["requests"] += 1
        self._expire_leases(now)
        if self.down:
            return Answer(503, {"error": "trouble"})
        if not self.requests.try_take(1.0, now):
            self.counts["refused"] += 1
            return Answer(429, {"error": "too many requests"})
        return None

    def commit(self, body: dict, now: float) -> Answer:
        """Applies all writes of a transaction if its conditions hold, else none."""
        writes, conditions = body.get("writes", []), body.get("if", [])
        if not self.changes.try_take(float(len(writes)), now):
            self.counts["refused"] += 1
            return Answer(429, {"error": "too many changes"})
        for write in writes:
            if write.get("permit") is not None and write["permit"] not in self.leases:
                return Answer(400, {"error": "no such lease"})
        failed = [condition["k"] for condition in conditions if self._revision(condition["k"]) != condition["stamp"]]
        if failed:
            self.counts["conflicts"] += 1
            return Answer(409, {"failed": failed, "epoch": self.revision})
        if writes:
            self.revision += 1
        for write in writes:
            self._apply_write(write)
        self.counts["changes"] += len(writes)
        return Answer(200, {"epoch": self.revision})

    def get(self, key: str) -> Answer:
        """Reads one key."""
        item = self.data.get(key)
        if item is None:
            return Answer(404, {"epoch": self.revision})
        return Answer(200, {"k": key, "data": item.data, "stamp": item.revision, "permit": item.lease_id})

    def rows(self, starts: str, after: str, limit: int) -> Answer:
        """One page of the keys with the prefix ``starts``, in order, after the key ``after``."""
        found = sorted(key for key in self.data if key.startswith(starts) and key > after)
        page = found[: min(limit, PAGE_ROWS)]
        rows = [{"k": key, "data": self.data[key].data, "stamp": self.data[key].revision} for key in page]
        return Answer(200, {"rows": rows, "has_next": len(found) > len(page), "epoch": self.revision})

    def changes_since(self, starts: str, revision: int) -> Answer | None:
        """Changes of keys with the prefix ``starts`` since the revision; None: there are none yet."""
        if self.history and revision < self.history[0]["stamp"] - 1:
            return Answer(410, {"error": "too old"})
        found = []
        for change in reversed(self.history):
            if change["stamp"] <= revision:
                break
            if change.get("put", change.get("drop", "")).startswith(starts):
                found.append(change)
        return Answer(200, {"epoch": self.revision, "log": found[::-1]}) if found else None

    def new_hold(self, ttl_ms: float, now: float) -> Answer:
        """Grants a lease that expires unless it is renewed."""
        self.last_lease_id += 1
        self.leases[self.last_lease_id] = (ttl_ms / 1000, now + ttl_ms / 1000)
        return Answer(200, {"permit": self.last_lease_id})

    def extend(self, lease_id: int, now: float) -> Answer:
        """Renews the lease for its full TTL."""
        if lease_id not in self.leases:
            return Answer(404, {"error": "no such lease"})
        ttl = self.leases[lease_id][0]
        self.leases[lease_id] = (ttl, now + ttl)
        return Answer(200, {})

    def end_hold(self, lease_id: int) -> Answer:
        """Revokes the lease and deletes the keys attached to it."""
        if self.leases.pop(lease_id, None) is None:
            return Answer(404, {"error": "no such lease"})
        keys = [key for key, item in self.data.items() if item.lease_id == lease_id]
        if keys:
            self.revision += 1
        for key in keys:
            self._apply_write({"drop": key})
        return Answer(200, {})

    def end_outage(self, now: float) -> None:
        """Ends an outage; all leases are renewed for their full TTL."""
        self.down = False
        self.leases = {lease_id: (ttl, now + ttl) for lease_id, (ttl, _) in self.leases.items()}

    def _revision(self, key: str) -> int:
        item = self.data.get(key)
        return item.revision if item is not None else 0

    def _apply_write(self, write: dict) -> None:
        if "put" in write:
            self.data[write["put"]] = Item(write["data"], self.revision, write.get("permit"))
            self.history.append({"put": write["put"], "data": write["data"], "stamp": self.revision})
        elif self.data.pop(write["drop"], None) is not None:
            self.history.append({"drop": write["drop"], "stamp": self.revision})
        if len(self.history) > HISTORY_CHANGES * 2:
            del self.history[:-HISTORY_CHANGES]

    def _expire_leases(self, now: float) -> None:
        if self.down:
            return
        for lease_id in [
            lease_id for lease_id, (_, expires_at) in self.leases.items() if now > expires_at + LEASE_EXPIRY_DELAY_S
        ]:
            self.end_hold(lease_id)
