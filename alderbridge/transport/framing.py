"""Encoding of frames between controllers: MessagePack with a length prefix."""

from __future__ import annotations

import struct
from collections.abc import Iterator

import msgspec

from alderbridge import constants
from alderbridge.protocol.messages import Frame, Message

_LENGTH_PREFIX = struct.Struct(">I")  # bytes of the frame that follows
_encode = msgspec.msgpack.Encoder().encode
_decode = msgspec.msgpack.Decoder(Frame).decode


class _Envelope(msgspec.Struct, array_like=True, frozen=True):
    """A frame whose body is already encoded. It encodes to the same bytes as ``Frame``."""

    version: str
    sender: str
    fencing_token: int
    seq: int
    ack: int
    body: msgspec.Raw
    sender_lease_id: int = 0


class Encoder:
    """Encodes frames. A body sent to several peers in succession is encoded only once."""

    def __init__(self) -> None:
        """Start without a cached body."""
        self.last_body: Message | None = None
        self.last_encoded = msgspec.Raw(b"")

    def __call__(self, frame: Frame) -> bytes:
        """The bytes of a frame, with its length prefix."""
        if frame.body is not self.last_body:
            self.last_body, self.last_encoded = frame.body, msgspec.Raw(_encode(frame.body))
        data = _encode(
            _Envelope(
                frame.version,
                frame.sender,
                frame.fencing_token,
                frame.seq,
                frame.ack,
                self.last_encoded,
                frame.sender_lease_id,
            )
        )
        return _LENGTH_PREFIX.pack(len(data)) + data


def split_frames(buffer: bytearray) -> Iterator[Frame]:
    """Remove the complete frames from the front of ``buffer`` and yield them. Raises ``msgspec.DecodeError``."""
    consumed, available = 0, len(buffer)  # bytes
    try:
        with memoryview(buffer) as view:
            while available - consumed >= _LENGTH_PREFIX.size:
                (size,) = _LENGTH_PREFIX.unpack_from(view, consumed)
                if size > constants.MAX_FRAME_BYTES:
                    raise msgspec.DecodeError(f"frame of {size} bytes")
                if available - consumed - _LENGTH_PREFIX.size < size:
                    return
                consumed += _LENGTH_PREFIX.size + size
                yield _decode(view[consumed - size : consumed])
    finally:
        del buffer[:consumed]
