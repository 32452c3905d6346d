"""Frames of messages between controllers as bytes: MessagePack, with the length before it."""

from __future__ import annotations

import struct
from collections.abc import Iterator

import msgspec

from alderbridge import constants
from alderbridge.protocol.messages import Frame, Message

_LENGTH = struct.Struct(">I")  # of a frame, in bytes; goes before it
_encode = msgspec.msgpack.Encoder().encode
_decode = msgspec.msgpack.Decoder(Frame).decode


class _Envelope(msgspec.Struct, array_like=True, frozen=True):
    """A frame whose body is encoded already; it encodes to the same bytes as ``Frame``."""

    version: str
    sender: str
    fencing_token: int
    seq: int
    ack: int
    body: msgspec.Raw
    sender_lease_id: int = 0


class Encoder:
    """Encodes frames. A body that goes to several peers, one after the other, is encoded once."""

    def __init__(self) -> None:
        """No body is encoded yet."""
        self.body: Message | None = None
        self.raw = msgspec.Raw(b"")

    def __call__(self, frame: Frame) -> bytes:
        """The bytes of a frame, with its length before it."""
        if frame.body is not self.body:
            self.body, self.raw = frame.body, msgspec.Raw(_encode(frame.body))
        data = _encode(
            _Envelope(
                frame.version, frame.sender, frame.fencing_token, frame.seq, frame.ack, self.raw, frame.sender_lease_id
            )
        )
        return _LENGTH.pack(len(data)) + data


def split_frames(buffer: bytearray) -> Iterator[Frame]:
    """The complete frames at the front of ``buffer``, which keeps the rest. Raises ``msgspec.DecodeError``."""
    end, length = 0, len(buffer)  # of the frames so far, of all
    try:
        with memoryview(buffer) as view:
            while length - end >= _LENGTH.size:
                (size,) = _LENGTH.unpack_from(view, end)
                if size > constants.MAX_FRAME:
                    raise msgspec.DecodeError(f"frame of {size} bytes")
                if length - end - _LENGTH.size < size:
                    return
                end += _LENGTH.size + size
                yield _decode(view[end - size : end])
    finally:
        del buffer[:end]
