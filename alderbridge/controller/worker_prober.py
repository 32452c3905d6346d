"""Probes: requests to workers to acknowledge a new fencing token.

Without a probe the acknowledgement arrives with the machine's next heartbeat, seconds later.
"""

from __future__ import annotations

import logging
import time
from collections.abc import Awaitable, Callable
from typing import NamedTuple

import h11

from alderbridge import constants
from alderbridge.controller.core import ControllerCore
from alderbridge.protocol import wire
from alderbridge.settings import address
from alderbridge.transport.http_client import Exchange
from alderbridge.transport.http_response import ResponseReader
from alderbridge.transport.selector import EpollSelector

log = logging.getLogger("controller")
now = time.monotonic


class Probe(NamedTuple):
    """One request; ``retried``: it repeats a probe that the worker refused for a different incarnation."""

    fencing_token: int
    machine: str
    worker_address: str
    incarnation: int
    retried: bool = False


class WorkerProber:
    """Sends the probes that the machine shard requests, at most ``MAX_CONCURRENT_PROBES`` concurrently."""

    def __init__(
        self, core: ControllerCore, poll: EpollSelector, dispatch_effects: Callable[[], Awaitable[None]]
    ) -> None:
        """``core``: requests probes and handles the answers; ``poll``: polls their sockets."""
        self.core = core
        self.membership = core.membership
        self.poll = poll
        self.dispatch_effects = dispatch_effects
        self.exchanges: set[Exchange] = set()

    async def probe_workers(self) -> None:
        """Close timed-out probes and start due ones; called after store changes and in each round."""
        await self.dispatch_effects()
        for exchange in [started for started in self.exchanges if started.overdue(now(), constants.PROBE_TIMEOUT_S)]:
            exchange.close()
        self._start_probes()

    def _start_probes(self) -> None:
        while (
            len(self.exchanges) < constants.MAX_CONCURRENT_PROBES
            and self.membership.may_act(now())
            and (target := self.core.machine_shard.next_to_probe(now())) is not None
        ):
            self._send(Probe(self.membership.fencing_token, *target))

    def _send(self, probe: Probe) -> None:
        def on_answer(answer: tuple[int, bytes] | None) -> None:
            """Called when the exchange ends; ``answer`` is None if there was none."""
            self.exchanges.discard(exchange)
            self._on_answer(probe, answer)

        try:
            host, port = address(probe.worker_address)
            request = wire.acknowledge_request(probe.fencing_token, probe.incarnation)
            exchange = Exchange(self.poll, host, port, ResponseReader(host, "POST", "/commands", request), on_answer)
        except (OSError, ValueError, h11.ProtocolError) as error:
            self.core.machine_shard.prober.on_probe_failed(probe.machine, now())
            log.debug("machine=%s state=probe_failed cause=%s", probe.machine, error)
        else:
            self.exchanges.add(exchange)

    def _on_answer(self, probe: Probe, answer: tuple[int, bytes] | None) -> None:
        is_current_view = probe.fencing_token == self.membership.fencing_token
        try:
            if answer is None:
                raise wire.MalformedBodyError("no answer")
            status, body = answer
            heartbeat = wire.parse_heartbeat(body)
            if status == 409 and heartbeat.incarnation != probe.incarnation and not probe.retried:
                self._send(probe._replace(incarnation=heartbeat.incarnation, retried=True))
                return
            if status == 200 and heartbeat.machine == probe.machine and is_current_view:
                self.core.on_probe_answered(heartbeat, now())
        except wire.MalformedBodyError as error:
            if is_current_view:
                self.core.machine_shard.prober.on_probe_failed(probe.machine, now())
            log.debug("machine=%s state=probe_failed cause=%s", probe.machine, error)
        self._start_probes()
