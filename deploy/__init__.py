"""How the system is built and run on the platform, and its soak."""
