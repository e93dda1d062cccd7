"""Shared by all rigs: seeded random draws, and the final line of results with its exit code."""

import json
import sys
from zlib import crc32


class Chance:
    """Random draws that depend only on the seed and on labels, not on earlier draws.

    A change in one place of a scenario therefore leaves the draws in all others unchanged.
    """

    def __init__(self, seed):
        self.seed = seed

    def share(self, *what):
        """Returns a number from 0 (inclusive) to 1 (exclusive).

        The checksum is mixed further because crc32 is linear: similar labels would give similar numbers, and
        with some seeds whole kinds of faults would never occur.
        """
        x = crc32(" ".join(map(str, (self.seed, *what))).encode())
        x = (x ^ x >> 16) * 0x85EBCA6B & 0xFFFFFFFF
        x = (x ^ x >> 13) * 0xC2B2AE35 & 0xFFFFFFFF
        return (x ^ x >> 16) / 2**32

    def below(self, most, *what):
        """Returns an integer from 0 to `most` - 1."""
        return int(self.share(*what) * most)

    def among(self, weighted, *what):
        """Returns an item of `weighted`, pairs (weight, item), with probability proportional to weight."""
        left = self.share(*what) * sum(weight for weight, _ in weighted)
        for weight, item in weighted:
            left -= weight
            if left < 0:
                return item
        return weighted[-1][1]


def report_and_exit(rig, seed, broken, figures):
    """Prints the result as one line of JSON and exits: 0 when no rule is broken, 1 otherwise."""
    holds = not broken
    print(json.dumps({"rig": rig, "seed": seed, "holds": holds, "broken_rules": broken, **figures}))
    sys.exit(0 if holds else 1)
