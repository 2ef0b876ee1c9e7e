"""The entry-instance daemon: HTTP front, dispatcher, upstream calls, watchers and peer link."""
