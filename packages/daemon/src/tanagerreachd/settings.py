"""Public interface to the settings, for other packages."""

from ._option_kinds import Address
from ._settings import (
    Settings,
    SettingsError,
    load_settings,
    setting_names,
    settings_reference,
)

__all__ = [
    "Address",
    "Settings",
    "SettingsError",
    "load_settings",
    "setting_names",
    "settings_reference",
]
