"""What a controller does after it, or all of them, went down: squares the workers' reports with the stored state.

Pure: time and randomness are arguments, nothing here does I/O. ``docs/design-recovery.md`` weighs the ways,
``docs/recovery.md`` says what people on call see.

* ``verdict``: what follows from what a home knows of a task and what a machine's part tells of it.
* ``Barrier``: the machines that an inherited task may still be on.
* ``Squaring``: how far a part's machines are squared, for its line a second.
* ``Asking``: whom a part asks for the acknowledgement of a new mandate, and when again.
* ``HoldBack``: what the leader leaves undone while it does not know the fleet.
"""

from .asking import Asking
from .barrier import Barrier
from .holding import HoldBack, Knowledge
from .squaring import Squaring, State
from .table import TABLE, Known, Told, Verdict, verdict

__all__ = [
    "TABLE",
    "Asking",
    "Barrier",
    "HoldBack",
    "Known",
    "Knowledge",
    "Squaring",
    "State",
    "Told",
    "Verdict",
    "verdict",
]
