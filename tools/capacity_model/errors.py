"""The error type for invalid input files."""


class CapacityError(Exception):
    """An input file is invalid. The text names the file, the name or the field."""
