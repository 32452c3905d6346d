"""Output queues of a ``ControllerCore``, emptied by the process around it."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field
from typing import NamedTuple

from alderbridge.controller.submissions import Submission
from alderbridge.machines.machine import Machine
from alderbridge.protocol import messages


class JobEndStored(NamedTuple):
    """The store holds the final state of a job."""

    job: str


# A decided submission, a job whose final state is stored, or a machine that has received all task grants it requested.
# Submissions and machines are queued without a wrapper, so that a placement allocates no object for its notification.
Notification = Submission | JobEndStored | Machine


@dataclass(eq=False)
class Effects:
    """Work for the process, each kind in order of occurrence."""

    outgoing_frames: list[tuple[str, messages.Frame]] = field(default_factory=list)  # with the receivers' labels
    channel_renewals: list[str] = field(default_factory=list)  # peers to reconnect to
    queries: deque[tuple[str, messages.JobQuery]] = field(default_factory=deque)  # with the senders' labels
    query_replies: deque[messages.JobQueryReply] = field(default_factory=deque)
    notifications: deque[Notification] = field(default_factory=deque)

    def take_outgoing_frames(self) -> list[tuple[str, messages.Frame]]:
        """Remove and return the frames to send."""
        frames, self.outgoing_frames = self.outgoing_frames, []
        return frames

    def take_channel_renewals(self) -> list[str]:
        """Remove and return the peers to reconnect to."""
        labels, self.channel_renewals = self.channel_renewals, []
        return labels
