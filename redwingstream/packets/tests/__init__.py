"""Tests of `redwingstream.packets`."""
