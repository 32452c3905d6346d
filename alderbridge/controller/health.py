"""The health check: whether users' connections should stay with this controller."""

from __future__ import annotations

import time

from alderbridge.controller import responses
from alderbridge.controller.core import ControllerCore
from alderbridge.controller.responses import Response
from alderbridge.membership.membership import MemberStatus

now = time.monotonic


class HealthCheck:
    """Handler of ``/healthz``."""

    def __init__(self, core: ControllerCore) -> None:
        """``core``: its membership and replica decide the result."""
        self.core = core
        self.membership = core.membership

    def check(self) -> Response:
        """200 while this controller is a member, or its store lease expired in an outage that affects all members.

        In such an outage an expired member stays healthy, as it can still report ended jobs and resumes with the store.
        If the other members may have replaced it, it is unhealthy, as it could not report the status of active jobs.
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
            return responses.unavailable("this controller is not an active member")
        return responses.ok(b'{"status":"ok"}')
