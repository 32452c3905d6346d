"""In-memory model of the cloud API: renting, booting, delayed listing and returning of machines. Does no I/O."""

from __future__ import annotations

from dataclasses import dataclass
from random import Random

from .state_model import Answer

MAX_MACHINES_PER_REQUEST = 50
MAX_PAGE_HOSTS = 500
BOOT_TIME_FACTORS = (0.6, 1.5)  # range, relative to the type's nominal boot time


@dataclass
class Host:
    """One rented machine."""

    name: str
    zone: str
    spot: bool
    rented_at: float
    up_at: float
    address: str = ""


@dataclass(frozen=True)
class MachineType:
    """The only machine type that the cloud offers."""

    name: str = "m32"
    cpus: float = 32.0
    memory_gb: float = 128.0
    price: float = 1.4
    spot_price: float = 0.4
    cache_gb: float = 40.0
    fetch_gb_per_s: float = 1.0


class CloudModel:
    """Rents machines up to a capacity per zone."""

    def __init__(self, zones: list[str], capacity: int, boot_s: float, list_lag_s: float, seed: int) -> None:
        """``capacity``: machines over all zones; ``list_lag_s``: delay before a change shows in the listing."""
        self.zones, self.boot_s, self.list_lag_s = zones, boot_s, list_lag_s
        self.capacity = {
            zone: capacity // len(zones) + (number < capacity % len(zones)) for number, zone in enumerate(zones)
        }
        self.machine_type = MachineType()
        self.hosts: dict[str, Host] = {}
        self.rentals: dict[str, list[str]] = {}
        self.rng = Random(seed)
        self.count = 0
        self.calls = 0

    def types(self) -> Answer:
        """The machine types on offer."""
        machine_type = self.machine_type
        return Answer(
            200,
            {
                "flavours": [
                    {
                        "name": machine_type.name,
                        "vcpus": machine_type.cpus,
                        "accelerators": 0,
                        "mem_gb": machine_type.memory_gb,
                        "local_gb": machine_type.cache_gb,
                        "pull_gb_per_s": machine_type.fetch_gb_per_s,
                        "rate": machine_type.price,
                        "spot_price": machine_type.spot_price,
                        "ready_s": self.boot_s,
                        "sites": self.zones,
                    }
                ]
            },
        )

    def rent(self, rental_id: str, zone: str, spot: bool, number: int, now: float) -> Answer:
        """Rents at most what the zone has free; a request repeated with the same ID returns the same machines."""
        if rental_id in self.rentals:
            return Answer(200, {"hosts": self.rentals[rental_id]})
        in_use = sum(host.zone == zone for host in self.hosts.values())
        granted = min(number, MAX_MACHINES_PER_REQUEST, self.capacity.get(zone, 0) - in_use)
        if granted <= 0:
            return Answer(503, {"error": "no capacity"})
        self.rentals[rental_id] = [
            self.add(zone, spot, now, self.boot_s * self.rng.uniform(*BOOT_TIME_FACTORS)) for _ in range(granted)
        ]
        return Answer(200, {"hosts": self.rentals[rental_id]})

    def add(self, zone: str, spot: bool, now: float, boot_s: float) -> str:
        """Adds a machine that is up after ``boot_s``; returns its name."""
        self.count += 1
        name = f"n-{self.count:06d}"
        self.hosts[name] = Host(name, zone, spot, now, now + boot_s)
        return name

    def return_machines(self, names: list[str]) -> Answer:
        """Terminates the machines and everything on them."""
        for name in names:
            self.hosts.pop(name, None)
        return Answer(200, {})

    def listed(self, after: str, limit: int, now: float) -> Answer:
        """One page of machines by name, as of ``list_lag_s`` ago, without those that were returned since."""
        visible = [
            host
            for name, host in sorted(self.hosts.items())
            if name > after and host.rented_at <= now - self.list_lag_s
        ]
        page = visible[: min(limit, MAX_PAGE_HOSTS)]
        rows = [
            {
                "id": host.name,
                "address": host.address,
                "flavour": self.machine_type.name,
                "site": host.zone,
                "standby": host.spot,
                "status": "running" if host.up_at <= now - self.list_lag_s else "booting",
                "held_s": now - self.list_lag_s - host.rented_at,
            }
            for host in page
        ]
        return Answer(200, {"hosts": rows, "has_next": len(visible) > len(page)})

    def up(self, now: float) -> list[Host]:
        """Machines that have booted."""
        return [host for host in self.hosts.values() if host.up_at <= now]
