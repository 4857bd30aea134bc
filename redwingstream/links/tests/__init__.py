"""Tests of `redwingstream.links`."""
