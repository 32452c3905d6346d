"""A compact set of task indexes."""

from __future__ import annotations

import math
from bisect import bisect_right
from collections.abc import Iterable

RANGE_BYTES = 4  # brackets and commas of one encoded range


class IndexRanges:
    """A set of whole numbers as sorted half-open ranges."""

    def __init__(self, ranges: Iterable[tuple[int, int]] = ()) -> None:
        """``ranges``: sorted, half-open and not adjacent."""
        self.ranges = [(low, high) for low, high in ranges]
        self.count = sum(high - low for low, high in self.ranges)

    def __contains__(self, number: int) -> bool:
        """Whether the number is in one of the ranges."""
        position = bisect_right(self.ranges, (number, math.inf)) - 1
        return position >= 0 and self.ranges[position][0] <= number < self.ranges[position][1]

    def add(self, number: int) -> bool:
        """Add a number, joining it with adjacent ranges; False if it was there already."""
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

    def largest_within(self, size_limit: int) -> list[tuple[int, int]]:
        """The largest ranges whose JSON fits ``size_limit`` bytes, in order; a range is kept whole or left out."""
        size, result = 2, []
        for low, high in sorted(self.ranges, key=lambda entry: entry[0] - entry[1]):
            size += len(str(low)) + len(str(high)) + RANGE_BYTES
            if size > size_limit:
                break
            result.append((low, high))
        return sorted(result)
