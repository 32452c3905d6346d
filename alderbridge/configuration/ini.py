"""Typed access to the sections of the operators' INI files.

Each error names the file, the section, the key and what was expected.
"""

from __future__ import annotations

import configparser
from collections.abc import Collection, Iterator
from typing import NamedTuple

from alderbridge.settings import ConfigError

DECLARATION = "declaration"  # the section that files of all kinds have in common


class SettingError(ConfigError):
    """A value or section of an INI file is invalid."""

    def __init__(self, path: str, section: str, key: str, problem: str) -> None:
        """``key``: empty if the whole section is invalid. ``problem``: what was expected, and what was found."""
        super().__init__(f"{path}: [{section}]{' ' + key if key else ''}: {problem}")
        self.path, self.section, self.key, self.problem = path, section, key, problem


class ExpectationError(ValueError):
    """A value is invalid. The message says what was expected; the caller adds the value and its location."""


class NumberSetting(NamedTuple):
    """The default and the range of a numeric setting."""

    default: float
    lowest: float
    highest: float
    whole: bool = False

    def parse(self, text: str) -> float:
        """Parse a number; raise ``ExpectationError`` if it is malformed or out of range."""
        try:
            number = int(text) if self.whole else float(text)
        except ValueError:
            number = float("nan")
        if not self.lowest <= number <= self.highest:
            kind = "a whole number" if self.whole else "a number"
            raise ExpectationError(f"expected {kind} from {self.lowest:g} to {self.highest:g}")
        return number


class Section:
    """A section such as ``[class OWNER/NAME]``: a word (``class``), a name (``OWNER/NAME``) and values."""

    def __init__(self, path: str, title: str, values: dict[str, str]) -> None:
        """``title``: the text between the brackets."""
        self.path, self.title, self.values = path, title, values
        self.word, _, name = title.partition(" ")
        self.name = name.strip()

    def error(self, key: str, problem: str) -> SettingError:
        """Return an error about the value of ``key``, or about the whole section if ``key`` is empty."""
        return SettingError(self.path, self.title, key, problem)

    def owner_and_name(self, expected: str) -> tuple[str, str]:
        """Split a name of the form ``OWNER/NAME``; raise ``SettingError`` with the text ``expected`` for any other."""
        owner, slash, name = self.name.partition("/")
        if not slash or not owner or not name or "/" in name or " " in self.name:
            raise self.error("", expected)
        return owner, name

    def check_keys(self, known: Collection[str]) -> None:
        """Raise ``SettingError`` for a key that is not in ``known``."""
        for key in self.values:
            if key not in known:
                raise self.error(key, f"no such setting; there are {', '.join(known) or 'none here'}")

    def number(self, key: str, setting: NumberSetting) -> float:
        """Return a number, or its default; raise ``SettingError`` if it is malformed or out of range."""
        text = self.values.get(key)
        if text is None:
            return setting.default
        try:
            return setting.parse(text)
        except ExpectationError as error:
            raise self.error(key, f"{error}, got {text!r}") from None

    def words(self, key: str, default: str = "") -> list[str]:
        """Return the words of a value, separated by commas or line ends."""
        text = self.values.get(key, default)
        return [word.strip() for word in text.replace("\n", ",").split(",") if word.strip()]

    def yes_or_no(self, key: str) -> bool:
        """Return whether the value is ``yes``; the default is ``no``."""
        text = self.values.get(key, "no")
        if text not in ("yes", "no"):
            raise self.error(key, f"expected yes or no, got {text!r}")
        return text == "yes"


def sections(parser: configparser.ConfigParser, path: str) -> Iterator[Section]:
    """Yield the sections of a file in order, except ``[declaration]``."""
    for title in parser.sections():
        if title != DECLARATION:
            yield Section(path, title, dict(parser.items(title)))
