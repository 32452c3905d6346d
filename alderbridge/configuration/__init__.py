"""What operators declare (priorities, hours, lending), the same on all controllers: one revision each, in the store.

Pure but for the reading of files. ``ControllerCore`` owns one ``OperatorConfiguration``, and the controller writes
what it proposes. The safety argument is in ``docs/design.md``, what people on call see in ``docs/declared.md``.

* ``load``, ``check_lines``: a file, checked and compiled to a ``ConfigurationRevision``, and what it would put in
  force.
* ``READERS``: the package of each kind, imported only where something of that kind is declared.
* ``ConfigurationHead``: the record that says which revision counts; its texts are values of their own.
* ``OperatorConfiguration``: the states unread, read, proposed, stored, in force and refused; what to write next.
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
