"""What all rigs share: chance from a seed alone, and the last line with its exit code."""

import json
import sys
from zlib import crc32


class Chance:
    """Numbers that hang on the seed and on what they are for, never on what happened before: so that a
    change in one place of a scenario leaves the others as they were."""

    def __init__(self, seed):
        self.seed = seed

    def share(self, *what):
        """From 0 up to 1. The sum is mixed, as crc32 alone is linear: of like words it gives like numbers,
        and whole kinds of faults would never come under one seed."""
        x = crc32(" ".join(map(str, (self.seed, *what))).encode())
        x = (x ^ x >> 16) * 0x85EBCA6B & 0xFFFFFFFF
        x = (x ^ x >> 13) * 0xC2B2AE35 & 0xFFFFFFFF
        return (x ^ x >> 16) / 2**32

    def below(self, most, *what):
        return int(self.share(*what) * most)

    def among(self, weighted, *what):
        """One of (weight, thing), each as often as its weight says."""
        left = self.share(*what) * sum(weight for weight, _ in weighted)
        for weight, thing in weighted:
            left -= weight
            if left < 0:
                return thing
        return weighted[-1][1]


def report_and_exit(rig, seed, broken, figures):
    """Print the figures, say whether it holds, and end with the exit code that says the same."""
    holds = not broken
    print(json.dumps({"rig": rig, "seed": seed, "holds": holds, "broken_rules": broken, **figures}))
    sys.exit(0 if holds else 1)
