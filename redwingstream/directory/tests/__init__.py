"""Tests of `redwingstream.directory`."""
