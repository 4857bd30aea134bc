"""Established flows: feeds that stay with the server that carries them."""
