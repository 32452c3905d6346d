"""What all bodies have in common: JSON, the ranges of values, and the error for a body that is no good."""

from __future__ import annotations

from typing import Annotated

import msgspec
from msgspec import Meta

Positive = Annotated[float, Meta(gt=0, le=1e9)]
Amount = Annotated[float, Meta(ge=0, le=1e9)]
Name = Annotated[str, Meta(min_length=1, max_length=100)]

encode = msgspec.json.encode


class MalformedBodyError(ValueError):
    """A body that is answered 400."""


# What msgspec raises for bytes that are no JSON of the form asked for, nested too deeply, or not UTF-8.
DECODE_ERRORS = (msgspec.DecodeError, RecursionError, UnicodeDecodeError)
