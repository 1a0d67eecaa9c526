"""The capacity page: slopes measured here, carried to the size to design for."""
