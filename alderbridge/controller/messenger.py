"""Messages to the other members and to this controller itself; frames are queued in ``Effects`` for sending."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Iterable, Mapping
from typing import Any

from alderbridge.controller.effects import Effects
from alderbridge.controller.state import ControllerState
from alderbridge.protocol import messages
from alderbridge.transport.channel import Channel

Handler = Callable[[str, Any], None]  # called with the sender's label and a message of the type it is registered for


class Messenger:
    """Channels to the peers, the inbox for messages to itself, and dispatch of received messages."""

    def __init__(self, state: ControllerState, effects: Effects, peers: Iterable[str]) -> None:
        """``peers``: labels of the other controllers. Messages are dispatched once ``handlers`` is set."""
        self.me = state.me
        self.state = state
        self.effects = effects
        self.handlers: Mapping[type[messages.Message], Handler] = {}
        self.channels = {label: Channel(self.me) for label in peers}
        self.inbox: deque[tuple[int, messages.Message]] = deque()
        # By receiver; sent with the next message to that member, or in the next round.
        self.deferred: dict[str, list[messages.Message]] = {}
        self.local_seq = self.local_processed_seq = 0

    def enter_view(self, fencing_token: int, lease_id: int, now: float) -> None:
        """Reset for a new view: undelivered messages of the previous one are dropped."""
        for channel in self.channels.values():
            channel.reset(fencing_token, now, lease_id)
        self.inbox.clear()
        self.deferred.clear()

    def send(self, label: str, body: messages.Message) -> int:
        """Send a message reliably; returns its sequence in that member's channel, 0 if there is no channel."""
        if label == self.me:
            self.local_seq += 1
            self.inbox.append((self.local_seq, body))
            return self.local_seq
        channel = self.channels.get(label)
        if channel is None:
            return 0
        if label in self.deferred:
            self.flush_deferred(label)
        frame = channel.post(body, self.state.now)
        self.effects.outgoing_frames.append((label, frame))
        return frame.seq

    def send_deferred(self, label: str, body: messages.Message) -> int:
        """Send a message reliably, but batched with the next message to that member or in the next round.

        A separate socket write would wake the peer, which costs more than the message. Returns the sequence as ``send``
        does, or 0 while the message is deferred.
        """
        if label == self.me:
            return self.send(label, body)
        if label in self.channels:
            self.deferred.setdefault(label, []).append(body)
        return 0

    def flush_deferred(self, label: str) -> None:
        """Send the deferred messages to that member."""
        channel = self.channels[label]
        self.effects.outgoing_frames += [
            (label, channel.post(body, self.state.now)) for body in self.deferred.pop(label, ())
        ]

    def send_unreliable(self, label: str, body: messages.Message) -> None:
        """Send a message that may be lost; one to this controller itself is dispatched at once."""
        if label == self.me:
            self.dispatch(label, body)
        elif label in self.channels:
            self.effects.outgoing_frames.append((label, self.channels[label].post_unreliable(body)))

    def pump(self) -> None:
        """Deliver messages to this controller itself until its inbox is empty."""
        while self.inbox:
            seq, body = self.inbox.popleft()
            self.local_processed_seq = seq
            self.dispatch(self.me, body)

    def dispatch(self, label: str, body: messages.Message) -> None:
        """Handle a message; types without a handler are dropped."""
        handler = self.handlers.get(type(body))
        if handler is not None:
            handler(label, body)

    def processed_seq_of(self, label: str) -> int:
        """The sequence of the last message from that member that was processed here."""
        return self.local_processed_seq if label == self.me else self.channels[label].last_received_sequence

    def maintain_channels(self, now: float) -> None:
        """Send keepalives on idle channels, resend unacknowledged frames, and reconnect stalled channels."""
        for label, channel in self.channels.items():
            if label in self.state.membership.view.members and channel.needs_keep_alive(now):
                self.send(label, messages.KeepAlive())
            if channel.check_stalled(now):
                self.effects.channel_renewals.append(label)
            self.effects.outgoing_frames += [(label, frame) for frame in channel.resend(now)]
