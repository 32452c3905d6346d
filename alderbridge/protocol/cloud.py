"""What the leader exchanges with the cloud: machine types, rentals and the list of machines.

A field whose name here differs from the protocol's has the protocol's word in ``name=``; it is used nowhere else.
"""

from __future__ import annotations

from msgspec import Struct, field

from alderbridge.protocol.encoding import encode


class MachineType(Struct, frozen=True):
    """What the cloud rents; a machine is up some ``boot_s`` after its rental."""

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
    """All types that the cloud rents; also the form kept in the store."""

    types: list[MachineType] = field(name="flavours")


class ListedMachine(Struct, frozen=True):
    """A rented machine as the cloud lists it; ``held_s``: rented for so long."""

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
    """The ids of the machines that a rental brought."""

    hosts: list[str]


def rental_request(name: str, machine_type: str, zone: str, spot: bool, count: int) -> bytes:
    """A request for machines; repeated under the same ``name`` it brings no others."""
    return encode({"hire": name, "flavour": machine_type, "site": zone, "standby": spot, "number": count})
