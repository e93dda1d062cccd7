"""Codecs of the protocols of a front: bytes to values and back, without clocks, sockets or decisions."""
