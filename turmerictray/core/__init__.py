"""Pieces shared by every process: ids, errors, logs, timers and the application object."""
