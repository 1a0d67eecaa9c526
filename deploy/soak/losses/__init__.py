"""Plays real daemons through losses and planned work, and judges each way to lose a turn."""
