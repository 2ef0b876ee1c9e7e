"""The platform's configuration text and the processes' settings files, both checked on load."""
