"""What follows from what a home knows of a task and what a part tells of it on one machine: every case.

The rows are what the home knows, from the store and since; the columns are what the part tells, from a
report of the machine at the view's mandate, a lapse, or a confirmed return. Reports that are older than
another, of an older mandate or session do not get here: the part drops them.
"""

from __future__ import annotations

from enum import IntEnum


class Known(IntEnum):
    STRANGER = 0  # no such job at this home
    OVER = 1  # its job is done or aborted, and no run of the task is known
    OVER_HERE = 2  # its job is done or aborted, and this is its run
    DONE = 3  # its result is stored
    COUNTED = 4  # its result is counted, the record is on its way to the store
    WAITING = 5  # on no machine
    POSSIBLE = 6  # inherited, at or below the mark: it may be on any recorded machine
    HERE = 7  # on this machine, with this attempt
    OTHER_TRY = 8  # on this machine with another attempt, older or newer
    ELSEWHERE = 9  # on another machine


class Told(IntEnum):
    LIVE = 0  # fetching, running or saving
    HELD = 1  # ordered, and not yet seen in a report: no proof of anything, so what may be on the machine counts there
    DONE = 2  # ended, with a result
    ERROR = 3  # ended, failed
    STOPPED = 4  # ended: halted, or refused as full, busy or unknown; also a service that ended
    ABSENT = 5  # not there


class Verdict(IntEnum):
    NOTHING = 0
    ADOPT = 1  # it is there: never started again elsewhere
    ADOPT_HALT = 2  # it is there and counts, and has to stop
    PROGRESS = 3
    PROGRESS_HALT = 4
    HALT = 5  # what is there is of no use to anyone
    FINISH = 6  # the result counts; cleared only when the store holds it
    FREE = 7  # it waits again
    FREE_CLEAR = 8
    FAIL_CLEAR = 9  # it waits again, after a pause
    CLEAR = 10
    STRIKE = 11  # not on this machine: free when no other machine may hold it


_V = Verdict
TABLE: tuple[tuple[Verdict, ...], ...] = (
    # LIVE            HELD        DONE           ERROR          STOPPED        ABSENT
    (_V.HALT, _V.NOTHING, _V.CLEAR, _V.CLEAR, _V.CLEAR, _V.NOTHING),  # STRANGER
    # Of a cancelled job, too: passed over, what was ordered was in nobody's count of its team once all were squared.
    (_V.ADOPT_HALT, _V.ADOPT, _V.CLEAR, _V.CLEAR, _V.CLEAR, _V.STRIKE),  # OVER
    (_V.PROGRESS_HALT, _V.NOTHING, _V.FREE_CLEAR, _V.FREE_CLEAR, _V.FREE_CLEAR, _V.FREE),  # OVER_HERE
    (_V.HALT, _V.NOTHING, _V.CLEAR, _V.CLEAR, _V.CLEAR, _V.NOTHING),  # DONE
    (_V.HALT, _V.NOTHING, _V.FINISH, _V.CLEAR, _V.CLEAR, _V.NOTHING),  # COUNTED
    (_V.ADOPT, _V.ADOPT, _V.FINISH, _V.CLEAR, _V.CLEAR, _V.NOTHING),  # WAITING
    (_V.ADOPT, _V.ADOPT, _V.FINISH, _V.CLEAR, _V.CLEAR, _V.STRIKE),  # POSSIBLE
    (_V.PROGRESS, _V.NOTHING, _V.FINISH, _V.FAIL_CLEAR, _V.FREE_CLEAR, _V.FREE),  # HERE
    (_V.HALT, _V.NOTHING, _V.CLEAR, _V.CLEAR, _V.CLEAR, _V.FREE),  # OTHER_TRY
    (_V.HALT, _V.NOTHING, _V.CLEAR, _V.CLEAR, _V.CLEAR, _V.NOTHING),  # ELSEWHERE
)


def verdict(known: Known, told: Told) -> Verdict:
    return TABLE[known][told]
