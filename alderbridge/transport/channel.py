"""Ordered delivery to one member under one fencing token: resent until acknowledged, dropped at a change of view."""

from __future__ import annotations

from collections import deque

from alderbridge import __version__, constants
from alderbridge.protocol.messages import Frame, Message


class Channel:
    """Ordered messages to and from one member under one fencing token; times are in s of a steady clock."""

    def __init__(self, me: str) -> None:
        """``me``: the label of this controller; the channel is under no view yet."""
        self.me = me
        self.peer_fencing_token = 0
        self.reset(0, 0.0)

    def reset(self, fencing_token: int, now: float, lease_id: int = 0) -> None:
        """Begin anew under another view; ``lease_id``: under which this controller takes part in it, 0: it does not."""
        self.fencing_token, self.lease_id = fencing_token, lease_id
        self.next_seq = 1
        self.received = 0
        self.unacked: deque[tuple[int, Message, float]] = deque()  # sequence, body, when it was first sent
        self.acked_at = float("-inf")  # when the newest acknowledged message was first sent
        self.progress_at = now
        self.posted_at = now
        self.alive_at = now  # the last acknowledgement, or when the oldest message without one was sent

    def post(self, body: Message, now: float) -> Frame:
        """A message that must arrive."""
        if not self.unacked:
            self.progress_at = self.alive_at = now
        self.posted_at = now
        self.unacked.append((self.next_seq, body, now))
        self.next_seq += 1
        return self._frame(self.next_seq - 1, body)

    def post_unreliable(self, body: Message) -> Frame:
        """A message that may be lost."""
        return self._frame(0, body)

    def _frame(self, seq: int, body: Message) -> Frame:
        return Frame(__version__, self.me, self.fencing_token, seq, self.received, body, self.lease_id)  # type: ignore[arg-type]  # a Message is one of Body

    def observe_view(self, frame: Frame) -> None:
        """Note which view the peer knows; the frame is neither accepted nor acknowledged."""
        self.peer_fencing_token = max(self.peer_fencing_token, frame.fencing_token)

    def receive(self, frame: Frame, now: float) -> Message | None:
        """The body, if it is new and in order under this fencing token."""
        self.observe_view(frame)
        if frame.fencing_token != self.fencing_token:
            return None
        while self.unacked and self.unacked[0][0] <= frame.ack:
            self.acked_at = self.unacked.popleft()[2]
            self.progress_at = self.alive_at = now
        if frame.seq == 0:
            return frame.body
        if frame.seq != self.received + 1:
            return None
        self.received = frame.seq
        return frame.body

    def resend(self, now: float) -> list[Frame]:
        """All frames without an acknowledgement, if there was no progress lately."""
        if not self.unacked or now - self.progress_at < constants.MESH_RESEND_S:
            return []
        self.progress_at = now
        return [self._frame(seq, body) for seq, body, _ in self.unacked]

    def backlog(self) -> int:
        """How many messages have no acknowledgement yet."""
        return len(self.unacked)

    def is_quiet(self, now: float) -> bool:
        """Nothing sent lately whose acknowledgement would show that the connection is whole."""
        return now - self.posted_at >= constants.MESH_PROBE_S

    def is_stalled(self, now: float) -> bool:
        """Whether nothing was acknowledged for long: the other end may have closed while the network was cut."""
        if not self.unacked or now - self.alive_at < constants.MESH_STALL_S:
            return False
        self.alive_at = now  # the next connection gets as long
        return True
