"""Preemption claims as stored: which job a machine's capacity is reserved for, and which tasks are preempted for it.

Every member keeps them in a ledger: the leader, which plans them (``alderbridge.preemption``), and the machine owners,
which stop the victims. Does no I/O.
"""
