"""Tests of `redwingstream.fleet`."""
