"""Knows at which version each stream began, also after a loss of all memory.

Each entry keeps one record in the store: the versions at which its streams may
have begun, and, while there are several, where each one did. From the records
of all entries and the endpoints in service follows where a stream that nobody
remembers began, or that this is uncertain.
"""
