"""What operators declare (priorities, hours, lending), the same on all controllers: one revision each, in the store.

Pure but for the reading of files. ``ControllerCore`` owns one ``Declarations``, and the controller writes what it
proposes. The safety argument is in ``docs/design.md``, what people on call see in ``docs/declared.md``.

* ``load``, ``check_lines``: a file, checked and compiled to a ``Declared``, and what it would put in force.
* ``READERS``: the package of each kind, imported only where something of that kind is declared.
* ``Head``: the record that says which revision counts; its texts are values of their own.
* ``Declarations``: the states unread, read, proposed, stored, in force and refused; what to write next.
"""

from alderbridge.configuration.declarations import Declarations, Proposal, State
from alderbridge.configuration.records import Head, Revision
from alderbridge.configuration.texts import KINDS, READERS, Declared, check_lines, load

__all__ = [
    "KINDS",
    "READERS",
    "Declarations",
    "Declared",
    "Head",
    "Proposal",
    "Revision",
    "State",
    "check_lines",
    "load",
]
