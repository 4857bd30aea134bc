"""Admission: each backend server gets only the work that it can bear."""
