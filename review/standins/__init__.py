"""Stand-ins of the platform, of engines and of clients, for the cases of the review.

They use the standard library alone and follow the users' pages, with their limits.
"""
