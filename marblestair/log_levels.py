"""Levels of the log, by the names that the environment and the core use."""

import logging

LOG_LEVELS = {"error": logging.ERROR, "info": logging.INFO, "debug": logging.DEBUG}
