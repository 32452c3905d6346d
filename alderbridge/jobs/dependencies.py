"""Dependency graph of jobs: readiness, cascading aborts, and the urgency that dependents pass on to dependencies.

A job in the graph is in exactly one state:

* READY: every dependency is stored as done. A job without dependencies is
  ready from its submission and has a node only while it has dependents.
* WAITING: at least one dependency is not done yet.
* CASCADE-ABORTED: a direct or indirect dependency is aborted. None of the job's
  tasks has ever started, because a stored end is final and so the job was never ready.

The graph does no I/O. It is built from stored records alone, in any order: each
record moves states in one direction only. Traversals visit only the edges that a
change affects and use an explicit list instead of recursion, as chains may be deep.

Urgency: a job has to end early enough for every dependent, along the longest path to
each deadline, and its effective priority is at least that of each dependent. The
requirements of an aborted dependent are not withdrawn: that may overstate the urgency of
some jobs, but the end of a job never requires a new traversal of the remaining dependents.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

from alderbridge import constants
from alderbridge.protocol.wire import JobSpec

NO_DEADLINE = float("inf")
NO_RANK = -1  # lower than the rank of every priority

JobEnd = tuple[str, float]  # final state ("done" or "aborted") and time of day of the end (0: not recorded)


@dataclass
class _Node:
    """A job that has dependencies, dependents, or both. Times are times of day, in seconds."""

    dependencies: set[str] = field(default_factory=set)  # those that were not done when the job was added
    unfinished: set[str] = field(default_factory=set)  # the subset that is not done yet
    dependents: set[str] = field(default_factory=set)
    ready_at: float = 0.0  # end of the last dependency so far; initially the submission
    is_recorded: bool = False  # the job's own record has been added
    rank: int = NO_RANK
    run_s: float = 0.0
    own_due: tuple[float, ...] = ()  # the job's own deadlines, one per deadline multiple
    dependents_due: tuple[float, ...] = ()  # latest end that its dependents allow, one per deadline multiple
    dependents_rank: int = NO_RANK  # highest rank among direct and indirect dependents


class Graph:
    """Jobs that have dependencies or dependents and have not ended."""

    def __init__(self, run_time: Callable[[JobSpec], float], deadline_multiples: Iterable[float] = (1.0,)) -> None:
        """``run_time``: expected run time of a job, in seconds.

        ``deadline_multiples``: multiples of a job's deadline that objectives refer to; each is propagated separately.
        """
        self.run_time = run_time
        self.deadline_multiples = tuple(sorted(set(deadline_multiples))) or (1.0,)
        self.no_deadlines = (NO_DEADLINE,) * len(self.deadline_multiples)
        self.nodes: dict[str, _Node] = {}
        self.cascade_aborted: set[str] = set()
        # Jobs whose state has changed since the caller last replaced these lists.
        self.newly_ready: list[str] = []
        self.newly_cascade_aborted: list[str] = []

    def waiting(self, job: str) -> bool:
        """Whether any dependency is not stored as done; always true for cascade-aborted jobs."""
        node = self.nodes.get(job)
        return node is not None and bool(node.unfinished)

    def unfinished(self, job: str) -> list[str]:
        """The dependencies that are not stored as done, in alphabetical order."""
        node = self.nodes.get(job)
        return sorted(node.unfinished) if node is not None else []

    def ready_at(self, job: str) -> float:
        """Time of day when the job became ready, as known so far; 0 if its own record has not been added."""
        node = self.nodes.get(job)
        return node.ready_at if node is not None else 0.0

    def dependents_rank(self, job: str) -> int:
        """Highest priority rank of the dependents; -1 if there are none."""
        node = self.nodes.get(job)
        return node.dependents_rank if node is not None else NO_RANK

    def dependents_due(self, job: str) -> tuple[float, ...]:
        """Times of day by which the job has to end for its dependents, one per deadline multiple; empty without any."""
        node = self.nodes.get(job)
        return tuple([due for due in node.dependents_due if due < NO_DEADLINE]) if node is not None else ()

    def _node(self, job: str) -> _Node:
        node = self.nodes.get(job)
        if node is None:
            node = self.nodes[job] = _Node(own_due=self.no_deadlines, dependents_due=self.no_deadlines)
        return node

    def add(
        self, spec: JobSpec, submitted_at: float, dependencies: Iterable[str], end_of: Callable[[str], JobEnd | None]
    ) -> None:
        """Add an active job, submitted at that time of day; ``end_of``: end of a job, None while it is active."""
        existing = self.nodes.get(spec.id)
        if existing is not None and existing.is_recorded:
            return
        node = self._node(spec.id)
        node.is_recorded, node.ready_at = True, max(node.ready_at, submitted_at)
        node.rank, node.run_s = spec.rank, self.run_time(spec)
        if spec.due_s is not None:
            node.own_due = tuple(submitted_at + multiple * spec.due_s for multiple in self.deadline_multiples)
        if self._link_dependencies(spec.id, node, dependencies, end_of):
            self._cascade_abort([spec.id])
        else:
            self._propagate_urgency(spec.id)

    def _link_dependencies(
        self, job: str, node: _Node, dependencies: Iterable[str], end_of: Callable[[str], JobEnd | None]
    ) -> bool:
        """Add edges to all dependencies that are not done; returns whether any of them is aborted."""
        any_aborted = False
        for dependency in set(dependencies):
            end = end_of(dependency)
            if end is not None and end[0] == "done":
                node.ready_at = max(node.ready_at, end[1])
                continue
            node.dependencies.add(dependency)
            node.unfinished.add(dependency)
            self._node(dependency).dependents.add(job)
            any_aborted = any_aborted or end is not None or dependency in self.cascade_aborted
        return any_aborted

    def done(self, job: str, done_at: float) -> None:
        """The job is stored as done, at that time of day (0: the record was written by an older version)."""
        node = self.nodes.get(job)
        if node is None:
            return
        for name in node.dependents:
            dependent = self.nodes[name]
            dependent.unfinished.discard(job)
            dependent.ready_at = max(dependent.ready_at, done_at)
            if not dependent.unfinished:
                self.newly_ready.append(name)
        self._remove(job)

    def aborted(self, job: str) -> None:
        """The job is stored as aborted: cascade-abort all direct and indirect dependents."""
        node = self.nodes.get(job)
        if node is None:
            return
        self._cascade_abort(sorted(node.dependents))
        self._remove(job)

    def _cascade_abort(self, jobs: list[str]) -> None:
        while jobs:
            job = jobs.pop()
            if job not in self.cascade_aborted:
                self.cascade_aborted.add(job)
                self.newly_cascade_aborted.append(job)
                jobs += self.nodes[job].dependents

    def _remove(self, job: str) -> None:
        """Remove an ended job. An aborted one stays in ``unfinished`` of its dependents, so they never become ready."""
        node = self.nodes.pop(job)
        self.cascade_aborted.discard(job)
        for name in node.dependencies:
            dependency = self.nodes[name]
            dependency.dependents.discard(job)
            if not dependency.is_recorded and not dependency.dependents:
                del self.nodes[name]  # nothing left to track: it has neither dependencies nor dependents
        for name in node.dependents:
            self.nodes[name].dependencies.discard(job)

    def _propagate_urgency(self, job: str) -> None:
        """Propagate urgency from the job to its direct and indirect dependencies, until nothing changes."""
        queue = [job]
        while queue:
            node = self.nodes[queue.pop()]
            rank, run_s = max(node.rank, node.dependents_rank), node.run_s + constants.START_OVERHEAD_S
            required_due = tuple(
                min(own, due) - run_s for own, due in zip(node.own_due, node.dependents_due, strict=True)
            )
            for name in node.dependencies:
                dependency = self.nodes[name]
                due = tuple(map(min, dependency.dependents_due, required_due))
                if due != dependency.dependents_due or rank > dependency.dependents_rank:
                    dependency.dependents_due = due
                    dependency.dependents_rank = max(rank, dependency.dependents_rank)
                    queue.append(name)
