"""Types of the functions that carry out effects of decisions."""

from collections.abc import Callable

from redwingstream.flows.effects import UpstreamEffect
from redwingstream.placement.effects import Effect

PerformKeeperEffects = Callable[[list[Effect], float], None]
"""Carries out effects of the keeper of buckets at a time in seconds."""

PerformServerEffects = Callable[[list[UpstreamEffect], float], None]
"""Carries out effects of the link to the server at a time in seconds."""
