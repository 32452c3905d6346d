"""The state service's semantics, without a network: keys, stamps, transactions, holds, watches, limits. Pure."""

from __future__ import annotations

from typing import Any, NamedTuple

KEPT_CHANGES = 10_000  # a watch from before these is answered 410
PAGE_ROWS = 1000
LATE_END_S = 0.05  # a hold may end up to 0.1 s late, never early


class Item(NamedTuple):
    """A key's value, the epoch of its last change, and the hold it is attached to."""

    data: Any
    revision: int
    lease_id: int | None


class Answer(NamedTuple):
    """What a request is answered."""

    status: int
    body: dict


class Rate:
    """A bound on requests a second, with a burst of one second's worth."""

    def __init__(self, rate: float) -> None:
        """``rate``: a second."""
        self.rate, self.level, self.at = rate, rate, 0.0

    def allows(self, amount: float, now: float) -> bool:
        """Whether that much fits; if so it is spent."""
        self.level = min(self.rate, self.level + (now - self.at) * self.rate)
        self.at = now
        if self.level < amount:
            return False
        self.level -= amount
        return True


class StateModel:
    """All keys, and what changed them lately."""

    def __init__(self, requests_rate: float = 1e9, changes_rate: float = 1e9) -> None:
        """Rates as the settings state them."""
        self.data: dict[str, Item] = {}
        self.log: list[dict] = []
        self.revision = 0
        self.holds: dict[int, tuple[float, float]] = {}  # permit -> ttl, when it ends
        self.lease_ids = 0
        self.requests, self.changes = Rate(requests_rate), Rate(changes_rate)
        self.down = False
        self.counts = {"requests": 0, "refused": 0, "changes": 0, "conflicts": 0}

    def admit(self, now: float) -> Answer | None:
        """None: the request is served; else how it is refused."""
        self.counts["requests"] += 1
        self._end_holds(now)
        if self.down:
            return Answer(503, {"error": "trouble"})
        if not self.requests.allows(1.0, now):
            self.counts["refused"] += 1
            return Answer(429, {"error": "too many requests"})
        return None

    def commit(self, body: dict, now: float) -> Answer:
        """A transaction, whole or not at all."""
        writes, conditions = body.get("writes", []), body.get("if", [])
        if not self.changes.allows(float(len(writes)), now):
            self.counts["refused"] += 1
            return Answer(429, {"error": "too many changes"})
        for write in writes:
            if write.get("permit") is not None and write["permit"] not in self.holds:
                return Answer(400, {"error": "no such lease"})
        failed = [one["k"] for one in conditions if self._revision(one["k"]) != one["stamp"]]
        if failed:
            self.counts["conflicts"] += 1
            return Answer(409, {"failed": failed, "epoch": self.revision})
        if writes:
            self.revision += 1
        for write in writes:
            self._change(write)
        self.counts["changes"] += len(writes)
        return Answer(200, {"epoch": self.revision})

    def get(self, key: str) -> Answer:
        """One key."""
        item = self.data.get(key)
        if item is None:
            return Answer(404, {"epoch": self.revision})
        return Answer(200, {"k": key, "data": item.data, "stamp": item.revision, "permit": item.lease_id})

    def rows(self, starts: str, after: str, limit: int) -> Answer:
        """Keys in order, from behind ``after``."""
        found = sorted(key for key in self.data if key.startswith(starts) and key > after)
        page = found[: min(limit, PAGE_ROWS)]
        rows = [{"k": key, "data": self.data[key].data, "stamp": self.data[key].revision} for key in page]
        return Answer(200, {"rows": rows, "has_next": len(found) > len(page), "epoch": self.revision})

    def changes_since(self, starts: str, revision: int) -> Answer | None:
        """What changed below ``starts``; None: nothing has yet."""
        if self.log and revision < self.log[0]["stamp"] - 1:
            return Answer(410, {"error": "too old"})
        found = []
        for change in reversed(self.log):
            if change["stamp"] <= revision:
                break
            if change.get("put", change.get("drop", "")).startswith(starts):
                found.append(change)
        return Answer(200, {"epoch": self.revision, "log": found[::-1]}) if found else None

    def new_hold(self, ttl_ms: float, now: float) -> Answer:
        """A hold that ends unless it is extended."""
        self.lease_ids += 1
        self.holds[self.lease_ids] = (ttl_ms / 1000, now + ttl_ms / 1000)
        return Answer(200, {"permit": self.lease_ids})

    def extend(self, lease_id: int, now: float) -> Answer:
        """The hold has its full time again."""
        if lease_id not in self.holds:
            return Answer(404, {"error": "no such lease"})
        ttl = self.holds[lease_id][0]
        self.holds[lease_id] = (ttl, now + ttl)
        return Answer(200, {})

    def end_hold(self, lease_id: int) -> Answer:
        """The hold ends, and the keys attached to it go."""
        if self.holds.pop(lease_id, None) is None:
            return Answer(404, {"error": "no such lease"})
        keys = [key for key, item in self.data.items() if item.lease_id == lease_id]
        if keys:
            self.revision += 1
        for key in keys:
            self._change({"drop": key})
        return Answer(200, {})

    def outage_over(self, now: float) -> None:
        """Each hold has its full time again."""
        self.down = False
        self.holds = {lease_id: (ttl, now + ttl) for lease_id, (ttl, _) in self.holds.items()}

    def _revision(self, key: str) -> int:
        item = self.data.get(key)
        return item.revision if item is not None else 0

    def _change(self, write: dict) -> None:
        if "put" in write:
            self.data[write["put"]] = Item(write["data"], self.revision, write.get("permit"))
            self.log.append({"put": write["put"], "data": write["data"], "stamp": self.revision})
        elif self.data.pop(write["drop"], None) is not None:
            self.log.append({"drop": write["drop"], "stamp": self.revision})
        if len(self.log) > KEPT_CHANGES * 2:
            del self.log[:-KEPT_CHANGES]

    def _end_holds(self, now: float) -> None:
        if self.down:
            return
        for lease_id in [lease_id for lease_id, (_, end) in self.holds.items() if now > end + LATE_END_S]:
            self.end_hold(lease_id)
