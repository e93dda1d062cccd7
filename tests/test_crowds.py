"""Crowds of bad clients against a front process with the least memory that the pages name."""

import asyncio

import pytest

from rigs.crowd_clients import KINDS
from rigs.crowds import LEAST_MEMORY_MB, Play, drawn_play, run_play

# The long run, by hand: python -m rigs.side_by_side crowds --seeds 50 --at-once 4
SOAK_SEEDS = range(1, 9)
AT_ONCE = 4


def run_plays(plays):
    async def run_all():
        places = asyncio.Semaphore(AT_ONCE)

        async def run_one(seed, play):
            async with places:
                return await run_play(play, seed)

        return await asyncio.gather(*(run_one(*each) for each in plays))

    return asyncio.run(run_all())


@pytest.fixture(scope="module")
def plays_by_kind():
    return dict(zip(KINDS, run_plays([(1, Play(kind, LEAST_MEMORY_MB)) for kind in KINDS]), strict=True))


@pytest.fixture(scope="module")
def plays_by_seed():
    return dict(zip(SOAK_SEEDS, run_plays([(seed, drawn_play(seed)) for seed in SOAK_SEEDS]), strict=True))


@pytest.mark.parametrize("kind", KINDS)
def test_a_crowd_takes_no_front_past_its_memory_and_costs_no_usual_request(kind, plays_by_kind):
    broken, figures = plays_by_kind[kind]
    assert not broken, figures


@pytest.mark.parametrize("seed", SOAK_SEEDS)
def test_a_drawn_crowd_with_signals_breaks_no_rule(seed, plays_by_seed):
    broken, figures = plays_by_seed[seed]
    assert not broken, figures
