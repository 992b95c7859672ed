"""Reading and parsing a settings file."""

from __future__ import annotations

import tomllib
from collections.abc import Mapping

import msgspec

from marblestair.core.domain.settings import Settings
from marblestair.settings.checks import SettingsError, check_settings

#: text between the problem and the path of the field in a msgspec error
_FIELD_PATH_SEPARATOR = " - at `$"


def parse(data: Mapping[str, object]) -> Settings:
    """Build checked settings from a parsed TOML table.

    Each limit of the store in the result is the stricter one of the current limit and the next
    limit (``cluster.state.next``), because the next limits come into force without notice.

    Raises
    ------
    SettingsError
        When a field is missing, or its type or value is invalid.
    """
    try:
        settings = msgspec.convert(data, Settings)
    except msgspec.ValidationError as error:
        text = str(error)
        problem, _, path = text.rpartition(_FIELD_PATH_SEPARATOR)
        field = path.strip("`.") or "settings"
        raise SettingsError(f"{field}: {problem or text}") from None
    check_settings(settings)
    cluster = msgspec.structs.replace(settings.cluster, state=settings.cluster.state.strictest())
    return msgspec.structs.replace(settings, cluster=cluster)


def load(path: str) -> Settings:
    """Read and check a settings file.

    Raises
    ------
    SettingsError
        When the file cannot be read, is not valid TOML, or its settings are invalid.
    """
    try:
        with open(path, "rb") as file:
            data = tomllib.load(file)
    except OSError as error:
        raise SettingsError(f"{path}: cannot be read: {error.strerror}") from None
    except (tomllib.TOMLDecodeError, UnicodeDecodeError) as error:
        raise SettingsError(f"{path}: not valid TOML: {error}") from None
    return parse(data)
