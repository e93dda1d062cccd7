"""Deterministic randomness for the failure detector: the same seed and calls give the same numbers."""

from __future__ import annotations

from zlib import crc32


class RandomSource:
    """Numbers hashed from a seed and a counter; one counter for nonces, one for choices."""

    def __init__(self, seed: int) -> None:
        """Start both counters at 0."""
        self.seed, self.draws, self.nonces = seed, 0, 0

    def nonce(self) -> int:
        """A non-zero 32-bit number that ties an acknowledgement to its ping."""
        self.nonces += 1
        return crc32(b"%d nonce %d" % (self.seed, self.nonces)) or 1

    def below(self, bound: int) -> int:
        """An integer from 0 up to, but not including, `bound`."""
        self.draws += 1
        return crc32(b"%d %d" % (self.seed, self.draws)) * bound >> 32
