"""Reading a settings file."""

from __future__ import annotations

import tomllib
from collections.abc import Mapping

import msgspec

from marblestair.core.domain.settings import Settings
from marblestair.settings.checks import SettingsError, check_settings

#: what a msgspec error has between what is wrong and the path of the field
_PATH_MARK = " - at `$"


def parse(data: Mapping[str, object]) -> Settings:
    """Build checked settings from a parsed TOML table.

    The limits of the store in them are those that hold now and later: everything is written within
    both from the start, since the later ones come without notice.

    Raises
    ------
    SettingsError
        When a field is missing, of the wrong type, or cannot be used.
    """
    try:
        settings = msgspec.convert(data, Settings)
    except msgspec.ValidationError as error:
        text = str(error)
        problem, _, path = text.rpartition(_PATH_MARK)
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
        When the file cannot be read, is no TOML, or its settings cannot be used.
    """
    try:
        with open(path, "rb") as file:
            data = tomllib.load(file)
    except OSError as error:
        raise SettingsError(f"{path}: {error.strerror}") from None
    except (tomllib.TOMLDecodeError, UnicodeDecodeError) as error:
        raise SettingsError(f"{path}: {error}") from None
    return parse(data)
