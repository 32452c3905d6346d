"""A compact set of task indexes."""

from __future__ import annotations

import math
from bisect import bisect_right
from collections.abc import Iterable, Iterator, MutableSet

RANGE_OVERHEAD_BYTES = 4  # brackets and commas of one range in JSON


class IndexRanges(MutableSet[int]):
    """A set of integers, stored as sorted half-open ranges that neither overlap nor touch.

    Memory, and the time of each operation on one index, follow the number of ranges, not that of the indexes.
    """

    def __init__(self, ranges: Iterable[tuple[int, int]] = ()) -> None:
        """``ranges``: sorted, half-open and not adjacent."""
        self.ranges = [(low, high) for low, high in ranges]
        self.count = sum(high - low for low, high in self.ranges)

    def __contains__(self, number: object) -> bool:
        """Whether the number is in the set."""
        position = bisect_right(self.ranges, (number, math.inf)) - 1
        return position >= 0 and number < self.ranges[position][1]  # type: ignore[operator]

    def __len__(self) -> int:
        """Number of indexes."""
        return self.count

    def __iter__(self) -> Iterator[int]:
        """Yield each index in ascending order."""
        for low, high in self.ranges:
            yield from range(low, high)

    def add(self, value: int) -> None:
        """Add a number, merging it with adjacent ranges."""
        if value in self:
            return
        position = bisect_right(self.ranges, (value, math.inf))
        low, high = value, value + 1
        if position < len(self.ranges) and self.ranges[position][0] == high:
            high = self.ranges.pop(position)[1]
        if position > 0 and self.ranges[position - 1][1] == value:
            position -= 1
            low = self.ranges.pop(position)[0]
        self.ranges.insert(position, (low, high))
        self.count += 1

    def discard(self, value: int) -> None:
        """Remove a number if it is present, splitting its range if necessary."""
        if value not in self:
            return
        position = bisect_right(self.ranges, (value, math.inf)) - 1
        low, high = self.ranges[position]
        parts = ((low, value), (value + 1, high))
        self.ranges[position : position + 1] = [part for part in parts if part[0] < part[1]]
        self.count -= 1

    def pop_smallest(self) -> int:
        """Remove and return the smallest number of a set that is not empty."""
        low, high = self.ranges[0]
        if low + 1 < high:
            self.ranges[0] = (low + 1, high)
        else:
            del self.ranges[0]
        self.count -= 1
        return low

    def clear(self) -> None:
        """Remove all numbers."""
        self.ranges.clear()
        self.count = 0

    def add_all(self, other: IndexRanges) -> None:
        """Add all numbers of another set, range by range."""
        merged: list[tuple[int, int]] = []
        for low, high in sorted(self.ranges + other.ranges):
            if merged and low <= merged[-1][1]:
                merged[-1] = (merged[-1][0], max(high, merged[-1][1]))
            else:
                merged.append((low, high))
        self.ranges = merged
        self.count = sum(high - low for low, high in merged)

    def missing_below(self, limit: int) -> IndexRanges:
        """The numbers from 0 to below ``limit`` that are not in this set."""
        missing, start = [], 0
        for low, high in self.ranges:
            if start < min(low, limit):
                missing.append((start, min(low, limit)))
            start = max(start, high)
        if start < limit:
            missing.append((start, limit))
        return IndexRanges(missing)

    def largest_within(self, limit_bytes: int) -> list[tuple[int, int]]:
        """The largest ranges whose JSON fits into ``limit_bytes``, sorted; ranges are never split."""
        size_bytes, result = 2, []
        for low, high in sorted(self.ranges, key=lambda entry: entry[0] - entry[1]):
            size_bytes += len(str(low)) + len(str(high)) + RANGE_OVERHEAD_BYTES
            if size_bytes > limit_bytes:
                break
            result.append((low, high))
        return sorted(result)
