"""Jobs that wait for others: who is ready, who is doomed, who is in a hurry for whom.

A job is in exactly one state here:

* READY: every job that it needs is done in the store. Jobs that need none are
  ready from the start and have no entry.
* WAITING: some job that it needs is not done yet.
* DOOMED: a job that it needs, directly or through others, is aborted. It was
  never ready, as ends are final, so nothing of it was ever started.

Pure, and fed with facts of the store alone, in whatever order they arrive: each
fact moves states one way only. Every walk goes along the edges that a change
concerns, with a list of its own in place of recursion: chains may be deep.

Urgency: a job has to end early enough for every job that needs it, on the
longest way to each deadline; its priority is at least that of any of them. What
was asked for stays so when the job that asked is aborted: a little haste for
nothing, and an end costs no new look at all that hang on the same job.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

from alderbridge import constants
from alderbridge.protocol.wire import JobSpec

NEVER = float("inf")


@dataclass
class _Node:
    """A job that needs others, is needed by others, or both."""

    needs: set[str] = field(default_factory=set)  # all that were not over when it came
    left: set[str] = field(default_factory=set)  # of these, the ones not done yet
    dependents: set[str] = field(default_factory=set)
    ready_at: float = 0.0  # time of day when the last needed job was done; its submission before that
    known: bool = False  # its own record has been seen
    rank: int = -1
    run_s: float = 0.0
    own: tuple[float, ...] = ()  # deadlines of its own, times of day
    # what the jobs that need it ask for
    due: tuple[float, ...] = ()
    rank_due: int = -1


class Graph:
    def __init__(self, run_time: Callable[[JobSpec], float], stretches: Iterable[float] = (1.0,)) -> None:
        """``stretches``: the multiples of a deadline that objectives speak of, each followed by itself."""
        self.run_time = run_time
        self.stretches = tuple(sorted(set(stretches))) or (1.0,)
        self.never = (NEVER,) * len(self.stretches)
        self.nodes: dict[str, _Node] = {}
        self.doomed: set[str] = set()
        self.fresh_ready: list[str] = []  # became ready; for the node to collect
        self.fresh_doomed: list[str] = []

    # -- questions ---------------------------------------------------------

    def waiting(self, job: str) -> bool:
        """Whether a job that it needs is not done in the store; doomed ones wait for ever."""
        node = self.nodes.get(job)
        return node is not None and bool(node.left)

    def ready_at(self, job: str) -> float:
        """Time of day when the last job that it needs was done; 0 where it needed none."""
        node = self.nodes.get(job)
        return node.ready_at if node is not None else 0.0

    def needed_rank(self, job: str) -> int:
        """The highest priority of the jobs that need it; -1 where none does."""
        node = self.nodes.get(job)
        return node.rank_due if node is not None else -1

    def needed_by(self, job: str) -> tuple[float, ...]:
        """Times of day by which it has to end for those that need it, one for each stretch."""
        node = self.nodes.get(job)
        return tuple([due for due in node.due if due < NEVER]) if node is not None else ()

    # -- facts of the store ------------------------------------------------

    def _node(self, job: str) -> _Node:
        node = self.nodes.get(job)
        if node is None:
            node = self.nodes[job] = _Node(due=self.never, own=self.never)
        return node

    def add(
        self, spec: JobSpec, at: float, needs: Iterable[str], over: Callable[[str], tuple[str, float] | None]
    ) -> None:
        """An active job and what it needs; ``over`` tells how and when a job ended, if it has."""
        known = self.nodes.get(spec.id)
        if known is not None and known.known:
            return
        node = self._node(spec.id)
        node.known, node.ready_at = True, max(node.ready_at, at)
        node.rank, node.run_s = spec.rank, self.run_time(spec)
        if spec.due_s is not None:
            node.own = tuple(at + stretch * spec.due_s for stretch in self.stretches)
        doomed = False
        for need in set(needs):
            end = over(need)
            if end is not None and end[0] == "done":
                node.ready_at = max(node.ready_at, end[1])
                continue
            node.needs.add(need)
            node.left.add(need)
            self._node(need).dependents.add(spec.id)
            doomed = doomed or end is not None or need in self.doomed
        if doomed:
            self._doom([spec.id])
        else:
            self._hurry(spec.id)

    def done(self, job: str, at: float) -> None:
        """``job`` is done in the store, ``at`` that time of day (0: an older version did not say)."""
        node = self.nodes.get(job)
        if node is None:
            return
        for dependent in node.dependents:
            other = self.nodes[dependent]
            other.left.discard(job)
            other.ready_at = max(other.ready_at, at)
            if not other.left:
                self.fresh_ready.append(dependent)
        self._remove(job)

    def aborted(self, job: str) -> None:
        """``job`` is aborted in the store: so is all that needs it."""
        node = self.nodes.get(job)
        if node is None:
            return
        self._doom(sorted(node.dependents))
        self._remove(job)

    def _doom(self, jobs: list[str]) -> None:
        while jobs:
            job = jobs.pop()
            if job not in self.doomed:
                self.doomed.add(job)
                self.fresh_doomed.append(job)
                jobs += self.nodes[job].dependents

    def _remove(self, job: str) -> None:
        """The job is over. Those that wait for a doomed one keep it among what is left: they are never ready."""
        node = self.nodes.pop(job)
        self.doomed.discard(job)
        for need in node.needs:
            other = self.nodes[need]
            other.dependents.discard(job)
            if not other.known and not other.dependents:
                del self.nodes[need]  # an ordinary job that nobody needs any more
        for dependent in node.dependents:
            self.nodes[dependent].needs.discard(job)

    # -- urgency -----------------------------------------------------------

    def _hurry(self, job: str) -> None:
        """Pass on what the job, and those that need it, ask for, as far as that is news."""
        todo = [job]
        while todo:
            node = self.nodes[todo.pop()]
            rank, run = max(node.rank, node.rank_due), node.run_s + constants.DEPENDENCY_STEP_S
            asked = tuple(min(own, due) - run for own, due in zip(node.own, node.due, strict=True))
            for need in node.needs:
                other = self.nodes[need]
                due = tuple(map(min, other.due, asked))
                if due != other.due or rank > other.rank_due:
                    other.due, other.rank_due = due, max(rank, other.rank_due)
                    todo.append(need)
