"""RandomSource for the failure detector: the same seed and calls give the same draws."""

from __future__ import annotations

from zlib import crc32


class RandomSource:
    """Draws from a seed and two counters."""

    def __init__(self, seed: int) -> None:
        """A fresh source; nothing is drawn yet."""
        self.seed, self.draws, self.nonces = seed, 0, 0

    def nonce(self) -> int:
        """A number that can't be guessed, so that an answer is one to this question; never 0."""
        self.nonces += 1
        return crc32(b"%d nonce %d" % (self.seed, self.nonces)) or 1

    def below(self, bound: int) -> int:
        """A whole number from 0 to below the bound."""
        self.draws += 1
        return crc32(b"%d %d" % (self.seed, self.draws)) * bound >> 32
