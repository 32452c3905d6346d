"""The simulated cloud: rents, boots, lists (with a delay) and terminates machines."""

from __future__ import annotations

from typing import TYPE_CHECKING

from alderbridge.protocol import wire
from simulation.deployment import TYPES
from simulation.worker import SimWorker

if TYPE_CHECKING:
    pass


class Cloud:
    """The machines of the cloud provider; a mixin of ``World``."""

    def rent(self, kind, count: int) -> list[str]:
        names = []
        for _ in range(count):
            if sum(name in self.rented_kinds for name in self.machines) >= self.max_machines:
                break
            name = f"n-{len(self.machines):06d}"
            self.machines[name] = None
            self.rented_kinds[name] = (kind, self.t)
            names.append(name)
            if self.rng.random() > 0.05:
                boot = self.rng.uniform(0.5, 1.5) * TYPES[kind.type].boot_s
                if self.t < self.quick_boots_until:
                    boot = self.rng.uniform(0.2, 2.0)
                self.after(boot, self.boot, name, kind)
        return names

    def boot(self, name: str, kind) -> None:
        if name in self.rented_kinds:
            self.machines[name] = SimWorker(self, name, kind)

    def live_workers(self) -> list[SimWorker]:
        """The workers of all machines that are up."""
        return [worker for worker in self.machines.values() if worker is not None and worker.alive]

    def terminate(self, names: list[str]) -> None:
        for name in names:
            worker = self.machines.get(name)
            if worker is not None:
                worker.crash()
                self.machines[name] = None
            self.rented_kinds.pop(name, None)

    def list_machines(self) -> list[wire.ListedMachine]:
        machines = [
            wire.ListedMachine(
                name,
                kind.type,
                "running" if self.machines[name] else "booting",
                self.t - rented_at - 4.0,
                kind.zone,
                kind.spot,
            )
            for name, (kind, rented_at) in self.rented_kinds.items()
            if self.t - rented_at > 4.0
        ]
        self.delayed_listings.append(machines)
        return self.delayed_listings.popleft() if len(self.delayed_listings) > 4 else []
