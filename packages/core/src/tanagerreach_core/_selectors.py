"""Label selectors: lists of conditions on labels, separated by commas, that must all hold.

The conditions are ``key=value``, ``key!=value``, ``key in (a,b)``, ``key notin (a,b)``, ``key``
(the label exists) and ``!key``. A negative condition also holds when the label is absent. The
empty selector matches everything. Each object has the implicit label ``name``.
"""

import functools
import re
from collections.abc import Iterable, Iterator, Mapping
from dataclasses import dataclass
from enum import Enum
from typing import Protocol

NAME_LABEL = "name"
MAX_SELECTOR_CHARS = 2000
SELECTOR_CACHE_SIZE = 8192

_WORD = re.compile(r"[A-Za-z0-9][A-Za-z0-9._/-]*")
_BLANKS = re.compile(r"[ \t]*")


class SelectorError(ValueError):
    """A selector cannot be parsed.

    :param text: the selector.
    :param position: position of the error, counted from 1.
    :param expected: tokens that are allowed at this position.
    """

    def __init__(self, text: str, position: int, expected: str) -> None:
        super().__init__(f'selector "{text[:80]}": at position {position}, expected {expected}')
        self.text = text
        self.position = position
        self.expected = expected


class Operator(Enum):
    """Operator of a condition."""

    IN = "in"
    NOT_IN = "notin"
    EXISTS = "exists"
    MISSING = "missing"


@dataclass(slots=True, kw_only=True, frozen=True)
class Requirement:
    """One condition on a label."""

    key: str
    operator: Operator
    values: frozenset[str] = frozenset()

    def matches(self, value: str | None) -> bool:
        """Test a label's value, which is ``None`` when the label is absent."""
        if self.operator is Operator.IN:
            return value in self.values
        if self.operator is Operator.NOT_IN:
            return value not in self.values
        return (value is None) == (self.operator is Operator.MISSING)


class Labelled(Protocol):
    """An object that a selector can pick."""

    name: str
    labels: Mapping[str, str]


@dataclass(slots=True, kw_only=True, frozen=True)
class Selector:
    """Conditions that must all hold."""

    text: str
    requirements: tuple[Requirement, ...]

    @staticmethod
    def parse(text: str) -> "Selector":
        """Parse a selector.

        :raises SelectorError: with the position and the expected tokens.
        """
        return _parse(text)

    @staticmethod
    def of_name(name: str) -> "Selector":
        """Return a selector of the object with a name, which may have any characters."""
        requirement = Requirement(key=NAME_LABEL, operator=Operator.IN, values=frozenset({name}))
        return Selector(text="", requirements=(requirement,))

    def matches(self, labels: Mapping[str, str], name: str | None = None) -> bool:
        """Test labels and the implicit label ``name``."""
        for requirement in self.requirements:
            key = requirement.key
            value = name if key == NAME_LABEL else labels.get(key)
            if not requirement.matches(value):
                return False
        return True

    def picks(self, candidate: Labelled) -> bool:
        """Test an object's labels and name."""
        return self.matches(candidate.labels, candidate.name)

    def positive_requirement(self) -> Requirement | None:
        """Return a condition that lists the allowed values, preferably one on the name."""
        listed = [item for item in self.requirements if item.operator is Operator.IN]
        return min(listed, key=lambda item: item.key != NAME_LABEL, default=None)


class LabelIndex:
    """Objects indexed by label value, to evaluate selectors without a scan of all objects."""

    __slots__ = ("_by_label", "_objects")

    def __init__(self, objects: Mapping[str, Labelled]) -> None:
        self._objects = objects
        self._by_label: dict[tuple[str, str], list[Labelled]] = {}
        for candidate in objects.values():
            for label in candidate.labels.items():
                self._by_label.setdefault(label, []).append(candidate)

    def picked(self, selector: Selector) -> Iterator[Labelled]:
        """Iterate over the objects that a selector picks, in no particular order."""
        return (item for item in self._candidates(selector) if selector.picks(item))

    def _candidates(self, selector: Selector) -> Iterable[Labelled]:
        requirement = selector.positive_requirement()
        if requirement is None:
            return self._objects.values()
        if requirement.key == NAME_LABEL:
            named = (self._objects.get(name) for name in requirement.values)
            return (item for item in named if item is not None)
        groups = (self._by_label.get((requirement.key, value), ()) for value in requirement.values)
        return (item for group in groups for item in group)


@functools.lru_cache(maxsize=SELECTOR_CACHE_SIZE)
def _parse(text: str) -> Selector:
    if len(text) > MAX_SELECTOR_CHARS:
        raise SelectorError(text, MAX_SELECTOR_CHARS + 1, "the end of the selector")
    return Selector(text=text, requirements=_Parser(text).requirements())


class _Parser:
    """Recursive-descent parser over one selector."""

    __slots__ = ("_position", "_text")

    def __init__(self, text: str) -> None:
        self._text = text
        self._position = 0
        self._skip_blanks()

    def requirements(self) -> tuple[Requirement, ...]:
        if self._at_end():
            return ()
        found = [self._read_requirement()]
        while not self._at_end():
            self._expect(",", "',' or the end of the selector")
            found.append(self._read_requirement())
        return tuple(found)

    def _read_requirement(self) -> Requirement:
        if self._accept("!"):
            return Requirement(key=self._read_word("a label name"), operator=Operator.MISSING)
        key = self._read_word("a label name or '!'")
        if self._accept("!="):
            return self._value_requirement(key, Operator.NOT_IN, [self._read_word("a value")])
        if self._accept("="):
            return self._value_requirement(key, Operator.IN, [self._read_word("a value")])
        if self._at_end() or self._text[self._position] == ",":
            return Requirement(key=key, operator=Operator.EXISTS)
        return self._read_membership(key)

    def _read_membership(self, key: str) -> Requirement:
        start = self._position
        expected = "'=', '!=', 'in (', 'notin (', ',' or the end of the selector"
        operator = {"in": Operator.IN, "notin": Operator.NOT_IN}.get(self._read_word(expected))
        if operator is None:
            raise SelectorError(self._text, start + 1, expected)
        self._expect("(", "'('")
        values = [self._read_word("a value")]
        while not self._accept(")"):
            self._expect(",", "',' or ')'")
            values.append(self._read_word("a value"))
        return self._value_requirement(key, operator, values)

    @staticmethod
    def _value_requirement(key: str, operator: Operator, values: list[str]) -> Requirement:
        return Requirement(key=key, operator=operator, values=frozenset(values))

    def _at_end(self) -> bool:
        return self._position >= len(self._text)

    def _skip_blanks(self) -> None:
        self._position = _BLANKS.match(self._text, self._position).end()

    def _accept(self, token: str) -> bool:
        if not self._text.startswith(token, self._position):
            return False
        self._position += len(token)
        self._skip_blanks()
        return True

    def _expect(self, token: str, expected: str) -> None:
        if not self._accept(token):
            raise SelectorError(self._text, self._position + 1, expected)

    def _read_word(self, expected: str) -> str:
        match = _WORD.match(self._text, self._position)
        if match is None:
            raise SelectorError(self._text, self._position + 1, expected)
        self._position = match.end()
        self._skip_blanks()
        return match.group()
