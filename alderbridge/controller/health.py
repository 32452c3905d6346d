"""The health check: whether users' connections should stay with this controller."""

from __future__ import annotations

import time

from alderbridge.controller import responses
from alderbridge.controller.core import ControllerCore
from alderbridge.controller.responses import Response
from alderbridge.membership.membership import MemberStatus

now = time.monotonic


class HealthCheck:
    """Answers ``/healthz``."""

    def __init__(self, core: ControllerCore) -> None:
        """``core``: whose membership and loaded replica are judged."""
        self.core = core
        self.membership = core.membership

    def check(self) -> Response:
        """200 while this controller takes part in the view, or shares an outage of the store with all others.

        An expired member stays healthy in an outage that all share: it can tell of ended jobs, and is there when the
        store is. One that others may have replaced does not: its users would be told nothing of any job.
        """
        status = self.membership.status(now())
        may_be_replaced = any(
            channel.peer_fencing_token > self.membership.fencing_token
            for channel in self.core.messenger.channels.values()
        ) or self.membership.failure_detector.is_isolated(now())
        if (
            not self.core.state.loaded
            or status is MemberStatus.OUTSIDE
            or (status is MemberStatus.EXPIRED and may_be_replaced)
        ):
            return responses.unavailable("not taking part")
        return responses.ok(b'{"status":"ok"}')
