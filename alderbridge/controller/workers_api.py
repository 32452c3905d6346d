"""The workers' API: heartbeats, whose responses may be delayed until other controllers have granted tasks."""

from __future__ import annotations

import logging
import time
from collections import deque

from alderbridge import constants
from alderbridge.controller import responses
from alderbridge.controller.core import ControllerCore
from alderbridge.controller.responses import Responder
from alderbridge.machines.machine import Machine
from alderbridge.protocol import wire
from alderbridge.transport.http_server import RawResponse

log = logging.getLogger("controller")
now = time.monotonic


class WorkersApi:
    """Serves ``/agent/beat``."""

    def __init__(self, core: ControllerCore) -> None:
        """``core``: handles the heartbeats."""
        self.core = core
        self.membership = core.membership
        # Unanswered heartbeats of machines that wait for grants, with the fencing token when each was received.
        self.pending_heartbeats: dict[Machine, list[tuple[int, Responder]]] = {}
        self.grant_deadlines: deque[tuple[float, Machine]] = deque()  # in ascending order

    def on_heartbeat(self, body: bytes, reply: Responder) -> RawResponse | None:
        """Handle a heartbeat; returns the response with its orders, or None if that waits for task grants."""
        try:
            heartbeat = wire.parse_heartbeat(body)
        except wire.MalformedBodyError as error:
            return responses.error(400, str(error))
        core = self.core
        if not core.state.loaded or not self.membership.may_act(now()):
            return responses.unavailable("not entitled")
        owner = self.membership.heartbeat_target(heartbeat.machine)
        if heartbeat.fencing_token > self.membership.fencing_token:
            # The worker would discard a 200, yet keep reporting here until its lease expires.
            return responses.unavailable("the worker has a newer fencing token")
        if owner != core.me:
            return 421, wire.encode({"steward": owner}), []
        fencing_token = self.membership.fencing_token
        machine = core.on_heartbeat(heartbeat, now())
        if machine is None:
            return responses.unavailable("stale heartbeat or terminated machine")
        if machine.reserved:  # waits for the task grants that were requested from other controllers
            self.pending_heartbeats.setdefault(machine, []).append((fencing_token, reply))
            self.grant_deadlines.append((now() + constants.GRANT_TIMEOUT_S, machine))
            return None
        return self.heartbeat_response(machine, fencing_token)

    def heartbeat_response(self, machine: Machine, fencing_token: int) -> RawResponse:
        """The machine's orders, if the view under which its heartbeat was received is still current.

        Returns a plain tuple because one is allocated for each heartbeat.
        """
        if fencing_token != self.membership.fencing_token or not self.membership.may_act(now()):
            return responses.unavailable("not entitled")
        return 200, wire.heartbeat_response(fencing_token, self.core.machine_shard.order_builder.orders(machine)), []

    def answer_pending_heartbeats(self, machine: Machine) -> None:
        """Answer the machine's heartbeats that wait for task grants."""
        for fencing_token, reply in self.pending_heartbeats.pop(machine, ()):
            try:
                answer = self.heartbeat_response(machine, fencing_token)
            except Exception:
                log.exception("heartbeat machine=%s state=failed", machine.name)
                answer = responses.error(500, "internal")
            reply(answer)

    def answer_overdue_heartbeats(self) -> None:
        """Answer heartbeats whose task grants have not arrived by the deadline."""
        deadlines = self.grant_deadlines
        while deadlines and (deadlines[0][1] not in self.pending_heartbeats or deadlines[0][0] <= now()):
            self.answer_pending_heartbeats(deadlines.popleft()[1])
