"""Preemption claims as they are stored: which machine's room is made for which job, and which tasks stop for it.

The ledger keeps them for the leader, which plans them in ``preemption``, and for the owners of the machines, which
carry them out. Pure.
"""
