"""A whole region on virtual time: real daemon cores over memory transports."""
