"""A compact set of task indexes."""

from __future__ import annotations

import math
from bisect import bisect_right
from collections.abc import Iterable

RANGE_OVERHEAD_BYTES = 4  # brackets and commas of one range in JSON


class IndexRanges:
    """A set of integers, stored as sorted half-open ranges."""

    def __init__(self, ranges: Iterable[tuple[int, int]] = ()) -> None:
        """``ranges``: sorted, half-open and not adjacent."""
        self.ranges = [(low, high) for low, high in ranges]
        self.count = sum(high - low for low, high in self.ranges)

    def __contains__(self, number: int) -> bool:
        """Whether the number is in the set."""
        position = bisect_right(self.ranges, (number, math.inf)) - 1
        return position >= 0 and self.ranges[position][0] <= number < self.ranges[position][1]

    def add(self, number: int) -> bool:
        """Add a number, merging it with adjacent ranges; False if it was present already."""
        if number in self:
            return False
        position = bisect_right(self.ranges, (number, math.inf))
        low, high = number, number + 1
        if position < len(self.ranges) and self.ranges[position][0] == high:
            high = self.ranges.pop(position)[1]
        if position > 0 and self.ranges[position - 1][1] == number:
            position -= 1
            low = self.ranges.pop(position)[0]
        self.ranges.insert(position, (low, high))
        self.count += 1
        return True

    def largest_within(self, limit_bytes: int) -> list[tuple[int, int]]:
        """The largest ranges whose JSON fits into ``limit_bytes``, sorted; ranges are never split."""
        size_bytes, result = 2, []
        for low, high in sorted(self.ranges, key=lambda entry: entry[0] - entry[1]):
            size_bytes += len(str(low)) + len(str(high)) + RANGE_OVERHEAD_BYTES
            if size_bytes > limit_bytes:
                break
            result.append((low, high))
        return sorted(result)
