"""Messages between the leader and the cloud: machine types, rentals and the list of machines.

Fields whose names differ from those on the wire state the latter in ``name=``.
"""

from __future__ import annotations

from msgspec import Struct, field

from alderbridge.protocol.encoding import encode


class MachineType(Struct, frozen=True):
    """A machine type of the cloud; a machine takes about ``boot_s`` from its rental until it is up."""

    name: str
    cpus: float = field(name="vcpus")
    memory_gb: float = field(name="mem_gb")
    price: float = field(name="rate")
    boot_s: float = field(name="ready_s")
    gpus: float = field(name="accelerators", default=0.0)
    cache_gb: float = field(name="local_gb", default=0.0)
    fetch_gb_per_s: float = field(name="pull_gb_per_s", default=1.0)
    spot_price: float | None = None
    zones: list[str] = field(name="sites", default_factory=list)


class MachineTypes(Struct, frozen=True):
    """All machine types of the cloud; the store keeps them in the same form."""

    types: list[MachineType] = field(name="flavours")


class ListedMachine(Struct, frozen=True):
    """A rented machine in the cloud's list; ``held_s``: time since its rental."""

    id: str
    type: str = field(name="flavour")
    status: str
    held_s: float
    zone: str = field(name="site", default="")
    spot: bool = field(name="standby", default=False)


class MachineListing(Struct, frozen=True):
    """One page of the cloud's list of machines."""

    hosts: list[ListedMachine]
    has_next: bool = False


class RentalResponse(Struct, frozen=True):
    """The ids of the machines that a rental request was granted."""

    hosts: list[str]


def rental_request(name: str, machine_type: str, zone: str, spot: bool, count: int) -> bytes:
    """A rental request; a repetition with the same ``name`` is granted no further machines."""
    return encode({"hire": name, "flavour": machine_type, "site": zone, "standby": spot, "number": count})
