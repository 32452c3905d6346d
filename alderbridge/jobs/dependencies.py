"""The graph of jobs that depend on others: which are ready, which are cascade-aborted, how urgent dependents are.

A job is in exactly one state here:

* READY: every job that it depends on is done in the store. Jobs without
  dependencies are ready from the start and have no entry.
* WAITING: some job that it depends on is not done yet.
* CASCADE-ABORTED: a job that it depends on, directly or through others, is
  aborted. It was never ready, as ends are final, so none of its tasks was ever started.

Pure, and fed with facts of the store alone, in whatever order they arrive: each
fact moves states one way only. Every walk goes along the edges that a change
concerns, with a list of its own in place of recursion: chains may be deep.

Urgency: a job has to end early enough for every dependent, on the longest way to
each deadline; its priority is at least that of any of them. What a dependent asked
for stays so when it is aborted: that raises some urgency for nothing, but an end
never costs a new walk over all that depends on the same job.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

from alderbridge import constants
from alderbridge.protocol.wire import JobSpec

NEVER = float("inf")
NO_RANK = -1  # below every priority

JobEnd = tuple[str, float]  # how a job ended ("done" or "aborted"), and the time of day (0: not recorded)


@dataclass
class _Node:
    """A job that depends on others, has dependents, or both. Times are times of day."""

    dependencies: set[str] = field(default_factory=set)  # all that had not ended when it was added
    unfinished: set[str] = field(default_factory=set)  # of these, the ones not done yet
    dependents: set[str] = field(default_factory=set)
    ready_at: float = 0.0  # when the last dependency was done; its submission before that
    is_recorded: bool = False  # its own record has been seen
    rank: int = NO_RANK
    run_s: float = 0.0
    own_due: tuple[float, ...] = ()  # deadlines of its own, one for each deadline multiple
    dependents_due: tuple[float, ...] = ()  # when it has to end for its dependents, likewise
    dependents_rank: int = NO_RANK  # the highest priority among its dependents


class Graph:
    """Jobs with dependencies or dependents that have not ended."""

    def __init__(self, run_time: Callable[[JobSpec], float], deadline_multiples: Iterable[float] = (1.0,)) -> None:
        """``deadline_multiples``: the multiples of a deadline that objectives speak of, each followed by itself.

        ``run_time``: expected run time of a job, in seconds.
        """
        self.run_time = run_time
        self.deadline_multiples = tuple(sorted(set(deadline_multiples))) or (1.0,)
        self.never = (NEVER,) * len(self.deadline_multiples)
        self.nodes: dict[str, _Node] = {}
        self.cascade_aborted: set[str] = set()
        # Jobs that changed their state; the caller takes them out.
        self.newly_ready: list[str] = []
        self.newly_cascade_aborted: list[str] = []

    # -- questions ---------------------------------------------------------

    def waiting(self, job: str) -> bool:
        """Whether a job that it depends on is not done in the store; cascade-aborted ones wait for ever."""
        node = self.nodes.get(job)
        return node is not None and bool(node.unfinished)

    def ready_at(self, job: str) -> float:
        """Time of day when its last dependency was done; 0 where it had none."""
        node = self.nodes.get(job)
        return node.ready_at if node is not None else 0.0

    def dependents_rank(self, job: str) -> int:
        """The highest priority of the jobs that depend on it; -1 where none does."""
        node = self.nodes.get(job)
        return node.dependents_rank if node is not None else NO_RANK

    def dependents_due(self, job: str) -> tuple[float, ...]:
        """Times of day by which it has to end for its dependents, one for each deadline multiple."""
        node = self.nodes.get(job)
        return tuple([due for due in node.dependents_due if due < NEVER]) if node is not None else ()

    # -- facts of the store ------------------------------------------------

    def _node(self, job: str) -> _Node:
        node = self.nodes.get(job)
        if node is None:
            node = self.nodes[job] = _Node(own_due=self.never, dependents_due=self.never)
        return node

    def add(
        self, spec: JobSpec, at: float, dependencies: Iterable[str], end_of: Callable[[str], JobEnd | None]
    ) -> None:
        """An active job, submitted ``at`` that time of day; ``end_of``: how a job ended, None if it has not."""
        earlier = self.nodes.get(spec.id)
        if earlier is not None and earlier.is_recorded:
            return
        node = self._node(spec.id)
        node.is_recorded, node.ready_at = True, max(node.ready_at, at)
        node.rank, node.run_s = spec.rank, self.run_time(spec)
        if spec.due_s is not None:
            node.own_due = tuple(at + multiple * spec.due_s for multiple in self.deadline_multiples)
        if self._link_dependencies(spec.id, node, dependencies, end_of):
            self._cascade_abort([spec.id])
        else:
            self._propagate_urgency(spec.id)

    def _link_dependencies(
        self, job: str, node: _Node, dependencies: Iterable[str], end_of: Callable[[str], JobEnd | None]
    ) -> bool:
        """Add the edges to all dependencies that are not done; whether one of these is aborted."""
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

    def done(self, job: str, at: float) -> None:
        """``job`` is done in the store, ``at`` that time of day (0: an older version did not say)."""
        node = self.nodes.get(job)
        if node is None:
            return
        for name in node.dependents:
            dependent = self.nodes[name]
            dependent.unfinished.discard(job)
            dependent.ready_at = max(dependent.ready_at, at)
            if not dependent.unfinished:
                self.newly_ready.append(name)
        self._remove(job)

    def aborted(self, job: str) -> None:
        """``job`` is aborted in the store: so is all that depends on it."""
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
        """The job has ended. If it was aborted, it stays unfinished for its dependents: they are never ready."""
        node = self.nodes.pop(job)
        self.cascade_aborted.discard(job)
        for name in node.dependencies:
            dependency = self.nodes[name]
            dependency.dependents.discard(job)
            if not dependency.is_recorded and not dependency.dependents:
                del self.nodes[name]  # a job without dependencies, and now without dependents
        for name in node.dependents:
            self.nodes[name].dependencies.discard(job)

    # -- urgency -----------------------------------------------------------

    def _propagate_urgency(self, job: str) -> None:
        """Pass the urgency of the job and its dependents on to its dependencies, as far as that is news."""
        queue = [job]
        while queue:
            node = self.nodes[queue.pop()]
            rank, run_s = max(node.rank, node.dependents_rank), node.run_s + constants.DEPENDENCY_STEP_S
            asked = tuple(min(own, due) - run_s for own, due in zip(node.own_due, node.dependents_due, strict=True))
            for name in node.dependencies:
                dependency = self.nodes[name]
                due = tuple(map(min, dependency.dependents_due, asked))
                if due != dependency.dependents_due or rank > dependency.dependents_rank:
                    dependency.dependents_due = due
                    dependency.dependents_rank = max(rank, dependency.dependents_rank)
                    queue.append(name)
