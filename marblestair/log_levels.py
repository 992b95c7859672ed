"""Logging levels by the names that ``LOG_LEVEL`` and the core use."""

import logging

LOG_LEVELS = {"error": logging.ERROR, "info": logging.INFO, "debug": logging.DEBUG}
