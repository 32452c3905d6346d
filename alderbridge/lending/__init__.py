"""GPUs lent and returned: which go to serving, on which machines, and which are not lent again for a while.

Pure. One mechanism with urgency: a ``Lender`` is a source of the leader's desk (``claims``), its stops are claims.
"""

from alderbridge.lending.declaration import Lend, Serve, Text, check_lines, parse
from alderbridge.lending.lender import Lender, Service
from alderbridge.lending.reserve import Reserve, hold

__all__ = ["Lend", "Lender", "Reserve", "Serve", "Service", "Text", "check_lines", "hold", "parse"]
