"""Every structure that is encoded, and the names that go over the wire."""
