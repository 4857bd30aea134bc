"""Tests of `redwingstream.httpd`."""
