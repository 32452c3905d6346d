"""Common parts of all JSON bodies: the encoder, value ranges, and the error for a malformed body."""

from __future__ import annotations

from typing import Annotated

import msgspec
from msgspec import Meta

Positive = Annotated[float, Meta(gt=0, le=1e9)]
Amount = Annotated[float, Meta(ge=0, le=1e9)]
Name = Annotated[str, Meta(min_length=1, max_length=100)]

encode = msgspec.json.encode


class MalformedBodyError(ValueError):
    """A malformed request body; the response is 400."""


# Raised by msgspec for bytes that are not JSON of the expected type, too deeply nested, or not UTF-8.
DECODE_ERRORS = (msgspec.DecodeError, RecursionError, UnicodeDecodeError)
