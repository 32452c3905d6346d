"""Reads and checks an operator configuration file, and compiles it to the text that is stored.

The package of each kind has a module ``configuration`` that implements ``ConfigurationReader``.
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
    """The module that parses one kind."""

    # A struct whose fields all have defaults; without arguments it declares nothing. As in any other record, a field
    # that an earlier version must not ignore needs a new protocol version.
    configuration_type: type[msgspec.Struct]

    def parse(self, parser: configparser.ConfigParser, path: str) -> msgspec.Struct:
        """Compile all sections except ``[declaration]``; raise ``ConfigError`` for a fault.

        The result must depend on the file alone: all controllers must compile it alike, on any day.
        """

    def check_lines(self, configuration: Any) -> list[str]:
        """Return a readable description of what the configuration puts in force."""


READERS: dict[str, ConfigurationReader] = {}  # by kind; filled when a module is imported
SECTION = "declaration"


class ConfigurationRevision(msgspec.Struct, frozen=True):
    """A compiled file. An empty ``text`` withdraws earlier declarations."""

    kind: str
    revision: int
    digest: str
    text: bytes


def reader(kind: str) -> ConfigurationReader:
    """Return the kind's module, imported on first use to keep start-up short."""
    if kind not in READERS:
        module = importlib.import_module(f"alderbridge.{KINDS[kind]}.configuration")
        READERS[kind] = cast(ConfigurationReader, module)
    return READERS[kind]


def digest_of(text: bytes) -> str:
    """Return the digest that identifies a compiled text."""
    return hashlib.blake2b(text, digest_size=16).hexdigest()


def compiled(kind: str, text: bytes) -> msgspec.Struct:
    """Decode a compiled text; raise ``msgspec.DecodeError`` if this version can't read it."""
    return (
        msgspec.json.decode(text, type=reader(kind).configuration_type) if text else reader(kind).configuration_type()
    )


def load(path: str, kind: str) -> ConfigurationRevision:
    """Read and compile a file of the kind; raise ``ConfigError`` with one line per fault."""
    if kind not in KINDS:
        raise ConfigError(f"{path}: expected one of {', '.join(KINDS)}, got {kind!r}")
    parser = read_ini(path)
    revision = _revision(parser, path)
    text = b""
    if parser.sections() != [SECTION]:
        text = msgspec.json.encode(reader(kind).parse(parser, path))
        compiled(kind, text)  # a text that can't be decoded must never be proposed
    if len(text) > constants.MAX_CONFIGURATION_BYTES:
        raise ConfigError(
            f"{path}: expected no more than {constants.MAX_CONFIGURATION_BYTES} bytes when compiled, got {len(text)}"
        )
    return ConfigurationRevision(kind, revision, digest_of(text), text)


def _revision(parser: configparser.ConfigParser, path: str) -> int:
    """Return the revision that the file declares."""
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
    """Return what ``--check`` prints about a file."""
    summary = f"{declared.kind}: revision {declared.revision}, digest {declared.digest}, {len(declared.text)} bytes"
    if not declared.text:
        return [f"{summary}: nothing is declared any more"]
    return [
        summary,
        *(f"  {line}" for line in reader(declared.kind).check_lines(compiled(declared.kind, declared.text))),
    ]
