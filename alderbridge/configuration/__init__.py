"""Operator configuration (priorities, hours, lending): one revision of each kind, stored for all controllers.

Only reading files does I/O. ``ControllerCore`` owns one ``OperatorConfiguration``, and the controller writes the
transactions that it proposes. The safety argument is in ``docs/design.md``, operation in ``docs/declared.md``.

* ``load``, ``check_lines``: check a file, compile it to a ``ConfigurationRevision``, and describe its effect.
* ``READERS``: the parser module of each kind, imported when a configuration of that kind is first used.
* ``ConfigurationHead``: the stored record that names the current revision; its text is stored under separate keys.
* ``OperatorConfiguration``: tracks the state of the file and of the stored revision, and proposes what to write.
"""

from alderbridge.configuration.compiler import READERS, ConfigurationRevision, check_lines, load
from alderbridge.configuration.operator_configuration import ConfigurationProposal, OperatorConfiguration, RevisionState
from alderbridge.configuration.records import ConfigurationHead, StoredRevision
from alderbridge.settings import KINDS

__all__ = [
    "KINDS",
    "READERS",
    "ConfigurationHead",
    "ConfigurationProposal",
    "ConfigurationRevision",
    "OperatorConfiguration",
    "RevisionState",
    "StoredRevision",
    "check_lines",
    "load",
]
