"""Tests of the sharing of the event loop among parsers."""

import asyncio
import unittest

from carobspring.adapters.loop_slices import (
    FREE_STEPS,
    SLICE_STEPS,
    LoopSlices,
    PacedSteps,
    get_slices,
)
from tests.adapters.turns import TurnCounter


class LoopSlicesTests(unittest.IsolatedAsyncioTestCase):
    async def test_one_slice_a_turn(self):
        """However many wait, one of them goes on in each turn, in order."""
        slices, turns, ended = LoopSlices(), TurnCounter(), []

        async def wait(number):
            await slices.wait()
            ended.append((number, turns.count))

        await asyncio.gather(*(wait(number) for number in range(20)))
        self.assertEqual([number for number, _ in ended], list(range(20)))
        self.assertEqual(len({turn for _, turn in ended}), 20)
        turns.stop()

    async def test_cancelled_wait(self):
        """Who no longer waits takes no slice from the next one."""
        slices = LoopSlices()
        first, second = (asyncio.create_task(slices.wait()) for _ in range(2))
        await asyncio.sleep(0)
        first.cancel()
        await asyncio.wait_for(second, 1)
        self.assertEqual(slices.given_count, 1)

    async def test_steps(self):
        """Few steps need no slice; many are spread over turns."""
        slices, steps = get_slices(), PacedSteps()
        for _ in range(FREE_STEPS):
            await steps.take()
        self.assertEqual(slices.given_count, 0)
        for _ in range(2 * SLICE_STEPS):
            await steps.take()
        self.assertEqual(slices.given_count, 2)
        steps.rest()
        for _ in range(FREE_STEPS):
            await steps.take()
        self.assertEqual(slices.given_count, 2)
