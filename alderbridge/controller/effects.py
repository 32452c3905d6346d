"""What a ``ControllerCore`` wants done by the process around it, which takes it from here."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field
from typing import NamedTuple

from alderbridge.controller.submissions import Submission
from alderbridge.machines.machine import Machine
from alderbridge.protocol import messages


class JobEndStored(NamedTuple):
    """The store holds the end of a job."""

    job: str


# A submission that is decided, a job whose end is stored, a machine that has all task grants it asked for. Submissions
# and machines go as they are: a placement allocates nothing for its notification.
Notification = Submission | JobEndStored | Machine


@dataclass(eq=False)
class Effects:
    """Work for the process, each kind in the order in which it arose."""

    outgoing_frames: list[tuple[str, messages.Frame]] = field(default_factory=list)  # with their receivers
    channel_renewals: list[str] = field(default_factory=list)  # peers to be connected anew
    queries: deque[tuple[str, messages.JobQuery]] = field(default_factory=deque)  # with their senders
    query_replies: deque[messages.JobQueryReply] = field(default_factory=deque)
    notifications: deque[Notification] = field(default_factory=deque)

    def take_outgoing_frames(self) -> list[tuple[str, messages.Frame]]:
        """The frames to send; they are not given again."""
        frames, self.outgoing_frames = self.outgoing_frames, []
        return frames

    def take_channel_renewals(self) -> list[str]:
        """The peers to connect anew; they are not given again."""
        labels, self.channel_renewals = self.channel_renewals, []
        return labels
