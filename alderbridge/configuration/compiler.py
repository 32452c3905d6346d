"""A file of the operators: read, checked, and compiled to the text that the store keeps.

Each kind has a package with a module ``configuration``, a ``ConfigurationReader``.
"""

from __future__ import annotations

import configparser
import hashlib
import importlib
from typing import Any, Protocol, cast

import msgspec

from alderbridge import constants
from alderbridge.settings import KINDS, ConfigError, read_ini


class ConfigurationReader(Protocol):
    """The module that reads one kind."""

    # A struct whose fields all have defaults; one of defaults alone declares nothing. A field that an earlier program
    # can't pass over needs a new protocol version, as in any other record.
    configuration_type: type[msgspec.Struct]

    def parse(self, parser: configparser.ConfigParser, path: str) -> msgspec.Struct:
        """Compile all sections but ``[declaration]``; ``ConfigError`` for a fault.

        It depends on the file alone: two controllers, on two days, must compile the same.
        """

    def check_lines(self, configuration: Any) -> list[str]:
        """Say for people what the configuration puts in force."""


READERS: dict[str, ConfigurationReader] = {}  # kind -> its module, once imported
SECTION = "declaration"


class ConfigurationRevision(msgspec.Struct, frozen=True):
    """A file, compiled. An empty ``text`` takes back what was declared before."""

    kind: str
    revision: int
    digest: str
    text: bytes


def reader(kind: str) -> ConfigurationReader:
    """Return the kind's module. Imported only when something of the kind is declared: start-up is charged."""
    if kind not in READERS:
        module = importlib.import_module(f"alderbridge.{KINDS[kind]}.configuration")
        READERS[kind] = cast(ConfigurationReader, module)
    return READERS[kind]


def digest_of(text: bytes) -> str:
    """Return the digest that names a compiled text."""
    return hashlib.blake2b(text, digest_size=16).hexdigest()


def compiled(kind: str, text: bytes) -> msgspec.Struct:
    """Return what a text declares; ``msgspec.DecodeError`` where this program can't read it."""
    return (
        msgspec.json.decode(text, type=reader(kind).configuration_type) if text else reader(kind).configuration_type()
    )


def load(path: str, kind: str) -> ConfigurationRevision:
    """Read a file of the kind; ``ConfigError``, one line, for each of its faults."""
    if kind not in KINDS:
        raise ConfigError(f"{path}: expected one of {', '.join(KINDS)}, got {kind!r}")
    parser = read_ini(path)
    revision = _revision(parser, path)
    text = b""
    if parser.sections() != [SECTION]:
        text = msgspec.json.encode(reader(kind).parse(parser, path))
        compiled(kind, text)  # what could not be read back must never be proposed
    if len(text) > constants.CONFIGURATION_MAX_BYTES:
        raise ConfigError(
            f"{path}: expected no more than {constants.CONFIGURATION_MAX_BYTES} bytes when compiled, got {len(text)}"
        )
    return ConfigurationRevision(kind, revision, digest_of(text), text)


def _revision(parser: configparser.ConfigParser, path: str) -> int:
    """Read the file's own number."""
    if not parser.has_section(SECTION):
        raise ConfigError(f"{path}: [{SECTION}]: no such section, expected one with the key revision")
    for key in parser.options(SECTION):
        if key != "revision":
            raise ConfigError(f"{path}: [{SECTION}] {key}: no such setting")
    text = parser.get(SECTION, "revision", fallback="")
    if not (text.isascii() and text.isdigit() and len(text) <= 15 and int(text) >= 1):
        raise ConfigError(
            f"{path}: [{SECTION}] revision: expected a whole number from 1 with no more than 15 digits, got {text!r}"
        )
    return int(text)


def check_lines(declared: ConfigurationRevision) -> list[str]:
    """Return what ``--check`` prints of a file."""
    first = f"{declared.kind}: revision {declared.revision}, digest {declared.digest}, {len(declared.text)} bytes"
    if not declared.text:
        return [f"{first}: nothing is declared any more"]
    return [first, *(f"  {line}" for line in reader(declared.kind).check_lines(compiled(declared.kind, declared.text)))]
