"""Users' requests to a simulated controller, and the queries that controllers send each other for them."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from alderbridge import constants
from alderbridge.controller import admission
from alderbridge.controller.core import ControllerCore
from alderbridge.controller.submissions import Submission
from alderbridge.jobs.record import JobState, Record
from alderbridge.protocol import messages, wire
from alderbridge.protocol.keys import JOBS
from simulation.users import NOT_FOUND

if TYPE_CHECKING:
    from simulation.world import World


class UserRequests:
    """Serves users' requests as ``UsersApi`` does; a mixin of ``SimController``.

    Callbacks get a state, ``NOT_FOUND``, or None for 503.
    """

    core: ControllerCore
    world: World
    label: str
    life: int
    ahead_s: float

    def query_status(self, job: str, callback) -> None:
        """As ``StatusHandler.poll_status``: from memory, else from the job owner by message, else from the store."""
        core, world, generation = self.core, self.world, self.life
        state = core.local_jobs.local_job_state(job, world.t)
        if state is not None:
            callback(self.with_stored_end(job, state[0]))
            return
        owner = core.directory.job_owner(job)
        if not owner or owner == self.label:
            self.answer_from_store(job, callback)
            return
        query_id = next(world.query_ids)

        def answered(state: str | None) -> None:
            if state is None:
                self.answer_from_store(job, callback)
            else:
                callback(self.with_stored_end(job, state))

        def on_timeout() -> None:
            if world.pending_queries.pop(query_id, None) is not None and generation == self.life:
                self.answer_from_store(job, callback)

        world.pending_queries[query_id] = (self.label, generation, world.t + constants.QUERY_TIMEOUT_S, answered)
        world.after(constants.QUERY_TIMEOUT_S, on_timeout)
        core.messenger.send_unreliable(owner, messages.JobQuery(query_id, "status", job))
        self.flush()

    def answer_from_store(self, job: str, callback) -> None:
        core, world = self.core, self.world

        def read(answer) -> None:
            row, state = answer[0], None
            if row is None:
                state = None if core.directory.knows_job(job) else NOT_FOUND
            else:
                record = msgspec.json.decode(row.data, type=Record)
                waits = record.spec is not None and (record.spec.dependencies or record.dependency_digest)
                if record.state is not JobState.ACTIVE:
                    state = record.state.value
                elif not waits or core.local_jobs.is_certainly_pending(job, world.t):
                    state = "pending"
            callback(self.with_stored_end(job, state))

        self.call(read, lambda: callback(self.with_stored_end(job, None)), self.read, JOBS + job)

    def with_stored_end(self, job: str, state: str | None) -> str | None:
        ended = self.core.replica.ended.get(job)
        return state if ended is None else ended.value

    def submit_body(self, body: bytes, callback) -> None:
        """As ``SubmissionHandler.submit``; ``NOT_FOUND`` also stands for 400 and 422."""
        core, world, generation = self.core, self.world, self.life
        try:
            spec = wire.parse_job(body)
        except wire.MalformedBodyError:
            job = wire.job_id_in(body)
            if job:
                self.query_status(job, callback)
            else:
                callback(NOT_FOUND)
            return

        def answer_known_job() -> None:
            self.query_status(spec.id, lambda state: callback(None if state == NOT_FOUND else state))

        def wait(submission: Submission, until: float) -> None:
            if generation != self.life:
                return
            if not submission.outcome and world.t < until:
                world.after(0.02, wait, submission, until)
            elif submission.outcome == "accepted":
                ended = core.replica.ended.get(spec.id)
                callback("pending" if ended is None else ended.value)
            elif submission.outcome == "known":
                answer_known_job()
            elif submission.outcome == "too long":
                self.query_status(spec.id, callback)
            else:
                callback(None)

        if core.directory.knows_job(spec.id):
            answer_known_job()
        elif not core.state.loaded or not core.machine_shard.capacity.types:
            callback(None)
        elif admission.rejection_reason(spec, core.shared.teams, core.machine_shard.capacity.types.values()):
            self.query_status(spec.id, callback)
        elif not core.membership.may_act(world.t) or spec.dependencies:
            callback(None)
        else:
            submission = core.submissions.submit(spec, world.t, world.t + self.ahead_s)
            if submission is None:
                self.query_status(spec.id, callback)
            else:
                wait(submission, world.t + constants.SUBMIT_TIMEOUT_S)

    def withdraw(self, job: str, callback, since: float | None = None) -> None:
        """Replies with the final state once it is stored; None: not the job owner, or not stored in time."""
        core, generation, world = self.core, self.life, self.world
        since = world.t if since is None else since
        state = core.local_jobs.cancel(job, world.t)
        if state == "" and world.t - since < constants.SUBMIT_TIMEOUT_S:
            world.after(0.1, lambda: generation == self.life and self.withdraw(job, callback, since))
        else:
            callback(state or None)
        self.flush()

    def serve_queries(self) -> None:
        """Handles queries of other controllers and the replies to its own."""
        core, world = self.core, self.world
        while core.effects.queries:
            label, query = core.effects.queries.popleft()

            def callback(state: str | None, label: str = label, query: messages.JobQuery = query) -> None:
                core.messenger.send_unreliable(
                    label, messages.JobQueryReply(query.query_id, 200 if state else 503, (state or "").encode())
                )

            if query.kind == "withdraw":
                self.withdraw(query.job, callback)
            else:
                callback((core.local_jobs.local_job_state(query.job, world.t) or (None,))[0])
        while core.effects.query_replies:
            reply = core.effects.query_replies.popleft()
            label, generation, until, callback = world.pending_queries.pop(reply.query_id, ("", 0, 0.0, None))
            if label == self.label and generation == self.life and world.t <= until:
                callback(reply.body.decode() if reply.status == 200 else None)
