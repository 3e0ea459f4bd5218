"""The users' platform: its names and forms, translated into our types."""
