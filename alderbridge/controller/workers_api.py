"""The workers' API: heartbeats, and their responses, which may wait for task grants of other controllers."""

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
from alderbridge.transport.http_server import Answer

log = logging.getLogger("controller")
now = time.monotonic


class WorkersApi:
    """Serves ``/agent/beat``."""

    def __init__(self, core: ControllerCore) -> None:
        """``core``: which the heartbeats are given to."""
        self.core = core
        self.membership = core.membership
        # Heartbeats whose machine waits for grants, each with the fencing token that it was taken under:
        self.pending_heartbeats: dict[Machine, list[tuple[int, Responder]]] = {}
        self.grant_deadlines: deque[tuple[float, Machine]] = deque()  # until when they wait, in this order

    def on_heartbeat(self, body: bytes, reply: Responder) -> Answer | None:
        """Take in one heartbeat. Its response has the orders; none yet (None) where grants for it are to come."""
        try:
            heartbeat = wire.parse_heartbeat(body)
        except wire.MalformedBodyError as error:
            return responses.error(400, str(error))
        core = self.core
        if not core.state.loaded or not self.membership.may_act(now()):
            return responses.unavailable("not entitled")
        owner = self.membership.report_to(heartbeat.machine)
        if heartbeat.fencing_token > self.membership.fencing_token:
            # A 200 would be dropped, and hold the worker here for its lease.
            return responses.unavailable("a newer view has begun")
        if owner != core.me:
            return 421, wire.encode({"steward": owner}), []
        fencing_token = self.membership.fencing_token
        machine = core.on_heartbeat(heartbeat, now())
        if machine is None:
            return responses.unavailable("not the newest report")
        if machine.reserved:  # other controllers answer within a few ms
            self.pending_heartbeats.setdefault(machine, []).append((fencing_token, reply))
            self.grant_deadlines.append((now() + constants.GRANT_WAIT_S, machine))
            return None
        return self.heartbeat_response(machine, fencing_token)

    def heartbeat_response(self, machine: Machine, fencing_token: int) -> Answer:
        """The machine's orders, if the view in which its heartbeat was taken is still in force.

        A plain tuple: one is made for each heartbeat.
        """
        if fencing_token != self.membership.fencing_token or not self.membership.may_act(now()):
            return responses.unavailable("not entitled")
        return 200, wire.heartbeat_response(fencing_token, self.core.machine_shard.order_builder.orders(machine)), []

    def answer_pending_heartbeats(self, machine: Machine) -> None:
        """Answer the machine's heartbeats that wait for its grants."""
        for fencing_token, reply in self.pending_heartbeats.pop(machine, ()):
            try:
                answer = self.heartbeat_response(machine, fencing_token)
            except Exception:
                log.exception("heartbeat machine=%s state=failed", machine.name)
                answer = responses.error(500, "internal")
            reply(answer)

    def answer_overdue_heartbeats(self) -> None:
        """Answer those for which the grants have not come in time."""
        deadlines = self.grant_deadlines
        while deadlines and (deadlines[0][1] not in self.pending_heartbeats or deadlines[0][0] <= now()):
            self.answer_pending_heartbeats(deadlines.popleft()[1])
