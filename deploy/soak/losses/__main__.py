"""`python -m deploy.soak.losses`."""

from deploy.soak.losses.command import main

if __name__ == "__main__":
    raise SystemExit(main())
