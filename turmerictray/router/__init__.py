"""Router process: HTTP front, dispatcher, upstream requests, watchers and peer link."""
