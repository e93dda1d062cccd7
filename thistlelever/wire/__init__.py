"""What is spoken on the wire: bytes to values and back. No clock, no socket, no decision."""
