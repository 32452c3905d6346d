"""Sections of the operators' INI files, read value by value.

Each fault names the file, the section, the key and what was expected.
"""

from __future__ import annotations

import configparser
from collections.abc import Collection, Iterator
from typing import NamedTuple

from alderbridge.settings import ConfigError

DECLARATION = "declaration"  # the section that is the same in the files of all kinds


class SettingError(ConfigError):
    """One value of an INI file is not what was expected."""

    def __init__(self, path: str, section: str, key: str, problem: str) -> None:
        """``key``: "" where the section as a whole is at fault. ``problem``: what was expected, and what was found."""
        super().__init__(f"{path}: [{section}]{' ' + key if key else ''}: {problem}")
        self.path, self.section, self.key, self.problem = path, section, key, problem


class ExpectationError(ValueError):
    """What was expected of a value, without the value and its place."""


class NumberSetting(NamedTuple):
    """What a number may be, and what it is where nothing is given."""

    default: float
    lowest: float
    highest: float
    whole: bool = False

    def parse(self, text: str) -> float:
        """Read the number; ``ExpectationError`` where it is none, or out of range."""
        try:
            number = int(text) if self.whole else float(text)
        except ValueError:
            number = float("nan")
        if not self.lowest <= number <= self.highest:
            kind = "a whole number" if self.whole else "a number"
            raise ExpectationError(f"expected {kind} from {self.lowest:g} to {self.highest:g}")
        return number


class Section:
    """One section of a file, such as ``[class OWNER/NAME]``: a word, a name and values."""

    def __init__(self, path: str, title: str, values: dict[str, str]) -> None:
        """``title``: all between the brackets."""
        self.path, self.title, self.values = path, title, values
        self.word, _, name = title.partition(" ")
        self.name = name.strip()

    def error(self, key: str, problem: str) -> SettingError:
        """Return the error for one of its values, or with key "" for the section as a whole."""
        return SettingError(self.path, self.title, key, problem)

    def owner_and_name(self, expected: str) -> tuple[str, str]:
        """Split a name of the form ``OWNER/NAME``; ``SettingError`` with what was expected."""
        owner, slash, name = self.name.partition("/")
        if not slash or not owner or not name or "/" in name or " " in self.name:
            raise self.error("", expected)
        return owner, name

    def check_keys(self, known: Collection[str]) -> None:
        """``SettingError`` for a key that is not known."""
        for key in self.values:
            if key not in known:
                raise self.error(key, f"no such setting; there are {', '.join(known) or 'none here'}")

    def number(self, key: str, setting: NumberSetting) -> float:
        """Return a number, or its default; ``SettingError`` where it is none, or too small or large."""
        text = self.values.get(key)
        if text is None:
            return setting.default
        try:
            return setting.parse(text)
        except ExpectationError as error:
            raise self.error(key, f"{error}, got {text!r}") from None

    def words(self, key: str, default: str = "") -> list[str]:
        """Return words that commas or ends of lines lie between."""
        text = self.values.get(key, default)
        return [word.strip() for word in text.replace("\n", ",").split(",") if word.strip()]

    def yes_or_no(self, key: str) -> bool:
        """Return whether the value is yes; no is the default."""
        text = self.values.get(key, "no")
        if text not in ("yes", "no"):
            raise self.error(key, f"expected yes or no, got {text!r}")
        return text == "yes"


def sections(parser: configparser.ConfigParser, path: str) -> Iterator[Section]:
    """Yield the sections of a file in order, but for ``[declaration]``."""
    for title in parser.sections():
        if title != DECLARATION:
            yield Section(path, title, dict(parser.items(title)))
