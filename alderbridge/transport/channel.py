"""Ordered delivery to one member: messages are resent until acknowledged, and dropped when the view changes."""

from __future__ import annotations

from collections import deque

from alderbridge import __version__, constants
from alderbridge.protocol.messages import Frame, Message


class Channel:
    """Ordered messages to and from one member under one fencing token; times are in seconds of a monotonic clock."""

    def __init__(self, me: str) -> None:
        """``me``: the label of this controller. The channel belongs to no view until ``reset``."""
        self.me = me
        self.peer_fencing_token = 0
        self.reset(0, 0.0)

    def reset(self, fencing_token: int, now: float, lease_id: int = 0) -> None:
        """Start again under another view; ``lease_id``: this controller's store lease there, 0: it is no member."""
        self.fencing_token, self.lease_id = fencing_token, lease_id
        self.next_seq = 1
        self.last_received_sequence = 0
        self.unacked: deque[tuple[int, Message, float]] = deque()  # sequence, body, when it was first sent
        self.newest_acked_sent_at = float("-inf")  # when the newest acknowledged message was first sent
        self.resend_timer_started_at = now
        self.posted_at = now
        # the last acknowledgement, or when the oldest message without one was sent; see ``check_stalled``
        self.stall_timer_started_at = now

    def post(self, body: Message, now: float) -> Frame:
        """A new frame for a message that must arrive: it is kept for resending until acknowledged."""
        if not self.unacked:
            self.resend_timer_started_at = self.stall_timer_started_at = now
        self.posted_at = now
        self.unacked.append((self.next_seq, body, now))
        self.next_seq += 1
        return self._frame(self.next_seq - 1, body)

    def post_unreliable(self, body: Message) -> Frame:
        """A new frame for a message that may be lost: it has no sequence and is not resent."""
        return self._frame(0, body)

    def _frame(self, seq: int, body: Message) -> Frame:
        return Frame(__version__, self.me, self.fencing_token, seq, self.last_received_sequence, body, self.lease_id)  # type: ignore[arg-type]  # a Message is one of Body

    def observe_view(self, frame: Frame) -> None:
        """Record the highest fencing token the peer has used; the frame is neither accepted nor acknowledged."""
        self.peer_fencing_token = max(self.peer_fencing_token, frame.fencing_token)

    def receive(self, frame: Frame, now: float) -> Message | None:
        """Process the acknowledgement; return the body if it is next in order under this fencing token, else None."""
        self.observe_view(frame)
        if frame.fencing_token != self.fencing_token:
            return None
        while self.unacked and self.unacked[0][0] <= frame.ack:
            self.newest_acked_sent_at = self.unacked.popleft()[2]
            self.resend_timer_started_at = self.stall_timer_started_at = now
        if frame.seq == 0:
            return frame.body
        if frame.seq != self.last_received_sequence + 1:
            return None
        self.last_received_sequence = frame.seq
        return frame.body

    def resend(self, now: float) -> list[Frame]:
        """All unacknowledged frames, if there was no acknowledgement or resend for ``MESH_RESEND_TIMEOUT_S``."""
        if not self.unacked or now - self.resend_timer_started_at < constants.MESH_RESEND_TIMEOUT_S:
            return []
        self.resend_timer_started_at = now
        return [self._frame(seq, body) for seq, body, _ in self.unacked]

    def backlog(self) -> int:
        """Number of unacknowledged messages."""
        return len(self.unacked)

    def needs_keep_alive(self, now: float) -> bool:
        """Whether no reliable message was posted for ``MESH_KEEP_ALIVE_INTERVAL_S``: a keep-alive is due, to test the
        connection.
        """
        return now - self.posted_at >= constants.MESH_KEEP_ALIVE_INTERVAL_S

    def check_stalled(self, now: float) -> bool:
        """Whether messages were pending without an acknowledgement for ``MESH_STALL_TIMEOUT_S``; if so, restart that
        timer.

        The peer may have closed the connection while the network was partitioned, so that it has to be renewed.
        """
        if not self.unacked or now - self.stall_timer_started_at < constants.MESH_STALL_TIMEOUT_S:
            return False
        self.stall_timer_started_at = now  # the next connection gets the full time
        return True
