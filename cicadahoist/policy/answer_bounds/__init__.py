"""Signs that bytes of a target belong to more than one answer."""
