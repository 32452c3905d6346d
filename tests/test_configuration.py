"""Operator configuration: files, stored revisions and when they come into force, also under controller failures."""

import math
import random
from types import SimpleNamespace

import msgspec
import pytest
import simulation
from simulation import InvariantViolation, World

from alderbridge import cli, configuration, constants
from alderbridge.configuration import (
    ConfigurationHead,
    OperatorConfiguration,
    StoredRevision,
    compiler,
    operator_configuration,
    records,
)
from alderbridge.controller.store_follower import StoreFollower
from alderbridge.membership.membership import Membership
from alderbridge.protocol import wire
from alderbridge.protocol.keys import CONFIGURATIONS
from alderbridge.settings import ConfigError, NextStateLimits


class WordList(msgspec.Struct):
    words: list[str] = []


def parse(parser, path):
    for section in parser.sections():
        if section not in ("declaration", "words"):
            raise ConfigError(f"{path}: [{section}]: no such section")
    return WordList([value for _, value in parser.items("words")])


@pytest.fixture(autouse=True)
def readers(monkeypatch):
    reader = SimpleNamespace(
        configuration_type=WordList, parse=parse, check_lines=lambda text: [f"words: {' '.join(text.words)}"]
    )
    for kind in configuration.KINDS:
        monkeypatch.setitem(compiler.READERS, kind, reader)


def compile_revision(kind, revision, words):
    raw = msgspec.json.encode(WordList(words)) if words else b""
    return configuration.ConfigurationRevision(kind, revision, compiler.digest_of(raw), raw)


GOOD = "[declaration]\nrevision = 3\n[words]\na = closed\nb = on Sundays\n"


@pytest.mark.parametrize(
    "text, fault",
    [
        ("[words]\na = b\n", "[declaration]: no such section, expected one with the key revision"),
        (
            "[declaration]\n",
            "[declaration] revision: expected a whole number from 1 with no more than 15 digits, got ''",
        ),
        ("[declaration]\nrevision = 0\n", "expected a whole number from 1 with no more than 15 digits, got '0'"),
        ("[declaration]\nrevision = 1.5\n", "expected a whole number from 1 with no more than 15 digits, got '1.5'"),
        ("[declaration]\nrevision = 1\nauthor = x\n", "[declaration] author: no such setting"),
        ("[declaration]\nrevision = 1\n[wrods]\na = b\n", "[wrods]: no such section"),
        ("revision = 1\n", "not an INI file: "),
        (
            "[declaration]\nrevision = 1\n[words]\na = " + "x" * constants.MAX_CONFIGURATION_BYTES,
            "bytes when compiled, got",
        ),
        (None, "cannot be read: No such file or directory"),
    ],
)
def test_each_fault_of_a_file_is_one_line(tmp_path, text, fault):
    path = tmp_path / "hours.ini"
    if text is not None:
        path.write_text(text)
    with pytest.raises(ConfigError) as error:
        configuration.load(str(path), "hours")
    assert fault in str(error.value) and str(error.value).startswith(str(path)) and "\n" not in str(error.value)


def test_check_prints_what_each_file_would_put_in_force(tmp_path, capsys):
    platform = tmp_path / "settings.json"
    platform.write_bytes(msgspec.json.encode(simulation.platform("host-0", ["host-0", "host-1"])))
    (tmp_path / "rules").mkdir()
    (tmp_path / "rules" / "hours.ini").write_text(GOOD)
    (tmp_path / "empty.ini").write_text("[declaration]\nrevision = 4\n")
    ini = tmp_path / "alderbridge.ini"
    ini.write_text(f"[declared]\nhours = rules/hours.ini\nlending = {tmp_path / 'empty.ini'}\n")
    assert cli.main(["--config", str(platform), "--settings", str(ini), "--check"]) == 0
    out = capsys.readouterr().out
    assert "hours: revision 3, digest " in out and "  words: closed on Sundays" in out
    assert "lending: revision 4, digest " in out and "nothing is declared any more" in out
    for line, fault in (
        ("hours = none.ini", "none.ini: cannot be read"),
        ("hours =", "expected the path of a file"),
        ("ours = x.ini", "[declared] ours: no such setting"),
    ):
        ini.write_text(f"[declared]\n{line}\n")
        assert cli.main(["--config", str(platform), "--settings", str(ini), "--check"]) == 2
        assert fault in capsys.readouterr().err


@pytest.mark.parametrize("length", (0, 1, 3, 379, 380, 5000))
def test_text_is_split_into_values_that_fit(length):
    text = random.Random(length).randbytes(length)
    parts = records.parts_of(text, 512)
    parts_of_text = records.pieces(text, parts)
    assert len(parts_of_text) == parts and b"".join(parts_of_text) == text
    assert all(parts_of_text) and all(len(msgspec.json.encode(piece)) <= 512 for piece in parts_of_text)


def apply_heads(operator_config, now, revision, **puts):
    for kind, head in puts.items():
        operator_config.apply(CONFIGURATIONS + kind, msgspec.json.encode(head), revision)
    operator_config.refresh(now)


def put_text(operator_config, kind, revision, words):
    one = compile_revision(kind, revision, words)
    named = StoredRevision(revision, one.digest, records.parts_of(one.text, 512))
    for key, piece in zip(records.piece_keys(kind, named), records.pieces(one.text, named.parts), strict=True):
        operator_config.apply(key, msgspec.json.encode(piece), 1)
    return named


def make_head(named, before=None):
    return ConfigurationHead(named.revision, named.digest, named.parts, 0.0, before)


def test_both_revisions_apply_until_every_acting_member_has_the_newer():
    one = OperatorConfiguration(None, 20.0, ["host-0"])
    assert one.in_force("hours", 0.0) == []
    first, second = put_text(one, "hours", 1, ["a"]), put_text(one, "hours", 2, ["b"])
    apply_heads(one, 100.0, 5, hours=make_head(first, StoredRevision(0)))
    assert one.in_force("hours", 120.9) == [WordList(), WordList(["a"])]
    assert one.in_force("hours", 121.0) == [WordList(["a"])] and one.in_force("lending", 121.0) == []
    same = one.in_force("hours", 122.0)
    apply_heads(one, 122.0, 6, hours=make_head(first))
    assert one.in_force("hours", 123.0) is same
    apply_heads(one, 130.0, 7, hours=make_head(second, first))
    apply_heads(one, 140.0, 6, hours=make_head(first))  # delivered late
    assert one.in_force("hours", 150.9) == [WordList(["a"]), WordList(["b"])]
    apply_heads(one, 150.9, 8, hours=make_head(second))  # the change is complete
    assert one.in_force("hours", 150.9) == [WordList(["b"])]
    empty = put_text(one, "hours", 3, [])
    apply_heads(one, 160.0, 9, hours=make_head(empty, second))
    assert one.in_force("hours", 160.0) == [WordList(["b"]), WordList()] and one.in_force("hours", 181.0) == []


def test_unreadable_revision_stops_the_controller_until_it_is_readable():
    core = World(1, jobs=0, random_faults=False).controllers["host-0"].core
    core.calendars.refresh = lambda: None  # the test text is no calendar configuration
    core.membership.record_sync(0.0)
    named = put_text(core.replica.declared, "hours", 1, ["a"])
    gone = records.piece_keys("hours", named)[0]
    piece = core.replica.declared.kinds["hours"].pieces.pop(gone)
    apply_heads(core.replica.declared, 0.0, 5, hours=make_head(named))
    core.store_follower.apply_events([], 0.0, 0.0)
    assert core.replica.declared.unreadable and core.membership.fresh_until < 0.0
    core.replica.declared.apply(gone, msgspec.json.encode(piece), 6)
    core.membership.record_sync(0.0)
    core.store_follower.apply_events([], 0.0, 0.0)
    assert not core.replica.declared.unreadable and core.membership.fresh_until > 0.0


NEXT_LIMITS = NextStateLimits(write_rps=30.0, value_kb=700 / 1024, txn_ops=4)


class ConfigurationWorld(World):
    """Installs new files, old ones, and two of the same revision; checks the rules after each event."""

    def __init__(self, seed, faults_until=170.0, **more):
        self.own_files = {}  # controller label -> its "hours" file
        self.highest, self.faults_until = 0, faults_until
        self.last_head = (0, "")  # revision, digest of the head
        self.checked_store_revision = -1
        self.declared_at, self.stored_at, self.applied_alone_at = {}, {}, {}  # revision -> time
        self.changes = 0  # committed puts and drops of configuration keys
        super().__init__(seed, jobs=2, **more)
        original = self.store.commit

        def commit(conditions, puts, drops=(), lease_id=None):
            is_configuration = any(key.startswith(CONFIGURATIONS) for key in (*puts, *drops))
            if is_configuration and self.rng.random() < 0.1:
                self.after(self.rng.uniform(0.5, 30.0), commit_late, conditions, puts, drops)
            answer = original(conditions, puts, drops, lease_id)
            if is_configuration and not answer.failed:
                self.changes += len(puts) + len(drops)
            return answer

        def commit_late(conditions, puts, drops):
            try:
                original(conditions, puts, drops)
            except Exception as error:
                assert type(error).__module__ == "simulation.errors"

        self.store.commit = commit
        for _ in range(self.rng.randint(4, 8)):
            self.after(self.rng.uniform(3.0, faults_until - 20.0), self.distribute_files)
        for _ in range(self.rng.randint(0, 2)):
            self.after(self.rng.uniform(20.0, faults_until - 70.0), self.restart_all)

    def operator_files(self, label):
        return {"hours": self.own_files[label]} if label in self.own_files else {}

    def distribute_files(self):
        """Install a new file, an older one or another text of the newest at some controllers, which restart in turn."""
        rng = self.rng
        kind = rng.choice(["new", "new", "new", "older", "other", "gone"])
        revision = max(self.highest, 1)
        if kind == "new":
            revision = self.highest + rng.randint(1, 3)
        elif kind == "older":
            revision = max(1, self.highest - rng.randint(1, 3))
        self.highest = max(self.highest, revision)
        words = [f"{revision if kind != 'other' else rng.random()} " * 20] * rng.choice([1, 3, 30])
        if rng.random() < 0.15 and kind == "new":
            words = []
        labels = rng.sample(self.labels, rng.randint(1, len(self.labels)))
        interval_s, delay_s = rng.choice([0.0, 3.0, 20.0]), 0.0
        for label in labels:
            self.after(
                delay_s,
                self.install_file,
                label,
                None if kind == "gone" else compile_revision("hours", revision, words),
            )
            delay_s += interval_s * rng.uniform(0.5, 1.5)

    def install_file(self, label, file):
        if file is None:
            self.own_files.pop(label, None)
        else:
            self.own_files[label] = file
            self.declared_at.setdefault(file.revision, self.t)
        self.restart_controller(label)

    def on_core_created(self, core):
        core.calendars.refresh = lambda: None  # the test texts are no calendar configuration

    def restart_controller(self, label):
        sim = self.controllers[label]
        if sim.core is not None:
            sim.crash()
            max_delay_s = min(60.0, max(0.2, self.faults_until - self.t))
            self.after(min(self.rng.choice([0.1, 1.0, 5.0, 60.0]), max_delay_s), self.restart, sim)

    def restart_all(self):
        for label in self.labels:
            self.after(self.rng.uniform(0.0, 3.0), self.restart_controller, label)

    def run(self, until):
        while self.events and self.events[0][0] <= until:
            super().run(self.events[0][0])
            self.check_rules()

    def check_rules(self):
        if self.store.revision != self.checked_store_revision:
            self.checked_store_revision = self.store.revision
            self.check_store()
        applied = {}
        for label, sim in self.controllers.items():
            if sim.core is not None and sim.core.state.loaded:
                applied[label] = [0] if sim.old else sim.core.replica.declared.revisions_in_force("hours", self.t)
        alone = {
            applied_revisions[0]
            for applied_revisions in applied.values()
            if len(applied_revisions) == 1 and applied_revisions[0] > 0
        }
        for revision in alone:
            outdated = [label for label, applied_revisions in applied.items() if applied_revisions[-1] < revision]
            if (outdated or revision not in self.applied_alone_at) and self.any_may_act(
                label for label in applied if applied[label] == [revision]
            ):
                self.applied_alone_at.setdefault(revision, self.t)
                if self.any_may_act(outdated):
                    raise InvariantViolation(
                        f"older_alone: {applied}, {outdated} act while others apply only {revision} at {self.t:.2f}"
                    )

    def any_may_act(self, labels):
        return any(self.controllers[label].core.membership.may_act(self.t) for label in labels)

    def check_store(self):
        row = self.store.data.get(records.head_key("hours"))
        if row is None:
            return
        head = msgspec.json.decode(row[0], type=ConfigurationHead)
        before, self.last_head = self.last_head, (head.revision, head.digest)
        if head.revision < before[0] or (head.revision == before[0] and head.digest != before[1]):
            raise InvariantViolation(f"older_wins: {before} -> {self.last_head}")
        self.stored_at.setdefault(head.revision, self.t)
        for named in head.named:
            rows = [self.store.data.get(key) for key in records.piece_keys("hours", named)]
            text = b"" if None in rows else b"".join(msgspec.json.decode(one[0], type=bytes) for one in rows)
            if None in rows or (named.digest and compiler.digest_of(text) != named.digest):
                raise InvariantViolation(f"torn: {named}")

    def run_and_check(self, until):
        self.run(until)
        files = [file.revision for file in self.own_files.values()]
        expected = max([self.last_head[0], *files])
        for label, sim in self.controllers.items():
            assert sim.core.membership.may_act(self.t), label
            applied_revisions = sim.core.replica.declared.revisions_in_force("hours", self.t)
            if applied_revisions != [expected]:
                raise InvariantViolation(f"not_in_force: {label} applies {applied_revisions}, {expected} is declared")
            if sim.core.replica.declared.kinds and sim.core.replica.declared.kinds["hours"].head is not None:
                assert sim.core.replica.declared.kinds["hours"].head.digest == self.last_head[1]
        remaining = {key for key in self.store.data if key.startswith(CONFIGURATIONS + "hours/")}
        assert len(remaining) <= 60, "texts that no head references remain in the store"


def play(seed, until=290.0, **more):
    world = ConfigurationWorld(
        seed,
        next_limits=NEXT_LIMITS if seed % 2 else None,
        limits_lowered_at=60.0 if seed % 4 == 1 else math.inf,
        **more,
    )
    world.run_and_check(until)
    return world


@pytest.mark.parametrize("seed", range(18))
def test_no_controller_applies_only_an_older_revision_while_another_applies_only_a_newer(seed):
    play(seed)


@pytest.mark.parametrize("seed", range(100, 104))
def test_with_five_controllers(seed):
    play(seed, nodes=5)


@pytest.mark.parametrize("seed", range(200, 206))
def test_with_members_of_a_version_without_operator_configuration(seed):
    assert play(seed, nodes=3 + 2 * (seed % 2), upgrade=True).stored_at


def in_force_at_once(monkeypatch):
    original = operator_configuration._KindConfiguration.refresh
    monkeypatch.setattr(
        operator_configuration._KindConfiguration, "refresh", lambda self, now, wait_s: original(self, now, 0.0)
    )


FILES = compile_revision("hours", 1, ["a"]), compile_revision("hours", 2, ["b"])


def in_force_from_first_load(monkeypatch):
    original = StoreFollower.load

    def load(self, *args):
        original(self, *args)
        for one in self.declared.kinds.values():
            if one.head is not None:
                one.in_force_at = 0.0

    monkeypatch.setattr(StoreFollower, "load", load)


def test_controller_that_starts_during_a_change_applies_both(monkeypatch):
    """Not covered by the simulations: there a partitioned member is replaced before others apply the newer alone."""

    def configurations_after_load():
        core = World(1, jobs=0, random_faults=False).controllers["host-0"].core
        core.calendars.refresh = lambda: None
        first, second = (StoredRevision(one.revision, one.digest, records.parts_of(one.text, 512)) for one in FILES)
        rows = [
            wire.KeyValue(key, msgspec.Raw(msgspec.json.encode(piece)), 1)
            for named, one in zip((first, second), FILES, strict=True)
            for key, piece in zip(
                records.piece_keys("hours", named), records.pieces(one.text, named.parts), strict=True
            )
        ]
        rows.append(
            wire.KeyValue(records.head_key("hours"), msgspec.Raw(msgspec.json.encode(make_head(second, first))), 2)
        )
        core.store_follower.load(rows, [], 5, 0.0, 0.0)
        return core.replica.declared.in_force("hours", 1.0)

    assert configurations_after_load() == [WordList(["a"]), WordList(["b"])]
    in_force_from_first_load(monkeypatch)
    assert configurations_after_load() == [WordList(["b"])]


def head_without_previous(monkeypatch):
    """The head omits the previous revision, so a controller that starts then applies the new one alone."""
    original = operator_configuration._KindConfiguration._propose_revision

    def due(self, *args):
        proposal = original(self, *args)
        for key, value in (proposal.puts if proposal is not None else {}).items():
            if isinstance(value, ConfigurationHead):
                proposal.puts[key] = msgspec.structs.replace(value, before=None)
        return proposal

    monkeypatch.setattr(operator_configuration._KindConfiguration, "_propose_revision", due)


def head_before_texts(monkeypatch):
    original = operator_configuration._KindConfiguration._propose_revision

    def due(self, membership, labels, wall, room, value_bytes):
        proposal = original(self, membership, labels, wall, 100, value_bytes)
        if proposal is not None and len(proposal.puts) > room:
            proposal.puts = dict(list(proposal.puts.items())[-room:])
            proposal.drops = []
        return proposal

    monkeypatch.setattr(operator_configuration._KindConfiguration, "_propose_revision", due)


def referenced_texts_dropped(monkeypatch):
    monkeypatch.setattr(
        operator_configuration._KindConfiguration,
        "_unreferenced_keys",
        lambda self, named: [key for key in self.pieces if key not in records.piece_keys(self.kind, named[-1])],
    )


def head_unconditional(monkeypatch):
    original = operator_configuration._KindConfiguration.due

    def due(self, *args):
        proposal = original(self, *args)
        if proposal is not None:
            proposal.conditions = {}
        return proposal

    monkeypatch.setattr(operator_configuration._KindConfiguration, "due", due)


def older_file_wins(monkeypatch):
    original = operator_configuration._KindConfiguration.due

    def due(self, membership, labels, now, wall, room, value_bytes):
        if self.head is not None and self.head.before is None and self.own_file is not None:
            if self.own_file.digest != self.head.digest:
                return self._propose_revision(membership, labels, wall, room, value_bytes)
        return original(self, membership, labels, now, wall, room, value_bytes)

    monkeypatch.setattr(operator_configuration._KindConfiguration, "due", due)


def older_versions_not_waited_for(monkeypatch):
    original = Membership.all_support
    monkeypatch.setattr(
        Membership,
        "all_support",
        lambda self, protocol_version: (
            protocol_version <= constants.VERSION_WITH_CONFIGURATION or original(self, protocol_version)
        ),
    )


def never_settled(monkeypatch):
    monkeypatch.setattr(Membership, "is_leader", lambda self, now: False)


@pytest.mark.parametrize(
    "fault, rule, first",
    [
        (in_force_at_once, "older_alone", 300),
        (head_without_previous, "older_alone", 300),
        (head_before_texts, "torn", 305),
        (referenced_texts_dropped, "torn", 300),
        (head_unconditional, "older_wins", 306),
        (older_file_wins, "older_wins", 300),
        (never_settled, "not_in_force", 300),
        (older_versions_not_waited_for, "older_alone", 311),
    ],
)
def test_each_rule_detects_broken_code(monkeypatch, fault, rule, first):
    fault(monkeypatch)
    for seed in range(first, first + 100):  # usually the first seed shows it
        try:
            play(seed, upgrade=fault is older_versions_not_waited_for)
        except InvariantViolation as broken:
            if str(broken).startswith(rule):
                return
    pytest.fail(f"no run showed {rule}")
