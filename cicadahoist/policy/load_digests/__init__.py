"""Load reports that collectors sum up for their zones."""
