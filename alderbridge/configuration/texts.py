"""A declaration's file: read, checked, and compiled to the text that the store keeps.

Each kind has a package with a module ``declaration``:

* ``Text``: a ``msgspec.Struct`` whose fields all have defaults; ``Text()`` declares nothing. A field that an earlier
  program can't pass over needs a new generation, as in any other record.
* ``parse(parser, path) -> Text``: of all sections but ``[declaration]``; ``ConfigError``, one line, for a fault. It
  depends on the file alone: two controllers, on two days, must compile the same.
* ``check_lines(text) -> list[str]``: for people, what the text puts in force.
"""

from __future__ import annotations

import configparser
import hashlib
import importlib
from typing import Any

import msgspec

from alderbridge import constants
from alderbridge.settings import KINDS, ConfigError, read_ini

READERS: dict[str, Any] = {}  # kind -> its module ``declaration``, once imported
SECTION = "declaration"


class Declared(msgspec.Struct, frozen=True):
    """A file, compiled. An empty ``text`` takes the declaration back."""

    kind: str
    revision: int
    digest: str
    text: bytes


def reader(kind: str) -> Any:
    """Imported only when something of the kind is declared: start-up is charged."""
    if kind not in READERS:
        READERS[kind] = importlib.import_module(f"alderbridge.{KINDS[kind]}.declaration")
    return READERS[kind]


def digest_of(text: bytes) -> str:
    return hashlib.blake2b(text, digest_size=16).hexdigest()


def compiled(kind: str, text: bytes) -> msgspec.Struct:
    """``msgspec.DecodeError`` where this program can't read it."""
    return msgspec.json.decode(text, type=reader(kind).Text) if text else reader(kind).Text()


def load(path: str, kind: str) -> Declared:
    """``ConfigError``, one line, for each fault of the file."""
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
    return Declared(kind, revision, digest_of(text), text)


def _revision(parser: configparser.ConfigParser, path: str) -> int:
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


def check_lines(declared: Declared) -> list[str]:
    """What ``--check`` prints of a file."""
    first = f"{declared.kind}: revision {declared.revision}, digest {declared.digest}, {len(declared.text)} bytes"
    if not declared.text:
        return [f"{first}: nothing is declared any more"]
    return [first, *(f"  {line}" for line in reader(declared.kind).check_lines(compiled(declared.kind, declared.text)))]
