"""Client of the cloud's API, which rents machines."""

from __future__ import annotations

import msgspec

from alderbridge import constants
from alderbridge.protocol import wire
from alderbridge.settings import address
from alderbridge.transport.http_client import Client

_machine_types_decoder = msgspec.json.Decoder(wire.MachineTypes)
_listing_decoder = msgspec.json.Decoder(wire.MachineListing)
_rental_decoder = msgspec.json.Decoder(wire.RentalResponse)


class CloudError(Exception):
    """The cloud rejected a request: an outage, too many requests, or no capacity."""


class NoCapacityError(CloudError):
    """No machine of this type is available in this zone."""


def _require_ok(target: str, status: int, body: bytes) -> bytes:
    """The body of a response with status 200; raises ``CloudError`` for any other status."""
    if status != 200:
        raise CloudError(f"{target}: {status}")
    return body


class Cloud:
    """Requests to the cloud.

    Each raises ``CloudError`` if it was rejected, ``UnansweredError`` if its outcome is unknown, and
    ``msgspec.DecodeError`` for a malformed response.
    """

    def __init__(self, endpoint: str) -> None:
        """``endpoint``: ``HOST:PORT`` of the cloud's API."""
        self.client = Client(*address(endpoint), keep=2)

    async def _call(self, method: str, target: str, body: bytes = b"") -> bytes:
        status, response = await self.client.request(method, target, body, constants.CLOUD_TIMEOUT_S)
        return _require_ok(target, status, response)

    async def machine_types(self) -> dict[str, wire.MachineType]:
        """All machine types with their prices, by name."""
        response = await self._call("GET", "/flavors")
        return {machine_type.name: machine_type for machine_type in _machine_types_decoder.decode(response).types}

    async def rent(self, name: str, machine_type: str, zone: str, spot: bool, count: int) -> list[str]:
        """Rent up to ``count`` machines and return the ids of those granted.

        ``name`` makes the request idempotent. Raises ``NoCapacityError`` if none is available.
        """
        body = wire.rental_request(name, machine_type, zone, spot, count)
        status, response = await self.client.request("POST", "/rentals", body, constants.CLOUD_TIMEOUT_S)
        if status == 503 and b"no capacity" in response:  # only rental requests have this response
            raise NoCapacityError(f"{machine_type} {zone}")
        return _rental_decoder.decode(_require_ok("/rentals", status, response)).hosts

    async def return_machines(self, machines: list[str]) -> None:
        """Return machines; the cloud terminates them."""
        await self._call("POST", "/rentals/return", wire.encode({"hosts": machines}))

    async def list_page(self, after: str) -> wire.MachineListing:
        """One page of the rented machines: those after the machine ``after``, or the first page if it is empty."""
        start = f"&from={after}" if after else ""
        return _listing_decoder.decode(await self._call("GET", f"/rentals?limit=500{start}"))
