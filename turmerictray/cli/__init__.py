"""The ``turmerictray`` command-line tool."""
