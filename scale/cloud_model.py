"""The cloud's semantics, without a network: machines that are rented, boot, are listed late, and are returned. Pure."""

from __future__ import annotations

from dataclasses import dataclass
from random import Random

from .state_model import Answer

MOST_RENTED = 50  # machines of one request
PAGE_HOSTS = 500
BOOT_SHARE = (0.6, 1.5)  # of a type's nominal boot time


@dataclass
class Host:
    """One machine."""

    name: str
    zone: str
    spot: bool
    rented_at: float
    up_at: float
    address: str = ""


@dataclass(frozen=True)
class Kind:
    """The one type of machine that there is."""

    name: str = "m32"
    cpus: float = 32.0
    memory_gb: float = 128.0
    price: float = 1.4
    spot_price: float = 0.4
    cache_gb: float = 40.0
    fetch_gb_per_s: float = 1.0


class CloudModel:
    """Machines up to a capacity for each zone."""

    def __init__(self, zones: list[str], capacity: int, boot_s: float, lag_s: float, seed: int) -> None:
        """``capacity``: of all zones together; ``lag_s``: how late the list is."""
        self.zones, self.boot_s, self.lag_s = zones, boot_s, lag_s
        self.capacity = {
            zone: capacity // len(zones) + (number < capacity % len(zones)) for number, zone in enumerate(zones)
        }
        self.kind = Kind()
        self.hosts: dict[str, Host] = {}
        self.hires: dict[str, list[str]] = {}
        self.rng = Random(seed)
        self.count = 0
        self.calls = 0

    def types(self) -> Answer:
        """What may be rented."""
        kind = self.kind
        return Answer(
            200,
            {
                "flavours": [
                    {
                        "name": kind.name,
                        "vcpus": kind.cpus,
                        "accelerators": 0,
                        "mem_gb": kind.memory_gb,
                        "local_gb": kind.cache_gb,
                        "pull_gb_per_s": kind.fetch_gb_per_s,
                        "rate": kind.price,
                        "spot_price": kind.spot_price,
                        "ready_s": self.boot_s,
                        "sites": self.zones,
                    }
                ]
            },
        )

    def rent(self, hire: str, zone: str, spot: bool, number: int, now: float) -> Answer:
        """Machines up to what the zone has; a repeated request rents nothing."""
        if hire in self.hires:
            return Answer(200, {"hosts": self.hires[hire]})
        there = sum(host.zone == zone for host in self.hosts.values())
        got = min(number, MOST_RENTED, self.capacity.get(zone, 0) - there)
        if got <= 0:
            return Answer(503, {"error": "no capacity"})
        self.hires[hire] = [self.add(zone, spot, now, self.boot_s * self.rng.uniform(*BOOT_SHARE)) for _ in range(got)]
        return Answer(200, {"hosts": self.hires[hire]})

    def add(self, zone: str, spot: bool, now: float, boot_s: float) -> str:
        """A machine that is up after ``boot_s``."""
        self.count += 1
        name = f"n-{self.count:06d}"
        self.hosts[name] = Host(name, zone, spot, now, now + boot_s)
        return name

    def give_back(self, names: list[str]) -> Answer:
        """The machines and all on them are gone."""
        for name in names:
            self.hosts.pop(name, None)
        return Answer(200, {})

    def listed(self, after: str, limit: int, now: float) -> Answer:
        """Machines in order, as they were ``lag_s`` ago; those gone since are missing already."""
        known = [
            host for name, host in sorted(self.hosts.items()) if name > after and host.rented_at <= now - self.lag_s
        ]
        page = known[: min(limit, PAGE_HOSTS)]
        rows = [
            {
                "id": host.name,
                "address": host.address,
                "flavour": self.kind.name,
                "site": host.zone,
                "standby": host.spot,
                "status": "running" if host.up_at <= now - self.lag_s else "booting",
                "held_s": now - self.lag_s - host.rented_at,
            }
            for host in page
        ]
        return Answer(200, {"hosts": rows, "has_next": len(known) > len(page)})

    def up(self, now: float) -> list[Host]:
        """Machines whose workers report."""
        return [host for host in self.hosts.values() if host.up_at <= now]
