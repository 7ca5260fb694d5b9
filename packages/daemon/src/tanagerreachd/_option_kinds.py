"""Types and allowed values of settings options."""

import ipaddress
import re
from abc import ABC, abstractmethod
from dataclasses import dataclass
from typing import Any


class OptionKind(ABC):
    """Type and allowed values of an option."""

    is_secret = False

    @abstractmethod
    def parse(self, value: Any) -> Any:
        """Validate and convert a TOML value.

        :returns: the value in the form that the instance uses.
        :raises ValueError: when the value is not allowed.
        """

    @abstractmethod
    def allowed(self) -> str:
        """Describe the allowed values, for error messages and the reference page."""


@dataclass(slots=True, kw_only=True, frozen=True)
class Address:
    """IP address and port."""

    host: str
    port: int

    @classmethod
    def parse(cls, text: str) -> "Address":
        """Parse ``IP:PORT`` or ``[IPv6]:PORT``.

        :raises ValueError: when the host is not an IP address or the port is out of range.
        """
        host, separator, port = text.rpartition(":")
        if not separator or not re.fullmatch(r"[0-9]{1,5}", port) or not 1 <= int(port) <= 65535:
            raise ValueError("no port from 1 to 65535")
        is_bracketed = host.startswith("[") and host.endswith("]")
        address = ipaddress.ip_address(host[1:-1] if is_bracketed else host)
        if (address.version == 6) != is_bracketed:
            raise ValueError("write an IPv6 address in brackets")
        return cls(host=str(address), port=int(port))

    @property
    def is_unspecified(self) -> bool:
        """Whether the host is the unspecified address, which binds all local addresses."""
        return ipaddress.ip_address(self.host).is_unspecified

    @property
    def is_multicast(self) -> bool:
        """Whether the host is a multicast address, which no connection can have."""
        return ipaddress.ip_address(self.host).is_multicast

    def __str__(self) -> str:
        return f"[{self.host}]:{self.port}" if ":" in self.host else f"{self.host}:{self.port}"


class NameKind(OptionKind):
    """Name of an object."""

    _PATTERN = re.compile(r"[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?")

    def parse(self, value: Any) -> str:
        """Check a name."""
        if not isinstance(value, str) or not self._PATTERN.fullmatch(value):
            raise ValueError
        return value

    def allowed(self) -> str:
        """Describe the allowed values."""
        return "1 to 63 lower-case letters, digits and inner hyphens"


class AddressKind(OptionKind):
    """IP address and port.

    :param advertised: whether the address is announced to other instances.
    """

    def __init__(self, *, advertised: bool = True) -> None:
        self._advertised = advertised

    def parse(self, value: Any) -> Address:
        """Check an address."""
        if not isinstance(value, str):
            raise ValueError
        address = Address.parse(value)
        if self._advertised and address.is_unspecified:
            raise ValueError
        return address

    def allowed(self) -> str:
        """Describe the allowed values."""
        text = "IP address and port from 1 to 65535, such as 10.0.0.7:8080 or [fd00::7]:8080"
        return text + (", not 0.0.0.0 or [::]" if self._advertised else "")


class AddressListKind(OptionKind):
    """List of IP addresses and ports."""

    _item = AddressKind()

    def parse(self, value: Any) -> tuple[Address, ...]:
        """Check a list of addresses."""
        if not isinstance(value, list):
            raise ValueError
        return tuple(self._item.parse(item) for item in value)

    def allowed(self) -> str:
        """Describe the allowed values."""
        return f"list of: {self._item.allowed()}"


class NumberKind(OptionKind):
    """Number within a range.

    :param low: minimum.
    :param high: maximum.
    :param whole: whether only integers are allowed.
    """

    def __init__(self, low: float, high: float, *, whole: bool = False) -> None:
        self._low = low
        self._high = high
        self._whole = whole

    def parse(self, value: Any) -> float:
        """Check a number. NaN fails the range check."""
        allowed_types = int if self._whole else (int, float)
        if isinstance(value, bool) or not isinstance(value, allowed_types):
            raise ValueError
        if not self._low <= value <= self._high:
            raise ValueError
        return value if self._whole else float(value)

    def allowed(self) -> str:
        """Describe the allowed values."""
        kind = "whole number" if self._whole else "number"
        return f"{kind} from {self._low} to {self._high}"


class ChoiceKind(OptionKind):
    """One of a fixed set of strings."""

    def __init__(self, choices: tuple[str, ...]) -> None:
        self._choices = choices

    def parse(self, value: Any) -> str:
        """Check a choice."""
        if value not in self._choices:
            raise ValueError
        return value

    def allowed(self) -> str:
        """Describe the allowed values."""
        return "one of " + ", ".join(f'"{choice}"' for choice in self._choices)


class PathKind(OptionKind):
    """Path of a file, relative to the directory of the settings file."""

    def parse(self, value: Any) -> str:
        """Check a path."""
        if not isinstance(value, str) or "\0" in value:
            raise ValueError
        return value

    def allowed(self) -> str:
        """Describe the allowed values."""
        return "path, relative to the folder of the settings file, or empty"


class SecretKind(OptionKind):
    """Secret, which is never printed."""

    is_secret = True

    def __init__(self, min_length: int) -> None:
        self._min_length = min_length

    def parse(self, value: Any) -> str:
        """Check a secret. An empty string means that a file contains it."""
        if not isinstance(value, str):
            raise ValueError
        if value and (len(value) < self._min_length or not value.isascii()):
            raise ValueError
        if any(character.isspace() or not character.isprintable() for character in value):
            raise ValueError
        return value

    def allowed(self) -> str:
        """Describe the allowed values."""
        return f"at least {self._min_length} ASCII characters without spaces"
