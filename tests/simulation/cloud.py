"""The simulated cloud: machines are rented, boot, are listed late and returned."""

from __future__ import annotations

from typing import TYPE_CHECKING

from alderbridge.protocol import wire
from simulation.deployment import TYPES
from simulation.worker import SimWorker

if TYPE_CHECKING:
    pass


class Cloud:
    """The machines that the cloud has; a part of ``World``."""

    def rent(self, kind, count: int) -> list[str]:
        names = []
        for _ in range(count):
            if sum(name in self.kinds for name in self.machines) >= self.most_machines:
                break
            name = f"n-{len(self.machines):06d}"
            self.machines[name] = None
            self.kinds[name] = (kind, self.t)
            names.append(name)
            if self.rng.random() > 0.05:
                boot = self.rng.uniform(0.5, 1.5) * TYPES[kind.type].boot_s
                if self.t < self.quick_until:
                    boot = self.rng.uniform(0.2, 2.0)
                self.after(boot, self.boot, name, kind)
        return names

    def boot(self, name: str, kind) -> None:
        if name in self.kinds:
            self.machines[name] = SimWorker(self, name, kind)

    def remove(self, names: list[str]) -> None:
        for name in names:
            worker = self.machines.get(name)
            if worker is not None:
                worker.die()
                self.machines[name] = None
            self.kinds.pop(name, None)

    def listing(self) -> list[wire.ListedMachine]:
        now = [
            wire.ListedMachine(
                name,
                kind.type,
                "running" if self.machines[name] else "booting",
                self.t - at - 4.0,
                kind.zone,
                kind.spot,
            )
            for name, (kind, at) in self.kinds.items()
            if self.t - at > 4.0
        ]
        self.lagging.append(now)
        return self.lagging.popleft() if len(self.lagging) > 4 else []
