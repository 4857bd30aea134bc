"""A thin entry instance: from the fabric to the home and back."""
