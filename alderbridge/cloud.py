"""Client of the cloud that rents machines."""

from __future__ import annotations

import msgspec

from alderbridge import constants
from alderbridge.protocol import wire
from alderbridge.settings import address
from alderbridge.transport.http_client import Client

_machine_types = msgspec.json.Decoder(wire.MachineTypes)
_listing = msgspec.json.Decoder(wire.MachineListing)
_rented = msgspec.json.Decoder(wire.RentalResponse)


class CloudError(Exception):
    """The cloud did not carry a request out: an outage, too many requests, or no capacity."""


class NoCapacityError(CloudError):
    """No machine of this type is available in this zone."""


def _checked(target: str, status: int, answer: bytes) -> bytes:
    """The answer of a request that was carried out; ``CloudError`` for any other."""
    if status != 200:
        raise CloudError(f"{target}: {status}")
    return answer


class Cloud:
    """The cloud's requests.

    Each raises ``CloudError`` where it was not carried out, ``UnansweredError`` where that is not known, and
    ``msgspec.DecodeError`` for a response that can't be read.
    """

    def __init__(self, endpoint: str) -> None:
        """``endpoint``: URL of the cloud; its connections are kept open."""
        self.client = Client(*address(endpoint), keep=2)

    async def _call(self, method: str, target: str, body: bytes = b"") -> bytes:
        status, answer = await self.client.request(method, target, body, constants.CLOUD_TIMEOUT_S)
        return _checked(target, status, answer)

    async def machine_types(self) -> dict[str, wire.MachineType]:
        """What it rents, with the prices, by name."""
        answer = await self._call("GET", "/flavors")
        return {kind.name: kind for kind in _machine_types.decode(answer).types}

    async def rent(self, name: str, machine_type: str, zone: str, spot: bool, count: int) -> list[str]:
        """Rent up to ``count`` machines; the names of those granted.

        ``name`` tells this request from others. Raises ``NoCapacityError`` where none is granted.
        """
        body = wire.rental_request(name, machine_type, zone, spot, count)
        status, answer = await self.client.request("POST", "/rentals", body, constants.CLOUD_TIMEOUT_S)
        if status == 503 and b"no capacity" in answer:  # an answer to rentals alone
            raise NoCapacityError(f"{machine_type} {zone}")
        return _rented.decode(_checked("/rentals", status, answer)).hosts

    async def return_machines(self, machines: list[str]) -> None:
        """Return machines, which are terminated then."""
        await self._call("POST", "/rentals/return", wire.encode({"hosts": machines}))

    async def list_page(self, after: str) -> wire.MachineListing:
        """A page of the rented machines: those after the machine ``after``, or the first."""
        more = f"&from={after}" if after else ""
        return _listing.decode(await self._call("GET", f"/rentals?limit=500{more}"))
