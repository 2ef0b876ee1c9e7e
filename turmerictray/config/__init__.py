"""The published configuration and the settings files of processes, both validated on load."""
