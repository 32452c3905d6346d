"""What operators declare: files, texts in the store, and from when they count; random runs with failing controllers."""

import math
import random
from types import SimpleNamespace

import msgspec
import pytest
import simulation
from simulation import Broken, World

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
from alderbridge.protocol.keys import DECLARED
from alderbridge.settings import ConfigError, NextStateLimits


class Text(msgspec.Struct):
    words: list[str] = []


def parse(parser, path):
    for section in parser.sections():
        if section not in ("declaration", "words"):
            raise ConfigError(f"{path}: [{section}]: no such section")
    return Text([value for _, value in parser.items("words")])


@pytest.fixture(autouse=True)
def readers(monkeypatch):
    reader = SimpleNamespace(
        configuration_type=Text, parse=parse, check_lines=lambda text: [f"words: {' '.join(text.words)}"]
    )
    for kind in configuration.KINDS:
        monkeypatch.setitem(compiler.READERS, kind, reader)


def declare(kind, revision, words):
    raw = msgspec.json.encode(Text(words)) if words else b""
    return configuration.ConfigurationRevision(kind, revision, compiler.digest_of(raw), raw)


# -- files

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
            "[declaration]\nrevision = 1\n[words]\na = " + "x" * constants.CONFIGURATION_MAX_BYTES,
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
def test_a_revision_fits_the_values_it_is_cut_into(length):
    text = random.Random(length).randbytes(length)
    parts = records.parts_of(text, 512)
    cut = records.pieces(text, parts)
    assert len(cut) == parts and b"".join(cut) == text
    assert all(cut) and all(len(msgspec.json.encode(piece)) <= 512 for piece in cut)


# -- one process


def change(declarations, now, revision, **puts):
    for kind, head in puts.items():
        declarations.apply(DECLARED + kind, msgspec.json.encode(head), revision)
    declarations.refresh(now)


def put_text(declarations, kind, revision, words):
    one = declare(kind, revision, words)
    named = StoredRevision(revision, one.digest, records.parts_of(one.text, 512))
    for key, piece in zip(records.piece_keys(kind, named), records.pieces(one.text, named.parts), strict=True):
        declarations.apply(key, msgspec.json.encode(piece), 1)
    return named


def head_of(named, before=None):
    return ConfigurationHead(named.revision, named.digest, named.parts, 0.0, before)


def test_both_are_obeyed_until_whoever_acts_must_know_the_newer():
    one = OperatorConfiguration(None, 20.0, ["host-0"])
    assert one.in_force("hours", 0.0) == []
    first, second = put_text(one, "hours", 1, ["a"]), put_text(one, "hours", 2, ["b"])
    change(one, 100.0, 5, hours=head_of(first, StoredRevision(0)))
    assert one.in_force("hours", 120.9) == [Text(), Text(["a"])]
    assert one.in_force("hours", 121.0) == [Text(["a"])] and one.in_force("lending", 121.0) == []
    same = one.in_force("hours", 122.0)
    change(one, 122.0, 6, hours=head_of(first))
    assert one.in_force("hours", 123.0) is same
    change(one, 130.0, 7, hours=head_of(second, first))
    change(one, 140.0, 6, hours=head_of(first))  # late
    assert one.in_force("hours", 150.9) == [Text(["a"]), Text(["b"])]
    change(one, 150.9, 8, hours=head_of(second))  # settled: somebody has proof
    assert one.in_force("hours", 150.9) == [Text(["b"])]
    empty = put_text(one, "hours", 3, [])
    change(one, 160.0, 9, hours=head_of(empty, second))
    assert one.in_force("hours", 160.0) == [Text(["b"]), Text()] and one.in_force("hours", 181.0) == []


def test_a_revision_that_can_not_be_read_stops_the_process_until_it_can():
    core = World(1, jobs=0, random_faults=False).nodes["host-0"].core
    core.calendars.refresh = lambda: None  # the text says nothing of hours
    core.membership.record_sync(0.0)
    named = put_text(core.replica.declared, "hours", 1, ["a"])
    gone = records.piece_keys("hours", named)[0]
    piece = core.replica.declared.kinds["hours"].pieces.pop(gone)
    change(core.replica.declared, 0.0, 5, hours=head_of(named))
    core.store_follower.apply_events([], 0.0, 0.0)
    assert core.replica.declared.unreadable and core.membership.fresh_until < 0.0
    core.replica.declared.apply(gone, msgspec.json.encode(piece), 6)
    core.membership.record_sync(0.0)
    core.store_follower.apply_events([], 0.0, 0.0)
    assert not core.replica.declared.unreadable and core.membership.fresh_until > 0.0


# -- random runs

COMING = NextStateLimits(write_rps=30.0, value_kb=700 / 1024, txn_ops=4)


class Declaring(World):
    """Operators give out new files, stale ones, and two of one revision; the rules are looked at after each event."""

    def __init__(self, seed, quiet_from=170.0, **more):
        self.own = {}  # label -> file of ``KIND``
        self.highest, self.quiet_from = 0, quiet_from
        self.seen = (0, "")  # revision, digest of the head
        self.seen_epoch = -1
        self.declared_at, self.stored_at, self.alone_at = {}, {}, {}  # revision -> time
        self.changes = 0  # puts and drops of declarations that the store carried out
        super().__init__(seed, jobs=2, **more)
        real = self.store.commit

        def commit(conditions, puts, drops=(), lease_id=None):
            ours = any(key.startswith(DECLARED) for key in (*puts, *drops))
            if ours and self.rng.random() < 0.1:
                self.after(self.rng.uniform(0.5, 30.0), again, conditions, puts, drops)
            answer = real(conditions, puts, drops, lease_id)
            if ours and not answer.failed:
                self.changes += len(puts) + len(drops)
            return answer

        def again(conditions, puts, drops):
            try:
                real(conditions, puts, drops)
            except Exception as error:
                assert type(error).__module__ == "simulation.errors"

        self.store.commit = commit
        for _ in range(self.rng.randint(4, 8)):
            self.after(self.rng.uniform(3.0, quiet_from - 20.0), self.operate)
        for _ in range(self.rng.randint(0, 2)):
            self.after(self.rng.uniform(20.0, quiet_from - 70.0), self.end_all)

    def files(self, label):
        return {"hours": self.own[label]} if label in self.own else {}

    def operate(self):
        """A new file, an older one or another text of the newest, at some or all controllers, restarted in turn."""
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
        gap, at = rng.choice([0.0, 3.0, 20.0]), 0.0
        for label in labels:
            self.after(at, self.give, label, None if kind == "gone" else declare("hours", revision, words))
            at += gap * rng.uniform(0.5, 1.5)

    def give(self, label, file):
        if file is None:
            self.own.pop(label, None)
        else:
            self.own[label] = file
            self.declared_at.setdefault(file.revision, self.t)
        self.fell(label)

    def prepare(self, core):
        core.calendars.refresh = lambda: None  # the texts of these runs say nothing of hours

    def fell(self, label):
        sim = self.nodes[label]
        if sim.core is not None:
            sim.crash()
            most = min(60.0, max(0.2, self.quiet_from - self.t))
            self.after(min(self.rng.choice([0.1, 1.0, 5.0, 60.0]), most), self.restart, sim)

    def end_all(self):
        for label in self.labels:
            self.after(self.rng.uniform(0.0, 3.0), self.fell, label)

    def run(self, until):
        while self.events and self.events[0][0] <= until:
            super().run(self.events[0][0])
            self.look()

    def look(self):
        if self.store.revision != self.seen_epoch:
            self.seen_epoch = self.store.revision
            self.look_at_store()
        lists = {}
        for label, sim in self.nodes.items():
            if sim.core is not None and sim.core.state.loaded:
                lists[label] = [0] if sim.old else sim.core.replica.declared.revisions_in_force("hours", self.t)
        alone = {obeyed[0] for obeyed in lists.values() if len(obeyed) == 1 and obeyed[0] > 0}
        for revision in alone:
            behind = [label for label, obeyed in lists.items() if obeyed[-1] < revision]
            if (behind or revision not in self.alone_at) and self.acts(
                label for label in lists if lists[label] == [revision]
            ):
                self.alone_at.setdefault(revision, self.t)
                if self.acts(behind):
                    raise Broken(f"older_alone: {lists}, one of {behind} acts beside {revision} alone at {self.t:.2f}")

    def acts(self, labels):
        return any(self.nodes[label].core.membership.may_act(self.t) for label in labels)

    def look_at_store(self):
        row = self.store.data.get(records.head_key("hours"))
        if row is None:
            return
        head = msgspec.json.decode(row[0], type=ConfigurationHead)
        before, self.seen = self.seen, (head.revision, head.digest)
        if head.revision < before[0] or (head.revision == before[0] and head.digest != before[1]):
            raise Broken(f"older_wins: {before} -> {self.seen}")
        self.stored_at.setdefault(head.revision, self.t)
        for named in head.named:
            rows = [self.store.data.get(key) for key in records.piece_keys("hours", named)]
            text = b"" if None in rows else b"".join(msgspec.json.decode(one[0], type=bytes) for one in rows)
            if None in rows or (named.digest and compiler.digest_of(text) != named.digest):
                raise Broken(f"torn: {named}")

    def finish(self, until):
        self.run(until)
        files = [file.revision for file in self.own.values()]
        expected = max([self.seen[0], *files])
        for label, sim in self.nodes.items():
            assert sim.core.membership.may_act(self.t), label
            obeyed = sim.core.replica.declared.revisions_in_force("hours", self.t)
            if obeyed != [expected]:
                raise Broken(f"not_in_force: {label} obeys {obeyed}, {expected} is declared")
            if sim.core.replica.declared.kinds and sim.core.replica.declared.kinds["hours"].head is not None:
                assert sim.core.replica.declared.kinds["hours"].head.digest == self.seen[1]
        left = {key for key in self.store.data if key.startswith(DECLARED + "hours/")}
        assert len(left) <= 60, "texts that no head names are left behind"


def play(seed, until=290.0, **more):
    run = Declaring(seed, coming=COMING if seed % 2 else None, tight_at=60.0 if seed % 4 == 1 else math.inf, **more)
    run.finish(until)
    return run


@pytest.mark.parametrize("seed", range(18))
def test_no_process_obeys_only_an_older_revision_beside_one_that_obeys_only_a_newer(seed):
    play(seed)


@pytest.mark.parametrize("seed", range(100, 104))
def test_with_five_controllers(seed):
    play(seed, nodes=5)


@pytest.mark.parametrize("seed", range(200, 206))
def test_while_versions_that_know_no_declarations_take_part(seed):
    assert play(seed, nodes=3 + 2 * (seed % 2), upgrade=True).stored_at


def in_force_at_once(monkeypatch):
    real = operator_configuration._KindConfiguration.refresh
    monkeypatch.setattr(
        operator_configuration._KindConfiguration, "refresh", lambda self, now, wait_s: real(self, now, 0.0)
    )


FILES = declare("hours", 1, ["a"]), declare("hours", 2, ["b"])


def alone_from_the_first_load(monkeypatch):
    real = StoreFollower.load

    def load(self, *args):
        real(self, *args)
        for one in self.declared.kinds.values():
            if one.head is not None:
                one.alone_at = 0.0

    monkeypatch.setattr(StoreFollower, "load", load)


def test_who_starts_in_mid_change_obeys_both(monkeypatch):
    """In random runs who is cut off is replaced too soon to be seen beside one that obeys the newer alone."""

    def obeyed():
        core = World(1, jobs=0, random_faults=False).nodes["host-0"].core
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
            wire.KeyValue(records.head_key("hours"), msgspec.Raw(msgspec.json.encode(head_of(second, first))), 2)
        )
        core.store_follower.load(rows, [], 5, 0.0, 0.0)
        return core.replica.declared.in_force("hours", 1.0)

    assert obeyed() == [Text(["a"]), Text(["b"])]
    alone_from_the_first_load(monkeypatch)
    assert obeyed() == [Text(["b"])]


def settled_at_once(monkeypatch):
    """A head that names nothing before it: who starts then obeys it alone."""
    real = operator_configuration._KindConfiguration._due_revision

    def due(self, *args):
        proposal = real(self, *args)
        for key, value in (proposal.puts if proposal is not None else {}).items():
            if isinstance(value, ConfigurationHead):
                proposal.puts[key] = msgspec.structs.replace(value, before=None)
        return proposal

    monkeypatch.setattr(operator_configuration._KindConfiguration, "_due_revision", due)


def head_before_texts(monkeypatch):
    real = operator_configuration._KindConfiguration._due_revision

    def due(self, membership, labels, wall, room, value_bytes):
        proposal = real(self, membership, labels, wall, 100, value_bytes)
        if proposal is not None and len(proposal.puts) > room:
            proposal.puts = dict(list(proposal.puts.items())[-room:])
            proposal.drops = []
        return proposal

    monkeypatch.setattr(operator_configuration._KindConfiguration, "_due_revision", due)


def texts_of_others_dropped(monkeypatch):
    monkeypatch.setattr(
        operator_configuration._KindConfiguration,
        "_unnamed",
        lambda self, named: [key for key in self.pieces if key not in records.piece_keys(self.kind, named[-1])],
    )


def head_not_asserted(monkeypatch):
    real = operator_configuration._KindConfiguration.due

    def due(self, *args):
        proposal = real(self, *args)
        if proposal is not None:
            proposal.conditions = {}
        return proposal

    monkeypatch.setattr(operator_configuration._KindConfiguration, "due", due)


def older_file_wins(monkeypatch):
    real = operator_configuration._KindConfiguration.due

    def due(self, membership, labels, now, wall, room, value_bytes):
        if self.head is not None and self.head.before is None and self.own is not None:
            if self.own.digest != self.head.digest:
                return self._due_revision(membership, labels, wall, room, value_bytes)
        return real(self, membership, labels, now, wall, room, value_bytes)

    monkeypatch.setattr(operator_configuration._KindConfiguration, "due", due)


def older_versions_not_waited_for(monkeypatch):
    real = Membership.all_support
    monkeypatch.setattr(
        Membership,
        "all_support",
        lambda self, protocol_version: (
            protocol_version <= constants.VERSION_WITH_CONFIGURATION or real(self, protocol_version)
        ),
    )


def never_settled(monkeypatch):
    monkeypatch.setattr(Membership, "is_leader", lambda self, now: False)


@pytest.mark.parametrize(
    "fault, rule, first",
    [
        (in_force_at_once, "older_alone", 300),
        (settled_at_once, "older_alone", 300),
        (head_before_texts, "torn", 305),
        (texts_of_others_dropped, "torn", 300),
        (head_not_asserted, "older_wins", 306),
        (older_file_wins, "older_wins", 300),
        (never_settled, "not_in_force", 300),
        (older_versions_not_waited_for, "older_alone", 311),
    ],
)
def test_each_rule_is_seen_to_fail_when_the_code_is_broken(monkeypatch, fault, rule, first):
    fault(monkeypatch)
    for seed in range(first, first + 100):  # the first one, mostly
        try:
            play(seed, upgrade=fault is older_versions_not_waited_for)
        except Broken as broken:
            if str(broken).startswith(rule):
                return
    pytest.fail(f"no run showed {rule}")
