"""Encoded structures and their names on the wire."""
