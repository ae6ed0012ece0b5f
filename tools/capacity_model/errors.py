"""The one error that this tool reports to its user."""


class CapacityError(Exception):
    """An input that can't be used. Its text names the file, the name or the field."""
