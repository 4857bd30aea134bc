"""Tests of `redwingstream.openings`."""
