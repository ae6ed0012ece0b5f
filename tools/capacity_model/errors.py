"""The error type that this tool reports to its user."""


class CapacityError(Exception):
    """An invalid input. The text names the file, the name or the field."""
